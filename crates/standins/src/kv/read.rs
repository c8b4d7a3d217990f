//! Reads, also at earlier revisions.

use std::ops::Bound;

use bytes::Bytes;
use ibisdale_platform::wire::{Int64, KeyValue, RangeRequest, RangeResponse};

use super::store::{KvStore, StoreError};

/// The keys that a call names.
#[derive(Clone, Debug)]
pub(crate) struct KeyRange {
    start: Bytes,
    end: Bytes,
}

impl KeyRange {
    pub(crate) fn new(start: &Bytes, end: &Bytes) -> Self {
        Self {
            start: start.clone(),
            end: end.clone(),
        }
    }

    fn is_unbounded(&self) -> bool {
        self.end.as_ref() == b"\0"
    }

    pub(crate) fn bounds(&self) -> (Bound<Bytes>, Bound<Bytes>) {
        let start = Bound::Included(self.start.clone());
        let end = if self.end.is_empty() {
            Bound::Included(self.start.clone())
        } else if self.is_unbounded() {
            Bound::Unbounded
        } else {
            // An inverted range is empty, and must not reach the map.
            Bound::Excluded(self.end.clone().max(self.start.clone()))
        };
        (start, end)
    }

    pub(crate) fn is_within(&self, key: &Bytes) -> bool {
        if self.end.is_empty() {
            return *key == self.start;
        }
        *key >= self.start && (self.is_unbounded() || *key < self.end)
    }
}

fn version_at(versions: &[KeyValue], revision: i64) -> Option<&KeyValue> {
    let count = versions.partition_point(|kv| kv.mod_revision.0 <= revision);
    let latest = versions.get(count.checked_sub(1)?)?;
    (latest.version.0 > 0).then_some(latest)
}

impl KvStore {
    /// Reads at the revision asked for, or `lag` revisions ago.
    pub(crate) fn read(
        &self,
        request: &RangeRequest,
        lag: i64,
    ) -> Result<RangeResponse, StoreError> {
        if request.key.0.is_empty() {
            return Err(StoreError::EmptyKey);
        }
        let visible = (self.revision - lag).max(self.compacted).max(1);
        let revision = match request.revision.0 {
            0 => visible,
            asked if asked > self.revision => return Err(StoreError::FutureRevision),
            asked if asked < self.compacted => return Err(StoreError::Compacted),
            asked => asked,
        };
        let range = KeyRange::new(&request.key.0, &request.range_end.0);
        let mut kvs: Vec<KeyValue> = self
            .versions
            .range(range.bounds())
            .filter_map(|(_, versions)| version_at(versions, revision))
            .cloned()
            .collect();
        let count = kvs.len();
        let limit = usize::try_from(request.limit.0).unwrap_or(0);
        let more = limit > 0 && count > limit;
        if more {
            kvs.truncate(limit);
        }
        let mut header = self.header();
        header.revision = Int64(visible);
        Ok(RangeResponse {
            header,
            kvs,
            more,
            count: Int64(i64::try_from(count).unwrap_or(i64::MAX)),
        })
    }
}
