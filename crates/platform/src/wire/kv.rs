//! Reads and single writes.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use super::scalar::{Base64Bytes, Int64};

/// What every answer starts with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// Revision of the store when the answer was made.
    pub revision: Int64,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64Bytes,
    /// Revision at which the key was created.
    pub create_revision: Int64,
    /// Revision at which the key was last written.
    pub mod_revision: Int64,
    /// Number of writes since the key was created, from 1.
    pub version: Int64,
    /// The value.
    pub value: Base64Bytes,
    /// The lease that the key ends with, or 0.
    pub lease: Int64,
}

/// Reads a key, or all keys from `key` to below `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64Bytes,
    /// End of the range, exclusive; empty for one key.
    pub range_end: Base64Bytes,
    /// Largest number of keys in the answer, or 0 for all.
    pub limit: Int64,
    /// Revision to read at, or 0 for the current one.
    pub revision: Int64,
}

/// Answers a [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
    /// Keys in order.
    pub kvs: Vec<KeyValue>,
    /// Tells whether the limit cut the answer.
    pub more: bool,
    /// Number of keys in the range.
    pub count: Int64,
}

/// Writes a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64Bytes,
    /// The value.
    pub value: Base64Bytes,
    /// The lease that the key ends with, or 0.
    pub lease: Int64,
}

/// Answers a [`PutRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct PutResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
}

/// Deletes a key, or all keys from `key` to below `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Base64Bytes,
    /// End of the range, exclusive; empty for one key.
    pub range_end: Base64Bytes,
}

/// Answers a [`DeleteRangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
    /// Number of keys deleted.
    pub deleted: Int64,
}

/// Returns the end of the range that holds all keys with `prefix`.
///
/// A prefix without end, such as an empty one, gives a single zero byte, which
/// the service reads as "all keys from `prefix` on".
///
/// ```
/// assert_eq!(ibisdale_platform::wire::prefix_end(b"/a/"), "/a0");
/// ```
#[must_use]
pub fn prefix_end(prefix: &[u8]) -> Bytes {
    let mut end = BytesMut::from(prefix);
    while let Some(last) = end.last_mut() {
        if *last < u8::MAX {
            *last += 1;
            return end.freeze();
        }
        end.truncate(end.len() - 1);
    }
    Bytes::from_static(b"\0")
}
