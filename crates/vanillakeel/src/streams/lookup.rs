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
    /// The only version that has served, by the keepers that vouch for one.
    sole: Vouched,
    /// The only version that had served when the keepers started, by those that vouch for one.
    earlier: Vouched,
}

/// A version that keepers vouch for, if any does; an error if they differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Vouched(Option<Result<Arc<str>, ()>>);

impl Vouched {
    const NONE: Self = Self(None);

    fn add(&mut self, software: Option<&str>) {
        let Some(software) = software else {
            return;
        };
        let is_same = match &self.0 {
            None => true,
            Some(known) => known.as_deref() == Ok(software),
        };
        self.0 = Some(if is_same {
            Ok(Arc::from(software))
        } else {
            Err(())
        });
    }

    fn get(&self) -> Option<Arc<str>> {
        self.0.clone()?.ok()
    }
}

impl Lookup {
    /// Creates the question to the keepers with these names.
    #[must_use]
    pub const fn new(keepers: Vec<Arc<str>>) -> Self {
        Self {
            waiting_for: keepers,
            is_answered: false,
            sole: Vouched::NONE,
            earlier: Vouched::NONE,
        }
    }

    /// Records the only version that had served when a keeper started, if it vouches for one.
    pub fn on_earlier(&mut self, earlier: Option<&str>) {
        self.earlier.add(earlier);
    }

    /// Records that a keeper does not know the stream; `sole` is the only version that has served, if
    /// the keeper vouches for one.
    pub fn on_unknown(&mut self, keeper: &str, sole: Option<&str>) {
        self.sole.add(sole);
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
        self.sole.get()
    }

    /// Returns the only version that had served when the keepers started, if some vouch for one and none for another.
    #[must_use]
    pub fn sole_earlier(&self) -> Option<Arc<str>> {
        self.earlier.get()
    }

    /// Returns whether any keeper has answered, so that this instance is not cut off from all of them.
    #[must_use]
    pub const fn is_answered(&self) -> bool {
        self.is_answered
    }
}
