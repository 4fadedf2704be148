//! What an engine says in its answers of how much it takes: a rate limit, a pause, or that it leaves.

use super::state::State;
use std::fs;
use vanillakeel_http::ResponseHead;

/// Header that names the requests a second that the engine takes from all instances together.
const RATE_HEADER: &str = "x-rate-limit";

/// Header by which an engine says that it leaves.
const LEAVING_HEADER: &str = "x-leaving";

/// Returns a response head that says what the engine takes now.
pub(super) fn response_head(state: &State, status: u16) -> ResponseHead {
    let mut head = ResponseHead::new(status);
    if let Some(rate) = named_rate(state) {
        head = head.header(RATE_HEADER, &rate);
    }
    let fault = state.faults.get();
    if fault.leaving {
        head = head.header(LEAVING_HEADER, "1");
    }
    if let Some(seconds) = fault.pause_s.filter(|_| status == 503) {
        head = head.header("Retry-After", &seconds.to_string());
    }
    head
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
