//! A whole deployment in one process: entry instances, model engines, plain services (which run no
//! model) and the platform's services, all over loopback.
//!
//! The instances are the real ones; everything else is a stand-in. The tests and the commands
//! `quickstart` and `slopes` start a [`Cluster`], send requests to it and inject faults.
//!
//! ```no_run
//! use vanillakeel_bench::cluster::{Cluster, Options};
//!
//! let cluster = Cluster::start(Options::default(), vanillakeel_bench::CONFIG)?;
//! assert_eq!(cluster.caller_addresses().len(), 2);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::{
    error::Error,
    fmt::Write as _,
    fs,
    net::SocketAddr,
    path::PathBuf,
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use vanillakeel_ctl::{
    PublishOutcome,
    keys,
    publish, //
};
use vanillakeel_entry::{
    Instance,
    Settings, //
};
use vanillakeel_http::{
    Body,
    Method,
    request, //
};
use vanillakeel_log::Client;
use vanillakeel_standin::{
    RunCounts, batch,
    engine::{
        self,
        Engine, //
    },
    list::{
        InstanceList,
        Item, //
    },
    log::{
        self,
        LogService, //
    },
    plain::PlainService,
    weights::{
        self,
        WeightStore, //
    },
};

/// Name of the model that the engines hold at the start.
pub const MODEL: &str = "deed-writer";

/// Largest page for operators that is read, in bytes.
const MAX_PAGE_BYTES: usize = 16 << 20;

/// Time within which a configuration has to be in force, and all instances have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Numbers and settings of a cluster's services and instances.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of entry instances that are started at first.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub plain_services: usize,
    /// Batch settings of the engines.
    pub batch: batch::Settings,
    /// Time that a plain service takes for a call, in ms.
    pub work_ms: u64,
    /// Time for which an instance that stops still accepts new requests, in ms.
    pub balancer_delay_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            instances: 2,
            engines: 3,
            plain_services: 1,
            batch: batch::Settings::default(),
            work_ms: 5,
            balancer_delay_ms: 300,
        }
    }
}

/// A running deployment, which is stopped on drop.
#[derive(Debug)]
pub struct Cluster {
    options: Options,
    /// Counts of the requests that the stand-ins have run.
    pub run_counts: RunCounts,
    /// The log service.
    pub log: LogService,
    /// The instance list.
    pub list: InstanceList,
    /// The weight store.
    pub weight_store: WeightStore,
    /// Model engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub plain_services: Vec<PlainService>,
    /// Entry instances in the order in which they were started.
    pub instances: Vec<Instance>,
    /// Temporary folder with the instances' keys.
    folder: PathBuf,
    /// Number of instances started so far, including those stopped since.
    started_count: usize,
}

