//! Orders to engines about models and roles.

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

/// What an engine does of the calls it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Computes prompts and generates.
    #[default]
    Mixed,
    /// Computes prompts, for another engine to go on.
    Prefill,
    /// Generates from prompts computed elsewhere.
    Decode,
    /// A role that this version does not know.
    #[serde(other)]
    Other,
}

/// Names a model with an adapter and a version, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ModelOrder {
    model: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    adapter: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    version: Option<String>,
}

impl ModelOrder {
    /// Names a model.
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
struct RoleOrder {
    role: EngineRole,
}

/// What an engine says after an order.
///
/// An engine that does not check fencing numbers carries out old orders too;
/// the highest number it has seen tells its orderer of a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct OrderReply {
    /// Models loaded, by the names that chat calls use; empty for any.
    pub models: Vec<String>,
    /// The role.
    pub role: EngineRole,
    /// The highest fencing number that the engine has seen.
    pub fencing_number: u64,
}

/// Sends orders to one engine.
///
/// An order is never sent again by the client: a late second copy could undo a
/// later order at an engine that does not check fencing numbers. What became of
/// an order without an answer shows in the engine's load report.
#[derive(Clone, Debug)]
pub struct OrderClient {
    pool: UpstreamPool,
    credential: Option<UpstreamCredential>,
}

impl OrderClient {
    /// Creates a client on the engine's pool.
    #[must_use]
    pub fn new(pool: UpstreamPool, credential: Option<UpstreamCredential>) -> Self {
        Self { pool, credential }
    }

    /// Loads a model.
    ///
    /// # Errors
    ///
    /// Fails when the order is not confirmed by the deadline, and with status
    /// 409 when the engine has seen a higher fencing number.
    pub async fn load_model(
        &self,
        order: &ModelOrder,
        fencing_number: u64,
        deadline: Instant,
    ) -> Result<OrderReply, UpstreamError> {
        let path = "/v1/models/load";
        self.send(path, order, fencing_number, deadline).await
    }

    /// Unloads a model.
    ///
    /// # Errors
    ///
    /// Fails as [`OrderClient::load_model`] does.
    pub async fn unload_model(
        &self,
        order: &ModelOrder,
        fencing_number: u64,
        deadline: Instant,
    ) -> Result<OrderReply, UpstreamError> {
        let path = "/v1/models/unload";
        self.send(path, order, fencing_number, deadline).await
    }

    /// Changes the engine's role.
    ///
    /// # Errors
    ///
    /// Fails as [`OrderClient::load_model`] does.
    pub async fn change_role(
        &self,
        role: EngineRole,
        fencing_number: u64,
        deadline: Instant,
    ) -> Result<OrderReply, UpstreamError> {
        let order = RoleOrder { role };
        self.send("/v1/role", &order, fencing_number, deadline)
            .await
    }

    async fn send<T: Serialize>(
        &self,
        path: &str,
        order: &T,
        fencing_number: u64,
        deadline: Instant,
    ) -> Result<OrderReply, UpstreamError> {
        let address = self.pool.get_address();
        let body = serde_json::to_vec(order).map_err(|error| {
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
        let answer = send_request(&self.pool, &request).await?;
        let answer = answer.read_whole(&self.pool).await?;
        answer.parse(address)
    }
}
