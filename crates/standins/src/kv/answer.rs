//! Calls to the store and their answers in JSON.

use std::time::Instant;

use bytes::Bytes;
use http::{Response, StatusCode};
use ibisdale_net::{BoxBody, full_body};
use ibisdale_platform::KvCallKind;
use ibisdale_platform::wire::{ErrorBody, LeaseKeepAliveRequest, LeaseRevokeRequest, StreamLine};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::store::{KvStore, StoreError};

/// gRPC status codes that the service uses.
const CODE_INVALID_ARGUMENT: i32 = 3;
const CODE_NOT_FOUND: i32 = 5;
const CODE_FAILED_PRECONDITION: i32 = 9;
const CODE_OUT_OF_RANGE: i32 = 11;

/// An answer and whether the store has changed.
pub(crate) struct CallAnswer {
    pub(crate) response: Response<BoxBody>,
    pub(crate) is_changed: bool,
}

/// Runs a call other than a watch.
pub(crate) fn run_call(
    store: &mut KvStore,
    kind: KvCallKind,
    body: &[u8],
    read_lag: i64,
) -> CallAnswer {
    let before = store.revision;
    let now = Instant::now();
    let response = match kind {
        KvCallKind::Range => run(body, |request| store.read(&request, read_lag)),
        KvCallKind::Put => run(body, |request| store.put(request)),
        KvCallKind::Txn => run(body, |request| store.txn(request)),
        KvCallKind::DeleteRange => run(body, |request| store.delete(&request)),
        KvCallKind::LeaseGrant => run(body, |request| store.grant_lease(&request, now)),
        KvCallKind::LeaseRevoke => run(body, |request: LeaseRevokeRequest| {
            store.revoke_lease(request.id.0)
        }),
        KvCallKind::LeaseKeepAlive => run(body, |request: LeaseKeepAliveRequest| {
            Ok(StreamLine::Result(store.keep_lease(request.id.0, now)))
        }),
        KvCallKind::Watch => malformed("a watch is a stream"),
    };
    CallAnswer {
        response,
        is_changed: store.revision > before,
    }
}

fn run<Q: DeserializeOwned, A: Serialize>(
    body: &[u8],
    call: impl FnOnce(Q) -> Result<A, StoreError>,
) -> Response<BoxBody> {
    let request = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return malformed(&error.to_string()),
    };
    match call(request) {
        Ok(answer) => json_response(StatusCode::OK, &answer),
        Err(error) => error_response(&error),
    }
}

/// Answers a request that can't be read.
pub(crate) fn malformed(message: &str) -> Response<BoxBody> {
    let body = ErrorBody {
        code: CODE_INVALID_ARGUMENT,
        message: message.to_owned(),
    };
    json_response(StatusCode::BAD_REQUEST, &body)
}

fn error_response(error: &StoreError) -> Response<BoxBody> {
    let (status, code) = match error {
        StoreError::LeaseNotFound => (StatusCode::NOT_FOUND, CODE_NOT_FOUND),
        StoreError::LeaseExists => (StatusCode::BAD_REQUEST, CODE_FAILED_PRECONDITION),
        StoreError::Compacted | StoreError::FutureRevision => {
            (StatusCode::BAD_REQUEST, CODE_OUT_OF_RANGE)
        }
        _ => (StatusCode::BAD_REQUEST, CODE_INVALID_ARGUMENT),
    };
    let body = ErrorBody {
        code,
        message: error.to_string(),
    };
    json_response(status, &body)
}

/// Creates a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    let mut response = Response::new(full_body(json_line(body)));
    *response.status_mut() = status;
    response
}

/// Returns a value as one line of JSON.
pub(crate) fn json_line(value: &impl Serialize) -> Bytes {
    // The messages hold no maps with keys that JSON lacks, so this can't fail.
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
