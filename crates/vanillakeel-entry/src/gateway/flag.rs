//! Settings that say yes or no, also as text: a template that fills in a value it does not know gives an empty
//! one.

use serde::{
    Deserialize,
    Deserializer,
    de::Error as _, //
};

/// A flag as a setting gives it.
#[derive(Deserialize)]
#[serde(untagged)]
enum Flag {
    Value(bool),
    Text(String),
}

/// Reads a flag that is a boolean, `"true"`, `"false"` or empty.
///
/// # Errors
///
/// Fails for any other value.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    match Flag::deserialize(deserializer)? {
        Flag::Value(value) => Ok(value),
        Flag::Text(text) => match text.trim() {
            "true" => Ok(true),
            "false" | "" => Ok(false),
            other => Err(D::Error::custom(format!(
                "{other:?} is neither true nor false"
            ))),
        },
    }
}
