//! Named threads, so that an operator can tell them apart.

use std::thread;

/// Starts a named thread that runs as long as the instance.
///
/// # Panics
///
/// Panics if the operating system can't start another thread.
pub(crate) fn named<F>(name: &str, run: F) -> thread::JoinHandle<()>
where
    F: FnOnce() + Send + 'static,
{
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .expect("the system can start another thread")
}
