//! A data centre in which upstreams of a service run.

use super::{
    lane::Lane,
    spread::Counts, //
};
use std::sync::Arc;

/// A data centre of a service.
#[derive(Clone, Debug)]
pub(super) struct Site {
    pub(super) data_centre: Arc<str>,
    pub(super) ordinary: Lane,
    pub(super) spot: Lane,
}

impl Site {
    pub(super) const fn lane(&self, is_spot: bool) -> &Lane {
        if is_spot { &self.spot } else { &self.ordinary }
    }

    pub(super) const fn lane_mut(&mut self, is_spot: bool) -> &mut Lane {
        if is_spot {
            &mut self.spot
        } else {
            &mut self.ordinary
        }
    }

    /// Returns the upstreams that are there and stay.
    pub(super) fn staying(&self) -> Counts {
        Counts {
            ordinary: self.ordinary.staying(),
            spot: self.spot.staying(),
        }
    }
}
