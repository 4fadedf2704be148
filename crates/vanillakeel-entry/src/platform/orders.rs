//! Sending orders and cancels to upstreams.

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

/// Time after which an order is given up; it is given again if it shows no effect.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Something that an upstream is told beside traffic.
#[derive(Debug)]
pub(crate) enum Order {
    /// Load or unload a model.
    Place {
        address: SocketAddr,
        change: &'static str,
        model: String,
        fencing: u64,
    },
    /// Cancel an attempt.
    Cancel {
        address: SocketAddr,
        attempt: String,
    },
}

/// Starts the threads that send orders.
pub(crate) fn spawn_orders(rx: &Receiver<Order>, threads: usize) {
    for _ in 0..threads {
        let rx = rx.clone();
        named("vk-orders", move || {
            for order in rx {
                send(&order);
            }
        });
    }
}

/// Sends an order; one that fails is made up for by the next reconciliation.
fn send(order: &Order) {
    let _ = match order {
        Order::Place {
            address,
            change,
            model,
            fencing,
        } => {
            let body = serde_json::json!({"change": change, "model": model, "fencing": fencing});
            request(Method::POST, &format!("http://{address}/orders"), TIMEOUT)
                .text(body.to_string())
                .send()
        }
        Order::Cancel { address, attempt } => {
            request(Method::POST, &format!("http://{address}/cancel"), TIMEOUT)
                .text(attempt.as_str())
                .send()
        }
    };
}
