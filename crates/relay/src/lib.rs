//! The entry gateway of ibisdale: forwards requests to replicas without
//! interpreting the request bodies.
//!
//! [`plan`] holds the configuration and [`decide`] the decision logic, both without I/O;
//! [`gateway`] connects them to sockets on a single thread. The names of the headers that
//! callers and replicas use are passed in as a [`gateway::HeaderDialect`].

pub mod decide;
pub mod gateway;
pub mod http1;
pub mod plan;
