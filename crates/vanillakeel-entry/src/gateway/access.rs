//! Whether the key of a request allows it.
//!
//! ```ignore
//! if let Access::Granted(workspace) = check_access(table, route, headers) { /* goes on as this workspace */ }
//! ```

use super::headers;
use http::{
    HeaderMap,
    header, //
};
use vanillakeel::routes::{
    Route,
    Table,
    Workspace, //
};

/// Result of the check of a request's key.
pub(super) enum Access<'a> {
    /// No key is required.
    KeyNotRequired,
    /// The key belongs to this workspace.
    Granted(&'a Workspace),
    /// The key is missing or unknown.
    Denied,
    /// The key may be one that was taken away before this instance started.
    Unknown,
}

/// Checks the key of a request.
pub(super) fn check_access<'a>(table: &'a Table, route: &Route, headers: &HeaderMap) -> Access<'a> {
    if !table.knows_earlier_keys() && headers.contains_key(&header::AUTHORIZATION) {
        return Access::Unknown;
    }
    if route.public {
        return Access::KeyNotRequired;
    }
    let key = bearer_token(headers);
    if !table.requires_keys() {
        return match key {
            Some(key) if table.is_former_key(key) => Access::Denied,
            _ => Access::KeyNotRequired,
        };
    }
    let workspace = key.and_then(|key| table.workspace_of_key(key));
    workspace.map_or(Access::Denied, Access::Granted)
}

/// Returns the bearer token of the `Authorization` header.
fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers::str_value(headers, &header::AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}
