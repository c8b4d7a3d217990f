//! Watches, and the lines of streamed answers.

use serde::{Deserialize, Serialize};

use super::kv::{KeyValue, ResponseHeader};
use super::scalar::{Base64Bytes, Int64};

/// Opens a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What is watched.
    pub create_request: WatchCreateRequest,
}

/// Names the keys to watch and where to start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Base64Bytes,
    /// End of the range, exclusive; empty for one key.
    pub range_end: Base64Bytes,
    /// First revision to report, or 0 for what comes from now on.
    pub start_revision: Int64,
    /// Asks for empty answers with the current revision while nothing changes.
    pub progress_notify: bool,
}

/// Tells what happened to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted, or its lease ended.
    Delete,
}

/// One change of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchEvent {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The key as it is now; without value when deleted.
    pub kv: KeyValue,
}

/// A line of a watch's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
    /// Set on the first line.
    pub created: bool,
    /// Set when the service ends the watch.
    pub canceled: bool,
    /// Set when the start revision is no longer held: the oldest one that is.
    pub compact_revision: Int64,
    /// Changes in order.
    pub events: Vec<WatchEvent>,
}

/// The service's description of an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ErrorBody {
    /// The gRPC status code.
    pub code: i32,
    /// The explanation.
    pub message: String,
}

/// A line of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamLine<T> {
    /// An answer.
    Result(T),
    /// The error that ends the stream.
    Error(ErrorBody),
}
