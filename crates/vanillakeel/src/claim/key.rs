//! Idempotency keys, which contain the time at which they were created.

use std::sync::Arc;

/// How far the time of a key may lie in the future, in ms; allows for clock skew of callers.
const MAX_AHEAD_MS: u64 = 60_000;

/// The key of a request within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// When it was created, in ms since the Unix epoch.
    pub created_ms: u64,
    /// The UUID as a number.
    pub id: u128,
    /// Name of the workspace.
    pub workspace: Arc<str>,
}

/// Why a key is invalid.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum KeyError {
    /// the key has to be a UUID of version 7
    Malformed,
    /// the key is older than the window of {window_ms} ms
    Expired {
        /// Largest age of a valid key in ms.
        window_ms: u64,
    },
    /// the key's time lies ahead by more than a minute
    InFuture,
}

impl std::error::Error for KeyError {}

impl Key {
    /// Creates a key from its parts.
    #[must_use]
    pub fn new(workspace: &str, id: u128, created_ms: u64) -> Self {
        Self {
            created_ms,
            id,
            workspace: Arc::from(workspace),
        }
    }

    /// Parses the value of an `Idempotency-Key` header.
    ///
    /// `wall_ms` is the current time in ms since the Unix epoch, and `window_ms` the largest age of
    /// a valid key.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a UUID of version 7, or if its time is older than the
    /// window or more than a minute in the future.
    pub fn parse(
        workspace: &str,
        text: &str,
        wall_ms: u64,
        window_ms: u64,
    ) -> Result<Self, KeyError> {
        let uuid = uuid::Uuid::try_parse(text).map_err(|_| KeyError::Malformed)?;
        if uuid.get_version_num() != 7 {
            return Err(KeyError::Malformed);
        }
        let created_ms = (uuid.as_u128() >> 80) as u64;
        if created_ms > wall_ms.saturating_add(MAX_AHEAD_MS) {
            return Err(KeyError::InFuture);
        }
        if wall_ms.saturating_sub(created_ms) > window_ms {
            return Err(KeyError::Expired { window_ms });
        }
        Ok(Self::new(workspace, uuid.as_u128(), created_ms))
    }
}
