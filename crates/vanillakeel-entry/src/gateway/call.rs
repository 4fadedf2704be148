//! One send of a request to an upstream, from the choice to the end of its answer.

use super::{
    client::Client,
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

/// One send of a request to an upstream.
///
/// Dropped before its end, it closes the connection, which cancels the work there.
#[derive(Debug)]
pub(super) struct Call {
    shared: Rc<Shared>,
    request: Arc<str>,
    pub(super) pick: Pick,
    ticket: Option<InFlightCall>,
    pub(super) client: Option<Client>,
    /// How long the connection may be kept after the answer, in ms.
    pub(super) keep_ms: Option<u64>,
}

impl Call {
    /// Starts a call that is counted at an upstream and has no connection yet.
    pub(super) fn new(
        shared: &Rc<Shared>,
        request: &Arc<str>,
        pick: Pick,
        ticket: InFlightCall,
    ) -> Self {
        Self {
            shared: Rc::clone(shared),
            request: Arc::clone(request),
            pick,
            ticket: Some(ticket),
            client: None,
            keep_ms: None,
        }
    }

    /// Name of the upstream.
    pub(super) const fn upstream(&self) -> &Arc<str> {
        &self.pick.name
    }

    /// Takes note of the first event.
    pub(super) fn on_first(&mut self, now: Millis) {
        if let Some(ticket) = &mut self.ticket {
            self.shared.fleet.borrow_mut().on_first_event(now, ticket);
        }
    }

    /// Ends the call; its connection is kept if the whole answer was read.
    pub(super) fn end(mut self, end: CallOutcome) {
        self.settle(end);
    }

    /// Ends the call in place.
    pub(super) fn settle(&mut self, end: CallOutcome) {
        let now = self.shared.clock.now();
        if let Some(ticket) = self.ticket.take() {
            self.shared.fleet.borrow_mut().on_end(now, ticket, end);
            self.shared.fleet_changed.notify_waiters();
        }
        let Some(client) = self.client.take() else {
            return;
        };
        let mut sockets = self.shared.sockets.borrow_mut();
        let keeps =
            matches!(end, CallOutcome::Success | CallOutcome::Refused) && !client.is_closed();
        match self.keep_ms {
            Some(ms) if keeps && ms > 0 => {
                let cfg = self.shared.settings.borrow().connections;
                let (name, incarnation) = (&self.pick.name, self.pick.incarnation);
                sockets.put(&cfg, name, incarnation, client, now.plus(ms));
            }
            _ => sockets.on_closed(&self.pick.name, self.pick.incarnation),
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let is_cut = self.ticket.is_some() && self.client.is_some();
        if is_cut && self.shared.may_log(Kind::Failure) {
            tracing::info!(
                request = %self.request,
                upstream = %self.pick.name,
                "cancelled"
            );
        }
        self.settle(CallOutcome::Neutral);
    }
}
