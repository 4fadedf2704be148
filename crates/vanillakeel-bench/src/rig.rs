//! Stand-ins and instances over loopback in one process.
//!
//! ```no_run
//! use vanillakeel_bench::rig::{Options, Rig};
//!
//! let rig = Rig::start(Options::default(), vanillakeel_bench::TEXT)?;
//! assert_eq!(rig.callers().len(), 2);
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

/// Name of the model that the engines hold.
pub const MODEL: &str = "deed-writer";

/// Time for all instances to have the text in force.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// What a rig is made of.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Entry instances at the start.
    pub instances: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub plains: usize,
    /// Batching of the engines.
    pub batch: batch::Settings,
    /// Time that a plain service takes for a call, in ms.
    pub work_ms: u64,
    /// Time for which a stopping instance takes new requests, in ms.
    pub balancer_delay_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            instances: 2,
            engines: 3,
            plains: 1,
            batch: batch::Settings::default(),
            work_ms: 5,
            balancer_delay_ms: 300,
        }
    }
}

/// Stand-ins and instances.
#[derive(Debug)]
pub struct Rig {
    options: Options,
    /// What the stand-ins have run.
    pub ledger: RunCounts,
    /// The log service.
    pub log: LogService,
    /// The instance list.
    pub list: InstanceList,
    /// The weight store.
    pub weights: WeightStore,
    /// Model engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub plains: Vec<PlainService>,
    /// Entry instances, with those that were started last at the end.
    pub instances: Vec<Instance>,
    folder: PathBuf,
    started: usize,
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Rig {
    /// Starts everything and publishes `text`, to which pools' upstreams are added.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is taken or the text does not come into force.
    pub fn start(options: Options, text: &str) -> Result<Self, Box<dyn Error>> {
        let ledger = RunCounts::default();
        let log = LogService::start(any(), log::Settings::default())?;
        let list = InstanceList::start(any(), 200)?;
        let weights = WeightStore::start(any(), weights::Settings::default())?;
        let engine_settings = engine::Settings {
            batch: options.batch,
            models: vec![MODEL.to_owned()],
            weight_store: Some(weights.address()),
            ..engine::Settings::default()
        };
        let engine = |_| Engine::start(any(), &ledger, engine_settings.clone());
        let engines = (0..options.engines)
            .map(engine)
            .collect::<Result<Vec<_>, _>>()?;
        let plain = |_| PlainService::start(any(), &ledger, options.work_ms);
        let plains = (0..options.plains)
            .map(plain)
            .collect::<Result<Vec<_>, _>>()?;
        let folder = std::env::temp_dir().join(format!(
            "vanillakeel-rig-{}-{}",
            std::process::id(),
            log.address().port()
        ));
        let mut rig = Self {
            options,
            ledger,
            log,
            list,
            weights,
            engines,
            plains,
            instances: Vec::new(),
            folder,
            started: 0,
        };
        rig.make_keys()?;
        for _ in 0..options.instances {
            rig.add_instance()?;
        }
        rig.publish(&rig.with_upstreams(text))?;
        rig.wait_ready()?;
        Ok(rig)
    }

    /// Makes keys for more instances than are started at first.
    fn make_keys(&self) -> Result<(), Box<dyn Error>> {
        let names: Vec<String> = (1..=64).map(|n| format!("entry-{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        keys::generate(&names)?.write(&self.folder)?;
        Ok(())
    }

    /// Where callers reach the instances.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Instance::callers).collect()
    }

    /// The text with the addresses of the rig's upstreams.
    #[must_use]
    pub fn with_upstreams(&self, text: &str) -> String {
        let mut text = text.to_owned();
        let slots = self.options.batch.slots;
        for (at, engine) in self.engines.iter().enumerate() {
            let _ = write!(
                text,
                "\n[[upstream]]\nname = \"runner-{}\"\npool = \"models\"\naddress = \"{}\"\n\
                 slots = {slots}\nchecks_fencing = true\n",
                at + 1,
                engine.address()
            );
        }
        for (at, plain) in self.plains.iter().enumerate() {
            let _ = write!(
                text,
                "\n[[upstream]]\nname = \"register-{}\"\npool = \"register\"\naddress = \"{}\"\n\
                 slots = 64\n",
                at + 1,
                plain.address()
            );
        }
        text
    }

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

    /// Starts one more instance and puts it onto the list.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is taken.
    pub fn add_instance(&mut self) -> Result<(), Box<dyn Error>> {
        self.started += 1;
        let settings = self.settings(&format!("entry-{}", self.started))?;
        self.instances.push(Instance::start(settings)?);
        self.set_list();
        Ok(())
    }

    /// The present instances as the list shows them.
    #[must_use]
    pub fn items(&self) -> Vec<Item> {
        let first = self.started - self.instances.len() + 1;
        let item = |(at, instance): (usize, &Instance)| Item {
            name: format!("entry-{}", first + at),
            kind: "entry".to_owned(),
            address: instance.peers().to_string(),
            data_centre: "dc-1".to_owned(),
            generation: 1,
            leaving: false,
        };
        self.instances.iter().enumerate().map(item).collect()
    }

    /// Shows the present instances on the list.
    pub fn set_list(&self) {
        self.list.set(&self.items());
    }

    /// The status page of an instance.
    #[must_use]
    pub fn status(&self, instance: usize) -> String {
        let page = get(self.instances[instance].operators(), "/status");
        page.map_or_else(String::new, |(_, page)| page)
    }

    /// Publishes a text; returns its version.
    ///
    /// # Errors
    ///
    /// Returns an error if the text does not come into force.
    pub fn publish(&self, text: &str) -> Result<u64, Box<dyn Error>> {
        let log = Client::new(self.log.address());
        match publish(&log, text, None, "bench", READY_TIMEOUT)? {
            PublishOutcome::InForce(version) => Ok(version),
            other => Err(format!("the text is not in force: {other:?}").into()),
        }
    }

    /// Waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if one is not ready after 20 s.
    pub fn wait_ready(&self) -> Result<(), Box<dyn Error>> {
        let start = Instant::now();
        for instance in &self.instances {
            while !is_ready(instance.operators()) {
                if start.elapsed() > READY_TIMEOUT {
                    return Err("an instance is not ready".into());
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Whether all instances have a version in force, by what callers could see.
    #[must_use]
    pub fn has_version(&self, version: u64) -> bool {
        let wanted = version as f64;
        let of = |i: &Instance| metric(i.operators(), "vanillakeel_text_version ");
        self.instances.iter().all(|i| of(i) >= wanted)
    }

    /// Sum of a metric over all instances; `line_start` is how its lines start.
    #[must_use]
    pub fn metric(&self, line_start: &str) -> f64 {
        self.instances
            .iter()
            .map(|i| metric(i.operators(), line_start))
            .sum()
    }

    /// Stops all instances as planned.
    pub fn stop(&mut self) {
        for instance in &self.instances {
            instance.stop();
        }
        for instance in self.instances.drain(..) {
            instance.wait();
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.stop();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn get(address: SocketAddr, path: &str) -> Option<(bool, String)> {
    let url = format!("http://{address}{path}");
    let answer = request(Method::GET, &url, Duration::from_secs(2))
        .send()
        .ok()?;
    let is_good = answer.is_success();
    Some((is_good, answer.text().ok()?))
}

fn is_ready(operators: SocketAddr) -> bool {
    get(operators, "/readyz").is_some_and(|(is_good, _)| is_good)
}

/// Sum of the samples of a metric whose lines start with `line_start`.
fn metric(operators: SocketAddr, line_start: &str) -> f64 {
    let page = get(operators, "/metrics").map_or_else(String::new, |(_, page)| page);
    page.lines()
        .filter(|l| l.starts_with(line_start))
        .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
