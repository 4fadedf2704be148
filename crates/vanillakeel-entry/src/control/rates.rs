//! Rate limits that upstreams name in their answers, and what instances tell each other of them.

use super::Control;
use crate::metrics::Metrics;
use vanillakeel::{
    Millis,
    rate_limits::{
        BadRate,
        Rate,
        RateChange, //
    },
};
use vanillakeel_wire::{
    convert::{
        rate_from_wire,
        rate_to_wire, //
    },
    generated::{
        NamedRate,
        PeerMessage, //
    },
};

impl Control {
    /// Records the rate that the head of an answer names, if it names one; a value that can't be read changes
    /// nothing.
    pub(super) fn on_answer_head(
        &mut self,
        now: Millis,
        attempt: u64,
        rate: Result<Option<Rate>, BadRate>,
    ) {
        let mut attempts = self.requests.iter().flat_map(|r| &r.attempts);
        let Some(sent) = attempts.find(|a| a.id == attempt) else {
            return;
        };
        match rate {
            Ok(rate) => {
                let change = self
                    .router
                    .on_rate_answer(now, &sent.upstream, sent.sent, rate);
                log_change(change.as_ref(), None);
            }
            Err(error) => {
                Metrics::count(&self.metrics().bad_rates, "answer", 1);
                tracing::debug!(upstream = %sent.upstream, %error, "rate limit can't be read");
            }
        }
    }

    /// Encodes what other instances should know of the rates of upstreams.
    pub(super) fn rates_to_wire(&self) -> Vec<NamedRate> {
        let told = self.router.told_rates(self.now());
        told.iter().map(rate_to_wire).collect()
    }

    /// Applies what another instance tells of the rates of upstreams; numbers that are no rates are left out.
    pub(super) fn on_told_rates(&mut self, now: Millis, message: &PeerMessage) {
        for wire in &message.rates {
            let Some(told) = rate_from_wire(wire) else {
                Metrics::count(&self.metrics().bad_rates, "peer", 1);
                continue;
            };
            let change = self.router.on_told_rate(now, &told);
            log_change(change.as_ref(), Some(&message.from));
        }
    }

    /// Updates the metrics of the rate limits.
    pub(super) fn publish_rates(&self) {
        let totals = self.router.rate_totals();
        let metrics = self.metrics();
        metrics.limited_upstreams.set(i64::from(totals.upstreams));
        metrics.named_rate.set(totals.per_second);
        metrics.own_rate.set(totals.own_per_second);
    }
}

/// Logs that an upstream names another rate; `peer` is the instance that has told so.
fn log_change(change: Option<&RateChange>, peer: Option<&str>) {
    let Some(change) = change else {
        return;
    };
    tracing::info!(
        upstream = %change.upstream,
        pool = %change.service,
        rate = change.rate.map(Rate::per_second),
        previous = change.previous.map(Rate::per_second),
        part = change.part.per_second,
        holders = change.part.holders,
        instances = change.part.instances,
        peer,
        "rate limit changed"
    );
}
