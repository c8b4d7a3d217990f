//! Requests that may be the cause of the end of replicas.

mod fingerprint;

pub use fingerprint::RequestFingerprint;
