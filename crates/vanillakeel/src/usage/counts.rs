//! Counts by window, process and workspace.

use super::links::ToldCount;
use crate::order;
use std::sync::Arc;

/// Most workspaces that are counted; further ones are passed over.
pub const MAX_WORKSPACES: usize = 4_096;

/// Most processes that are counted in a window; further ones are passed over.
pub const MAX_PROCESSES: usize = 1_024;

/// Number of low bits that identify a process within its data centre.
const PROCESS_BITS: u32 = 32;

/// Number of bits that identify a data centre. Two with the same number cost repeated counts only.
const DATA_CENTRE_BITS: u32 = 8;

/// Identifies a process of an instance, with its data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId(u64);

impl ProcessId {
    /// Creates the id of the process of an instance that started at a time of the wall clock, in ms.
    #[must_use]
    pub fn of(name: &str, data_centre: &str, started_wall_ms: u64) -> Self {
        let process = order::weight_for(started_wall_ms, name) & ((1 << PROCESS_BITS) - 1);
        let data_centre = order::hash(data_centre) & ((1 << DATA_CENTRE_BITS) - 1);
        Self(data_centre << PROCESS_BITS | process)
    }

    /// Creates an id from its number.
    #[must_use]
    pub const fn new(id: u64) -> Self {
        Self(id)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the data centre.
    pub(super) const fn data_centre(self) -> u64 {
        self.0 >> PROCESS_BITS
    }
}

/// A count of one workspace.
#[derive(Clone, Debug)]
pub(super) struct Cell {
    pub(super) workspace: Arc<str>,
    pub(super) count: u64,
    /// The process that told of it, which needs not be told.
    pub(super) source: ProcessId,
    /// Number of its last change.
    pub(super) changed: u64,
}

/// The counts of a process in a window.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) window: u64,
    pub(super) process: ProcessId,
    /// Sorted by workspace.
    pub(super) cells: Vec<Cell>,
    /// Number of the last change of a cell.
    pub(super) changed: u64,
}

/// Counts of many processes.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    /// Sorted by window and process.
    rows: Vec<Row>,
    /// Names of the workspaces that are counted, sorted.
    workspaces: Vec<Arc<str>>,
    /// Number of the last change.
    changed: u64,
    passed_over: u64,
}

impl Counts {
    /// Counts a request of a workspace.
    pub(super) fn add(&mut self, window: u64, process: ProcessId, workspace: &str) {
        self.set(window, process, workspace, process, |known| known + 1);
    }

    /// Takes over a count that `source` has told, if it is larger than the known one.
    pub(super) fn raise(&mut self, told: &ToldCount, source: ProcessId) {
        let next = |known: u64| known.max(told.count);
        self.set(told.window, told.process, &told.workspace, source, next);
    }

    fn set(
        &mut self,
        window: u64,
        process: ProcessId,
        workspace: &str,
        source: ProcessId,
        next: impl FnOnce(u64) -> u64,
    ) {
        let Some(workspace) = self.workspace(workspace) else {
            self.passed_over += 1;
            return;
        };
        let Some(row) = self.row(window, process) else {
            self.passed_over += 1;
            return;
        };
        let row = &mut self.rows[row];
        let at = row.cells.binary_search_by(|c| c.workspace.cmp(&workspace));
        let known = at.map_or(0, |at| row.cells[at].count);
        let count = next(known);
        if count == known {
            return;
        }
        self.changed += 1;
        row.changed = self.changed;
        let cell = Cell {
            workspace,
            count,
            source,
            changed: self.changed,
        };
        match at {
            Ok(at) => row.cells[at] = cell,
            Err(at) => row.cells.insert(at, cell),
        }
    }

    /// Returns the stored name of a workspace, or `None` if there are too many.
    fn workspace(&mut self, name: &str) -> Option<Arc<str>> {
        let at = self.workspaces.binary_search_by(|w| (**w).cmp(name));
        if let Err(at) = at {
            if self.workspaces.len() >= MAX_WORKSPACES {
                return None;
            }
            self.workspaces.insert(at, Arc::from(name));
        }
        let (Ok(at) | Err(at)) = at;
        Some(Arc::clone(&self.workspaces[at]))
    }

    /// Returns the position of a row, a new one if there is none, or `None` if the window has too many.
    fn row(&mut self, window: u64, process: ProcessId) -> Option<usize> {
        let key = (window, process);
        match self
            .rows
            .binary_search_by_key(&key, |r| (r.window, r.process))
        {
            Ok(at) => Some(at),
            Err(at) => {
                if self.of_window(window).len() >= MAX_PROCESSES {
                    return None;
                }
                let row = Row {
                    window,
                    process,
                    cells: Vec::new(),
                    changed: 0,
                };
                self.rows.insert(at, row);
                Some(at)
            }
        }
    }

    /// Returns the rows of a window.
    fn of_window(&self, window: u64) -> &[Row] {
        let start = self.rows.partition_point(|r| r.window < window);
        let rest = &self.rows[start..];
        &rest[..rest.partition_point(|r| r.window == window)]
    }

    /// Forgets the windows before `window`, and the workspaces without a count.
    pub(super) fn forget_before(&mut self, window: u64) {
        let forgotten = self.rows.partition_point(|r| r.window < window);
        if forgotten > 0 {
            self.rows.drain(..forgotten);
            self.workspaces.retain(|w| Arc::strong_count(w) > 1);
        }
    }

    /// Returns the sums of a window by workspace, sorted by workspace.
    pub(super) fn totals(&self, window: u64) -> Vec<(Arc<str>, u64)> {
        let mut totals: Vec<(Arc<str>, u64)> = Vec::new();
        for cell in self.of_window(window).iter().flat_map(|r| &r.cells) {
            match totals.binary_search_by(|(w, _)| w.cmp(&cell.workspace)) {
                Ok(at) => totals[at].1 += cell.count,
                Err(at) => totals.insert(at, (Arc::clone(&cell.workspace), cell.count)),
            }
        }
        totals
    }

    /// Returns the counts that have changed after the change `from`, in the order of their changes.
    pub(super) fn changed_after(
        &self,
        from: u64,
        is_wanted: impl Fn(&Row, &Cell) -> bool,
    ) -> Vec<(&Row, &Cell)> {
        let rows = self.rows.iter().filter(|r| r.changed > from);
        let cells = rows.flat_map(|r| r.cells.iter().map(move |c| (r, c)));
        let mut changed: Vec<(&Row, &Cell)> = cells
            .filter(|(row, cell)| cell.changed > from && is_wanted(row, cell))
            .collect();
        changed.sort_unstable_by_key(|(_, c)| c.changed);
        changed
    }

    /// Returns the number of the last change.
    pub(super) const fn last_change(&self) -> u64 {
        self.changed
    }

    /// Returns how many counts were passed over since the bounds were reached.
    pub(super) const fn passed_over(&self) -> u64 {
        self.passed_over
    }

    /// Counts a count that is passed over.
    pub(super) const fn pass_over(&mut self) {
        self.passed_over += 1;
    }

    /// Returns the number of windows with counts.
    pub(super) fn windows(&self) -> usize {
        self.rows.chunk_by(|a, b| a.window == b.window).count()
    }

    /// Returns the number of processes that have counts in a window.
    pub(super) fn processes(&self, window: u64) -> usize {
        self.of_window(window).len()
    }
}
