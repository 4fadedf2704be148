//! Records keep their form, and bytes that are no record are refused.

use rstest::rstest;
use vanillakeel::{
    claim,
    config_log,
    lease,
    order::Random, //
};
use vanillakeel_wire::{
    Body, DecodeError, Intent, decode, encode,
    pack::{
        pack,
        unpack, //
    },
};

fn edit() -> Body {
    Body::Configuration(config_log::Record::Proposal(config_log::Proposal {
        id: 7,
        base: 3,
        text: "tier = 1\n".into(),
        author: "operator".into(),
    }))
}

fn batch() -> Body {
    let entry = |claim, op| claim::Entry {
        key: claim::Key::new(
            "clerks",
            0x0192_f0c1_2345_7abc_8def_0123_4567_89ab,
            0x0192_f0c1_2345,
        ),
        claim,
        op,
    };
    Body::Claims(claim::Batch {
        writer: "a/1".into(),
        number: 9,
        entries: vec![
            entry(1, claim::Op::Claim),
            entry(1, claim::Op::Release),
            entry(2, claim::Op::Outcome),
        ],
    })
}

fn checkpoint() -> Body {
    Body::Configuration(config_log::Record::Checkpoint(config_log::Checkpoint {
        version: 5,
        text: "x".into(),
        applied_to: 90,
        decided: vec![1, u128::MAX],
    }))
}

fn lease_record() -> Body {
    Body::Lease(lease::Record {
        name: "placement".into(),
        holder: "a/1".into(),
        append_id: 2,
        previous_offset: Some(0),
    })
}

fn intent() -> Body {
    Body::Intent(Intent {
        upstream: "runner-1".into(),
        model: "writer".into(),
        fencing: 4,
    })
}

#[rstest]
#[case::edit(edit())]
#[case::claims(batch())]
#[case::checkpoint(checkpoint())]
#[case::lease(lease_record())]
#[case::intent(intent())]
fn there_and_back(#[case] body: Body) {
    assert_eq!(decode(&encode(&body)), Ok(body));
}

#[test]
fn empty_record_refused() {
    assert_eq!(decode(&[]), Err(DecodeError::Kind));
}

#[test]
fn changed_bytes_never_panic() {
    let mut random = Random::new(11);
    for body in [edit(), batch(), checkpoint(), lease_record(), intent()] {
        let good = encode(&body);
        for _ in 0..2_000 {
            let mut bytes = good.clone();
            for _ in 0..=random.below(3) {
                let at = random.below(bytes.len() as u64) as usize;
                bytes[at] = random.below(256) as u8;
            }
            bytes.truncate(1 + random.below(bytes.len() as u64) as usize);
            let _ = decode(&bytes);
        }
    }
}

#[test]
fn too_long_when_unpacked() {
    let long = "a".repeat(2 << 20);
    assert_eq!(unpack(&pack(&long)), None);
}
