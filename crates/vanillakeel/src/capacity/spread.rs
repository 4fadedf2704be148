//! How the wanted upstreams are spread over data centres and kinds.

use super::demand::Need;

/// A data centre in which upstreams may be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    /// Price of an ordinary upstream, in thousandths.
    pub(super) price: u32,
    /// Most ordinary upstreams that are to be had.
    pub(super) ordinary_limit: u32,
    /// Most spot upstreams that are to be had.
    pub(super) spot_limit: u32,
}

/// Numbers of upstreams in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) ordinary: u32,
    pub(super) spot: u32,
}

impl Counts {
    pub(super) const fn total(self) -> u32 {
        self.ordinary + self.spot
    }

    /// Returns the upstreams of one kind.
    pub(super) const fn of(self, is_spot: bool) -> u32 {
        if is_spot { self.spot } else { self.ordinary }
    }

    pub(super) const fn of_mut(&mut self, is_spot: bool) -> &mut u32 {
        if is_spot {
            &mut self.spot
        } else {
            &mut self.ordinary
        }
    }
}

/// Returns the upstreams of all data centres.
pub(super) fn total(counts: &[Counts]) -> u32 {
    counts.iter().map(|c| c.total()).sum()
}

/// Returns the upstreams that are left when the spot ones of the data centre with most of them have gone.
pub(super) fn surviving(counts: &[Counts]) -> u32 {
    let lost = counts.iter().map(|c| c.spot).max();
    total(counts) - lost.unwrap_or(0)
}

/// Bounds of a service on the upstreams of both kinds in each data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Bounds {
    pub(super) min: u32,
    pub(super) max: u32,
    /// Price of a spot upstream in thousandths of that of an ordinary one, if spot ones are used.
    pub(super) spot_price: Option<u32>,
}

struct Spread<'a> {
    places: &'a [Place],
    bounds: Bounds,
    counts: Vec<Counts>,
}

/// Returns the numbers by which a need is met at a low price.
///
/// Ordinary upstreams go to the cheaper data centres, in inverse proportion to the price. Spot ones are spread
/// evenly: the loss of those of one data centre then takes the least.
pub(super) fn spread(need: Need, bounds: Bounds, places: &[Place]) -> Vec<Counts> {
    let mut spread = Spread {
        places,
        bounds,
        counts: vec![Counts::default(); places.len()],
    };
    while spread.ordinary() < need.ordinary.min(need.total) && spread.add_ordinary() {}
    spread.add_minimum();
    while total(&spread.counts) < need.total && spread.add_spot() {}
    while total(&spread.counts) < need.essential && spread.add_ordinary() {}
    spread.add_surviving(need.surviving);
    spread.counts
}

impl Spread<'_> {
    fn ordinary(&self) -> u32 {
        self.counts.iter().map(|c| c.ordinary).sum()
    }

    /// Adds what each data centre has to have, of the cheaper kind that is to be had.
    fn add_minimum(&mut self) {
        for at in 0..self.places.len() {
            let missing = self.bounds.min.saturating_sub(self.counts[at].total());
            let place = self.places[at];
            let spot = match self.bounds.spot_price {
                Some(_) => missing.min(place.spot_limit),
                None => 0,
            };
            let left = place
                .ordinary_limit
                .saturating_sub(self.counts[at].ordinary);
            self.counts[at].spot += spot;
            self.counts[at].ordinary += left.min(missing - spot);
        }
    }

    fn has_room(&self, at: usize, is_spot: bool) -> bool {
        let place = self.places[at];
        let limit = if is_spot {
            place.spot_limit
        } else {
            place.ordinary_limit
        };
        self.counts[at].total() < self.bounds.max && self.counts[at].of(is_spot) < limit
    }

    /// Adds an ordinary upstream where it is cheapest for the number that is there; returns whether there was room.
    fn add_ordinary(&mut self) -> bool {
        let weight = |at: usize| {
            let next = u64::from(self.counts[at].ordinary) + 1;
            next * u64::from(self.places[at].price.max(1))
        };
        let places = (0..self.places.len()).filter(|at| self.has_room(*at, false));
        let Some(at) = places.min_by_key(|at| weight(*at)) else {
            return false;
        };
        self.counts[at].ordinary += 1;
        true
    }

    /// Adds a spot upstream where there are fewest; returns whether there was room.
    fn add_spot(&mut self) -> bool {
        if self.bounds.spot_price.is_none() {
            return false;
        }
        let key = |at: usize| (self.counts[at].spot, self.places[at].price);
        let places = (0..self.places.len()).filter(|at| self.has_room(*at, true));
        let Some(at) = places.min_by_key(|at| key(*at)) else {
            return false;
        };
        self.counts[at].spot += 1;
        true
    }

    /// Adds upstreams until enough are left when the spot ones of any one data centre have gone.
    fn add_surviving(&mut self, wanted: u32) {
        while surviving(&self.counts) < wanted {
            let is_added = if self.are_spot_ones_cheaper() {
                self.add_spot()
            } else {
                self.add_ordinary()
            };
            if !is_added {
                return;
            }
        }
    }

    /// Returns whether what survives costs less with spot upstreams: of those in n data centres, those in n - 1 are
    /// left.
    fn are_spot_ones_cheaper(&self) -> bool {
        let open = (0..self.places.len()).filter(|at| self.has_room(*at, true));
        let open = open.count() as u64;
        let price = self.bounds.spot_price.map_or(1_000, u64::from);
        open > 1 && price * open < 1_000 * (open - 1)
    }
}
