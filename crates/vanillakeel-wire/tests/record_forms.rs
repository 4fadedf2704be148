//! Guards against records that change when they are encoded and decoded, and against panics of the
//! decoder on corrupt bytes.

use rstest::rstest;
use vanillakeel::{
    claim,
    config_log,
    lease,
    order::Random, //
};
use vanillakeel_wire::{
    DecodeError, DrainIntent, RecordBody,
    compression::{
        compress,
        decompress, //
    },
    decode, encode,
};

fn proposal() -> RecordBody {
    RecordBody::Config(config_log::Record::Proposal(config_log::Proposal {
        id: 7,
        base: 3,
        text: "tier = 1\n".into(),
        author: "operator".into(),
    }))
}

fn batch() -> RecordBody {
    let entry = |claim, op| claim::Entry {
        key: claim::Key::new(
            "clerks",
            0x0192_f0c1_2345_7abc_8def_0123_4567_89ab,
            0x0192_f0c1_2345,
        ),
        claim,
        op,
    };
    RecordBody::Claims(claim::Batch {
        writer: "a/1".into(),
        number: 9,
        entries: vec![
            entry(1, claim::Op::Claim),
            entry(1, claim::Op::Release),
            entry(2, claim::Op::Outcome),
        ],
    })
}

fn checkpoint() -> RecordBody {
    RecordBody::Config(config_log::Record::Checkpoint(config_log::Checkpoint {
        version: 5,
        text: "x".into(),
        applied_to: 90,
        decided: vec![1, u128::MAX],
    }))
}

fn lease_record() -> RecordBody {
    RecordBody::Lease(lease::Record {
        name: "placement".into(),
        holder: "a/1".into(),
        append_id: 2,
        previous_offset: Some(0),
    })
}

fn drain_intent() -> RecordBody {
    RecordBody::DrainIntent(DrainIntent {
        upstream: "runner-1".into(),
        model: "writer".into(),
        fencing_token: 4,
    })
}

#[rstest]
#[case::edit(proposal())]
#[case::claims(batch())]
#[case::checkpoint(checkpoint())]
#[case::lease(lease_record())]
#[case::intent(drain_intent())]
fn decoding_reverses_encoding(#[case] body: RecordBody) {
    assert_eq!(decode(&encode(&body)), Ok(body));
}

#[test]
fn empty_record_refused() {
    assert_eq!(decode(&[]), Err(DecodeError::Kind));
}

#[test]
fn changed_bytes_never_panic() {
    let mut random = Random::new(11);
    for body in [
        proposal(),
        batch(),
        checkpoint(),
        lease_record(),
        drain_intent(),
    ] {
        let valid = encode(&body);
        for _ in 0..2_000 {
            let mut bytes = valid.clone();
            for _ in 0..=random.below(3) {
                let at = random.below(bytes.len() as u64) as usize;
                bytes[at] = random.below(256) as u8;
            }
            bytes.truncate(1 + random.below(bytes.len() as u64) as usize);
            let _ = decode(&bytes);
        }
    }
}

/// A small message that decompresses to a very large text must be refused, as it would take up too
/// much memory.
#[test]
fn too_long_when_decompressed() {
    let long = "a".repeat(2 << 20);
    assert_eq!(decompress(&compress(&long)), None);
}
