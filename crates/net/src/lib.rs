//! HTTP/1.1 and gRPC over smol: servers, client connections, body limits and
//! framing checks.
//!
//! Crates built on this one need neither open sockets nor inspect message framing.
//! Client and server reject framing that would let a truncated message pass as
//! complete.

mod body;
mod client;
mod error;
mod grpc;
mod server;
mod shutdown;
mod socket;
mod traffic;

pub use body::{BodySender, BoxBody, body_channel, empty_body, full_body, read_limited};
pub use client::{CheckedBody, ClientConnection, ConnectOptions};
pub use error::NetError;
pub use grpc::{GrpcChannel, serve_grpc};
pub use server::{ServeOptions, serve_http};
pub use shutdown::{ShutdownGuard, ShutdownSignal, shutdown_pair};
pub use smol_hyper::rt::SmolTimer;
pub use socket::bind_listener;
pub use traffic::{LinkTraffic, SentTraffic};

/// Executor that runs the connection tasks.
pub type TrafficExecutor = std::sync::Arc<async_executor::Executor<'static>>;
