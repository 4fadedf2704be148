//! Guards against a burst of requests that floods the log: lines above the rate of their kind are
//! suppressed. Failures have a higher limit than usual lines, and the counts start at zero in each
//! window.

use super::{
    Kind,
    LineLimiter, //
};
use vanillakeel::Millis;

fn written(limiter: &LineLimiter, now: Millis, kind: Kind) -> usize {
    (0..5_000).filter(|_| limiter.may_write(now, kind)).count()
}

#[test]
fn rate_kept() {
    let limiter = LineLimiter::default();
    let now = Millis::new(10_000);
    assert_eq!(written(&limiter, now, Kind::Usual), 300);
    assert_eq!(written(&limiter, now.plus(999), Kind::Usual), 0);
    assert_eq!(written(&limiter, now, Kind::Failure), 1_000);
    assert_eq!(written(&limiter, now.plus(1_000), Kind::Usual), 300);
}
