//! One call to an upstream, from the choice of the upstream to the end of its response.

use super::{
    client::HttpConnection,
    framing::BodyFraming,
    lines::Kind,
    shared::Shared, //
};
use std::{
    rc::Rc,
    sync::Arc, //
};
use vanillakeel::{
    Millis,
    fleet::{
        CallOutcome,
        InFlightCall,
        Pick, //
    },
};

/// One call to an upstream.
///
/// Dropping it before its end closes the connection, which cancels the work at the upstream.
#[derive(Debug)]
pub(super) struct Call {
    shared: Rc<Shared>,
    request_id: Arc<str>,
    pub(super) pick: Pick,
    in_flight: Option<InFlightCall>,
    first_event: Option<Millis>,
    /// Time at which the request was sent; before that, the time at which the upstream was chosen.
    pub(super) sent: Millis,
    pub(super) connection: Option<HttpConnection>,
    /// How long the connection may stay idle after the response and still be reused, in ms; `None`
    /// if it can't be reused.
    pub(super) max_idle_ms: Option<u64>,
    /// Whether the upstream may leave the body of the request unread while it answers.
    pub(super) has_long_body: bool,
    /// Framing of the response body, once the head has arrived.
    pub(super) framing: BodyFraming,
}

impl Call {
    /// Creates a call that is counted as in flight at its upstream and has no connection yet.
    pub(super) fn new(
        shared: &Rc<Shared>,
        request_id: &Arc<str>,
        pick: Pick,
        in_flight: InFlightCall,
    ) -> Self {
        Self {
            shared: Rc::clone(shared),
            request_id: Arc::clone(request_id),
            pick,
            in_flight: Some(in_flight),
            first_event: None,
            sent: shared.clock.now(),
            connection: None,
            max_idle_ms: None,
            has_long_body: false,
            framing: BodyFraming::default(),
        }
    }

    /// Returns the name of the upstream.
    pub(super) const fn upstream(&self) -> &Arc<str> {
        &self.pick.name
    }

    /// Returns the time since the first event of the response, in ms.
    pub(super) fn answered_ms(&self) -> Option<u64> {
        let now = self.shared.clock.now();
        self.first_event.map(|first| now.since(first))
    }

    /// Limits what the upstream may send until the next part of the body.
    pub(super) fn await_data(&self) {
        if let Some(connection) = &self.connection {
            connection.await_data();
        }
    }

    /// Records the first event of the response.
    pub(super) fn on_first_event(&mut self, now: Millis) {
        self.first_event.get_or_insert(now);
        if let Some(in_flight) = &mut self.in_flight {
            self.shared
                .fleet
                .borrow_mut()
                .on_first_event(now, in_flight);
        }
    }

    /// Ends the call; see [`release`](Self::release).
    pub(super) fn finish(mut self, outcome: CallOutcome) {
        self.release(outcome);
    }

    /// Ends the call in place: reports `outcome` and returns or closes the connection.
    ///
    /// The connection goes back to the pool if the response was read completely and the upstream
    /// keeps the connection open. It is reset if the upstream may not have received the whole request.
    pub(super) fn release(&mut self, outcome: CallOutcome) {
        let now = self.shared.clock.now();
        if let Some(in_flight) = self.in_flight.take() {
            self.shared
                .fleet
                .borrow_mut()
                .on_end(now, in_flight, outcome);
            self.shared.fleet_changed.notify_waiters();
        }
        let Some(connection) = self.connection.take() else {
            return;
        };
        connection.on_response_end();
        let mut pool = self.shared.connection_pool.borrow_mut();
        let is_answered = matches!(outcome, CallOutcome::Success | CallOutcome::Refused);
        let is_reusable = is_answered && !connection.is_closed();
        match self.max_idle_ms {
            Some(ms) if is_reusable && ms > 0 => {
                let cfg = self.shared.settings.borrow().connections;
                let (name, incarnation) = (&self.pick.name, self.pick.incarnation);
                pool.put_idle(&cfg, name, incarnation, connection, now.plus(ms));
            }
            _ => {
                pool.on_closed(&self.pick.name, self.pick.incarnation);
                if !is_answered {
                    connection.reset();
                }
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let is_cancelled = self.in_flight.is_some() && self.connection.is_some();
        if is_cancelled && self.shared.may_log(Kind::Failure) {
            tracing::info!(
                request = %self.request_id,
                upstream = %self.pick.name,
                "cancelled"
            );
        }
        self.release(CallOutcome::Neutral);
    }
}
