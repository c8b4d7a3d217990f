//! Integration tests of gateways on loopback, between callers and scripted replicas.

mod answers;
mod fleet;
mod support;
