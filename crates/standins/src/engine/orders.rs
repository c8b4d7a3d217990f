//! Orders about models and the engine's role.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_net::{BoxBody, read_limited};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::options::EngineRole;
use super::server::{answer_stale_fence, read_fencing_number};
use super::state::{EngineState, SharedState};
use crate::host::{BODY_MAX_BYTES, error_answer, json_answer};

/// Name that the engine's own fencing number is kept under.
const ENGINE_FENCE: &str = "engine";

/// A model with an adapter and a version, if any.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct ModelBody {
    model: String,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    version: Option<String>,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct RoleBody {
    role: EngineRole,
}

#[derive(Serialize)]
struct OrderReply<'a> {
    models: &'a [String],
    role: EngineRole,
    fencing_number: u64,
}

impl ModelBody {
    /// Returns the name that chat calls use.
    fn get_name(&self) -> String {
        let parts = [
            Some(&self.model),
            self.adapter.as_ref(),
            self.version.as_ref(),
        ];
        let parts: Vec<&str> = parts.into_iter().flatten().map(String::as_str).collect();
        parts.join(":")
    }
}

/// Loads a model by order, which takes time.
pub(crate) async fn answer_load(
    shared: &SharedState,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    let delay = shared.lock().options.get_load_model_delay();
    let work = shared.wait(delay);
    run_order(shared, request, work, |state, order: &ModelBody| {
        let name = order.get_name();
        if !state.models.contains(&name) {
            state.models.push(name);
        }
    })
    .await
}

/// Unloads a model by order.
pub(crate) async fn answer_unload(
    shared: &SharedState,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    let work = std::future::ready(());
    run_order(shared, request, work, |state, order: &ModelBody| {
        let name = order.get_name();
        state.models.retain(|model| *model != name);
    })
    .await
}

/// Changes the engine's role by order.
pub(crate) async fn answer_role(
    shared: &SharedState,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    let work = std::future::ready(());
    run_order(shared, request, work, |state, order: &RoleBody| {
        state.role = order.role;
    })
    .await
}

async fn run_order<T: DeserializeOwned>(
    shared: &SharedState,
    request: Request<Incoming>,
    work: impl Future<Output = ()>,
    apply: impl FnOnce(&mut EngineState, &T),
) -> Response<BoxBody> {
    let number = read_fencing_number(request.headers());
    let order = match read_limited(request.into_body(), BODY_MAX_BYTES).await {
        Ok(body) => serde_json::from_slice::<T>(&body),
        Err(_) => serde_json::from_slice(b""),
    };
    let order = match order {
        Ok(order) => order,
        Err(error) => {
            return error_answer(StatusCode::BAD_REQUEST, "bad_request", &error.to_string());
        }
    };
    if let Err(refusal) = shared.lock().check_fence(ENGINE_FENCE, number) {
        return answer_stale_fence(refusal);
    }
    work.await;
    let mut state = shared.lock();
    // A later order may have come while this one was carried out.
    if let Err(refusal) = state.check_fence(ENGINE_FENCE, number) {
        return answer_stale_fence(refusal);
    }
    apply(&mut state, &order);
    state.counters.orders += 1;
    state.note_load();
    let reply = OrderReply {
        models: &state.models,
        role: state.role,
        fencing_number: state.get_fence(ENGINE_FENCE),
    };
    json_answer(StatusCode::OK, &reply)
}
