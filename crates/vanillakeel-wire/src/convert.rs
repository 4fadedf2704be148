//! Conversions between the generated protobuf types and those of the library.
//!
//! [`encode`] and [`decode`] convert whole records of the log. Some protobuf names differ from the
//! library's: an `Edit` is a [`config_log::Proposal`], a `Ruling` is a [`config_log::Decision`],
//! and the `chore` of a lease is its name. Comments in the `.proto` file explain such names.

use crate::{
    compression::{
        compress,
        decompress, //
    },
    generated::{
        self as wire,
        record::Kind, //
    },
};
use prost::Message as _;
use std::sync::Arc;
use vanillakeel::{
    claim,
    config_log,
    lease,
    membership,
    rate_limits::{
        Rate,
        ToldRate, //
    },
    share, //
};

/// Number of bits below the timestamp in a UUID of version 7.
const UUID_TIME_SHIFT_BITS: u32 = 80;

/// The announcement that an upstream will unload a model.
///
/// Instances that read it send the upstream no new requests for the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainIntent {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Fencing token of the lease under which it was decided.
    pub fencing_token: u64,
}

/// The content of a record on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordBody {
    /// Entries about idempotency keys.
    Claims(claim::Batch),
    /// A proposal, decision or checkpoint of the configuration.
    Config(config_log::Record),
    /// An attempt to acquire or renew a lease.
    Lease(lease::Record),
    /// An announcement that an upstream will unload a model.
    DrainIntent(DrainIntent),
}

/// The error when bytes are not a valid record.
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

