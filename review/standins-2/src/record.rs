//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self(Arc::new((Mutex::new(file), Instant::now())))
    }

    pub fn line(&self, text: &str) {
        let ms = self.0.1.elapsed().as_millis();
        let mut file = self.0.0.lock().expect("a lock");
        let _ = writeln!(file, "{:>3}.{:03}  {text}", ms / 1_000, ms % 1_000);
    }
}
