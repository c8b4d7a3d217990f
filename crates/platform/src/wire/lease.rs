//! Leases.

use serde::{Deserialize, Serialize};

use super::kv::ResponseHeader;
use super::scalar::Int64;

/// Asks for a new lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    pub ttl: Int64,
    /// Identifier wanted, or 0 for any.
    pub id: Int64,
}

/// Answers a [`LeaseGrantRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseGrantResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
    /// The lease's identifier.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Renews a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseKeepAliveRequest {
    /// The lease.
    pub id: Int64,
}

/// Answers a [`LeaseKeepAliveRequest`], as a line of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseKeepAliveResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live, in seconds; 0 when the lease has ended.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Ends a lease and deletes its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseRevokeRequest {
    /// The lease.
    pub id: Int64,
}

/// Answers a [`LeaseRevokeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseRevokeResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
}
