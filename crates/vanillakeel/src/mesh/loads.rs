//! Load on upstreams, by the hash of their names and the rank of the requests.

/// Load of one rank at one upstream, from one or several instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Rank of the requests, zero is the most urgent.
    pub rank: u8,
    /// Calls in flight.
    pub calls: u32,
    /// Tokens of prompts that are not read yet.
    pub tokens: u64,
}

/// Load on upstreams, sorted by the hash of the name and the rank.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loads {
    sorted: Vec<Load>,
    /// Calls in flight with short prompts, at all upstreams.
    pub light_calls: u32,
}

impl Loads {
    /// Starts with a number of calls that have short prompts.
    #[must_use]
    pub const fn with_light(light_calls: u32) -> Self {
        Self {
            sorted: Vec::new(),
            light_calls,
        }
    }

    /// Adds load to an upstream.
    pub fn add(&mut self, load: Load) {
        if load.calls == 0 && load.tokens == 0 {
            return;
        }
        let key = (load.upstream, load.rank);
        match self
            .sorted
            .binary_search_by_key(&key, |l| (l.upstream, l.rank))
        {
            Ok(at) => {
                let known = &mut self.sorted[at];
                known.calls = known.calls.saturating_add(load.calls);
                known.tokens = known.tokens.saturating_add(load.tokens);
            }
            Err(at) => self.sorted.insert(at, load),
        }
    }

    /// Adds the load of others.
    pub fn merge(&mut self, other: &Self) {
        for load in &other.sorted {
            self.add(*load);
        }
        self.light_calls = self.light_calls.saturating_add(other.light_calls);
    }

    /// Load of one upstream, by rank.
    #[must_use]
    pub fn of(&self, upstream: u32) -> &[Load] {
        let start = self.sorted.partition_point(|l| l.upstream < upstream);
        let rest = &self.sorted[start..];
        &rest[..rest.partition_point(|l| l.upstream == upstream)]
    }

    /// All load that is not zero.
    pub fn iter(&self) -> impl Iterator<Item = &Load> {
        self.sorted.iter()
    }
}
