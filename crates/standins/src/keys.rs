//! Checks whether a request carries a key that is not the upstream's own.

use http::{HeaderMap, header};

/// Headers that could carry a caller's key.
const KEY_HEADERS: [&str; 5] = [
    "cookie",
    "proxy-authorization",
    "x-api-key",
    "api-key",
    "x-auth-token",
];

/// Tells whether the request lacks the expected credential or carries another.
pub(crate) fn carries_foreign_key(headers: &HeaderMap, credential: Option<&str>) -> bool {
    if KEY_HEADERS.iter().any(|name| headers.contains_key(*name)) {
        return true;
    }
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let Some(credential) = credential else {
        return values.next().is_some();
    };
    let expected = format!("Bearer {credential}");
    let is_expected = values
        .next()
        .is_some_and(|value| value.as_bytes() == expected.as_bytes());
    !is_expected || values.next().is_some()
}
