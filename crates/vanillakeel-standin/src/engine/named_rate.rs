//! The rate limit that an engine names in its answers.

use super::state::State;
use std::fs;
use vanillakeel_http::ResponseHead;

/// Header that names the requests a second that the engine takes from all instances together.
const RATE_HEADER: &str = "x-rate-limit";

/// Returns a response head that names the rate limit, if there is one now.
pub(super) fn response_head(state: &State, status: u16) -> ResponseHead {
    let head = ResponseHead::new(status);
    match named_rate(state) {
        Some(rate) => head.header(RATE_HEADER, &rate),
        None => head,
    }
}

/// Returns the rate to name: that of the faults, that in the file, or the one for a long queue.
fn named_rate(state: &State) -> Option<String> {
    let settings = &state.settings;
    let fault = state.faults.get().rate_limit.map(|r| r.to_string());
    let from_file = || {
        let text = fs::read_to_string(settings.rate_file.as_ref()?).ok()?;
        Some(text.trim().to_owned()).filter(|t| !t.is_empty())
    };
    let by_load = || {
        let (rate, waiting) = settings.rate_above_waiting?;
        (state.lock().scheduler.waiting() > waiting).then(|| rate.to_string())
    };
    fault.or_else(from_file).or_else(by_load)
}
