//! The progress of calls: what a sent request adds to the load, and what its answer teaches.

use super::{
    request::{
        Pick,
        PromptSegment,
        RequestInfo, //
    },
    state::Fleet,
    upstream::CallOutcome, //
};
use crate::Millis;
use std::sync::Arc;

/// Fewest tokens, of the prompt of a call and those ahead of it, for which the call gives a sample of
/// the prefill time.
const MIN_SAMPLE_TOKENS: u64 = 2_000;

/// Largest factor between the initial and the learnt prefill time per token.
const MAX_LEARNT_FACTOR: f64 = 4.0;

/// Weight of a new sample in the moving average (EWMA) of the prefill time.
const PREFILL_EWMA_WEIGHT: f64 = 0.05;

/// Handle of a call in flight, which [`Fleet::on_end`] takes back.
#[derive(Clone, Debug)]
pub struct InFlightCall {
    name: Arc<str>,
    incarnation: u64,
    prefill_tokens: u32,
    tokens_ahead: u64,
    rank: usize,
    is_short_prompt: bool,
    has_prompt: bool,
    sent: Millis,
    is_prefill_done: bool,
    /// Segments of the prompt that other requests may share.
    shared: Vec<PromptSegment>,
}

impl Fleet {
    /// Counts a call that is sent to the chosen upstream, and records the use of its shared segments
    /// there.
    pub fn on_send(&mut self, now: Millis, pick: &Pick, request: &RequestInfo<'_>) -> InFlightCall {
        let rank = request.rank_index();
        let is_short_prompt = self.is_short_prompt(request);
        if let Some(upstream) = self.find_incarnation(&pick.name, pick.incarnation) {
            upstream.load.calls[rank] += 1;
            upstream.load.prefill_tokens[rank] += u64::from(pick.prefill_tokens);
            upstream.health.on_send();
            upstream.rate_limit.on_send(now);
            upstream.availability.on_send(now);
            for segment in request.shared() {
                upstream.cached.on_use(now, segment.id);
            }
        }
        self.shares_mut().record(now, request, pick.prefill_tokens);
        if is_short_prompt {
            self.short_prompt_calls += 1;
        }
        InFlightCall {
            name: Arc::clone(&pick.name),
            incarnation: pick.incarnation,
            prefill_tokens: pick.prefill_tokens,
            tokens_ahead: pick.tokens_ahead,
            rank,
            is_short_prompt,
            has_prompt: request.prompt_tokens > 0,
            sent: now,
            is_prefill_done: false,
            shared: request.shared().to_vec(),
        }
    }

    /// Records the shared segments of a call whose prefill is done as cached, and announces those
    /// for which this is new.
    fn record_computed_segments(&mut self, now: Millis, call: &InFlightCall) {
        let min_tokens = self.settings().announced_min_tokens;
        let Some(upstream) = self.find_incarnation(&call.name, call.incarnation) else {
            return;
        };
        let hash = upstream.hash;
        let mut computed = Vec::new();
        for segment in &call.shared {
            if upstream.cached.on_computed(now, segment.id) && segment.tokens >= min_tokens {
                computed.push(segment.id);
            }
        }
        for segment in computed {
            self.cache_notices.record(now, segment, hash);
        }
    }

    /// Updates the prefill time from the time to the first event, which includes the effect of all
    /// other load.
    fn learn_prefill_time(&mut self, now: Millis, call: &InFlightCall) {
        let tokens = call.tokens_ahead + u64::from(call.prefill_tokens);
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let ms_per_token = now.since(call.sent) as f64 / tokens as f64;
        let ratio = ms_per_token / self.prefill_ms_per_token;
        // What is ahead may have ended without prefill, if it was refused or cancelled: this is no sign of a fast one.
        let is_mostly_own = call.tokens_ahead <= u64::from(call.prefill_tokens);
        let ratio = if is_mostly_own { ratio } else { ratio.max(1.0) };
        self.record_speed(now, call, ratio);
        let initial = self.settings().prefill_ms_per_token;
        let ms_per_token =
            ms_per_token.clamp(initial / MAX_LEARNT_FACTOR, initial * MAX_LEARNT_FACTOR);
        self.prefill_ms_per_token +=
            PREFILL_EWMA_WEIGHT * (ms_per_token - self.prefill_ms_per_token);
    }

