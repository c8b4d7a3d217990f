//! gRPC calls between the daemons of a fleet.
//!
//! This crate transports typed messages; their handling is left to the daemon. The
//! protocol is defined in `proto/fleet.proto` and is internal to the fleet.

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
pub use forward::{ForwardedResponse, encode_response};
pub use handlers::{FleetHandlers, HandlerFuture, ReplyStream};
pub use links::FleetLinks;
pub use service::serve_fleet;
