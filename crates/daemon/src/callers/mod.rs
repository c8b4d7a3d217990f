//! The callers' requests: from their head to their answer.

mod access;
mod addresses;
mod answer_builder;
mod call;
mod chat;
mod chat_end;
mod chat_run;
mod chat_sink;
mod dispatch;
mod forwarding;
mod programs;
mod prompt;

pub(crate) use dispatch::{serve_caller, serve_forwarded};
