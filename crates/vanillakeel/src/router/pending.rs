//! The pending requests of an instance, indexed by request id and by attempt id.

use crate::attempt::PendingRequest;

/// Pending requests and their attempts in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    /// Requests in ascending order of their ids.
    requests: Vec<PendingRequest>,
    /// Pairs of attempt id and request id, in ascending order of the attempt id.
    attempts: Vec<(u64, u64)>,
}

impl PendingRequests {
    fn find(&self, request: u64) -> Result<usize, usize> {
        self.requests.binary_search_by_key(&request, |p| p.req.id)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn insert(&mut self, pending: PendingRequest) {
        match self.find(pending.req.id) {
            Ok(index) => self.requests[index] = pending,
            Err(index) => self.requests.insert(index, pending),
        }
    }

    pub(super) fn get_mut(&mut self, request: u64) -> Option<&mut PendingRequest> {
        let index = self.find(request).ok()?;
        Some(&mut self.requests[index])
    }

    pub(super) fn remove(&mut self, request: u64) -> Option<PendingRequest> {
        let index = self.find(request).ok()?;
        Some(self.requests.remove(index))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.requests.iter()
    }

    /// Records which request an attempt belongs to; attempt ids have to be added in ascending order.
    pub(super) fn add_attempt(&mut self, attempt: u64, request: u64) {
        self.attempts.push((attempt, request));
    }

    /// Returns the request that an attempt in progress belongs to.
    pub(super) fn request_of(&self, attempt: u64) -> Option<u64> {
        let index = self.attempts.binary_search_by_key(&attempt, |a| a.0).ok()?;
        Some(self.attempts[index].1)
    }

    pub(super) fn remove_attempt(&mut self, attempt: u64) {
        if let Ok(index) = self.attempts.binary_search_by_key(&attempt, |a| a.0) {
            self.attempts.remove(index);
        }
    }
}