    /// Records how long a call without a prompt took, against the mean of its service.
    fn learn_duration(&mut self, now: Millis, call: &InFlightCall) {
        if call.has_prompt {
            return;
        }
        let Some(service) = self
            .named(&call.name)
            .map(|u| Arc::clone(&u.listed.service))
        else {
            return;
        };
        let ms = now.since(call.sent).max(1) as f64;
        if let Some(mean_ms) = self.service_speeds.record_call(&service, ms) {
            self.record_speed(now, call, ms / mean_ms);
        }
    }

    /// Adds a sample of the speed of an upstream.
    fn record_speed(&mut self, now: Millis, call: &InFlightCall, ratio: f64) {
        if let Some(upstream) = self.find_incarnation(&call.name, call.incarnation) {
            upstream.speed.record_own(now, ratio);
        }
        self.update_slowness(now, &call.name);
    }

    /// Records the first event of a call, which shows that its prefill is done.
    pub fn on_first_event(&mut self, now: Millis, call: &mut InFlightCall) {
        if !call.is_prefill_done {
            self.learn_prefill_time(now, call);
            self.record_computed_segments(now, call);
        }
        self.on_prefill_done(call);
    }

    fn on_prefill_done(&mut self, call: &mut InFlightCall) {
        if call.is_prefill_done {
            return;
        }
        call.is_prefill_done = true;
        let tokens = u64::from(call.prefill_tokens);
        if let Some(upstream) = self.find_incarnation(&call.name, call.incarnation) {
            let left = &mut upstream.load.prefill_tokens[call.rank];
            *left = left.saturating_sub(tokens);
        }
    }

    /// Records the end of a call.
    ///
    /// A failed connection or repeated failures eject the upstream, unless too large a share of the
    /// service is ejected already. [`CallOutcome::Failed`] ejects an upstream that is ejected or
    /// being probed again in any case.
    pub fn on_end(&mut self, now: Millis, mut call: InFlightCall, outcome: CallOutcome) {
        self.on_prefill_done(&mut call);
        if call.is_short_prompt {
            self.short_prompt_calls = self.short_prompt_calls.saturating_sub(1);
        }
        if outcome == CallOutcome::Success {
            self.learn_duration(now, &call);
        }
        let may_eject = self.may_eject(&call.name);
        let limit = self.settings().failures_to_eject;
        let Some(upstream) = self.find_incarnation(&call.name, call.incarnation) else {
            return;
        };
        let calls = &mut upstream.load.calls[call.rank];
        *calls = calls.saturating_sub(1);
        upstream.availability.on_end(now, call.sent);
        match outcome {
            CallOutcome::Success => {
                upstream.record_duration(now.since(call.sent));
                upstream.consecutive_failures = 0;
                upstream.health.on_success(upstream.listed.slots);
            }
            CallOutcome::ConnectFailed if may_eject => upstream.health.eject(now),
            CallOutcome::Refused | CallOutcome::Neutral | CallOutcome::ConnectFailed => {
                upstream.health.on_neutral(now);
            }
            CallOutcome::Failed => {
                upstream.consecutive_failures += 1;
                let is_ejected = upstream.health.is_ejected();
                if is_ejected || (upstream.consecutive_failures >= limit && may_eject) {
                    upstream.consecutive_failures = 0;
                    upstream.health.eject(now);
                }
            }
        }
    }

    /// Returns whether one more upstream of the service of `name` may be ejected.
    fn may_eject(&self, name: &str) -> bool {
        let Some(service) = self.named(name).map(|u| &u.listed.service) else {
            return false;
        };
        let total = self.of_service(service).count();
        let ejected = self
            .of_service(service)
            .filter(|u| u.health.is_ejected())
            .count();
        (ejected + 1) as f64 <= total as f64 * self.settings().max_ejected_share
    }
}
