//! Orders about the sessions that an engine holds.

use std::time::{Duration, Instant};

use http::Method;
use ibisdale_core::ProgramId;
use serde::Deserialize;

use crate::credential::UpstreamCredential;
use crate::error::UpstreamError;
use crate::exchange::{UpstreamRequest, send_request};
use crate::headers::{FENCING_NUMBER, number_value};
use crate::pool::UpstreamPool;

/// Time in which an order must be answered.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// An engine's answer to a release order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ReleaseReply {
    /// Whether anything was held; false when the session was gone already.
    pub released: bool,
}

/// A session that holds memory at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct SessionReport {
    /// The session, which is a program's identifier unless another system uses
    /// the engine too.
    pub session: String,
    /// Tokens held.
    pub tokens: u64,
    /// The highest fencing number that the engine has seen for the session.
    pub fencing_number: u64,
}

impl SessionReport {
    /// Returns the program that the session belongs to, if it is one's.
    #[must_use]
    pub fn get_program(&self) -> Option<ProgramId> {
        self.session.parse().ok()
    }
}

#[derive(Deserialize)]
struct SessionList {
    sessions: Vec<SessionReport>,
}

/// Sends session orders to one engine.
#[derive(Clone, Debug)]
pub struct SessionClient {
    pool: UpstreamPool,
    credential: Option<UpstreamCredential>,
}

impl SessionClient {
    /// Creates a client on the engine's pool.
    #[must_use]
    pub fn new(pool: UpstreamPool, credential: Option<UpstreamCredential>) -> Self {
        Self { pool, credential }
    }

    /// Releases all that the engine holds for a session; idempotent.
    ///
    /// # Errors
    ///
    /// Fails when the order is not confirmed, and with status 409 when the
    /// engine has seen a higher fencing number.
    pub async fn release(
        &self,
        session: ProgramId,
        fencing_number: u64,
    ) -> Result<ReleaseReply, UpstreamError> {
        let path = format!("/v1/sessions/{session}/release");
        let mut request = self.create_request(Method::POST, path);
        let number = number_value(fencing_number);
        request.headers.insert(FENCING_NUMBER, number);
        self.send(&request).await
    }

    /// Lists the sessions that hold memory.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole list.
    pub async fn list(&self) -> Result<Vec<SessionReport>, UpstreamError> {
        let request = self.create_request(Method::GET, "/v1/sessions".to_owned());
        let list: SessionList = self.send(&request).await?;
        Ok(list.sessions)
    }

    fn create_request(&self, method: Method, path: String) -> UpstreamRequest {
        UpstreamRequest {
            credential: self.credential.clone(),
            deadline: Some(Instant::now() + ORDER_TIMEOUT),
            ..UpstreamRequest::new(method, path)
        }
    }

    async fn send<T: serde::de::DeserializeOwned>(
        &self,
        request: &UpstreamRequest,
    ) -> Result<T, UpstreamError> {
        let answer = send_request(&self.pool, request).await?;
        let answer = answer.read_whole(&self.pool).await?;
        answer.parse(self.pool.get_address())
    }
}
