//! Load on upstreams, by the hash of their names.

/// Load that one upstream has, from one or several instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Load {
    upstream: u32,
    calls: u32,
    tokens: u64,
}

/// Load on upstreams, sorted by the hash of the name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loads(Vec<Load>);

impl Loads {
    /// Adds load to an upstream.
    pub fn add(&mut self, upstream: u32, calls: u32, tokens: u64) {
        if calls == 0 && tokens == 0 {
            return;
        }
        match self.0.binary_search_by_key(&upstream, |l| l.upstream) {
            Ok(at) => {
                let load = &mut self.0[at];
                load.calls = load.calls.saturating_add(calls);
                load.tokens = load.tokens.saturating_add(tokens);
            }
            Err(at) => self.0.insert(
                at,
                Load {
                    upstream,
                    calls,
                    tokens,
                },
            ),
        }
    }

    /// Adds the load of others.
    pub fn merge(&mut self, other: &Self) {
        for (upstream, calls, tokens) in other.iter() {
            self.add(upstream, calls, tokens);
        }
    }

    /// Calls and tokens to be read at an upstream.
    #[must_use]
    pub fn get(&self, upstream: u32) -> (u32, u64) {
        self.0
            .binary_search_by_key(&upstream, |l| l.upstream)
            .map_or((0, 0), |at| (self.0[at].calls, self.0[at].tokens))
    }

    /// Hash, calls and tokens of each upstream with load.
    pub fn iter(&self) -> impl Iterator<Item = (u32, u32, u64)> {
        self.0.iter().map(|l| (l.upstream, l.calls, l.tokens))
    }
}