/// Returns a loopback address with port 0, for which the system chooses a free port.
fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Cluster {
    /// Starts all services and instances, publishes `config` with the cluster's upstreams added to
    /// it, and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a service or an instance cannot be started, or if the configuration is
    /// not in force within 20 s or the instances are not ready within 20 s.
    pub fn start(options: Options, config: &str) -> Result<Self, Box<dyn Error>> {
        let run_counts = RunCounts::default();
        let log = LogService::start(free_address(), log::Settings::default())?;
        let list = InstanceList::start(free_address(), 200)?;
        let weight_store = WeightStore::start(free_address(), weights::Settings::default())?;
        let engine_settings = engine::Settings {
            batch: options.batch,
            models: vec![MODEL.to_owned()],
            weight_store: Some(weight_store.address()),
            ..engine::Settings::default()
        };
        let engine = |_| Engine::start(free_address(), &run_counts, engine_settings.clone());
        let engines = (0..options.engines)
            .map(engine)
            .collect::<Result<Vec<_>, _>>()?;
        let plain = |_| PlainService::start(free_address(), &run_counts, options.work_ms);
        let plain_services = (0..options.plain_services)
            .map(plain)
            .collect::<Result<Vec<_>, _>>()?;
        let folder = std::env::temp_dir().join(format!(
            "vanillakeel-rig-{}-{}",
            std::process::id(),
            log.address().port()
        ));
        let mut cluster = Self {
            options,
            run_counts,
            log,
            list,
            weight_store,
            engines,
            plain_services,
            instances: Vec::new(),
            folder,
            started_count: 0,
        };
        cluster.make_keys()?;
        for _ in 0..options.instances {
            cluster.add_instance()?;
        }
        cluster.publish(&cluster.with_upstreams(config))?;
        cluster.wait_until_ready()?;
        Ok(cluster)
    }

    /// Writes keys for 64 instances, so that some are left for instances that are added later.
    fn make_keys(&self) -> Result<(), Box<dyn Error>> {
        let names: Vec<String> = (1..=64).map(|n| format!("entry-{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        keys::generate(&names)?.write(&self.folder)?;
        Ok(())
    }

    /// Returns the addresses at which callers reach the instances.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Instance::callers).collect()
    }

    /// Returns the TOML text of a configuration with the cluster's upstreams added to it.
    #[must_use]
    pub fn with_upstreams(&self, config: &str) -> String {
        let mut config = config.to_owned();
        let slots = self.options.batch.slots;
        for (index, engine) in self.engines.iter().enumerate() {
            let _ = write!(
                config,
                "\n[[upstream]]\nname = \"runner-{}\"\npool = \"models\"\naddress = \"{}\"\n\
                 slots = {slots}\nchecks_fencing = true\n",
                index + 1,
                engine.address()
            );
        }
        for (index, plain) in self.plain_services.iter().enumerate() {
            let _ = write!(
                config,
                "\n[[upstream]]\nname = \"register-{}\"\npool = \"register\"\naddress = \"{}\"\n\
                 slots = 64\n",
                index + 1,
                plain.address()
            );
        }
        config
    }

    /// Returns the settings of the instance with this name.
    fn settings(&self, name: &str) -> Result<Settings, Box<dyn Error>> {
        let folder = self.folder.display();
        let source = format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"dc-1\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\n\
             [platform]\nlog = \"{}\"\ninstance_list = \"{}\"\n\
             [keys]\nca = \"{folder}/ca.pem\"\ncertificate = \"{folder}/{name}.pem\"\n\
             key = \"{folder}/{name}.key\"\n\
             [timing]\nbalancer_delay_ms = {}\n",
            self.log.address(),
            self.list.address(),
            self.options.balancer_delay_ms,
        );
        Ok(Settings::parse(&source)?)
    }

    /// Starts one more instance and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot be started.
    pub fn add_instance(&mut self) -> Result<(), Box<dyn Error>> {
        self.started_count += 1;
        let settings = self.settings(&format!("entry-{}", self.started_count))?;
        self.instances.push(Instance::start(settings)?);
        self.update_list();
        Ok(())
    }

    /// Returns the entries of the running instances in the instance list.
    ///
    /// The names are right only if the instances that have been stopped are the oldest ones.
    #[must_use]
    pub fn list_items(&self) -> Vec<Item> {
        let first = self.started_count - self.instances.len() + 1;
        let item = |(index, instance): (usize, &Instance)| Item {
            name: format!("entry-{}", first + index),
            kind: "entry".to_owned(),
            address: instance.peers().to_string(),
            data_centre: "dc-1".to_owned(),
            generation: 1,
            leaving: false,
        };
        self.instances.iter().enumerate().map(item).collect()
    }

    /// Sets the instance list to the running instances.
    pub fn update_list(&self) {
        self.list.set(&self.list_items());
    }

    /// Returns the status page of an instance, or an empty text if it cannot be fetched.
    #[must_use]
    pub fn status(&self, instance: usize) -> String {
        let page = get(self.instances[instance].operators(), "/status");
        page.map_or_else(String::new, |(_, page)| page)
    }

    /// Publishes a configuration and returns its version.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is not in force within 20 s.
    pub fn publish(&self, config: &str) -> Result<u64, Box<dyn Error>> {
        let log = Client::new(self.log.address());
        match publish(&log, config, None, "bench", READY_TIMEOUT)? {
            PublishOutcome::InForce(version) => Ok(version),
            other => Err(format!("the configuration is not in force: {other:?}").into()),
        }
    }

    /// Waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if not all instances are ready within 20 s.
    pub fn wait_until_ready(&self) -> Result<(), Box<dyn Error>> {
        let start = Instant::now();
        for instance in &self.instances {
            while !is_ready(instance.operators()) {
                if start.elapsed() > READY_TIMEOUT {
                    return Err("an instance is not ready in time".into());
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Returns whether the metrics of all instances show this version or a later one in force.
    #[must_use]
    pub fn has_version(&self, version: u64) -> bool {
        let wanted = version as f64;
        let version_of = |i: &Instance| metric(i.operators(), "vanillakeel_text_version ");
        self.instances.iter().all(|i| version_of(i) >= wanted)
    }

    /// Returns the sum over all instances of the samples whose lines start with `line_start`.
    #[must_use]
    pub fn metric(&self, line_start: &str) -> f64 {
        self.instances
            .iter()
            .map(|i| metric(i.operators(), line_start))
            .sum()
    }

    /// Stops all instances gracefully and waits until they have ended.
    pub fn stop(&mut self) {
        for instance in &self.instances {
            instance.stop();
        }
        for instance in self.instances.drain(..) {
            instance.wait();
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Fetches a page and returns whether its status is a success, and its body; returns `None` if it
/// cannot be fetched.
fn get(address: SocketAddr, path: &str) -> Option<(bool, String)> {
    let url = format!("http://{address}{path}");
    let answer = request(Method::GET, &url, Duration::from_secs(2))
        .send()
        .ok()?;
    let is_success = answer.is_success();
    let body = Body::read_all(answer, MAX_PAGE_BYTES).ok()?;
    Some((is_success, String::from_utf8(body).ok()?))
}

fn is_ready(operators: SocketAddr) -> bool {
    get(operators, "/readyz").is_some_and(|(is_success, _)| is_success)
}

/// Returns the sum of an instance's samples whose lines start with `line_start`.
fn metric(operators: SocketAddr, line_start: &str) -> f64 {
    let page = get(operators, "/metrics").map_or_else(String::new, |(_, page)| page);
    page.lines()
        .filter(|l| l.starts_with(line_start))
        .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
