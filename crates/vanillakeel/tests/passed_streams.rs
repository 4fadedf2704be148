//! Streams reach all instances, by the tree of members and hubs.

use rstest::rstest;
use vanillakeel::{
    Millis,
    order::Random,
    streams::{
        BegunStreams,
        Origin,
        Settings,
        Spread,
        StreamId,
        Told,
        Towards, //
    },
};

/// Pause between two exchanges, in ms.
const EXCHANGE_MS: u64 = 100;

/// Exchanges within which a stream reaches all instances: to the hub, to the other hubs, and to their members.
const EXCHANGES: u64 = 3;

/// Time for which streams are known, in ms.
const REMEMBERED_MS: u64 = 30_000;

const START: Millis = Millis::new(100_000);

struct Instance {
    name: String,
    data_centre: usize,
    spread: Spread,
    begun: BegunStreams,
    is_alive: bool,
}

/// Instances in data centres; the first living one of each is its hub.
struct Fleet {
    now: Millis,
    random: Random,
    instances: Vec<Instance>,
    /// Messages that are lost, of 100.
    lost_percent: u64,
    /// Instances that get no message and whose messages get lost.
    cut: Vec<usize>,
    /// Streams that were passed on, also repeatedly.
    passed: u64,
    next_log: u64,
}

impl Fleet {
    fn new(sizes: &[usize], lost_percent: u64) -> Self {
        let mut fleet = Self {
            now: START,
            random: Random::new(7),
            instances: Vec::new(),
            lost_percent,
            cut: Vec::new(),
            passed: 0,
            next_log: 1,
        };
        for (data_centre, size) in sizes.iter().enumerate() {
            for _ in 0..*size {
                fleet.join(data_centre);
            }
        }
        fleet
    }

    fn join(&mut self, data_centre: usize) -> usize {
        self.next_log += 1;
        self.instances.push(Instance {
            name: format!("entry-{}", self.instances.len()),
            data_centre,
            spread: Spread::new(self.next_log),
            begun: BegunStreams::new(Settings {
                remembered_ms: REMEMBERED_MS,
                ..Settings::default()
            }),
            is_alive: true,
        });
        self.instances.len() - 1
    }

    fn begin(&mut self, instance: usize, number: u64) {
        let software = format!("v{}", number % 2);
        let begun = &mut self.instances[instance].begun;
        let origin = Origin::new("service-a", &software);
        begun.record(self.now, stream(number), &origin);
    }

    fn hub_of(&self, data_centre: usize) -> Option<usize> {
        let is_member = |i: &Instance| i.data_centre == data_centre && i.is_alive;
        self.instances.iter().position(is_member)
    }

    /// Sends what one instance tells another.
    fn send(&mut self, from: usize, to: usize, towards: Towards) {
        let (now, name) = (self.now, self.instances[to].name.clone());
        let sender = &mut self.instances[from];
        let messages: Vec<Told> = sender.spread.tell(now, &name, towards, &sender.begun);
        let name = sender.name.clone();
        for message in messages {
            self.passed += message.streams.len() as u64;
            let is_cut = self.cut.contains(&from) || self.cut.contains(&to);
            if is_cut || self.random.below(100) < self.lost_percent {
                continue;
            }
            let receiver = &mut self.instances[to];
            receiver
                .spread
                .on_told(now, &name, &message, &mut receiver.begun);
        }
    }

    /// Lets members report, hubs answer, and hubs exchange what they know.
    fn exchange(&mut self) {
        self.now = self.now.plus(EXCHANGE_MS);
        let data_centres = 1 + self
            .instances
            .iter()
            .map(|i| i.data_centre)
            .max()
            .unwrap_or(0);
        let hubs: Vec<usize> = (0..data_centres).filter_map(|d| self.hub_of(d)).collect();
        for member in 0..self.instances.len() {
            let hub = self.hub_of(self.instances[member].data_centre);
            let hub = hub.filter(|hub| self.instances[member].is_alive && *hub != member);
            if let Some(hub) = hub {
                self.send(member, hub, Towards::Hub);
                self.send(hub, member, Towards::Member);
            }
        }
        for from in &hubs {
            for to in hubs.iter().filter(|to| *to != from) {
                self.send(*from, *to, Towards::Hub);
            }
        }
    }

    /// Returns how many of the streams with these numbers an instance knows, at their versions.
    fn known(&self, instance: usize, mut numbers: std::ops::Range<u64>) -> usize {
        let mut known = 0;
        numbers.by_ref().for_each(|number| {
            let software = self.instances[instance]
                .begun
                .software(self.now, stream(number));
            if let Some(software) = software {
                assert_eq!(*software, format!("v{}", number % 2));
                known += 1;
            }
        });
        known
    }
}

