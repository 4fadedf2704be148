//! The order of the ids of a stream's events.
//!
//! [`EventOrder`] tells whether a run that continues a stream goes on with the next event, and neither begins
//! again nor leaves events out.

/// The ids of the events of a stream so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventOrder {
    last: Option<String>,
    /// Difference between the ids of two events in a row, while all differences are the same.
    step: Option<u64>,
    /// Whether ids are no numbers, do not rise, or rise by different steps.
    is_uneven: bool,
    /// Whether the next event is the first one of a run that continues the stream.
    is_restarted: bool,
    /// Whether the first event of that run continues the stream; `None` until it is complete.
    is_continued: Option<bool>,
}

impl EventOrder {
    /// Prepares for the events of a run that continues the stream.
    pub(crate) const fn restart(&mut self) {
        self.is_restarted = true;
        self.is_continued = None;
    }

    /// Returns whether the run that continues the stream goes on with the next event, or `None` until an event of it is
    /// complete.
    pub(crate) const fn is_continued(&self) -> Option<bool> {
        self.is_continued
    }

    /// Records a complete event with its id, if it has one.
    pub(crate) fn on_event(&mut self, id: Option<&str>) {
        if std::mem::take(&mut self.is_restarted) {
            let is_first = self.last.is_none();
            let is_next = is_first || id.is_some_and(|id| self.may_follow(id));
            self.is_continued = Some(is_next);
        }
        let Some(id) = id else {
            return;
        };
        if let Some(last) = &self.last {
            let step = difference(last, id);
            self.is_uneven |= step.is_none() || self.step.is_some() && self.step != step;
            self.step = step;
        }
        self.last = Some(id.to_owned());
    }

    /// Returns whether an event with this id may be the one after the last one.
    fn may_follow(&self, id: &str) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let are_numbers = last.parse::<u64>().is_ok() && id.parse::<u64>().is_ok();
        if !are_numbers {
            return id != last;
        }
        let step = difference(last, id);
        step.is_some() && (self.is_uneven || self.step.is_none() || self.step == step)
    }
}

/// Returns by how much a numeric id is larger than the one before, or `None` if it is not larger or one is no number.
fn difference(last: &str, id: &str) -> Option<u64> {
    let (last, id) = (last.parse::<u64>().ok()?, id.parse::<u64>().ok()?);
    id.checked_sub(last).filter(|step| *step > 0)
}
