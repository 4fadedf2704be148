//! Conversions between generated types and those of the library.

use crate::{
    generated::{
        self as wire,
        record::Kind, //
    },
    pack::{
        pack,
        unpack, //
    },
};
use prost::Message as _;
use std::sync::Arc;
use vanillakeel::{
    claim,
    config_log,
    lease,
    membership,
    share, //
};

/// Bits below the time in a UUID of version 7.
const UUID_TIME_SHIFT: u32 = 80;

/// An upstream is to get no new requests for a model, since it will lose it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// Fencing number of the lease it was decided under.
    pub fencing: u64,
}

/// A record of the system on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Entries about idempotency keys.
    Claims(claim::Batch),
    /// A record about the configuration.
    Configuration(config_log::Record),
    /// A lease taken or renewed.
    Lease(lease::Record),
    /// An upstream is to lose a model.
    Intent(Intent),
}

/// Why bytes are no record.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum DecodeError {
    /// the bytes are no message: {0}
    Message(String),
    /// the record has no kind that is known
    Kind,
    /// the field {0} has a value out of its range
    Field(&'static str),
}

impl std::error::Error for DecodeError {}

/// Writes a record for the log.
#[must_use]
pub fn encode(body: &Body) -> Vec<u8> {
    let kind = match body {
        Body::Claims(batch) => Kind::Claims(claims_to_wire(batch)),
        Body::Configuration(record) => configuration_to_wire(record),
        Body::Lease(record) => Kind::Lease(lease_to_wire(record)),
        Body::Intent(intent) => Kind::Intent(wire::Intent {
            upstream: intent.upstream.to_string(),
            model: intent.model.to_string(),
            fencing: intent.fencing,
        }),
    };
    wire::Record { kind: Some(kind) }.encode_to_vec()
}

/// Reads a record of the log.
///
/// # Errors
///
/// Returns an error if the bytes are no record; a reader skips it.
pub fn decode(bytes: &[u8]) -> Result<Body, DecodeError> {
    let record = wire::Record::decode(bytes).map_err(|e| DecodeError::Message(e.to_string()))?;
    match record.kind.ok_or(DecodeError::Kind)? {
        Kind::Claims(batch) => claims_from_wire(&batch).map(Body::Claims),
        Kind::Edit(edit) => Ok(Body::Configuration(config_log::Record::Proposal(
            config_log::Proposal {
                id: number("edit.id", &edit.id)?,
                base: edit.base,
                text: text("edit.text", &edit.text)?,
                author: edit.author.into(),
            },
        ))),
        Kind::Ruling(r) => Ok(Body::Configuration(config_log::Record::Decision(
            config_log::Decision {
                proposal: number("ruling.edit", &r.edit)?,
                base: r.base,
                accepted: r.accepted,
                text: text("ruling.text", &r.text)?,
                reason: r.reason.into(),
            },
        ))),
        Kind::Checkpoint(c) => checkpoint_from_wire(&c),
        Kind::Lease(l) => Ok(Body::Lease(lease::Record {
            name: l.chore.into(),
            holder: l.holder.into(),
            append_id: l.number,
            previous_offset: l.after,
        })),
        Kind::Intent(i) => Ok(Body::Intent(Intent {
            upstream: i.upstream.into(),
            model: i.model.into(),
            fencing: i.fencing,
        })),
    }
}

fn number(field: &'static str, bytes: &[u8]) -> Result<u128, DecodeError> {
    let bytes = bytes.try_into().map_err(|_| DecodeError::Field(field))?;
    Ok(u128::from_be_bytes(bytes))
}

fn text(field: &'static str, packed: &[u8]) -> Result<Arc<str>, DecodeError> {
    unpack(packed)
        .map(Arc::from)
        .ok_or(DecodeError::Field(field))
}

fn claims_to_wire(batch: &claim::Batch) -> wire::ClaimBatch {
    let entry = |e: &claim::Entry| wire::ClaimEntry {
        key: e.key.id.to_be_bytes().to_vec(),
        workspace: e.key.workspace.to_string(),
        claim: e.claim,
        op: match e.op {
            claim::Op::Claim => wire::ClaimOp::Claim.into(),
            claim::Op::Release => wire::ClaimOp::Release.into(),
            claim::Op::Outcome => wire::ClaimOp::Outcome.into(),
        },
    };
    wire::ClaimBatch {
        writer: batch.writer.to_string(),
        number: batch.number,
        entries: batch.entries.iter().map(entry).collect(),
    }
}

