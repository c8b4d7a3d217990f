//! Turns that the system keeps, so that a caller sends only what is new.
//!
//! A turn is immutable once its response is complete, so it needs no owner: its copies
//! lie on the VMs with a disk that rank first for its program ([`holders`]), and any VM
//! can look it up. [`copies`], [`lookup`], [`repair`] and [`holder_core`] decide without I/O; [`turn_log`] and
//! [`index`] keep turns on a disk; [`TurnClient`] and [`TurnHolder`] put sockets around
//! them, each on one thread.

mod cache;
mod client;
pub mod copies;
mod holder;
pub mod holder_core;
pub mod holders;
pub mod index;
mod link;
pub mod lookup;
mod message;
mod metrics;
pub mod repair;
mod turn;
pub mod turn_log;
mod wire;

pub use cache::TurnCache;
pub use client::{ChainError, ClientOptions, TurnChain, TurnClient};
pub use holder::{HolderIdentity, HolderOptions, TurnHolder, read_identity};
pub use holders::{HolderInfo, HolderKey, HolderTable};
pub use link::{CallError, HolderLinks};
pub use message::{HolderReply, HolderRequest, StoreOutcome};
pub use metrics::{ClientMetrics, HolderMetrics};
pub use turn::{KeptTurn, TurnKey, join_chain};
