//! The client and its calls on keys.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use ibisdale_net::TrafficExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::connection::ConnectionPool;
use super::entry::{KvEntry, KvPut, KvRevision, KvSnapshot};
use super::error::{KvError, KvFailure};
use super::exchange::{CallDeadline, exchange, take_connection};
use super::options::KvOptions;
use crate::counts::{KvCallCounts, KvCallKind};
use crate::wire;

#[derive(Debug)]
struct ClientState {
    options: KvOptions,
    pool: ConnectionPool,
    counts: Mutex<KvCallCounts>,
}

/// Client of the key-value service.
///
/// Clones share connections and counters. A call that failed is repeated only
/// where that is harmless: at the next endpoint when nothing was sent, and on a
/// new connection when it is a read.
#[derive(Clone, Debug)]
pub struct KvClient {
    state: Arc<ClientState>,
}

impl KvClient {
    /// Creates a client; connections are opened when they are needed.
    #[must_use]
    pub fn new(options: KvOptions, executor: &TrafficExecutor) -> Self {
        let endpoints = options.get_endpoints().to_vec();
        let state = ClientState {
            options,
            pool: ConnectionPool::new(endpoints, TrafficExecutor::clone(executor)),
            counts: Mutex::new(KvCallCounts::default()),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Returns the number of calls sent so far.
    #[must_use]
    pub fn get_counts(&self) -> KvCallCounts {
        let counts = self.state.counts.lock();
        *counts.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn options(&self) -> &KvOptions {
        &self.state.options
    }

    pub(crate) fn pool(&self) -> &ConnectionPool {
        &self.state.pool
    }

    pub(crate) fn count(&self, call: KvCallKind) {
        let counts = self.state.counts.lock();
        counts.unwrap_or_else(PoisonError::into_inner).add(call);
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails as described at [`KvError`].
    pub async fn get(&self, key: impl Into<Bytes>) -> Result<KvSnapshot, KvError> {
        let request = wire::RangeRequest {
            key: key.into().into(),
            ..wire::RangeRequest::default()
        };
        let response = self.read(&request).await?;
        Ok(KvSnapshot {
            revision: KvRevision::new(response.header.revision.0),
            entries: response.kvs.into_iter().map(KvEntry::from).collect(),
        })
    }

    /// Reads all keys with a prefix, in pages that show one revision.
    ///
    /// # Errors
    ///
    /// Fails as described at [`KvError`].
    pub async fn get_prefix(&self, prefix: impl Into<Bytes>) -> Result<KvSnapshot, KvError> {
        let prefix = prefix.into();
        let mut request = wire::RangeRequest {
            range_end: wire::prefix_end(&prefix).into(),
            key: prefix.into(),
            limit: wire::Int64(self.options().get_page_max_keys().into()),
            ..wire::RangeRequest::default()
        };
        let mut snapshot = KvSnapshot::default();
        loop {
            let response = self.read(&request).await?;
            if request.revision.0 == 0 {
                request.revision = response.header.revision;
                snapshot.revision = KvRevision::new(response.header.revision.0);
            }
            let entries = response.kvs.into_iter().map(KvEntry::from);
            snapshot.entries.extend(entries);
            let last = snapshot.entries.last();
            match last.filter(|_| response.more) {
                None => return Ok(snapshot),
                Some(entry) => request.key = key_after(&entry.key).into(),
            }
        }
    }

    async fn read(&self, request: &wire::RangeRequest) -> Result<wire::RangeResponse, KvError> {
        self.call(KvCallKind::Range, request).await
    }

    /// Writes one key and returns the revision of the write.
    ///
    /// # Errors
    ///
    /// Fails as described at [`KvError`].
    pub async fn put(&self, put: KvPut) -> Result<KvRevision, KvError> {
        let request = put.into_wire();
        let response: wire::PutResponse = self.call(KvCallKind::Put, &request).await?;
        Ok(KvRevision::new(response.header.revision.0))
    }

    /// Deletes one key and tells whether it existed.
    ///
    /// # Errors
    ///
    /// Fails as described at [`KvError`].
    pub async fn delete(&self, key: impl Into<Bytes>) -> Result<bool, KvError> {
        let request = wire::DeleteRangeRequest {
            key: key.into().into(),
            ..wire::DeleteRangeRequest::default()
        };
        let response: wire::DeleteRangeResponse =
            self.call(KvCallKind::DeleteRange, &request).await?;
        Ok(response.deleted.0 > 0)
    }

    /// Makes a call, within the call timeout in all.
    pub(crate) async fn call<Q, A>(&self, call: KvCallKind, request: &Q) -> Result<A, KvError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let answer = self.call_bytes(call, request).await;
        let answer = answer.and_then(|bytes| {
            serde_json::from_slice(&bytes).map_err(|error| KvFailure::Unreadable {
                message: error.to_string(),
            })
        });
        answer.map_err(|failure| KvError::new(call, failure))
    }

    async fn call_bytes(
        &self,
        call: KvCallKind,
        request: &impl Serialize,
    ) -> Result<Bytes, KvFailure> {
        let body = serde_json::to_vec(request).map_err(|error| KvFailure::Unwritable {
            message: error.to_string(),
        })?;
        let body = Bytes::from(body);
        let deadline = CallDeadline::new(self.options().get_call_timeout());
        let mut attempts = self.pool().endpoint_count() + 1;
        if attempts == 1 {
            return Err(KvFailure::NoEndpoint);
        }
        loop {
            attempts -= 1;
            let result = self.attempt(call, body.clone(), &deadline).await;
            let Err(failure) = result else {
                return result;
            };
            if attempts == 0 || deadline.is_over() || !is_repeatable(call, &failure) {
                return Err(failure);
            }
        }
    }

    async fn attempt(
        &self,
        call: KvCallKind,
        body: Bytes,
        deadline: &CallDeadline,
    ) -> Result<Bytes, KvFailure> {
        // A read may be repeated on a new connection when this one is silent.
        let limit = if call == KvCallKind::Range {
            deadline.half()
        } else {
            *deadline
        };
        let result = self.attempt_within(call, body, &limit).await;
        if let Err(failure) = &result
            && !matches!(failure, KvFailure::Refused { .. })
        {
            self.pool().report_failure();
        }
        result
    }

    async fn attempt_within(
        &self,
        call: KvCallKind,
        body: Bytes,
        limit: &CallDeadline,
    ) -> Result<Bytes, KvFailure> {
        let mut connection = take_connection(self.pool(), limit).await?;
        self.count(call);
        let answer = limit.run(exchange(&mut connection, call, body)).await?;
        self.pool().put_idle(connection);
        Ok(answer)
    }
}

fn is_repeatable(call: KvCallKind, failure: &KvFailure) -> bool {
    match failure {
        KvFailure::Connection { source } if source.is_not_sent() => true,
        KvFailure::Connection { .. } | KvFailure::Timeout { .. } => call == KvCallKind::Range,
        _ => false,
    }
}

/// Returns the smallest key after `key`.
fn key_after(key: &[u8]) -> Bytes {
    let mut next = Vec::with_capacity(key.len() + 1);
    next.extend_from_slice(key);
    next.push(0);
    Bytes::from(next)
}
