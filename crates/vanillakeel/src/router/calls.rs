//! The calls of an instance, sorted by request.

use crate::attempt::Call;

/// Calls in ascending order of their request's number.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    sorted: Vec<Call>,
    attempts: Vec<(u64, u64)>,
}

impl Calls {
    fn find(&self, request: u64) -> Result<usize, usize> {
        self.sorted.binary_search_by_key(&request, |c| c.req.id)
    }

    pub(super) fn len(&self) -> usize {
        self.sorted.len()
    }

    pub(super) fn insert(&mut self, call: Call) {
        match self.find(call.req.id) {
            Ok(at) => self.sorted[at] = call,
            Err(at) => self.sorted.insert(at, call),
        }
    }

    pub(super) fn get_mut(&mut self, request: u64) -> Option<&mut Call> {
        let at = self.find(request).ok()?;
        Some(&mut self.sorted[at])
    }

    pub(super) fn remove(&mut self, request: u64) -> Option<Call> {
        let at = self.find(request).ok()?;
        Some(self.sorted.remove(at))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Call> {
        self.sorted.iter()
    }

    /// Notes which request an attempt belongs to; attempts come in ascending order.
    pub(super) fn note_attempt(&mut self, attempt: u64, request: u64) {
        self.attempts.push((attempt, request));
    }

    /// The request that an attempt in progress belongs to.
    pub(super) fn request_of(&self, attempt: u64) -> Option<u64> {
        let at = self.attempts.binary_search_by_key(&attempt, |a| a.0).ok()?;
        Some(self.attempts[at].1)
    }

    pub(super) fn forget_attempt(&mut self, attempt: u64) {
        if let Ok(at) = self.attempts.binary_search_by_key(&attempt, |a| a.0) {
            self.attempts.remove(at);
        }
    }
}