fn stream(number: u64) -> StreamId {
    StreamId::of(&format!("request-{number}"))
}

/// A stream reaches each instance within three exchanges, and is told to each a few times at most.
///
/// Guards against streams that only those know which the loss of many instances takes away, and against messages that
/// grow with the square of the instances.
#[rstest]
#[case::small(&[3, 2, 2, 1])]
#[case::hundred(&[40, 30, 20, 10])]
#[case::hundreds(&[47, 47, 47, 47, 47, 47, 47, 46])]
fn reaches_all(#[case] sizes: &[usize]) {
    let mut fleet = Fleet::new(sizes, 0);
    let count = fleet.instances.len();
    (0..3).for_each(|_| fleet.exchange());
    for number in 0..500 {
        fleet.begin(number as usize % count, number);
    }
    (0..EXCHANGES).for_each(|_| fleet.exchange());
    for instance in 0..count {
        assert_eq!(fleet.known(instance, 0..500), 500, "{instance}");
    }
    (0..5).for_each(|_| fleet.exchange());
    let per_instance = fleet.passed as f64 / count as f64 / 500.0;
    assert!(per_instance < 3.0, "{per_instance} times each stream");
}

/// Messages that are lost are made up for.
#[test]
fn lost_messages() {
    let mut fleet = Fleet::new(&[5, 4, 3], 20);
    for number in 0..400 {
        fleet.begin(number as usize % 12, number);
        if number % 10 == 0 {
            fleet.exchange();
        }
    }
    (0..20).for_each(|_| fleet.exchange());
    for instance in 0..12 {
        assert_eq!(fleet.known(instance, 0..400), 400, "{instance}");
    }
}

/// An instance that joins learns of all streams that live, as a member or as the hub of its data centre.
///
/// Guards against streams that are lost with the instances that were there when they began.
#[rstest]
#[case::member(2, false)]
#[case::first_of_data_centre(3, false)]
#[case::hub(0, true)]
fn joined_later(#[case] data_centre: usize, #[case] is_hub: bool) {
    let mut fleet = Fleet::new(&[4, 3, 2], 0);
    (0..3).for_each(|_| fleet.exchange());
    for number in 0..2_000 {
        fleet.begin(number as usize % 9, number);
    }
    (0..10).for_each(|_| fleet.exchange());
    let joined = fleet.join(data_centre);
    if is_hub {
        // The first one of its data centre is the hub.
        fleet.instances.swap(0, joined);
    }
    let joined = if is_hub { 0 } else { joined };
    (0..10).for_each(|_| fleet.exchange());
    assert_eq!(fleet.known(joined, 0..2_000), 2_000);
}

/// After the hub of a data centre has ended, streams that begin there reach all others by way of the next hub.
#[test]
fn hub_ended() {
    let mut fleet = Fleet::new(&[3, 3], 0);
    (0..3).for_each(|_| fleet.exchange());
    fleet.instances[0].is_alive = false;
    for number in 0..100 {
        fleet.begin(1 + number as usize % 5, number);
    }
    (0..6).for_each(|_| fleet.exchange());
    for instance in 1..6 {
        assert_eq!(fleet.known(instance, 0..100), 100, "{instance}");
    }
}

/// An instance that was cut off for longer than hubs need to be replaced learns of what began meanwhile, also from a
/// hub that it has not known.
#[rstest]
#[case::same_hub(false)]
#[case::other_hub(true)]
fn cut_off(#[case] is_hub_replaced: bool) {
    let mut fleet = Fleet::new(&[4, 3], 0);
    (0..3).for_each(|_| fleet.exchange());
    fleet.cut = vec![3];
    for number in 0..600 {
        fleet.begin([1, 2, 4, 5][number as usize % 4], number);
        if number % 6 == 0 {
            fleet.exchange();
        }
    }
    if is_hub_replaced {
        fleet.instances[0].is_alive = false;
    }
    (0..5).for_each(|_| fleet.exchange());
    fleet.cut.clear();
    (0..20).for_each(|_| fleet.exchange());
    assert_eq!(fleet.known(3, 0..600), 600);
}

/// An instance that restarts under its name is told from the beginning, although its peers know what its last process had.
#[test]
fn restarted() {
    let mut fleet = Fleet::new(&[3, 2], 0);
    (0..3).for_each(|_| fleet.exchange());
    for number in 0..200 {
        fleet.begin(number as usize % 5, number);
    }
    (0..5).for_each(|_| fleet.exchange());
    let joined = fleet.join(0);
    fleet.instances.swap(2, joined);
    fleet.instances[2].name = fleet.instances[joined].name.clone();
    fleet.instances[joined].is_alive = false;
    (0..10).for_each(|_| fleet.exchange());
    assert_eq!(fleet.known(2, 0..200), 200);
}
