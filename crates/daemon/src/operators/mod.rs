//! The operators' interface.

mod dispatch;
mod render;
mod settings;

pub(crate) use dispatch::{OperatorAccess, serve_operator};
