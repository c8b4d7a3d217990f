//! gRPC calls between the daemons of a fleet.

/// Messages and stubs generated from `proto/fleet.proto`.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod proto {
    include!("generated/ibisdale.fleet.v1.rs");
}