fn claims_from_wire(batch: &wire::ClaimBatch) -> Result<claim::Batch, DecodeError> {
    let entry = |e: &wire::ClaimEntry| {
        let id = number("entry.key", &e.key)?;
        let created_ms = (id >> UUID_TIME_SHIFT) as u64;
        let op = match e.op() {
            wire::ClaimOp::Claim => claim::Op::Claim,
            wire::ClaimOp::Release => claim::Op::Release,
            wire::ClaimOp::Outcome => claim::Op::Outcome,
            wire::ClaimOp::Unspecified => return Err(DecodeError::Field("entry.op")),
        };
        Ok(claim::Entry {
            key: claim::Key::new(&e.workspace, id, created_ms),
            claim: e.claim,
            op,
        })
    };
    Ok(claim::Batch {
        writer: batch.writer.as_str().into(),
        number: batch.number,
        entries: batch.entries.iter().map(entry).collect::<Result<_, _>>()?,
    })
}

fn configuration_to_wire(record: &config_log::Record) -> Kind {
    match record {
        config_log::Record::Proposal(e) => Kind::Edit(wire::Edit {
            id: e.id.to_be_bytes().to_vec(),
            base: e.base,
            text: pack(&e.text),
            author: e.author.to_string(),
        }),
        config_log::Record::Decision(r) => Kind::Ruling(wire::Ruling {
            edit: r.proposal.to_be_bytes().to_vec(),
            base: r.base,
            accepted: r.accepted,
            text: pack(&r.text),
            reason: r.reason.to_string(),
        }),
        config_log::Record::Checkpoint(c) => Kind::Checkpoint(wire::Checkpoint {
            version: c.version,
            text: pack(&c.text),
            folded_to: c.applied_to,
            ruled: c
                .decided
                .iter()
                .map(|id| id.to_be_bytes().to_vec())
                .collect(),
        }),
    }
}

fn checkpoint_from_wire(c: &wire::Checkpoint) -> Result<Body, DecodeError> {
    let ruled = c.ruled.iter().map(|id| number("checkpoint.ruled", id));
    Ok(Body::Configuration(config_log::Record::Checkpoint(
        config_log::Checkpoint {
            version: c.version,
            text: text("checkpoint.text", &c.text)?,
            applied_to: c.folded_to,
            decided: ruled.collect::<Result<_, _>>()?,
        },
    )))
}

fn lease_to_wire(record: &lease::Record) -> wire::LeaseRecord {
    wire::LeaseRecord {
        chore: record.name.to_string(),
        holder: record.holder.to_string(),
        number: record.append_id,
        after: record.previous_offset,
    }
}

impl From<&membership::Member> for wire::Member {
    fn from(m: &membership::Member) -> Self {
        Self {
            name: m.name.to_string(),
            upstream: m.kind == membership::Kind::Upstream,
            address: m.address.to_string(),
            data_centre: m.data_centre.to_string(),
            generation: m.generation,
            leaving: m.state == membership::State::Leaving,
        }
    }
}

impl From<&wire::Member> for membership::Member {
    fn from(m: &wire::Member) -> Self {
        Self {
            name: m.name.as_str().into(),
            kind: if m.upstream {
                membership::Kind::Upstream
            } else {
                membership::Kind::Entry
            },
            address: m.address.as_str().into(),
            data_centre: m.data_centre.as_str().into(),
            generation: m.generation,
            state: if m.leaving {
                membership::State::Leaving
            } else {
                membership::State::Live
            },
        }
    }
}

/// Writes a message about a pool.
#[must_use]
pub fn share_to_wire(pool: &str, message: share::Message) -> wire::ShareMessage {
    use wire::share_message::Kind as Share;
    wire::ShareMessage {
        pool: pool.to_owned(),
        kind: Some(match message {
            share::Message::Demand(calls) => Share::Demand(calls),
            share::Message::Grant(per_mille) => Share::GrantPerMille(per_mille),
        }),
    }
}

/// Reads a message about a pool.
#[must_use]
pub fn share_from_wire(message: &wire::ShareMessage) -> Option<(&str, share::Message)> {
    use wire::share_message::Kind as Share;
    let read = match message.kind? {
        Share::Demand(calls) => share::Message::Demand(calls),
        Share::GrantPerMille(per_mille) => share::Message::Grant(per_mille),
    };
    Some((&message.pool, read))
}
