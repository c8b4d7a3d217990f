//! Transactions with typed conditions.

use bytes::Bytes;

use super::client::KvClient;
use super::entry::{KvEntry, KvPut, KvRevision, LeaseId};
use super::error::KvError;
use crate::counts::KvCallKind;
use crate::wire;

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCompare(wire::TxnCompare);

impl KvCompare {
    /// Holds when the key was last written at `revision`; with
    /// [`KvRevision::NONE`], when it does not exist.
    pub fn mod_revision(key: impl Into<Bytes>, revision: KvRevision) -> Self {
        Self(wire::TxnCompare {
            target: wire::CompareTarget::Mod,
            key: key.into().into(),
            mod_revision: Some(wire::Int64(revision.get())),
            ..wire::TxnCompare::default()
        })
    }

    /// Holds when the key does not exist.
    pub fn absent(key: impl Into<Bytes>) -> Self {
        Self::mod_revision(key, KvRevision::NONE)
    }

    /// Holds when the key exists.
    pub fn present(key: impl Into<Bytes>) -> Self {
        let mut compare = Self::absent(key);
        compare.0.result = wire::CompareResult::Greater;
        compare
    }

    /// Holds when the key exists with this value.
    pub fn value(key: impl Into<Bytes>, value: impl Into<Bytes>) -> Self {
        Self(wire::TxnCompare {
            target: wire::CompareTarget::Value,
            key: key.into().into(),
            value: Some(value.into().into()),
            ..wire::TxnCompare::default()
        })
    }

    /// Holds when the key exists and ends with this lease.
    pub fn lease(key: impl Into<Bytes>, lease: LeaseId) -> Self {
        Self(wire::TxnCompare {
            target: wire::CompareTarget::Lease,
            key: key.into().into(),
            lease: Some(wire::Int64(lease.get())),
            ..wire::TxnCompare::default()
        })
    }
}

/// A transaction: its writes take effect together, if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvTxn(wire::TxnRequest);

impl KvTxn {
    /// Most conditions, and most operations of a branch, that the service takes.
    pub const MAX_OPS: usize = 128;

    /// Creates an empty transaction.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, compare: KvCompare) -> Self {
        self.0.compare.push(compare.0);
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, put: KvPut) -> Self {
        self.0.success.push(wire::RequestOp {
            request_put: Some(put.into_wire()),
            ..wire::RequestOp::default()
        });
        self
    }

    /// Adds a deletion of one key.
    #[must_use]
    pub fn delete(mut self, key: impl Into<Bytes>) -> Self {
        let request = wire::DeleteRangeRequest {
            key: key.into().into(),
            ..wire::DeleteRangeRequest::default()
        };
        self.0.success.push(wire::RequestOp {
            request_delete_range: Some(request),
            ..wire::RequestOp::default()
        });
        self
    }

    /// Adds a read that is made when a condition does not hold.
    #[must_use]
    pub fn otherwise_get(mut self, key: impl Into<Bytes>) -> Self {
        let request = wire::RangeRequest {
            key: key.into().into(),
            ..wire::RangeRequest::default()
        };
        self.0.failure.push(wire::RequestOp {
            request_range: Some(request),
            ..wire::RequestOp::default()
        });
        self
    }
}

/// What became of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvTxnOutcome {
    /// Tells whether all conditions held and the writes were made.
    pub is_applied: bool,
    /// Revision of the store after it; that of the writes when applied.
    pub revision: KvRevision,
    /// Keys found by [`KvTxn::otherwise_get`].
    pub entries: Vec<KvEntry>,
}

impl KvClient {
    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Fails as described at [`KvError`].
    pub async fn txn(&self, txn: KvTxn) -> Result<KvTxnOutcome, KvError> {
        let response: wire::TxnResponse = self.call(KvCallKind::Txn, &txn.0).await?;
        let ranges = response
            .responses
            .into_iter()
            .filter_map(|op| op.response_range);
        let entries = ranges.flat_map(|range| range.kvs).map(KvEntry::from);
        Ok(KvTxnOutcome {
            is_applied: response.succeeded,
            revision: KvRevision::new(response.header.revision.0),
            entries: entries.collect(),
        })
    }
}
