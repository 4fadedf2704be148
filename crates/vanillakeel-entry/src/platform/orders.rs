//! The threads that send placement commands and cancellations to upstreams.

use crate::spawn::named;
use crossbeam::channel::Receiver;
use std::{
    net::SocketAddr,
    time::Duration, //
};
use vanillakeel_http::{
    Method,
    request, //
};

/// Timeout of a command; a placement command without effect is sent again by reconciliation.
const TIMEOUT: Duration = Duration::from_secs(1);

/// A command to an upstream.
#[derive(Debug)]
pub(crate) enum UpstreamCommand {
    /// Load or unload a model; the upstream rejects an outdated fencing token.
    ChangeModel {
        address: SocketAddr,
        change: &'static str,
        model: String,
        fencing_token: u64,
    },
    /// Cancel an attempt.
    CancelAttempt {
        address: SocketAddr,
        attempt: String,
    },
}

/// Starts the threads that send commands.
pub(crate) fn spawn_command_senders(rx: &Receiver<UpstreamCommand>, threads: usize) {
    for _ in 0..threads {
        let rx = rx.clone();
        named("vk-orders", move || {
            for command in rx {
                send(&command);
            }
        });
    }
}

/// Sends a command and ignores errors; a failed placement command is repeated by reconciliation.
fn send(command: &UpstreamCommand) {
    let _ = match command {
        UpstreamCommand::ChangeModel {
            address,
            change,
            model,
            fencing_token,
        } => {
            let body =
                serde_json::json!({"change": change, "model": model, "fencing": fencing_token});
            request(Method::POST, &format!("http://{address}/orders"), TIMEOUT)
                .text(body.to_string())
                .send()
        }
        UpstreamCommand::CancelAttempt { address, attempt } => {
            request(Method::POST, &format!("http://{address}/cancel"), TIMEOUT)
                .text(attempt.as_str())
                .send()
        }
    };
}
