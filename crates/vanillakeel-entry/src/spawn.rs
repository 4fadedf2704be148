//! Named threads, so that an operator can tell them apart.

use std::thread;

/// Starts a thread that runs for as long as the instance.
///
/// # Panics
///
/// Panics if the system has no thread left when the instance starts.
pub(crate) fn named<F>(name: &str, run: F) -> thread::JoinHandle<()>
where
    F: FnOnce() + Send + 'static,
{
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .expect("a thread at the start")
}
