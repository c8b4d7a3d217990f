//! The entry gateway of ibisdale: forwards opaque requests to replicas.
//!
//! [`decide`] and [`plan`] hold the decision logic as pure state and functions;
//! [`gateway`] connects it to sockets on a single thread. The header names of
//! external systems are passed in as a [`gateway::HeaderDialect`].

pub mod decide;
pub mod gateway;
pub mod http1;
pub mod plan;
