//! Messages between the threads of an instance.
//!
//! All threads send an [`Input`] to the control thread. It sends a [`Command`] to the thread of a
//! request, which starts a thread for each attempt and gets [`AttemptMessage`]s from it.

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
    availability::{
        BadPause,
        Notice, //
    },
    claim::{
        Appended,
        Key, //
    },
    membership::Member,
    rate_limits::{
        BadRate,
        Rate, //
    },
    routing::LoadReport,
};
use vanillakeel_log::Page;
use vanillakeel_wire::generated::PeerMessage;

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A request has arrived.
    Request {
        req: Request,
        key: Option<Key>,
        /// Channel to the thread of the request.
        commands: Sender<Command>,
    },
    /// The first token of an attempt, or the start of its answer, goes to the caller.
    FirstToken { attempt: u64 },
    /// The head of an attempt's answer has arrived, with the rate that it names and whether its upstream takes further
    /// requests.
    AnswerHead {
        attempt: u64,
        rate: Result<Option<Rate>, BadRate>,
        notice: Result<Notice, BadPause>,
    },
    /// An attempt has ended.
    AttemptEnded { attempt: u64, end: End },
    /// Tokens of an attempt were discarded because another attempt answers the request.
    WastedTokens { tokens: u32 },
    /// The caller has closed the connection.
    CallerGone { request: u64 },
    /// A page of records read from the log.
    Log(Page),
    /// A read of the log has failed.
    LogReadFailed,
    /// The append of a batch of claims has ended.
    ClaimsAppended { number: u64, end: Appended },
    /// The members on the instance list.
    InstanceList(Vec<Member>),
    /// A load report of an upstream.
    LoadReport(UpstreamLoad),
    /// Cache events of an upstream: the hash of a prefix, and whether it is now cached.
    CacheEvents {
        upstream: Arc<str>,
        events: Vec<(u64, bool)>,
    },
    /// A message from another instance.
    PeerMessage(Box<PeerMessage>),
    /// A planned stop was requested; a second request ends the instance at once.
    Stop,
}

/// The load and the models that an upstream reports.
#[derive(Debug)]
pub(crate) struct UpstreamLoad {
    pub(crate) upstream: Arc<str>,
    pub(crate) report: LoadReport,
    pub(crate) models: Vec<Arc<str>>,
    /// The model that it is loading, if any.
    pub(crate) loading: Option<Arc<str>>,
}

/// Progress of an attempt.
///
/// The thread of the request writes it and the control thread polls it, so that no message per token
/// is needed.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    tokens: AtomicU32,
    delivered: AtomicU32,
}

impl Progress {
    /// Records how many tokens of this attempt, and of the answer as a whole, the caller has got.
    pub(crate) fn record(&self, tokens: u32, delivered: u32) {
        self.delivered.store(delivered, Ordering::Relaxed);
        self.tokens.store(tokens, Ordering::Relaxed);
    }

    /// Returns the tokens of this attempt and those of the answer as a whole.
    pub(crate) fn get(&self) -> (u32, u32) {
        let tokens = self.tokens.load(Ordering::Relaxed);
        (tokens, self.delivered.load(Ordering::Relaxed))
    }
}

/// A command of the control thread to the thread of a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt at an upstream.
    Send {
        attempt: u64,
        upstream: Arc<str>,
        address: SocketAddr,
        progress: Arc<Progress>,
    },
    /// Cancel an attempt.
    Cancel { attempt: u64 },
    /// End the request with a refusal.
    Refuse(Refusal),
}

/// A message from the thread of an attempt to the thread of its request.
#[derive(Debug)]
pub(crate) enum AttemptMessage {
    /// The head of the answer has arrived; `rate` and `notice` are what it says in the headers for that.
    Head {
        attempt: u64,
        rate: Result<Option<Rate>, BadRate>,
        notice: Result<Notice, BadPause>,
    },
    /// The data of a server-sent event.
    Event { attempt: u64, data: String },
    /// The complete answer of a plain service.
    Whole { attempt: u64, answer: WholeAnswer },
    /// The attempt has ended.
    Ended {
        attempt: u64,
        outcome: AttemptOutcome,
    },
}

/// A complete answer that is not streamed.
#[derive(Clone, Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
}

/// How an attempt has ended.
#[derive(Clone, Debug)]
pub(crate) enum AttemptOutcome {
    /// The upstream has sent its complete answer.
    Done,
    /// The upstream could not accept the request at present and has not run it.
    Busy,
    /// The upstream rejected the request as invalid, with this answer.
    Rejected(WholeAnswer),
    /// The attempt has failed; the verdict says whether the upstream may have run the request.
    Failed { verdict: vanillakeel::Verdict },
}
