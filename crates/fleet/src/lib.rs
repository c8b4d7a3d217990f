//! gRPC calls between the daemons of a fleet.
//!
//! This package moves typed messages and decides nothing. Both ends are the
//! project's own, so the protocol is `proto/fleet.proto`.

mod error;
mod forward;
mod handlers;
mod links;
mod service;

/// Messages and stubs generated from `proto/fleet.proto`.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod proto {
    include!("generated/ibisdale.fleet.v1.rs");
}

pub use error::FleetError;
pub use forward::{ForwardAnswer, answer_stream};
pub use handlers::{FleetHandlers, HandlerFuture, ReplyStream};
pub use links::FleetLinks;
pub use service::serve_fleet;
