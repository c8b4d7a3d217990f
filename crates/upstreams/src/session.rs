//! Requests about the sessions that an engine holds.

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

/// Time limit of release and list requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of export and import requests.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// An engine's response to a release request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ReleaseReply {
    /// Whether anything was released; false if the engine held nothing.
    pub released: bool,
}

/// An engine's response to an import request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ImportReply {
    /// Whether the engine now holds the session's cache.
    pub imported: bool,
    /// Tokens held for the session.
    pub tokens: u64,
}

/// A session that holds memory at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct SessionReport {
    /// Session identifier: a program ID, or any string if another system created
    /// the session.
    pub session: String,
    /// Tokens held.
    pub tokens: u64,
    /// The highest fencing number that the engine has seen for the session.
    pub fencing_number: u64,
}

impl SessionReport {
    /// Returns the program of the session, unless another system created it.
    #[must_use]
    pub fn get_program(&self) -> Option<ProgramId> {
        self.session.parse().ok()
    }
}

#[derive(Deserialize)]
struct SessionList {
    sessions: Vec<SessionReport>,
}

/// Sends session requests to one engine.
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

    /// Releases everything that the engine holds for a session. Idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the request is not confirmed, and with status 409 if the engine
    /// has seen a higher fencing number.
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

    /// Exports the state that the engine holds for a session; the engine keeps it.
    ///
    /// # Errors
    ///
    /// Fails if no complete export is received: with status 404 if the engine
    /// holds nothing, and 409 if it has seen a higher fencing number.
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
        let response = send_request(&self.pool, &request).await?;
        let response = response.read_body(&self.pool).await?;
        if !response.status.is_success() {
            return Err(status_error(self.pool.get_address(), &response));
        }
        Ok(response.body)
    }

    /// Imports a session that another engine of the same model exported.
    ///
    /// # Errors
    ///
    /// Fails if the import is not confirmed: with status 507 if the engine does
    /// not have enough free space, and 409 if it has seen a higher fencing number.
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
    /// Fails if no complete list is received.
    pub async fn list(&self) -> Result<Vec<SessionReport>, UpstreamError> {
        let request = self.create_request(Method::GET, "/v1/sessions".to_owned());
        let list: SessionList = self.send(&request).await?;
        Ok(list.sessions)
    }

    fn create_request(&self, method: Method, path: String) -> UpstreamRequest {
        UpstreamRequest {
            credential: self.credential.clone(),
            deadline: Some(Instant::now() + REQUEST_TIMEOUT),
            ..UpstreamRequest::new(method, path)
        }
    }

    async fn send<T: serde::de::DeserializeOwned>(
        &self,
        request: &UpstreamRequest,
    ) -> Result<T, UpstreamError> {
        let response = send_request(&self.pool, request).await?;
        let response = response.read_body(&self.pool).await?;
        response.parse(self.pool.get_address())
    }
}
