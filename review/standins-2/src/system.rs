//! The project's program as processes, with the settings that a small deployment gives them.

use crate::{
    http::{connect, exchange, free_address},
    record::Record,
    store::Store,
};
use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/vanillakeel-platform";

/// Processes that run.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn forget(child: u32) {
    CHILDREN.lock().expect("a lock").retain(|id| *id != child);
}

/// Ends the whole case with status 2 if it is not over by then.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in CHILDREN.lock().expect("a lock").iter() {
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -KILL {id}")])
                .status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// One machine with its process.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    record: Record,
    child: Option<Child>,
}

impl Machine {
    /// Starts a machine of a system that starts for the first time.
    pub fn start(dir: &Path, store: &Store, name: &str, zone: &str, record: &Record) -> Self {
        let (front, ready, peers) = (free_address(), free_address(), free_address());
        let settings = dir.join(format!("{name}.toml"));
        let text = format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"{zone}\"\n\
             [listen]\ncallers = \"{front}\"\noperators = \"{ready}\"\npeers = \"{peers}\"\n\
             [machine]\nlink_mbps = 1000.0\nmemory_mb = \"260\"\ndescriptors = \"4100\"\n\
             [store]\naddress = \"{}\"\n\
             [timing]\nrevoked_ms = 5000\nin_force_ms = 2000\ngrace_ms = \"8 s\"\n\
             [retries]\nratio = 0.2\nslack = 56\nwindow_ms = \"10 s\"\nfirst_start = \"true\"\n\
             [duties]\naddress = \"\"\ntasks = \"\"\nlease_ms = \"\"\nusage_window_ms = \" s\"\n\
             usage_due_ms = \" s\"\ncalls_per_s = \"\"\n[log]\nformat = \"json\"\n",
            store.address
        );
        fs::write(&settings, text).expect("the settings can be written");
        let mut machine = Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            record: record.clone(),
            child: None,
        };
        machine.run();
        machine
    }

    /// Starts the process; at a later start the system no longer starts for the first time.
    fn run(&mut self) {
        let log = self.settings.with_extension("log");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("VANILLAKEEL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.record
            .line(&format!("{} starts at {}", self.name, self.front));
        let child = child.unwrap_or_else(|e| panic!("{PROGRAM} can't be started: {e}"));
        CHILDREN.lock().expect("a lock").push(child.id());
        self.child = Some(child);
    }

    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("the settings can be read");
        let text = text.replace("first_start = \"true\"", "first_start = \"false\"");
        fs::write(&self.settings, text).expect("the settings can be written");
        self.run();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
            self.record.line(&format!("{} killed", self.name));
        }
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -{signal} {}", child.id())])
                .status();
            self.record.line(&format!("{} gets SIG{signal}", self.name));
        }
    }

    /// Waits until the process has ended by itself.
    pub fn wait_end(&mut self) {
        let start = Instant::now();
        while self.is_running() {
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "{} does not end",
                self.name
            );
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(&format!("{} has ended", self.name));
        if let Some(child) = self.child.take() {
            forget(child.id());
        }
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = connect(self.ready) else {
            return false;
        };
        let until = Instant::now() + Duration::from_secs(1);
        let request = b"GET /ready HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\r\n";
        exchange(&stream, request, until, |_| false).status == 200
    }

    /// Waits until the machine says that it is ready; ends the case if it does not.
    pub fn wait_ready(&self) {
        let start = Instant::now();
        while !self.is_ready() {
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "{} is not ready",
                self.name
            );
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("{} is ready", self.name));
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
