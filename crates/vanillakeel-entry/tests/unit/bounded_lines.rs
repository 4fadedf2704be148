//! Lines above a rate are left out, failures later than the rest.

use super::{
    Kind,
    Lines, //
};
use vanillakeel::Millis;

fn written(lines: &Lines, now: Millis, kind: Kind) -> usize {
    (0..5_000).filter(|_| lines.may_write(now, kind)).count()
}

#[test]
fn rate_kept() {
    let lines = Lines::default();
    let now = Millis::new(10_000);
    assert_eq!(written(&lines, now, Kind::Usual), 300);
    assert_eq!(written(&lines, now.plus(999), Kind::Usual), 0);
    assert_eq!(written(&lines, now, Kind::Failure), 1_000);
    assert_eq!(written(&lines, now.plus(1_000), Kind::Usual), 300);
}
