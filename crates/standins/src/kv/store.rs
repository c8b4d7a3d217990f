//! The store: every version of every key, and the log of changes.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use ibisdale_platform::wire::{
    DeleteRangeRequest, DeleteRangeResponse, EventKind, Int64, KeyValue, PutRequest, PutResponse,
    ResponseHeader, WatchEvent,
};
use snafu::Snafu;

use super::lease::LeaseTable;
use super::read::KeyRange;

/// Largest value, in bytes.
pub(crate) const VALUE_MAX_BYTES: usize = 1_024 * 1_024;
/// Changes kept for watches and reads at earlier revisions.
const LOG_MAX_EVENTS: usize = 100_000;

/// Tells why the store does not take a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub(crate) enum StoreError {
    #[snafu(display("etcdserver: key is not provided"))]
    EmptyKey,
    #[snafu(display("etcdserver: request is too large"))]
    ValueTooLarge,
    #[snafu(display("etcdserver: too many operations in txn request"))]
    TooManyOps,
    #[snafu(display("etcdserver: duplicate key given in txn request"))]
    DuplicateKey,
    #[snafu(display("etcdserver: malformed operation"))]
    MalformedOp,
    #[snafu(display("etcdserver: requested lease not found"))]
    LeaseNotFound,
    #[snafu(display("etcdserver: lease already exists"))]
    LeaseExists,
    #[snafu(display("etcdserver: mvcc: required revision has been compacted"))]
    Compacted,
    #[snafu(display("etcdserver: mvcc: required revision is a future revision"))]
    FutureRevision,
}

#[derive(Debug)]
pub(crate) struct KvStore {
    pub(crate) revision: i64,
    pub(crate) compacted: i64,
    /// All versions of each key, oldest first; a deletion has version 0.
    pub(crate) versions: BTreeMap<Bytes, Vec<KeyValue>>,
    log: VecDeque<WatchEvent>,
    pub(crate) leases: LeaseTable,
}

impl KvStore {
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            versions: BTreeMap::new(),
            log: VecDeque::new(),
            leases: LeaseTable::default(),
        }
    }

    pub(crate) fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: Int64(self.revision),
        }
    }

    /// Returns the current version of a key that exists.
    pub(crate) fn current(&self, key: &[u8]) -> Option<&KeyValue> {
        let latest = self.versions.get(key)?.last()?;
        (latest.version.0 > 0).then_some(latest)
    }

    pub(crate) fn put(&mut self, request: PutRequest) -> Result<PutResponse, StoreError> {
        self.check_put(&request)?;
        self.put_at(request, self.revision + 1);
        self.revision += 1;
        Ok(PutResponse {
            header: self.header(),
        })
    }

    pub(crate) fn delete(
        &mut self,
        request: &DeleteRangeRequest,
    ) -> Result<DeleteRangeResponse, StoreError> {
        if request.key.0.is_empty() {
            return Err(StoreError::EmptyKey);
        }
        let deleted = self.delete_at(request, self.revision + 1);
        if deleted > 0 {
            self.revision += 1;
        }
        Ok(DeleteRangeResponse {
            header: self.header(),
            deleted: Int64(deleted),
        })
    }

    pub(crate) fn check_put(&self, request: &PutRequest) -> Result<(), StoreError> {
        if request.key.0.is_empty() {
            return Err(StoreError::EmptyKey);
        }
        if request.value.0.len() > VALUE_MAX_BYTES {
            return Err(StoreError::ValueTooLarge);
        }
        if request.lease.0 != 0 && !self.leases.is_held(request.lease.0) {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(())
    }

    /// Writes a checked put at the revision that the caller is about to commit.
    pub(crate) fn put_at(&mut self, request: PutRequest, revision: i64) {
        let key = request.key.0.clone();
        let (create, version) = match self.current(&key) {
            Some(current) => (current.create_revision.0, current.version.0 + 1),
            None => (revision, 1),
        };
        self.leases.attach(&key, request.lease.0);
        let kv = KeyValue {
            key: request.key,
            create_revision: Int64(create),
            mod_revision: Int64(revision),
            version: Int64(version),
            value: request.value,
            lease: request.lease,
        };
        self.record(EventKind::Put, kv);
    }

    /// Deletes at the revision that the caller is about to commit.
    pub(crate) fn delete_at(&mut self, request: &DeleteRangeRequest, revision: i64) -> i64 {
        let range = KeyRange::new(&request.key.0, &request.range_end.0);
        let keys: Vec<Bytes> = self
            .versions
            .range(range.bounds())
            .filter(|(_, versions)| versions.last().is_some_and(|kv| kv.version.0 > 0))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.delete_key_at(key, revision);
        }
        i64::try_from(keys.len()).unwrap_or(i64::MAX)
    }

    pub(crate) fn delete_key_at(&mut self, key: &Bytes, revision: i64) {
        self.leases.attach(key, 0);
        let kv = KeyValue {
            key: key.clone().into(),
            mod_revision: Int64(revision),
            ..KeyValue::default()
        };
        self.record(EventKind::Delete, kv);
    }

    fn record(&mut self, kind: EventKind, kv: KeyValue) {
        let versions = self.versions.entry(kv.key.0.clone()).or_default();
        versions.push(kv.clone());
        self.log.push_back(WatchEvent { kind, kv });
        if self.log.len() > LOG_MAX_EVENTS {
            let half = self.log[LOG_MAX_EVENTS / 2].kv.mod_revision.0;
            self.compact(half);
        }
    }

    /// Forgets what is older than `revision`.
    pub(crate) fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let compacted = self.compacted;
        while self
            .log
            .front()
            .is_some_and(|event| event.kv.mod_revision.0 < compacted)
        {
            self.log.pop_front();
        }
        self.versions.retain(|_, versions| {
            let kept = versions
                .iter()
                .rposition(|kv| kv.mod_revision.0 <= compacted);
            versions.drain(..kept.unwrap_or(0));
            versions.len() > 1 || versions.iter().any(|kv| kv.version.0 > 0)
        });
    }

    /// Returns the changes in `range` from `start` on.
    pub(crate) fn events_from(
        &self,
        range: &KeyRange,
        start: i64,
    ) -> Result<Vec<WatchEvent>, StoreError> {
        if start < self.compacted {
            return Err(StoreError::Compacted);
        }
        let first = self
            .log
            .partition_point(|event| event.kv.mod_revision.0 < start);
        let events = self.log.range(first..);
        Ok(events
            .filter(|event| range.is_within(&event.kv.key.0))
            .cloned()
            .collect())
    }
}
