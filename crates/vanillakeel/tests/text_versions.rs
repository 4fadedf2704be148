//! Which configuration is in force: decisions, races, checkpoints and newer versions from peers.

use rstest::rstest;
use vanillakeel::{
    Millis,
    config_log::{
        Action,
        Checkpoint,
        ConfigReplica,
        Decision,
        Outcome,
        Proposal,
        Record, //
    },
};

type Check = fn(&str) -> Result<(), String>;

fn replica() -> ConfigReplica<Check> {
    ConfigReplica::new("a", |text| {
        if text == "bad" {
            Err("not good".to_owned())
        } else {
            Ok(())
        }
    })
}

fn proposal(id: u128, base: u64, text: &str) -> Record {
    Record::Proposal(Proposal {
        id,
        base,
        text: text.into(),
        author: "operator".into(),
    })
}

fn decision(proposal: u128, base: u64, accepted: bool, text: &str) -> Record {
    Record::Decision(Decision {
        proposal,
        base,
        accepted,
        text: text.into(),
        reason: "".into(),
    })
}

fn checkpoint(version: u64, text: &str, applied_to: u64) -> Record {
    Record::Checkpoint(Checkpoint {
        version,
        text: text.into(),
        applied_to,
        decided: Vec::new(),
    })
}

fn read_records(cfg: &mut ConfigReplica<Check>, first: u64, start: u64, records: &[Record]) {
    let numbered: Vec<(u64, Record)> = (start..).zip(records.iter().cloned()).collect();
    let next = start + records.len() as u64;
    cfg.on_records(Millis::ZERO, first, &numbered, next);
}

/// Guards against instances that disagree on the version: the first decision on a proposal binds, and
/// only one of several proposals made from the same version comes into force.
#[rstest]
#[case::first_decision_binds(&[proposal(1, 0, "x"), decision(1, 0, false, ""), decision(1, 0, true, "x")], 0, "")]
#[case::accepted(&[proposal(1, 0, "x"), decision(1, 0, true, "x")], 2, "x")]
#[case::second_racer_refused(&[decision(1, 0, true, "x"), decision(2, 0, true, "y")], 1, "x")]
#[case::chain(&[decision(1, 0, true, "x"), decision(2, 1, true, "y")], 2, "y")]
#[case::repeated_decision(&[decision(1, 0, true, "x"), decision(1, 0, true, "x")], 1, "x")]
fn replayed_version(#[case] records: &[Record], #[case] version: u64, #[case] text: &str) {
    let mut cfg = replica();
    read_records(&mut cfg, 0, 0, records);
    assert_eq!((cfg.version(), &**cfg.text()), (version, text));
}

/// A checkpoint is used only if the log still holds all records after the ones it covers.
#[rstest]
#[case::trusted(checkpoint(7, "x", 20), 20, 7)]
#[case::stale(checkpoint(7, "x", 19), 20, 0)]
fn checkpoint_start(#[case] record: Record, #[case] first: u64, #[case] version: u64) {
    let mut cfg = replica();
    read_records(&mut cfg, first, first, &[record]);
    assert_eq!(cfg.version(), version);
}

/// Guards against the loss of a decision that lies on the log before a checkpoint that does not
/// cover it.
#[test]
fn stale_checkpoint_after_decision() {
    let mut cfg = replica();
    let records = [decision(2, 7, true, "y"), checkpoint(7, "x", 20)];
    read_records(&mut cfg, 20, 20, &records);
    assert_eq!((cfg.version(), &**cfg.text()), (21, "y"));
}

/// The second of two proposals made from the same version does not come into force.
#[test]
fn superseded_proposal() {
    let mut cfg = replica();
    let records = [decision(1, 0, true, "x"), decision(2, 0, true, "y")];
    read_records(&mut cfg, 0, 0, &records);
    let outcome = cfg.log_state().outcome(2);
    assert_eq!(outcome, Some(&Outcome::Superseded { by: 1 }));
}

/// Guards against accepting a configuration that fails its check, or refusing one that passes.
#[rstest]
#[case::good("x", true)]
#[case::bad("bad", false)]
fn proposal_decided(#[case] text: &str, #[case] accepted: bool) {
    let mut cfg = replica();
    read_records(&mut cfg, 0, 0, &[proposal(1, 0, text)]);
    cfg.tick(Millis::ZERO, 0);
    let actions: Vec<Action> = cfg.drain().collect();
    let [Action::Append(Record::Decision(decision))] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(decision.accepted, accepted);
}

/// Guards against a lower version, from a peer or from a log that is read late.
#[test]
fn peers_never_lower_version() {
    let mut cfg = replica();
    cfg.on_peer(5, "newer");
    cfg.on_peer(3, "older");
    assert_eq!((cfg.version(), &**cfg.text()), (5, "newer"));
    read_records(&mut cfg, 0, 0, &[decision(1, 0, true, "x")]);
    assert_eq!(cfg.version(), 5);
}

/// Guards against a checkpoint at each tick while the instance has not yet read back the one it
/// wrote.
///
/// Random schedules of 20000 steps showed this fault.
#[test]
fn one_checkpoint_per_round() {
    let mut cfg = replica();
    read_records(&mut cfg, 0, 0, &[decision(1, 0, true, "x")]);
    let ticks = (0..100).map(|t| Millis::new(t * 19));
    ticks.for_each(|now| cfg.tick(now, 1));
    let appends = cfg.drain().filter(|a| matches!(a, Action::Append(_)));
    assert_eq!(appends.count(), 1);
}
