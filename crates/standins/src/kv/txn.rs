//! Transactions.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use bytes::Bytes;
use ibisdale_platform::wire::{
    CompareResult, CompareTarget, DeleteRangeResponse, Int64, KeyValue, PutResponse, RequestOp,
    ResponseOp, TxnCompare, TxnRequest, TxnResponse,
};

use super::store::{KvStore, StoreError};

/// Most compares, and most operations of a branch, in a transaction.
pub(crate) const TXN_MAX_OPS: usize = 128;

impl KvStore {
    pub(crate) fn txn(&mut self, request: TxnRequest) -> Result<TxnResponse, StoreError> {
        self.check_txn(&request)?;
        let succeeded = request
            .compare
            .iter()
            .map(|compare| self.holds(compare))
            .collect::<Result<Vec<bool>, StoreError>>()?
            .into_iter()
            .all(|holds| holds);
        let ops = if succeeded {
            request.success
        } else {
            request.failure
        };
        let revision = self.revision + 1;
        let mut is_changed = false;
        let mut responses = Vec::new();
        for op in ops {
            responses.push(self.run_op(op, revision, &mut is_changed)?);
        }
        if is_changed {
            self.revision = revision;
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    fn check_txn(&self, request: &TxnRequest) -> Result<(), StoreError> {
        let lengths = [
            request.compare.len(),
            request.success.len(),
            request.failure.len(),
        ];
        if lengths.iter().any(|length| *length > TXN_MAX_OPS) {
            return Err(StoreError::TooManyOps);
        }
        self.check_branch(&request.success)?;
        self.check_branch(&request.failure)
    }

    fn check_branch(&self, ops: &[RequestOp]) -> Result<(), StoreError> {
        let mut keys: BTreeSet<&Bytes> = BTreeSet::new();
        for op in ops {
            let parts = [
                op.request_put.is_some(),
                op.request_range.is_some(),
                op.request_delete_range.is_some(),
            ];
            if parts.iter().filter(|part| **part).count() != 1 {
                return Err(StoreError::MalformedOp);
            }
            if let Some(put) = &op.request_put {
                self.check_put(put)?;
                if !keys.insert(&put.key.0) {
                    return Err(StoreError::DuplicateKey);
                }
            }
        }
        Ok(())
    }

    fn holds(&self, compare: &TxnCompare) -> Result<bool, StoreError> {
        let absent = KeyValue::default();
        let current = self.current(&compare.key.0);
        if compare.target == CompareTarget::Value && current.is_none() {
            return Ok(false);
        }
        let kv = current.unwrap_or(&absent);
        let order = match compare.target {
            CompareTarget::Version => order_of(&kv.version, compare.version.as_ref())?,
            CompareTarget::Create => {
                order_of(&kv.create_revision, compare.create_revision.as_ref())?
            }
            CompareTarget::Mod => order_of(&kv.mod_revision, compare.mod_revision.as_ref())?,
            CompareTarget::Lease => order_of(&kv.lease, compare.lease.as_ref())?,
            CompareTarget::Value => order_of(&kv.value, compare.value.as_ref())?,
        };
        Ok(match compare.result {
            CompareResult::Equal => order == Ordering::Equal,
            CompareResult::NotEqual => order != Ordering::Equal,
            CompareResult::Greater => order == Ordering::Greater,
            CompareResult::Less => order == Ordering::Less,
        })
    }

    fn run_op(
        &mut self,
        op: RequestOp,
        revision: i64,
        is_changed: &mut bool,
    ) -> Result<ResponseOp, StoreError> {
        let mut response = ResponseOp::default();
        if let Some(put) = op.request_put {
            self.put_at(put, revision);
            *is_changed = true;
            response.response_put = Some(PutResponse::default());
        }
        if let Some(delete) = op.request_delete_range {
            let deleted = self.delete_at(&delete, revision);
            *is_changed |= deleted > 0;
            response.response_delete_range = Some(DeleteRangeResponse {
                header: self.header(),
                deleted: Int64(deleted),
            });
        }
        if let Some(range) = op.request_range {
            response.response_range = Some(self.read(&range, 0)?);
        }
        Ok(response)
    }
}

fn order_of<T: Ord>(stored: &T, given: Option<&T>) -> Result<Ordering, StoreError> {
    let given = given.ok_or(StoreError::MalformedOp)?;
    Ok(stored.cmp(given))
}