/// Encodes a record for the log.
#[must_use]
pub fn encode(body: &RecordBody) -> Vec<u8> {
    let kind = match body {
        RecordBody::Claims(batch) => Kind::Claims(claims_to_wire(batch)),
        RecordBody::Config(record) => config_to_wire(record),
        RecordBody::Lease(record) => Kind::Lease(lease_to_wire(record)),
        RecordBody::DrainIntent(intent) => Kind::Intent(wire::Intent {
            upstream: intent.upstream.to_string(),
            model: intent.model.to_string(),
            fencing: intent.fencing_token,
        }),
    };
    wire::Record { kind: Some(kind) }.encode_to_vec()
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid record; readers skip such a record.
pub fn decode(bytes: &[u8]) -> Result<RecordBody, DecodeError> {
    let record = wire::Record::decode(bytes).map_err(|e| DecodeError::Message(e.to_string()))?;
    match record.kind.ok_or(DecodeError::Kind)? {
        Kind::Claims(batch) => claims_from_wire(&batch).map(RecordBody::Claims),
        Kind::Edit(edit) => Ok(RecordBody::Config(config_log::Record::Proposal(
            config_log::Proposal {
                id: uuid_bits("edit.id", &edit.id)?,
                base: edit.base,
                text: config_text("edit.text", &edit.text)?,
                author: edit.author.into(),
            },
        ))),
        Kind::Ruling(ruling) => Ok(RecordBody::Config(config_log::Record::Decision(
            config_log::Decision {
                proposal: uuid_bits("ruling.edit", &ruling.edit)?,
                base: ruling.base,
                accepted: ruling.accepted,
                text: config_text("ruling.text", &ruling.text)?,
                reason: ruling.reason.into(),
            },
        ))),
        Kind::Checkpoint(checkpoint) => checkpoint_from_wire(&checkpoint),
        Kind::Lease(lease) => Ok(RecordBody::Lease(lease::Record {
            name: lease.chore.into(),
            holder: lease.holder.into(),
            append_id: lease.number,
            previous_offset: lease.after,
        })),
        Kind::Intent(intent) => Ok(RecordBody::DrainIntent(DrainIntent {
            upstream: intent.upstream.into(),
            model: intent.model.into(),
            fencing_token: intent.fencing,
        })),
    }
}

fn uuid_bits(field: &'static str, bytes: &[u8]) -> Result<u128, DecodeError> {
    let bytes = bytes.try_into().map_err(|_| DecodeError::Field(field))?;
    Ok(u128::from_be_bytes(bytes))
}

fn config_text(field: &'static str, compressed: &[u8]) -> Result<Arc<str>, DecodeError> {
    decompress(compressed)
        .map(Arc::from)
        .ok_or(DecodeError::Field(field))
}

fn claims_to_wire(batch: &claim::Batch) -> wire::ClaimBatch {
    let to_wire = |entry: &claim::Entry| wire::ClaimEntry {
        key: entry.key.id.to_be_bytes().to_vec(),
        workspace: entry.key.workspace.to_string(),
        claim: entry.claim,
        op: match entry.op {
            claim::Op::Claim => wire::ClaimOp::Claim.into(),
            claim::Op::Release => wire::ClaimOp::Release.into(),
            claim::Op::Outcome => wire::ClaimOp::Outcome.into(),
        },
    };
    wire::ClaimBatch {
        writer: batch.writer.to_string(),
        number: batch.number,
        entries: batch.entries.iter().map(to_wire).collect(),
    }
}

fn claims_from_wire(batch: &wire::ClaimBatch) -> Result<claim::Batch, DecodeError> {
    let from_wire = |entry: &wire::ClaimEntry| {
        let id = uuid_bits("entry.key", &entry.key)?;
        let created_ms = (id >> UUID_TIME_SHIFT_BITS) as u64;
        let op = match entry.op() {
            wire::ClaimOp::Claim => claim::Op::Claim,
            wire::ClaimOp::Release => claim::Op::Release,
            wire::ClaimOp::Outcome => claim::Op::Outcome,
            wire::ClaimOp::Unspecified => return Err(DecodeError::Field("entry.op")),
        };
        Ok(claim::Entry {
            key: claim::Key::new(&entry.workspace, id, created_ms),
            claim: entry.claim,
            op,
        })
    };
    Ok(claim::Batch {
        writer: batch.writer.as_str().into(),
        number: batch.number,
        entries: batch
            .entries
            .iter()
            .map(from_wire)
            .collect::<Result<_, _>>()?,
    })
}

fn config_to_wire(record: &config_log::Record) -> Kind {
    match record {
        config_log::Record::Proposal(proposal) => Kind::Edit(wire::Edit {
            id: proposal.id.to_be_bytes().to_vec(),
            base: proposal.base,
            text: compress(&proposal.text),
            author: proposal.author.to_string(),
        }),
        config_log::Record::Decision(decision) => Kind::Ruling(wire::Ruling {
            edit: decision.proposal.to_be_bytes().to_vec(),
            base: decision.base,
            accepted: decision.accepted,
            text: compress(&decision.text),
            reason: decision.reason.to_string(),
        }),
        config_log::Record::Checkpoint(checkpoint) => Kind::Checkpoint(wire::Checkpoint {
            version: checkpoint.version,
            text: compress(&checkpoint.text),
            folded_to: checkpoint.applied_to,
            ruled: checkpoint
                .decided
                .iter()
                .map(|id| id.to_be_bytes().to_vec())
                .collect(),
        }),
    }
}

fn checkpoint_from_wire(checkpoint: &wire::Checkpoint) -> Result<RecordBody, DecodeError> {
    let decided = checkpoint
        .ruled
        .iter()
        .map(|id| uuid_bits("checkpoint.ruled", id));
    Ok(RecordBody::Config(config_log::Record::Checkpoint(
        config_log::Checkpoint {
            version: checkpoint.version,
            text: config_text("checkpoint.text", &checkpoint.text)?,
            applied_to: checkpoint.folded_to,
            decided: decided.collect::<Result<_, _>>()?,
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
    fn from(member: &membership::Member) -> Self {
        Self {
            name: member.name.to_string(),
            upstream: member.kind == membership::Kind::Upstream,
            address: member.address.to_string(),
            data_centre: member.data_centre.to_string(),
            generation: member.generation,
            leaving: member.state == membership::State::Leaving,
        }
    }
}

impl From<&wire::Member> for membership::Member {
    fn from(member: &wire::Member) -> Self {
        Self {
            name: member.name.as_str().into(),
            kind: if member.upstream {
                membership::Kind::Upstream
            } else {
                membership::Kind::Entry
            },
            address: member.address.as_str().into(),
            data_centre: member.data_centre.as_str().into(),
            generation: member.generation,
            state: if member.leaving {
                membership::State::Leaving
            } else {
                membership::State::Live
            },
        }
    }
}

/// Converts a message about the shares of a pool to its protobuf form.
#[must_use]
pub fn share_to_wire(pool: &str, message: share::Message) -> wire::ShareMessage {
    use wire::share_message::Kind as Share;
    wire::ShareMessage {
        pool: pool.to_owned(),
        kind: Some(match message {
            share::Message::Demand(requests) => Share::Demand(requests),
            share::Message::Grant(per_mille) => Share::GrantPerMille(per_mille),
        }),
    }
}

/// Converts a protobuf message about the shares of a pool to the pool's name and the message.
///
/// Returns `None` if the message has no kind, or one that this version does not know.
#[must_use]
pub fn share_from_wire(message: &wire::ShareMessage) -> Option<(&str, share::Message)> {
    use wire::share_message::Kind as Share;
    let share = match message.kind? {
        Share::Demand(requests) => share::Message::Demand(requests),
        Share::GrantPerMille(per_mille) => share::Message::Grant(per_mille),
    };
    Some((&message.pool, share))
}

/// Converts what an instance tells of the rate of an upstream to its protobuf form.
#[must_use]
pub fn rate_to_wire(told: &ToldRate) -> wire::NamedRate {
    let age = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
    wire::NamedRate {
        upstream: told.upstream,
        rate: told.rate.map(Rate::per_second),
        sent_age: age(told.sent_age_ms),
        seen_age: age(told.seen_age_ms),
    }
}

/// Converts a protobuf message about the rate of an upstream; returns `None` if its number is no rate.
#[must_use]
pub fn rate_from_wire(message: &wire::NamedRate) -> Option<ToldRate> {
    let rate = match message.rate {
        Some(per_second) => Some(Rate::new(per_second)?),
        None => None,
    };
    Some(ToldRate {
        upstream: message.upstream,
        rate,
        sent_age_ms: u64::from(message.sent_age),
        seen_age_ms: u64::from(message.seen_age),
    })
}
