//! Names of the headers that a deployment uses.

use http::HeaderName;

/// Names of headers, in lower case.
///
/// The default ones are the product's own.
#[derive(Clone, Debug)]
pub struct Names {
    /// Identity of a request, which an upstream echoes.
    pub request_id: HeaderName,
    /// Time that the caller waits, in ms.
    pub deadline_ms: HeaderName,
    /// Parts of the prompt, as `ID:TOKENS` entries with the id in hexadecimal.
    pub prompt_parts: HeaderName,
    /// Tokens of the prompt and most tokens of the answer.
    pub token_counts: HeaderName,
    /// The workspace, set by the instance.
    pub workspace: HeaderName,
    /// The upstream that a request is meant for, set by the instance.
    pub expected_upstream: HeaderName,
    /// Rank at the upstream, set by the instance.
    pub priority: HeaderName,
    /// Mark of an upstream that it has not run the request.
    pub not_run: HeaderName,
    /// Proof that an answer is the upstream's own.
    pub seal: HeaderName,
    /// Headers that only the instance sets; what a caller sends under these names is dropped.
    pub reserved: Vec<HeaderName>,
}

impl Default for Names {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name("x-request-id"),
            deadline_ms: name("x-deadline-ms"),
            prompt_parts: name("x-prompt-parts"),
            token_counts: name("x-token-counts"),
            workspace: name("x-workspace"),
            expected_upstream: name("x-expected-upstream"),
            priority: name("x-priority"),
            not_run: name("x-not-run"),
            seal: name("x-seal"),
            reserved: Vec::new(),
        }
    }
}
