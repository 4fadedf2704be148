//! Settings that a template may leave out: an empty text, or a unit without a number, stands for the default.

use super::{
    duration,
    settings::{
        Duties,
        DutyTasks, //
    },
};
use serde::{
    Deserialize,
    Deserializer,
    de::Error, //
};
use std::net::SocketAddr;

/// A value as it stands in the settings.
#[derive(Deserialize)]
#[serde(untagged)]
enum Written {
    Number(f64),
    Text(String),
}

/// Reads a whole number, also as text; an empty one is zero and a fraction is cut.
///
/// # Errors
///
/// Fails for a negative number, one that is not finite and any other text.
pub(super) fn deserialize_whole<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<u64, D::Error> {
    let number = match Written::deserialize(deserializer) {
        Ok(Written::Number(number)) => Some(number),
        Ok(Written::Text(text)) if text.trim().is_empty() => Some(0.0),
        Ok(Written::Text(text)) => text.trim().parse().ok(),
        Err(_) => None,
    };
    let is_valid = |number: &f64| number.is_finite() && *number >= 0.0;
    let whole = number.filter(is_valid).map(|number| number as u64);
    whole.ok_or_else(|| D::Error::custom("has to be a number that is 0 or more"))
}

/// Reads an address; an empty text is none.
///
/// # Errors
///
/// Fails for any other text that is no address and port.
pub(super) fn deserialize_address<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(deserializer)?;
    if text.trim().is_empty() {
        return Ok(None);
    }
    let address = text.trim().parse();
    address
        .map(Some)
        .map_err(|_| D::Error::custom(format!("{text:?} is no address with a port")))
}

/// Reads the tasks of duties from a text with commas; unknown ones are passed over.
///
/// # Errors
///
/// Fails if the value is no text.
pub(super) fn deserialize_tasks<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<DutyTasks, D::Error> {
    let text = String::deserialize(deserializer)?;
    let has = |task: &str| text.split(',').any(|t| t.trim() == task);
    Ok(DutyTasks {
        reports_usage: has("usage_report"),
        orders_upstreams: has("autoscale"),
    })
}

/// Reads the time of a lease, in ms.
///
/// # Errors
///
/// Fails for a value that is no time.
pub(super) fn deserialize_lease_ms<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<u64, D::Error> {
    deserialize_ms_or(deserializer, Duties::default().lease_ms)
}

/// Reads the length of a usage window, in ms.
///
/// # Errors
///
/// Fails for a value that is no time.
pub(super) fn deserialize_usage_window_ms<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<u64, D::Error> {
    deserialize_ms_or(deserializer, Duties::default().usage_window_ms)
}

/// Reads the time within which usage is due, in ms.
///
/// # Errors
///
/// Fails for a value that is no time.
pub(super) fn deserialize_usage_due_ms<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<u64, D::Error> {
    deserialize_ms_or(deserializer, Duties::default().usage_due_ms)
}

/// Reads a time, or returns a default for a text without a number.
fn deserialize_ms_or<'de, D: Deserializer<'de>>(
    deserializer: D,
    default_ms: u64,
) -> Result<u64, D::Error> {
    let written = Written::deserialize(deserializer);
    match &written {
        Ok(Written::Text(text)) if !text.contains(|c: char| c.is_ascii_digit()) => {
            return Ok(default_ms);
        }
        _ => {}
    }
    duration::checked_ms(written.ok().and_then(|w| match w {
        Written::Number(ms) => Some(ms),
        Written::Text(text) => duration::parse_ms(&text).or_else(|| text.trim().parse().ok()),
    }))
}
