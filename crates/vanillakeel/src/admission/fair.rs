//! Fair shares among workspaces, by start-time fair queueing.

use std::sync::Arc;

/// Service in tokens that a workspace may be ahead of the one furthest behind.
const AHEAD_TOKENS: f64 = 2_000.0;

/// What a workspace has had, in tokens over its weight.
#[derive(Clone, Debug)]
struct Account {
    workspace: Arc<str>,
    queued: usize,
    used: f64,
}

/// The accounts of the workspaces that have requests in one tier.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    sorted: Vec<Account>,
    floor: f64,
}

impl Accounts {
    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.sorted
            .binary_search_by(|a| (*a.workspace).cmp(workspace))
    }

    /// Counts a request that is queued; a workspace that was idle starts at the present level.
    pub(super) fn enter(&mut self, workspace: &Arc<str>) {
        let floor = self.floor;
        match self.find(workspace) {
            Ok(at) => {
                let account = &mut self.sorted[at];
                if account.queued == 0 {
                    account.used = account.used.max(floor);
                }
                account.queued += 1;
            }
            Err(at) => self.sorted.insert(
                at,
                Account {
                    workspace: Arc::clone(workspace),
                    queued: 1,
                    used: floor,
                },
            ),
        }
    }

    /// Counts a request that leaves the queue, with the tokens it was served.
    pub(super) fn leave(&mut self, workspace: &str, weight: u32, tokens: f64) {
        if let Ok(at) = self.find(workspace) {
            let account = &mut self.sorted[at];
            account.queued = account.queued.saturating_sub(1);
            account.used += tokens / f64::from(weight.max(1));
        }
        self.floor = self.lowest().unwrap_or(self.floor);
        let floor = self.floor;
        self.sorted.retain(|a| a.queued > 0 || a.used > floor);
    }

    /// What the workspace that is furthest behind has had.
    fn lowest(&self) -> Option<f64> {
        self.sorted
            .iter()
            .filter(|a| a.queued > 0)
            .map(|a| a.used)
            .min_by(f64::total_cmp)
    }

    /// Whether the workspace has not run ahead of the others.
    pub(super) fn may_go(&self, workspace: &str) -> bool {
        let lowest = self.lowest().unwrap_or(self.floor);
        self.find(workspace)
            .map_or(true, |at| self.sorted[at].used <= lowest + AHEAD_TOKENS)
    }
}
