//! Messages between the threads of an instance.

use crossbeam::channel::Sender;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
};
use vanillakeel::{
    Refusal, Request,
    attempt::End,
    claim::{
        Appended,
        Key, //
    },
    membership::Member,
    routing::LoadReport,
};
use vanillakeel_log::Page;
use vanillakeel_wire::generated::PeerMessage;

/// What the control thread takes.
#[derive(Debug)]
pub(crate) enum Input {
    /// A request came.
    Arrive {
        req: Request,
        key: Option<Key>,
        to: Sender<Command>,
    },
    /// The first part of an answer goes to the caller.
    FirstToken { attempt: u64 },
    /// An attempt has ended.
    End { attempt: u64, end: End },
    /// Tokens of a superseded attempt were thrown away.
    Wasted { tokens: u32 },
    /// The caller has gone.
    CallerGone { request: u64 },
    /// Records of the log.
    Log(Page),
    /// The log could not be read.
    LogDown,
    /// The append of a claim batch has ended.
    Appended { number: u64, end: Appended },
    /// The instance list.
    List(Vec<Member>),
    /// A load report.
    Load(LoadNews),
    /// Cache events of an upstream: prefix, and whether it is cached.
    Cache {
        upstream: Arc<str>,
        events: Vec<(u64, bool)>,
    },
    /// A message of another instance.
    Peer(Box<PeerMessage>),
    /// A stop was asked for; a second one ends it at once.
    Stop,
}

/// A load report of an upstream.
#[derive(Debug)]
pub(crate) struct LoadNews {
    pub(crate) upstream: Arc<str>,
    pub(crate) report: LoadReport,
    pub(crate) models: Vec<Arc<str>>,
    pub(crate) loading: Option<Arc<str>>,
}

/// How far an attempt is; its request's thread writes it and the control thread looks at it now
/// and then, so that no message is needed for tokens.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    tokens: AtomicU32,
    delivered: AtomicU32,
}

impl Progress {
    /// Notes tokens of this attempt, and of the whole answer, that have gone to the caller.
    pub(crate) fn note(&self, tokens: u32, delivered: u32) {
        self.delivered.store(delivered, Ordering::Relaxed);
        self.tokens.store(tokens, Ordering::Relaxed);
    }

    /// Tokens of this attempt, and of the whole answer.
    pub(crate) fn get(&self) -> (u32, u32) {
        let tokens = self.tokens.load(Ordering::Relaxed);
        (tokens, self.delivered.load(Ordering::Relaxed))
    }
}

/// What the control thread tells the thread of a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send the request.
    Send {
        attempt: u64,
        upstream: Arc<str>,
        address: SocketAddr,
        progress: Arc<Progress>,
    },
    /// Give an attempt up.
    Cancel { attempt: u64 },
    /// Give the caller a refusal.
    Refuse(Refusal),
}

/// What an attempt tells the thread of its request.
#[derive(Debug)]
pub(crate) enum Part {
    /// An event of a stream.
    Event { attempt: u64, data: String },
    /// A whole answer of a plain service.
    Whole {
        attempt: u64,
        answer: Whole, //
    },
    /// The attempt has ended.
    Ended { attempt: u64, how: Ended },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Whole {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
}

/// How an attempt has ended, as far as its thread knows.
#[derive(Clone, Debug)]
pub(crate) enum Ended {
    /// The upstream has sent everything.
    Done,
    /// It was too busy.
    Busy,
    /// It refused the request for its form.
    Rejected(Whole),
    /// It has failed.
    Failed { has_run: vanillakeel::Verdict },
}
