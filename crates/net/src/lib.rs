//! HTTP/1.1 and gRPC over smol: servers, client connections, body limits and
//! framing checks.
//!
//! Crates built on this one need not open sockets or inspect message framing. The
//! client rejects framing that would let a truncated response pass as complete.

mod body;
mod client;
mod error;
mod grpc;
mod server;
mod shutdown;
mod socket;
mod traffic;

pub use body::{BodySender, BoxBody, body_channel, empty_body, full_body, read_limited};
pub use client::{ClientConnection, ConnectOptions, FramedBody};
pub use error::NetError;
pub use grpc::{GrpcChannel, serve_grpc};
pub use server::{ServeOptions, serve_http};
pub use shutdown::{ShutdownGuard, ShutdownSignal, shutdown_pair};
pub use smol_hyper::rt::SmolTimer;
pub use socket::bind_listener;
pub use traffic::{LinkCounters, SentTraffic};

/// Executor of the connection tasks; a daemon runs it on its traffic threads.
pub type TrafficExecutor = std::sync::Arc<async_executor::Executor<'static>>;
