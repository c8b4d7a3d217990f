//! HTTP clients for model engines and other services.
//!
//! Each replica has one [`UpstreamPool`], which its clients share. Only headers
//! on an allow list are forwarded, so that callers' keys never reach an upstream.
//! A truncated or malformed response is an error, whose run state is `Ran` or
//! `NotRun` only if that is proven, and `Unknown` otherwise.
//!
//! ```no_run
//! # async fn example() -> Result<(), ibisdale_upstreams::UpstreamError> {
//! use ibisdale_upstreams::{ChatCall, ChatEvent, EngineClient, PoolOptions, UpstreamPool};
//! # let session = "00000000000000000000000000000000".parse().unwrap();
//! # let executor = ibisdale_net::TrafficExecutor::default();
//!
//! let address = "127.0.0.1:8000".parse().unwrap();
//! let pool = UpstreamPool::new(address, executor, PoolOptions::new());
//! let client = EngineClient::new(pool);
//! let body = r#"{"model": "small", "messages": [], "stream": true}"#;
//! let mut stream = client.chat(ChatCall::new(body, session)).await?;
//! while let Some(event) = stream.next().await {
//!     if let ChatEvent::Delta(chunk) = event? {
//!         println!("{}", String::from_utf8_lossy(&chunk));
//!     }
//! }
//! # Ok(())
//! # }
//! ```

mod chat;
mod control;
mod credential;
mod engine;
mod error;
mod exchange;
mod headers;
mod load;
mod pool;
mod progress;
mod service;
mod session;

pub use chat::{ChatEvent, ChatStream};
pub use control::{ControlClient, ControlReply, EngineRole, ModelSpec};
pub use credential::{CredentialError, UpstreamCredential};
pub use engine::{ChatCall, EngineClient};
pub use error::{UpstreamError, UpstreamErrorKind};
pub use load::{CacheEvent, CacheEventBatch, CacheEventKind, EventGap, LoadClient, LoadReport};
pub use pool::{PoolOptions, UpstreamPool};
pub use service::{ServiceCall, ServiceClient, ServiceReply};
pub use session::{ImportReply, ReleaseReply, SessionClient, SessionReport};
