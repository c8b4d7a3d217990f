//! One exchange on a connection.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Method, Request, Response, StatusCode};
use ibisdale_net::{BoxBody, ClientConnection, FramedBody, full_body, read_limited};
use smol::Timer;

use super::connection::ConnectionPool;
use super::error::KvFailure;
use crate::counts::KvCallKind;
use crate::wire::ErrorBody;

/// Largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1_024 * 1_024;
/// Largest description of an error, in bytes.
const ERROR_MAX_BYTES: usize = 64 * 1_024;

/// The time in which a call must be over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallDeadline {
    limit: Duration,
    end: Instant,
}

impl CallDeadline {
    pub(crate) fn new(limit: Duration) -> Self {
        Self {
            limit,
            end: Instant::now() + limit,
        }
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// Returns a deadline after half of the time that is left.
    pub(crate) fn half(&self) -> Self {
        Self::new(self.remaining() / 2)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.remaining().is_zero()
    }

    pub(crate) async fn run<T>(
        &self,
        future: impl Future<Output = Result<T, KvFailure>>,
    ) -> Result<T, KvFailure> {
        let expire = async {
            Timer::at(self.end).await;
            Err(KvFailure::Timeout { limit: self.limit })
        };
        future.or(expire).await
    }
}

/// Opens a connection when no idle one is at hand.
pub(crate) async fn take_connection(
    pool: &ConnectionPool,
    deadline: &CallDeadline,
) -> Result<ClientConnection, KvFailure> {
    if let Some(connection) = pool.take_idle().await {
        return Ok(connection);
    }
    Ok(pool.open(deadline.remaining()).await?)
}

/// Sends a request and returns the response once its status says success.
pub(crate) async fn send(
    connection: &mut ClientConnection,
    call: KvCallKind,
    body: Bytes,
) -> Result<Response<FramedBody>, KvFailure> {
    let request = build_request(connection, call, body)?;
    let response = connection.send(request).await?;
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    let status = response.status().as_u16();
    let body = read_limited(response.into_body(), ERROR_MAX_BYTES).await?;
    let error: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
    Err(KvFailure::Refused {
        status,
        code: error.code,
        message: error.message,
    })
}

/// Sends a request and reads the whole answer.
pub(crate) async fn exchange(
    connection: &mut ClientConnection,
    call: KvCallKind,
    body: Bytes,
) -> Result<Bytes, KvFailure> {
    let response = send(connection, call, body).await?;
    Ok(read_limited(response.into_body(), ANSWER_MAX_BYTES).await?)
}

fn build_request(
    connection: &ClientConnection,
    call: KvCallKind,
    body: Bytes,
) -> Result<Request<BoxBody>, KvFailure> {
    Request::builder()
        .method(Method::POST)
        .uri(call.path())
        .header("host", connection.get_address().to_string())
        .header("content-type", "application/json")
        .body(full_body(body))
        .map_err(|error| KvFailure::Unwritable {
            message: error.to_string(),
        })
}
