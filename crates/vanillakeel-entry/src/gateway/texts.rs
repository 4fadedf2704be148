//! Texts of configurations that a hub passes on to its members.
//!
//! A hub keeps the compressed text of the version in force. A member that hears of a newer version from its hub asks the
//! hub for the text first, and reads the log only if the text does not arrive in time. A hub that the log does not serve
//! asks the member that reads for it. What a member gets counts like
//! what it reads itself, apart from the confirmation that it is the newest, which only the hub's summaries give.

use super::{
    datagrams,
    shared::Shared, //
};
use bytes::Bytes;
use std::time::Duration;
use tokio::time::timeout;
use vanillakeel::mesh::{
    PartedText,
    Peer,
    TextAssembly,
    TextPart, //
};
use vanillakeel_wire::{
    compression::{
        compress_bytes,
        decompress_bytes, //
    },
    generated::{
        MeshTextPart,
        MeshTextQuery,
        mesh_message::Kind, //
    },
};

/// Time without a part after which the missing ones are asked for again, in ms.
const PART_DUE_MS: u64 = 100;

/// Number of queries without a part after which the text is given up.
const MAX_QUERIES: u32 = 3;

/// Largest text that is passed on, in bytes.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// Most parts that are asked for at once, so that those of one answer fit into the buffer of a socket.
const MAX_ASKED: usize = 100;

/// Keeps the text of a version for the members of this hub; other instances keep none.
pub(super) fn keep(shared: &Shared, version: u64, text: &[u8]) {
    let now = shared.clock.now();
    let is_asked = {
        let mesh = shared.mesh.borrow();
        mesh.reporting_members(now) > 0 || mesh.reads_for_hub(now)
    };
    let kept = is_asked.then(|| PartedText::new(version, compress_bytes(text)));
    shared.text.replace(kept);
}

/// Sends the parts that a peer asks for, if this instance keeps the text of that version.
pub(super) fn on_query(shared: &Shared, peer: &Peer, query: &MeshTextQuery) {
    let text = shared.text.borrow();
    let Some(text) = text.as_ref().filter(|t| t.version() == query.version) else {
        return;
    };
    for part in text.parts(&query.missing).take(MAX_ASKED) {
        let message = MeshTextPart {
            version: part.version,
            digest: part.digest,
            parts: part.parts,
            part: part.part,
            data: part.data.to_vec(),
        };
        datagrams::try_send(shared, peer, Kind::TextPart(message));
    }
}

/// Adds a part to the text that this instance has asked for.
pub(super) fn on_part(shared: &Shared, wire: &MeshTextPart) {
    let part = TextPart {
        version: wire.version,
        digest: wire.digest,
        parts: wire.parts,
        part: wire.part,
        data: &wire.data,
    };
    let mut assembly = shared.text_assembly.borrow_mut();
    if assembly.as_mut().is_some_and(|a| a.add(&part)) {
        shared.text_part_added.notify_one();
    }
}

/// Asks the hub, or the member that reads for this hub, for the text of a newer version that was announced; returns `None`
/// if there is none or it does not arrive.
pub(super) async fn fetch(shared: &Shared) -> Option<Bytes> {
    let now = shared.clock.now();
    let version = shared.in_force.borrow().superseded_by(now)?;
    let peer = shared.mesh.borrow().text_source(now).cloned()?;
    shared
        .text_assembly
        .replace(Some(TextAssembly::new(version)));
    let compressed = collect(shared, &peer, version).await;
    shared.text_assembly.replace(None);
    let text = decompress_bytes(&compressed?, MAX_TEXT_BYTES)?;
    shared.metrics.passed_texts.inc();
    tracing::debug!(version, peer = %peer.name, bytes = text.len(), "configuration passed on");
    Some(Bytes::from(text))
}

/// Asks for the missing parts until the text is complete or too many queries have brought nothing.
async fn collect(shared: &Shared, peer: &Peer, version: u64) -> Option<Vec<u8>> {
    let mut queries_left = MAX_QUERIES;
    loop {
        let mut missing = shared.text_assembly.borrow().as_ref()?.missing();
        missing.truncate(MAX_ASKED);
        let last = missing.last().map_or(MAX_ASKED as u32 - 1, |last| *last);
        datagrams::try_send(
            shared,
            peer,
            Kind::TextQuery(MeshTextQuery { version, missing }),
        );
        let has_part = wait_for_parts(shared, last).await;
        if let Some(text) = shared.text_assembly.borrow().as_ref()?.complete() {
            return Some(text);
        }
        queries_left = if has_part {
            MAX_QUERIES
        } else {
            queries_left - 1
        };
        if queries_left == 0 {
            return None;
        }
    }
}

/// Waits until all parts up to the number `last` have come, or none comes any more; returns whether any has come.
async fn wait_for_parts(shared: &Shared, last: u32) -> bool {
    let mut has_part = false;
    loop {
        let added = shared.text_part_added.notified();
        if timeout(Duration::from_millis(PART_DUE_MS), added)
            .await
            .is_err()
        {
            return has_part;
        }
        has_part = true;
        let assembly = shared.text_assembly.borrow();
        let Some(assembly) = assembly.as_ref() else {
            return has_part;
        };
        if assembly.missing().first().is_none_or(|first| *first > last) {
            return has_part;
        }
    }
}
