//! The operators' interface.

mod dispatch;
mod render;

pub(crate) use dispatch::{OperatorAccess, serve_operator};
