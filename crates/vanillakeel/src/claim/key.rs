//! Idempotency keys, which carry the time they were made at.

use std::sync::Arc;

/// How far a key's time may lie ahead, for clocks that differ, in ms.
const MAX_AHEAD_MS: u64 = 60_000;

/// The key of a request within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// When it was made, in ms since 1970.
    pub made_ms: u64,
    /// The UUID.
    pub id: u128,
    /// The workspace's name.
    pub workspace: Arc<str>,
}

/// Why a key is refused.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum KeyError {
    /// the key has to be a UUID of version 7
    Malformed,
    /// the key is older than the window of {window_ms} ms
    Expired {
        /// Length of the window in ms.
        window_ms: u64,
    },
    /// the key's time lies ahead by more than a minute
    InFuture,
}

impl std::error::Error for KeyError {}

impl Key {
    /// Makes a key from its parts.
    #[must_use]
    pub fn new(workspace: &str, id: u128, made_ms: u64) -> Self {
        Self {
            made_ms,
            id,
            workspace: Arc::from(workspace),
        }
    }

    /// Reads the value of an `Idempotency-Key` header.
    ///
    /// `wall_ms` is the present time in ms since 1970, `window_ms` the age up to which a key is
    /// taken.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a UUID of version 7, or its time is out of the window.
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
        let made_ms = (uuid.as_u128() >> 80) as u64;
        if made_ms > wall_ms.saturating_add(MAX_AHEAD_MS) {
            return Err(KeyError::InFuture);
        }
        if wall_ms.saturating_sub(made_ms) > window_ms {
            return Err(KeyError::Expired { window_ms });
        }
        Ok(Self::new(workspace, uuid.as_u128(), made_ms))
    }
}
