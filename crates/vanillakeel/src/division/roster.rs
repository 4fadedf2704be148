//! The instances that may be alive, as one of them knows them.

use crate::{
    Millis,
    order,
    rate_limits::Rate, //
};

/// Settings of a [`Roster`], all in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which an instance that is not heard counts as alive. It is longer than most cuts between
    /// instances, on both sides of which parts are used.
    pub silent_ttl_ms: u64,
    /// Time between two ticks from which the process counts as paused.
    pub pause_ms: u64,
    /// Time for which an instance that has been heard is passed on to others.
    pub passed_on_ms: u64,
    /// Time between two lists for the same instance.
    pub tell_every_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            silent_ttl_ms: 60_000,
            pause_ms: 2_000,
            passed_on_ms: 1_500,
            tell_every_ms: 1_000,
        }
    }
}

/// Which instances a list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those that report to this one, and this one, for other data centres.
    OwnDataCentre,
    /// All that have been heard of lately, for the members of the own data centre.
    All,
}

/// The part of a rate that one instance may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RatePart {
    /// Requests a second.
    pub per_second: f64,
    /// Number of instances that use the rate.
    pub holders: u32,
    /// Number of instances that may be alive.
    pub instances: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: u32,
    heard: Millis,
    /// Time of its last report to this instance.
    reported: Option<Millis>,
    /// Time at which it was sent a list last.
    told: Option<Millis>,
}

/// The instances that may be alive, as one of them knows them.
#[derive(Clone, Debug)]
pub struct Roster {
    me: u32,
    settings: Settings,
    /// Number of instances that is taken for granted, if they do not exchange messages.
    fixed: Option<u32>,
    /// Whether the list of instances has been read, before which this instance has no part.
    has_list: bool,
    last_tick: Option<Millis>,
    /// Number of live instances that a hub reports, including this one.
    reported: u32,
    /// The other instances, sorted by id.
    others: Vec<Entry>,
}

/// Returns the number by which instances know each other in a roster.
#[must_use]
pub fn instance_id(name: &str) -> u32 {
    order::hash(name) as u32
}

impl Roster {
    /// Creates the roster of the instance `me`, which knows no other one yet.
    #[must_use]
    pub fn new(me: &str, settings: Settings) -> Self {
        Self {
            me: instance_id(me),
            settings,
            fixed: None,
            has_list: false,
            last_tick: None,
            reported: 0,
            others: Vec::new(),
        }
    }

    /// Creates the roster of one of `instances` that do not exchange messages: all have equal parts.
    #[must_use]
    pub fn fixed(instances: u32) -> Self {
        Self {
            fixed: Some(instances.max(1)),
            has_list: true,
            ..Self::new("", Settings::default())
        }
    }

    /// Records that the list of instances has been read, and each of them told by
    /// [`on_heard`](Self::on_heard).
    pub const fn on_list_read(&mut self) {
        self.has_list = true;
    }

    /// Records that instances have been heard, or that others have heard them lately.
    pub fn on_heard(&mut self, now: Millis, ids: &[u32]) {
        let me = self.me;
        for id in ids.iter().filter(|id| **id != me) {
            self.entry(now, *id).heard = now;
        }
    }

    /// Records that an instance has reported to this one.
    pub fn on_report(&mut self, now: Millis, id: u32) {
        if id != self.me {
            let entry = self.entry(now, id);
            entry.heard = now;
            entry.reported = Some(now);
        }
    }

    fn entry(&mut self, now: Millis, id: u32) -> &mut Entry {
        let at = match self.others.binary_search_by_key(&id, |e| e.id) {
            Ok(at) => at,
            Err(at) => {
                let entry = Entry {
                    id,
                    heard: now,
                    reported: None,
                    told: None,
                };
                self.others.insert(at, entry);
                at
            }
        };
        &mut self.others[at]
    }

    /// Forgets instances that have been silent for too long; has to be called several times a second.
    ///
    /// A pause of the process between two calls is no silence of the others.
    pub fn tick(&mut self, now: Millis) {
        let cfg = self.settings;
        let since_last_ms = self.last_tick.replace(now).map_or(0, |at| now.since(at));
        let paused_ms = if since_last_ms >= cfg.pause_ms {
            since_last_ms
        } else {
            0
        };
        for entry in &mut self.others {
            entry.heard = entry.heard.plus(paused_ms).min(now);
        }
        self.others
            .retain(|e| now.since(e.heard) < cfg.silent_ttl_ms);
    }

    /// Sets the number of live instances that is known from elsewhere, including this one.
    ///
    /// While the roster holds fewer, since a hub of an earlier version sends no lists, all have equal parts.
    pub const fn set_reported(&mut self, instances: u32) {
        self.reported = instances;
    }

    /// Returns the list of instances that is due for another one; empty if it was sent one lately.
    pub fn list_for(&mut self, now: Millis, id: u32, scope: Scope) -> Vec<u32> {
        let cfg = self.settings;
        // One that has not been heard gets a list, but does not count as alive for that.
        if let Ok(at) = self.others.binary_search_by_key(&id, |e| e.id) {
            let told = &mut self.others[at].told;
            if told.is_some_and(|at| now.since(at) < cfg.tell_every_ms) {
                return Vec::new();
            }
            *told = Some(now);
        }
        let is_recent = |at: Millis| now.since(at) < cfg.passed_on_ms;
        let is_listed = |e: &&Entry| match scope {
            Scope::OwnDataCentre => e.reported.is_some_and(is_recent),
            Scope::All => is_recent(e.heard),
        };
        let others = self.others.iter().filter(is_listed).map(|e| e.id);
        others.chain([self.me]).collect()
    }

    /// Returns the number of instances that may be alive, including this one.
    #[must_use]
    pub fn instances(&self) -> u32 {
        let others = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        self.fixed.unwrap_or(others.saturating_add(1))
    }

    /// Returns the part of a rate that this instance may use; `key` identifies the upstream that named it.
    ///
    /// The rate goes to as many instances as it has requests a second, rounded up; the others have no part.
    #[must_use]
    pub fn rate_part(&self, key: u32, rate: Rate) -> RatePart {
        let known = self.instances();
        let instances = known.max(self.reported);
        let are_equal = self.fixed.is_some() || known < instances;
        let holders = if are_equal {
            instances
        } else {
            (rate.per_second().ceil() as u32).clamp(1, instances)
        };
        let is_holder = are_equal || self.position(key) < holders;
        let per_second = if self.has_list && is_holder {
            rate.per_second() / f64::from(holders)
        } else {
            0.0
        };
        RatePart {
            per_second,
            holders,
            instances,
        }
    }

    /// Returns the position of this instance in the descending order of rendezvous weights for a key.
    fn position(&self, key: u32) -> u32 {
        let mine = (rendezvous_weight(key, self.me), self.me);
        let is_before = |e: &&Entry| (rendezvous_weight(key, e.id), e.id) > mine;
        let before = self.others.iter().filter(is_before).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}

fn rendezvous_weight(key: u32, id: u32) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&key.to_le_bytes());
    bytes[4..].copy_from_slice(&id.to_le_bytes());
    order::hash_bytes(&bytes)
}
