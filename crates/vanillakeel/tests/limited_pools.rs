//! Rate limits that upstreams name, in the router of the `vanillakeel-entry` daemon.

use std::sync::Arc;
use vanillakeel::{
    Millis, Reason, Request,
    attempt::End,
    rate_limits::Rate,
    router::{
        Action,
        Router,
        Settings, //
    },
};

const START: Millis = Millis::new(100_000);

/// Time between two ticks, in ms.
const TICK_MS: u64 = 20;

/// A router whose requests end a tick after they were sent.
struct Driven {
    router: Router,
    now: Millis,
    next_request: u64,
    /// Requests that were sent: the time, the upstream and the tier.
    sent: Vec<(Millis, Arc<str>, u8)>,
    refused: Vec<(Reason, u64)>,
    tiers: Vec<u8>,
}

impl Driven {
    /// Creates the router of `me`, one of some instances, with upstreams of one pool.
    fn new(me: &str, instances: &[&str], upstreams: &[&str]) -> Self {
        let mut router = Router::new(me, 7, Settings::default());
        for upstream in upstreams {
            router.set_upstream("pool", upstream, 16, "dc-1");
        }
        router.set_peers(instances.iter().copied());
        router.tick(START);
        Self {
            router,
            now: START,
            next_request: 0,
            sent: Vec::new(),
            refused: Vec::new(),
            tiers: Vec::new(),
        }
    }

    fn limit(&mut self, upstream: &str, per_second: f64) {
        let rate = Rate::new(per_second);
        let change = self
            .router
            .on_rate_answer(self.now, upstream, self.now, rate);
        assert_eq!(change.and_then(|c| c.rate), rate);
    }

    fn offer(&mut self, tier: u8) {
        let id = self.next_request;
        self.next_request += 1;
        self.tiers.push(tier);
        let req = Request {
            id,
            pool: Arc::from("pool"),
            tier,
            idempotent: true,
            arrived: self.now,
            deadline: self.now.plus(60_000),
            ..Request::default()
        };
        self.router.on_request(self.now, req);
        self.perform();
    }

    /// Lets a tick pass; all requests in flight are answered.
    fn tick(&mut self) {
        self.now = self.now.plus(TICK_MS);
        self.router.tick(self.now);
        self.perform();
    }

    fn perform(&mut self) {
        let mut ended = Vec::new();
        for action in self.router.drain() {
            match action {
                Action::Send {
                    request,
                    attempt,
                    upstream,
                    ..
                } => {
                    let tier = self.tiers[request as usize];
                    self.sent.push((self.now, upstream, tier));
                    ended.push(attempt);
                }
                Action::Refuse { refusal, .. } => {
                    self.refused.push((refusal.reason, refusal.retry_after_ms));
                }
                Action::Cancel { .. } | Action::Peer { .. } => {}
            }
        }
        for attempt in ended {
            let end = End::Answered { tokens: 1 };
            self.router.on_end(self.now, attempt, end);
        }
    }

    /// Returns the most requests that an upstream got in some four seconds.
    fn worst_window(&self, upstream: &str) -> usize {
        let times = self.sent.iter().filter(|s| *s.1 == *upstream);
        let times: Vec<Millis> = times.map(|s| s.0).collect();
        let within = |end: Millis| {
            let is_within = |t: &&Millis| **t <= end && end.since(**t) < 4_000;
            times.iter().filter(is_within).count()
        };
        times.iter().map(|end| within(*end)).max().unwrap_or(0)
    }
}

/// Guards against requests beyond a limit, and against others that suffer from it.
#[test]
fn rate_is_kept() {
    let mut driven = Driven::new("a", &["a"], &["u-1", "u-2"]);
    driven.limit("u-1", 2.0);
    for _ in 0..500 {
        driven.offer(1);
        driven.tick();
    }
    assert_eq!(driven.sent.len(), 500);
    assert!(
        driven.worst_window("u-1") <= 9,
        "{}",
        driven.worst_window("u-1")
    );
    assert!(driven.worst_window("u-1") >= 4);
}

/// Guards against a limit that each instance holds for itself: together they send what one may.
#[test]
fn instances_share() {
    let names = ["a", "b", "c", "d"];
    let sent = names.map(|me| {
        let mut driven = Driven::new(me, &names, &["u-1", "u-2"]);
        driven.limit("u-1", 2.0);
        for _ in 0..500 {
            driven.offer(1);
            driven.tick();
        }
        driven.sent.iter().filter(|s| &*s.1 == "u-1").count()
    });
    // 10 s at 2 a second.
    assert!((14..=22).contains(&sent.iter().sum::<usize>()), "{sent:?}");
}

/// Guards against lower tiers that get what upstreams take while higher ones wait.
#[test]
fn higher_tier_first() {
    let mut driven = Driven::new("a", &["a"], &["u-1"]);
    driven.limit("u-1", 2.0);
    for n in 0..20 {
        driven.offer(2);
        if n % 2 == 0 {
            driven.offer(0);
        }
    }
    for _ in 0..200 {
        driven.tick();
    }
    let tiers: Vec<u8> = driven.sent.iter().map(|s| s.2).collect();
    assert!(tiers.len() >= 7, "{tiers:?}");
    assert!(tiers.iter().all(|tier| *tier == 0), "{tiers:?}");
}

/// Guards against requests that wait at an instance to which no upstream gives anything.
#[test]
fn without_part() {
    let names = ["a", "b"];
    let refused = names.map(|me| {
        let mut driven = Driven::new(me, &names, &["u-1"]);
        driven.limit("u-1", 0.5);
        driven.offer(0);
        driven.refused
    });
    let mut refused: Vec<_> = refused.iter().flatten().collect();
    assert_eq!(refused.pop(), Some(&(Reason::RateLimited, 2_000)));
    assert!(refused.is_empty());
}

/// Guards against a limit that outlives its end, and against an instance that is not told.
#[test]
fn told_and_ended() {
    let names = ["a", "b"];
    let [mut told, mut other] = names.map(|me| Driven::new(me, &names, &["u-1"]));
    told.limit("u-1", 0.5);
    for rate in told.router.told_rates(told.now) {
        assert!(other.router.on_told_rate(other.now, &rate).is_some());
    }
    assert_eq!(other.router.rate_totals().upstreams, 1);
    let totals = [&told, &other].map(|d| d.router.rate_totals().own_per_second);
    assert_eq!(totals.iter().sum::<f64>(), 0.5);
    told.now = told.now.plus(3_000);
    let sent = told.now.minus(10);
    let change = told.router.on_rate_answer(told.now, "u-1", sent, None);
    assert_eq!(change.map(|c| c.rate), Some(None));
    for rate in told.router.told_rates(told.now) {
        assert!(
            other
                .router
                .on_told_rate(told.now.plus(50), &rate)
                .is_some()
        );
    }
    assert_eq!(other.router.rate_totals().upstreams, 0);
}
