//! Gateways on loopback between callers and scripted replicas.

mod answers;
mod fleet;
mod support;
