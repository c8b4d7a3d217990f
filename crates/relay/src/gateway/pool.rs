//! Pool of idle connections to replicas.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::HeaderMap;

use crate::decide::ReplicaKey;
use crate::http1::Http1Connection;

/// Idle timeout of a connection whose replica gives none.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Share of the idle timeout for which a connection is used, in percent; later, the
/// replica might close it just as the next request arrives.
const IDLE_TIMEOUT_USED_PERCENT: u32 = 70;
/// Maximum number of idle connections to one replica.
const IDLE_PER_REPLICA_MAX: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    connection: Http1Connection,
    usable_until: Instant,
}

/// Idle connections by replica.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<ReplicaKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently returned connection that is open and has no unread data.
    pub(crate) fn take(&self, replica: ReplicaKey) -> Option<Http1Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&replica)?;
        let now = Instant::now();
        while let Some(candidate) = connections.pop() {
            if candidate.usable_until > now && candidate.connection.is_reusable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, for part of the idle timeout that `headers` give.
    pub(crate) fn put(
        &self,
        replica: ReplicaKey,
        connection: Http1Connection,
        headers: &HeaderMap,
    ) {
        let idle_timeout = keep_alive_timeout(headers).unwrap_or(IDLE_TIMEOUT_DEFAULT);
        let usable = idle_timeout * IDLE_TIMEOUT_USED_PERCENT / 100;
        if usable.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(replica).or_default();
        if connections.len() < IDLE_PER_REPLICA_MAX {
            connections.push(IdleConnection {
                connection,
                usable_until: Instant::now() + usable,
            });
        }
    }

    /// Closes the idle connections to a replica that is no longer listed.
    pub(crate) fn remove_replica(&self, replica: ReplicaKey) {
        self.idle.borrow_mut().remove(&replica);
    }

    /// Closes connections that are no longer usable.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|entry| entry.usable_until > now);
        }
    }
}

/// Parses the `timeout` parameter of the `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut pairs = value
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='));
    let (_, seconds) = pairs.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
