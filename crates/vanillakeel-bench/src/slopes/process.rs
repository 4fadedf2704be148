//! Heap and processor time of this process.

use stats_alloc::{
    INSTRUMENTED_SYSTEM,
    Region,
    StatsAlloc, //
};
use std::{
    alloc::System,
    fs, //
};

/// The system's allocator with counters.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Nanoseconds in a microsecond.
const NS_PER_US: f64 = 1_000.0;

/// Runs `make` and returns its result with the number of bytes that stay allocated on the heap.
pub(super) fn heap_bytes<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(HEAP);
    let made = make();
    let change = region.change();
    let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (made, held)
}

/// Returns the processor time of all running threads whose names start with `name`, in µs.
///
/// The times come from `/proc/self/task`; without it, the result is 0.
pub(super) fn threads_us(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    tasks
        .filter_map(Result::ok)
        .filter(|t| {
            let comm = fs::read_to_string(t.path().join("comm"));
            comm.is_ok_and(|comm| comm.starts_with(name))
        })
        .filter_map(|t| {
            // The first number is the time on the processor, in ns.
            let stat = fs::read_to_string(t.path().join("schedstat")).ok()?;
            stat.split(' ').next()?.parse::<f64>().ok()
        })
        .sum::<f64>()
        / NS_PER_US
}
