//! What the log has shown of the newest version.

/// What reads of the log have shown of the newest version in its present era.
///
/// ```
/// use vanillakeel::routes::NewestRead;
///
/// let mut newest = NewestRead::default();
/// newest.on_read(0, Some(Ok(4)));
/// assert!(newest.shows(4));
/// // The log has come back from a copy that lacks version 4.
/// newest.on_read(1, Some(Ok(3)));
/// assert!(!newest.shows(4));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewestRead {
    era: u64,
    /// Newest version that was read in this era, or 0 without one.
    version: u64,
    /// Whether the last configuration that was read could not be decoded.
    is_unreadable: bool,
}

impl NewestRead {
    /// Records a read in an era with the version of its last configuration: `None` if there is none, an
    /// error if it could not be decoded.
    pub fn on_read(&mut self, era: u64, last: Option<Result<u64, ()>>) {
        if era != self.era {
            *self = Self {
                era,
                ..Self::default()
            };
        }
        if let Some(last) = last {
            self.is_unreadable = last.is_err();
            self.version = self.version.max(last.unwrap_or(0));
        }
    }

    /// Returns whether the log shows that `version` is the newest.
    ///
    /// After the log came back from a copy, it may hold an older version until the operator has written
    /// the newest one again.
    #[must_use]
    pub const fn shows(&self, version: u64) -> bool {
        !self.is_unreadable && self.version >= version
    }
}
