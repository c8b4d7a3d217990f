//! The operators' interface of a daemon, and HTTP exchanges.

mod client;
mod exchange;

pub(crate) use client::OperatorClient;
pub(crate) use exchange::{HttpCall, HttpReply, exchange_error, read_key_file};
