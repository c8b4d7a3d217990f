//! Control requests to engines: loaded models and roles.

use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::header::{self, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::credential::UpstreamCredential;
use crate::error::{UpstreamError, UpstreamErrorKind};
use crate::exchange::{UpstreamRequest, send_request};
use crate::headers::{FENCING_NUMBER, number_value};
use crate::pool::{ConnectionReuse, UpstreamPool};

/// Phases of a chat call that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Runs both prefill and decode.
    #[default]
    Mixed,
    /// Runs prefill only; another engine decodes.
    Prefill,
    /// Runs decode only, from prompts that another engine prefilled.
    Decode,
    /// A role that this version does not know.
    #[serde(other)]
    Other,
}

/// Identifies a model, with an optional adapter and version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ModelSpec {
    model: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    adapter: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    version: Option<String>,
}

impl ModelSpec {
    /// Creates a specification of a model without adapter and version.
    pub fn new(model: impl Into<String>) -> Self {
        Self {
            model: model.into(),
            adapter: None,
            version: None,
        }
    }

    /// Sets the adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: impl Into<String>) -> Self {
        self.adapter = Some(adapter.into());
        self
    }

    /// Sets the version.
    #[must_use]
    pub fn version(mut self, version: impl Into<String>) -> Self {
        self.version = Some(version.into());
        self
    }
}

#[derive(Serialize)]
struct RoleChange {
    role: EngineRole,
}

/// State of an engine after a control request.
///
/// An engine that does not check fencing numbers also applies stale requests;
/// a [`fencing_number`](Self::fencing_number) above the request's own shows that
/// the request was stale.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ControlReply {
    /// Names of the loaded models, as used in chat calls; empty if any is accepted.
    pub models: Vec<String>,
    /// Current role.
    pub role: EngineRole,
    /// The highest fencing number that the engine has seen.
    pub fencing_number: u64,
}

/// Sends control requests to one engine.
///
/// The client never repeats a request: a delayed duplicate could overwrite a
/// newer request at an engine that does not check fencing numbers. If no response
/// arrives, the engine's load report shows whether the request took effect.
#[derive(Clone, Debug)]
pub struct ControlClient {
    pool: UpstreamPool,
    credential: Option<UpstreamCredential>,
}

impl ControlClient {
    /// Creates a client on the engine's pool.
    #[must_use]
    pub fn new(pool: UpstreamPool, credential: Option<UpstreamCredential>) -> Self {
        Self { pool, credential }
    }

    /// Loads a model.
    ///
    /// # Errors
    ///
    /// Fails if the request is not confirmed by the deadline, and with status
    /// 409 if the engine has seen a higher fencing number.
    pub async fn load_model(
        &self,
        model: &ModelSpec,
        fencing_number: u64,
        deadline: Instant,
    ) -> Result<ControlReply, UpstreamError> {
        let path = "/v1/models/load";
        self.send(path, model, fencing_number, deadline).await
    }

    /// Unloads a model.
    ///
    /// # Errors
    ///
    /// Fails as [`ControlClient::load_model`] does.
    pub async fn unload_model(
        &self,
        model: &ModelSpec,
        fencing_number: u64,
        deadline: Instant,
    ) -> Result<ControlReply, UpstreamError> {
        let path = "/v1/models/unload";
        self.send(path, model, fencing_number, deadline).await
    }

    /// Changes the engine's role.
    ///
    /// # Errors
    ///
    /// Fails as [`ControlClient::load_model`] does.
    pub async fn change_role(
        &self,
        role: EngineRole,
        fencing_number: u64,
        deadline: Instant,
    ) -> Result<ControlReply, UpstreamError> {
        let change = RoleChange { role };
        self.send("/v1/role", &change, fencing_number, deadline)
            .await
    }

    async fn send<T: Serialize>(
        &self,
        path: &str,
        payload: &T,
        fencing_number: u64,
        deadline: Instant,
    ) -> Result<ControlReply, UpstreamError> {
        let address = self.pool.get_address();
        let body = serde_json::to_vec(payload).map_err(|error| {
            UpstreamError::new(UpstreamErrorKind::InvalidCall, address, error.to_string())
        })?;
        let mut request = UpstreamRequest {
            body: Bytes::from(body),
            credential: self.credential.clone(),
            deadline: Some(deadline),
            reuse: ConnectionReuse::New,
            ..UpstreamRequest::new(Method::POST, path)
        };
        let json = HeaderValue::from_static("application/json");
        request.headers.insert(header::CONTENT_TYPE, json);
        let number = number_value(fencing_number);
        request.headers.insert(FENCING_NUMBER, number);
        let response = send_request(&self.pool, &request).await?;
        let response = response.read_body(&self.pool).await?;
        response.parse(address)
    }
}
