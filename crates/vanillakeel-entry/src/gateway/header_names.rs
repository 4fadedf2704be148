//! Names of the HTTP headers that a deployment uses.
//!
//! An adapter for a platform replaces the default names of [`HeaderNames`] by those of the platform.

use http::HeaderName;

/// Names of the HTTP headers that the daemon reads and sets, in lower case.
///
/// The defaults are the product's own names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of the request, which the upstream returns with its answer.
    pub request_id: HeaderName,
    /// Time for which the caller waits for an answer, in ms.
    pub deadline_ms: HeaderName,
    /// Segments of the prompt, as `ID:TOKENS` entries separated by commas, with a hexadecimal id.
    pub prompt_segments: HeaderName,
    /// Number of tokens of the prompt and largest number of tokens of the answer.
    pub token_counts: HeaderName,
    /// Workspace of the request, set by the instance.
    pub workspace: HeaderName,
    /// Name of the upstream that the request is sent to, set by the instance.
    pub expected_upstream: HeaderName,
    /// Rank of the request at the upstream, set by the instance.
    pub priority: HeaderName,
    /// Address of another upstream from whose cache shared segments of the prompt are fetched, set by
    /// the instance.
    pub cache_source: HeaderName,
    /// Set by an upstream that has not run the request.
    pub not_run: HeaderName,
    /// Set by an upstream on each successful answer, to show that the answer is its own.
    pub seal: HeaderName,
    /// Requests a second that an upstream takes from all instances together, set by one in need.
    pub rate_limit: HeaderName,
    /// Set to `1` by an upstream that leaves, on all its answers.
    pub leaving: HeaderName,
    /// Id of the request that brought the first event of a stream, set by a caller that takes the stream
    /// up with another request.
    pub resumes: HeaderName,
    /// Further headers that only the system may set; they are removed from the requests of callers.
    pub reserved: Vec<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name("x-request-id"),
            deadline_ms: name("x-deadline-ms"),
            prompt_segments: name("x-prompt-parts"),
            token_counts: name("x-token-counts"),
            workspace: name("x-workspace"),
            expected_upstream: name("x-expected-upstream"),
            priority: name("x-priority"),
            cache_source: name("x-cache-source"),
            not_run: name("x-not-run"),
            seal: name("x-seal"),
            rate_limit: name("x-rate-limit"),
            leaving: name("x-leaving"),
            resumes: name("x-resumes"),
            reserved: Vec::new(),
        }
    }
}
