//! Chat calls as they come in.

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_net::{BoxBody, read_limited};
use smol::channel::unbounded;

use super::answer::{compose_tokens, split_tokens};
use super::batch::Sequence;
use super::cache::split_blocks;
use super::message::ChatBody;
use super::options::{EngineFault, EngineRole};
use super::server::{answer_stale_fence, read_fencing_number, read_header, read_number};
use super::state::{EngineState, SharedState};
use super::stream::ChatRun;
use crate::host::{BODY_MAX_BYTES, error_answer};

/// Session of calls that name none.
const ANONYMOUS_SESSION: &str = "none";
/// Marks the start of an answer in the history that the cache keeps.
const ANSWER_MARK: &str = "<assistant>";

/// A chat call that is being admitted.
struct ChatCall {
    session: String,
    priority: i64,
    fencing_number: u64,
    resume_from: usize,
    body: ChatBody,
}

impl ChatCall {
    fn new(headers: &HeaderMap, body: ChatBody) -> Self {
        let session = read_header(headers, "session-id").unwrap_or(ANONYMOUS_SESSION);
        Self {
            session: session.to_owned(),
            priority: read_number(headers, "priority").unwrap_or(0),
            fencing_number: read_fencing_number(headers),
            resume_from: read_number(headers, "resume-from").unwrap_or(0),
            body,
        }
    }
}

/// Answers a chat call.
pub(crate) async fn answer_chat(
    shared: SharedState,
    request: Request<Incoming>,
) -> Response<BoxBody> {
    let (head, body) = request.into_parts();
    let Ok(body) = read_limited(body, BODY_MAX_BYTES).await else {
        let message = "the body is truncated";
        return error_answer(StatusCode::BAD_REQUEST, "bad_request", message);
    };
    let body: ChatBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(error) => {
            return error_answer(StatusCode::BAD_REQUEST, "bad_request", &error.to_string());
        }
    };
    let call = ChatCall::new(&head.headers, body);
    if let Some(refusal) = refuse_chat(&mut shared.lock(), &call) {
        return refusal;
    }
    start_chat(shared, call).await
}

fn refuse_chat(state: &mut EngineState, call: &ChatCall) -> Option<Response<BoxBody>> {
    if state.fault == EngineFault::Refuse || state.is_leaving {
        return Some(busy_answer("the engine takes no calls"));
    }
    let is_served = state.models.is_empty() || state.models.contains(&call.body.model);
    if !is_served {
        let message = format!("model {} is not loaded", call.body.model);
        return Some(error_answer(
            StatusCode::NOT_FOUND,
            "unknown_model",
            &message,
        ));
    }
    if state.batch.count_waiting() >= state.options.get_queue_max() {
        state.counters.refused += 1;
        return Some(busy_answer("too many calls wait"));
    }
    if call.session == ANONYMOUS_SESSION {
        return None;
    }
    let refusal = state.check_fence(&call.session, call.fencing_number);
    refusal.err().map(answer_stale_fence)
}

fn busy_answer(message: &str) -> Response<BoxBody> {
    let mut response = error_answer(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message);
    let seconds = HeaderValue::from_static("1");
    response.headers_mut().insert("retry-after", seconds);
    response
}

async fn start_chat(shared: SharedState, call: ChatCall) -> Response<BoxBody> {
    let model = &call.body.model;
    let mut answer = compose_tokens(model, &call.body.messages, call.body.get_max_tokens());
    if shared.lock().role == EngineRole::Prefill {
        answer.truncate(1);
    }
    let mut tokens = split_tokens(&call.body.messages);
    let prompt_blocks = split_blocks(model, &tokens);
    let prompt_tokens = tokens.len() as u64;
    tokens.push(ANSWER_MARK.to_owned());
    tokens.extend(answer.iter().map(|token| (*token).to_owned()));
    let blocks = split_blocks(model, &tokens);
    if !shared.lock().cache.can_ever_hold(blocks.len()) {
        let message = "the prompt does not fit in the cache";
        return error_answer(StatusCode::PAYLOAD_TOO_LARGE, "too_long", message);
    }
    let resume_from = call.resume_from.min(answer.len());
    let (sender, items) = unbounded();
    let sequence = Sequence {
        session: call.session,
        priority: call.priority,
        blocks,
        prompt_blocks,
        prompt_tokens,
        total_tokens: tokens.len() as u64,
        next_token: resume_from,
        end_token: answer.len(),
        sender,
    };
    let run = ChatRun::start(shared.clone(), call.body, answer, items, prompt_tokens)
        .resume_from(resume_from);
    shared.submit(sequence);
    run.answer().await
}
