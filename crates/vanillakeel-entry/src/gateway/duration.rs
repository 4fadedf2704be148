//! Times in settings, which may be written with a unit.
//!
//! A number without a unit counts ms, such as `250` or `250.5`; a text has a unit, such as `"8 s"`, `"0.5 s"` or
//! `"250 ms"`. A part of a ms is left out.

use serde::{
    Deserialize,
    Deserializer,
    de::Error, //
};

/// A time as it stands in the settings.
#[derive(Deserialize)]
#[serde(untagged)]
enum Written {
    Number(f64),
    Text(String),
}

/// Reads a time, in ms.
///
/// # Errors
///
/// Returns an error for a negative number, one that is not finite, and a text without a known unit.
pub(super) fn deserialize_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let ms = match Written::deserialize(deserializer) {
        Ok(Written::Number(ms)) => Some(ms),
        Ok(Written::Text(text)) => parse_ms(&text),
        Err(_) => None,
    };
    checked_ms(ms)
}

/// Truncates a time to whole ms.
///
/// # Errors
///
/// Returns an error for a missing or negative number and one that is not finite.
pub(super) fn checked_ms<E: Error>(ms: Option<f64>) -> Result<u64, E> {
    let is_valid = |ms: &f64| ms.is_finite() && *ms >= 0.0;
    ms.filter(is_valid)
        .map(|ms| ms as u64)
        .ok_or_else(|| E::custom("has to be a number of ms, or a text with a unit such as \"8 s\""))
}

/// Reads a number with a unit, in ms.
pub(super) fn parse_ms(text: &str) -> Option<f64> {
    let text = text.trim();
    let (number, unit_ms) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Some(number * unit_ms)
}
