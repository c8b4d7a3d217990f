//! HTTP interface for callers and operators: routes, request heads, bodies and
//! responses.
//!
//! This crate converts HTTP requests to typed requests and typed replies to HTTP
//! responses. Authorization and execution are left to the daemon.

mod answer;
mod body;
mod head;
mod route;

pub use answer::{
    AnswerHead, DIGEST_HEADER, REQUEST_ID_HEADER, event_bytes, json_answer, refusal_answer,
    refusal_event, stream_answer, text_answer,
};
pub use body::{
    AddressesReply, BudgetBody, CallBody, ChatBody, ChildBody, LimitsBody, ProgramReply, StartBody,
    StepReply, parse_json,
};
pub use head::{ATTEMPT_HEADER, StepHeaders, bearer_key, check_head, step_headers};
pub use route::{
    AddressQuery, CallerRoute, KeyPath, OpenPath, OperatorRoute, StepPath, parse_caller_route,
    parse_operator_route,
};
