//! Upstreams that say in their answers that they leave, or that they want no requests for a while.

use super::Control;
use vanillakeel::{
    Millis,
    availability::{
        BadPause,
        Notice, //
    },
};

/// Time after which an upstream that leaves is tested, if the instance list does not show its processes, in ms: another
/// one may have started under its name.
const UNLISTED_LEAVING_MS: u64 = 60_000;

impl Control {
    /// Records what the head of an answer says of whether its upstream takes further requests.
    ///
    /// That an upstream leaves is told to peers like any other statement about a member. A pause concerns this
    /// instance alone.
    pub(super) fn on_notice(
        &mut self,
        now: Millis,
        attempt: u64,
        notice: Result<Notice, BadPause>,
    ) {
        let mut attempts = self.requests.iter().flat_map(|r| &r.attempts);
        let Some(sent) = attempts.find(|a| a.id == attempt) else {
            return;
        };
        let (upstream, sent_at) = (sent.upstream.clone(), sent.sent);
        let notice = match notice {
            Ok(notice) => notice,
            Err(error) => {
                tracing::warn!(%upstream, %error, "pause of an upstream can't be read");
                return;
            }
        };
        let mut pause_ms = notice.pause_ms;
        if notice.is_leaving {
            if self.membership.set_leaving(&upstream) {
                tracing::info!(%upstream, "upstream says that it leaves");
                self.router.set_leaving(now, &upstream, true);
            }
            if !self.membership.is_leaving(&upstream) {
                pause_ms = pause_ms.max(Some(UNLISTED_LEAVING_MS));
            }
        }
        let change = self.router.on_pause(now, &upstream, sent_at, pause_ms);
        if let Some(change) = change {
            tracing::info!(%upstream, ?change, "upstream pause");
        }
    }
}
