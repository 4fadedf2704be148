//! Load on upstreams, by the hash of their names and the rank of the requests.

/// Load of one rank at one upstream, from one or more instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Rank of the requests; zero is the most urgent.
    pub rank: u8,
    /// Calls in flight.
    pub calls: u32,
    /// Prompt tokens that await prefill.
    pub prefill_tokens: u64,
}

/// What a workspace has got of a service lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServedWorkspace {
    /// Hash of the name of the service.
    pub service: u32,
    /// Rank of the requests; zero is the most urgent.
    pub rank: u8,
    /// Hash of the name of the workspace.
    pub workspace: u32,
    /// Prompt tokens, of which older ones count less.
    pub tokens: u64,
}

/// Load on upstreams, sorted by the hash of the name and the rank.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loads {
    entries: Vec<Load>,
    /// Calls in flight with short prompts, at all upstreams.
    pub short_prompt_calls: u32,
    /// Hash of the name of a service and its requests refused for overload in the last second, sorted.
    refused: Vec<(u32, u32)>,
    /// What workspaces have got of services that refuse requests, sorted.
    served: Vec<ServedWorkspace>,
}

impl Loads {
    /// Creates an empty load with a number of short-prompt calls.
    #[must_use]
    pub const fn with_short_prompt_calls(short_prompt_calls: u32) -> Self {
        Self {
            entries: Vec::new(),
            short_prompt_calls,
            refused: Vec::new(),
            served: Vec::new(),
        }
    }

    /// Adds what a workspace has got of a service that refuses requests.
    pub fn add_served(&mut self, served: ServedWorkspace) {
        let key = |s: &ServedWorkspace| (s.service, s.rank, s.workspace);
        match self.served.binary_search_by_key(&key(&served), key) {
            Ok(at) => {
                let known = &mut self.served[at].tokens;
                *known = known.saturating_add(served.tokens);
            }
            Err(at) => self.served.insert(at, served),
        }
    }

    /// Returns what workspaces have got of services that refuse requests.
    #[must_use]
    pub fn served(&self) -> &[ServedWorkspace] {
        &self.served
    }

    /// Adds requests of a service, by the hash of its name, that were refused for overload in the last second.
    pub fn add_refused(&mut self, service: u32, count: u32) {
        if count == 0 {
            return;
        }
        match self.refused.binary_search_by_key(&service, |r| r.0) {
            Ok(at) => self.refused[at].1 = self.refused[at].1.saturating_add(count),
            Err(at) => self.refused.insert(at, (service, count)),
        }
    }

    /// Returns the hash of the name of each service with its requests refused for overload in the last second.
    #[must_use]
    pub fn refused(&self) -> &[(u32, u32)] {
        &self.refused
    }

    /// Adds load to an upstream.
    pub fn add(&mut self, load: Load) {
        if load.calls == 0 && load.prefill_tokens == 0 {
            return;
        }
        let key = (load.upstream, load.rank);
        match self
            .entries
            .binary_search_by_key(&key, |l| (l.upstream, l.rank))
        {
            Ok(at) => {
                let known = &mut self.entries[at];
                known.calls = known.calls.saturating_add(load.calls);
                known.prefill_tokens = known.prefill_tokens.saturating_add(load.prefill_tokens);
            }
            Err(at) => self.entries.insert(at, load),
        }
    }

    /// Adds the load of other instances.
    pub fn merge(&mut self, other: &Self) {
        for load in &other.entries {
            self.add(*load);
        }
        self.short_prompt_calls = self
            .short_prompt_calls
            .saturating_add(other.short_prompt_calls);
        for (service, count) in &other.refused {
            self.add_refused(*service, *count);
        }
        for served in &other.served {
            self.add_served(*served);
        }
    }

    /// Returns the load of one upstream, in ascending order of rank.
    #[must_use]
    pub fn of(&self, upstream: u32) -> &[Load] {
        let start = self.entries.partition_point(|l| l.upstream < upstream);
        let rest = &self.entries[start..];
        &rest[..rest.partition_point(|l| l.upstream == upstream)]
    }

    /// Returns all entries; none of them is zero.
    pub fn iter(&self) -> impl Iterator<Item = &Load> {
        self.entries.iter()
    }
}
