//! The entry gateway of ibisdale: forwards requests to replicas without
//! interpreting the request bodies.
//!
//! Decisions are plain state and functions in [`decide`] and [`plan`]; the
//! [`gateway`] connects them to sockets on one thread. What outside systems call
//! things is passed in as a [`gateway::HeaderNames`].

pub mod decide;
pub mod gateway;
pub mod http1;
pub mod plan;
