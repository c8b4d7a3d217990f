//! Orders about the sessions that an engine holds.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use ibisdale_core::ProgramId;
use serde::Deserialize;

use crate::credential::UpstreamCredential;
use crate::error::UpstreamError;
use crate::exchange::{UpstreamRequest, send_request, status_error};
use crate::headers::{FENCING_NUMBER, number_value};
use crate::pool::UpstreamPool;

/// Time in which an order must be answered.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which an export or import must be whole.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// An engine's answer to a release order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ReleaseReply {
    /// Whether anything was held; false when the session was gone already.
    pub released: bool,
}

/// An engine's answer to an import order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ImportReply {
    /// Whether the session's cache is held now.
    pub imported: bool,
    /// Tokens held for it.
    pub tokens: u64,
}

/// A session that holds memory at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
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

    /// Exports what the engine holds for a session, which stays there.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole export: with status 404 when nothing is
    /// held, and 409 when the engine has seen a higher fencing number.
    pub async fn export(
        &self,
        session: ProgramId,
        fencing_number: u64,
    ) -> Result<Bytes, UpstreamError> {
        let path = format!("/v1/sessions/{session}/export");
        let mut request = self.create_request(Method::POST, path);
        request.deadline = Some(Instant::now() + TRANSFER_TIMEOUT);
        let number = number_value(fencing_number);
        request.headers.insert(FENCING_NUMBER, number);
        let answer = send_request(&self.pool, &request).await?;
        let answer = answer.read_whole(&self.pool).await?;
        if !answer.status.is_success() {
            return Err(status_error(self.pool.get_address(), &answer));
        }
        Ok(answer.body)
    }

    /// Imports what another engine of the same model exported.
    ///
    /// # Errors
    ///
    /// Fails when the import is not confirmed: with status 507 when the engine
    /// has no room, and 409 when it has seen a higher fencing number.
    pub async fn import(
        &self,
        session: ProgramId,
        fencing_number: u64,
        export: Bytes,
    ) -> Result<ImportReply, UpstreamError> {
        let path = format!("/v1/sessions/{session}/import");
        let mut request = self.create_request(Method::POST, path);
        request.deadline = Some(Instant::now() + TRANSFER_TIMEOUT);
        request.body = export;
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
