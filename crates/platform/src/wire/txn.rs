//! Transactions: compares, then one of two lists of operations.

use serde::{Deserialize, Serialize};

use super::kv::{
    DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
    ResponseHeader,
};
use super::scalar::{Base64Bytes, Int64};

/// How the stored field must relate to the given one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// The stored field is greater.
    Greater,
    /// The stored field is less.
    Less,
    /// Not equal.
    NotEqual,
}

/// The field that is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of writes; 0 when the key does not exist.
    #[default]
    Version,
    /// Creating revision; 0 when the key does not exist.
    Create,
    /// Revision of the last write; 0 when the key does not exist.
    Mod,
    /// The value.
    Value,
    /// The lease.
    Lease,
}

/// A condition on one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct TxnCompare {
    /// The relation.
    pub result: CompareResult,
    /// The field.
    pub target: CompareTarget,
    /// The key.
    pub key: Base64Bytes,
    /// Given with [`CompareTarget::Version`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<Int64>,
    /// Given with [`CompareTarget::Create`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int64>,
    /// Given with [`CompareTarget::Mod`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int64>,
    /// Given with [`CompareTarget::Value`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Base64Bytes>,
    /// Given with [`CompareTarget::Lease`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease: Option<Int64>,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RequestOp {
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// Runs `success` when all compares hold, and `failure` otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<TxnCompare>,
    /// Operations when all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations otherwise.
    pub failure: Vec<RequestOp>,
}

/// Result of one operation; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Result of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
    /// Result of a write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_put: Option<PutResponse>,
    /// Result of a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_delete_range: Option<DeleteRangeResponse>,
}

/// Answers a [`TxnRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
    /// Tells whether all conditions held.
    pub succeeded: bool,
    /// Results of the operations that ran, in order.
    pub responses: Vec<ResponseOp>,
}
