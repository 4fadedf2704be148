//! When each subject was last part of a request that an upstream has answered.

use super::subject::Subject;
use crate::Millis;

/// The last success of each subject, for a bounded number of subjects.
#[derive(Clone, Debug, Default)]
pub(super) struct LastSuccesses {
    /// Sorted by subject.
    entries: Vec<(Subject, Millis)>,
}

impl LastSuccesses {
    /// Returns the time of the last success with a subject, if it is still known.
    pub(super) fn of(&self, subject: Subject) -> Option<Millis> {
        let at = self.entries.binary_search_by_key(&subject, |(s, _)| *s);
        at.ok().map(|at| self.entries[at].1)
    }

    /// Records a success; returns whether it is later than the last one.
    ///
    /// If there are more than `max_subjects`, the older half is dropped.
    pub(super) fn record(&mut self, at: Millis, subject: Subject, max_subjects: usize) -> bool {
        match self.entries.binary_search_by_key(&subject, |(s, _)| *s) {
            Ok(found) => {
                let known = &mut self.entries[found].1;
                let is_later = at > *known;
                *known = at.max(*known);
                is_later
            }
            Err(place) => {
                self.entries.insert(place, (subject, at));
                if self.entries.len() > max_subjects {
                    self.drop_older_half();
                }
                true
            }
        }
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Millis> = self.entries.iter().map(|(_, at)| *at).collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.entries.retain(|(_, at)| *at > median);
    }
}
