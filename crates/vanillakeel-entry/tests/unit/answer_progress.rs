//! Guards against wrong times in the log and the metrics: the time to the first chunk counts from
//! the arrival of the request, and only the time between two chunks counts as a gap.

use super::Progress;
use vanillakeel::Millis;

#[test]
fn single_chunk() {
    let mut progress = Progress::default();
    assert_eq!(progress.first_ms(Millis::new(100)), None);
    progress.on_chunk(Millis::new(130));
    assert_eq!(progress.first_ms(Millis::new(100)), Some(30));
    let times = progress.times(Millis::new(100), Millis::new(130));
    assert_eq!(times.longest_gap_ms, None);
}

#[test]
fn longest_gap() {
    let mut progress = Progress::default();
    for at in [130, 140, 190, 200] {
        progress.on_chunk(Millis::new(at));
    }
    assert_eq!(progress.first_ms(Millis::new(100)), Some(30));
    let times = progress.times(Millis::new(100), Millis::new(210));
    assert_eq!(times.longest_gap_ms, Some(50));
    assert_eq!(times.total_ms, 110);
}
