//! Weighted fair queueing among workspaces, based on start-time fair queueing.
//!
//! Each tier of a [`Queue`](super::Queue) keeps one [`Accounts`], which tells it the workspaces
//! that have received more than their share.

use std::sync::Arc;

/// Lead in weighted tokens that a workspace may have over the one that was served least.
const MAX_LEAD_TOKENS: f64 = 2_000.0;

/// Service that a workspace has received.
#[derive(Clone, Debug)]
struct Account {
    workspace: Arc<str>,
    queued: usize,
    /// Tokens served, divided by the weight of the workspace.
    served: f64,
}

/// The accounts of the workspaces with requests in one tier.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    /// Accounts in ascending order of the workspaces' names.
    sorted: Vec<Account>,
    /// Service of the least served workspace with queued requests.
    virtual_time: f64,
}

impl Accounts {
    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.sorted
            .binary_search_by(|a| (*a.workspace).cmp(workspace))
    }

    /// Counts a request that joins the queue.
    ///
    /// A workspace that had none queued starts at the current virtual time, so that it gains no
    /// credit for the time that it was idle.
    pub(super) fn add_request(&mut self, workspace: &Arc<str>) {
        let virtual_time = self.virtual_time;
        match self.find(workspace) {
            Ok(index) => {
                let account = &mut self.sorted[index];
                if account.queued == 0 {
                    account.served = account.served.max(virtual_time);
                }
                account.queued += 1;
            }
            Err(index) => self.sorted.insert(
                index,
                Account {
                    workspace: Arc::clone(workspace),
                    queued: 1,
                    served: virtual_time,
                },
            ),
        }
    }

    /// Counts a request that leaves the queue, and charges its workspace with `tokens`.
    pub(super) fn remove_request(&mut self, workspace: &str, weight: u32, tokens: f64) {
        if let Ok(index) = self.find(workspace) {
            let account = &mut self.sorted[index];
            account.queued = account.queued.saturating_sub(1);
            account.served += tokens / f64::from(weight.max(1));
        }
        self.virtual_time = self.min_served().unwrap_or(self.virtual_time);
        let virtual_time = self.virtual_time;
        self.sorted
            .retain(|a| a.queued > 0 || a.served > virtual_time);
    }

    /// Returns the service of the least served workspace with queued requests.
    fn min_served(&self) -> Option<f64> {
        self.sorted
            .iter()
            .filter(|a| a.queued > 0)
            .map(|a| a.served)
            .min_by(f64::total_cmp)
    }

    /// Returns whether the workspace leads the least served one by at most the permitted lead.
    pub(super) fn is_within_share(&self, workspace: &str) -> bool {
        let min_served = self.min_served().unwrap_or(self.virtual_time);
        self.find(workspace).map_or(true, |index| {
            self.sorted[index].served <= min_served + MAX_LEAD_TOKENS
        })
    }
}
