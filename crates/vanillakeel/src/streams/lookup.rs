//! The question to the keepers of a stream.

use std::sync::Arc;

/// The keepers that have been asked for a stream and have not answered yet.
///
/// The first answer that names a version ends the question; it is recorded with the streams that are
/// known. If all keepers say that they don't know the stream, it is not worth asking further. A keeper
/// that does not know it may still vouch that only one version has served for as long as streams live.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lookup {
    waiting_for: Vec<Arc<str>>,
    is_answered: bool,
    /// The only version that has served, by the keepers that vouch for one; an error if they differ.
    sole: Option<Result<Arc<str>, ()>>,
}

impl Lookup {
    /// Creates the question to the keepers with these names.
    #[must_use]
    pub const fn new(keepers: Vec<Arc<str>>) -> Self {
        Self {
            waiting_for: keepers,
            is_answered: false,
            sole: None,
        }
    }

    /// Records that a keeper does not know the stream; `sole` is the only version that has served, if
    /// the keeper vouches for one.
    pub fn on_unknown(&mut self, keeper: &str, sole: Option<&str>) {
        if let Some(sole) = sole {
            let is_same = match &self.sole {
                None => true,
                Some(known) => known.as_deref() == Ok(sole),
            };
            self.sole = Some(if is_same {
                Ok(Arc::from(sole))
            } else {
                Err(())
            });
        }
        let before = self.waiting_for.len();
        self.waiting_for.retain(|name| **name != *keeper);
        self.is_answered |= self.waiting_for.len() < before;
    }

    /// Returns whether no keeper is left that may still know the stream.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        self.waiting_for.is_empty()
    }

    /// Returns the only version that has served, if keepers vouch for one and none for another.
    #[must_use]
    pub fn sole(&self) -> Option<Arc<str>> {
        self.sole.clone()?.ok()
    }

    /// Returns whether any keeper has answered, so that this instance is not cut off from all of them.
    #[must_use]
    pub const fn is_answered(&self) -> bool {
        self.is_answered
    }
}
