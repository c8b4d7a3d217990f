//! Kept connections to replicas.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::HeaderMap;

use crate::decide::ReplicaKey;
use crate::http1::Http1Connection;

/// Time for which an idle connection is kept where the replica tells none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Part of the told idle time after which a connection is no longer used, in
/// percent; the replica may close it just when the next request arrives.
const IDLE_USED_PERCENT: u32 = 70;
/// Idle connections kept to one replica.
const IDLE_MAX: usize = 16;

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
    /// Takes the connection that was used last and is still clean.
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

    /// Keeps a connection for the time that the replica told.
    pub(crate) fn put(&self, replica: ReplicaKey, connection: Http1Connection, head: &HeaderMap) {
        let told = keep_alive(head).unwrap_or(IDLE_DEFAULT);
        let usable = told * IDLE_USED_PERCENT / 100;
        if usable.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(replica).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(IdleConnection {
                connection,
                usable_until: Instant::now() + usable,
            });
        }
    }

    /// Closes the connections to a replica that is gone.
    pub(crate) fn drop_replica(&self, replica: ReplicaKey) {
        self.idle.borrow_mut().remove(&replica);
    }

    /// Closes connections that are past their time.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|entry| entry.usable_until > now);
        }
    }
}

fn keep_alive(head: &HeaderMap) -> Option<Duration> {
    let value = head.get("keep-alive")?.to_str().ok()?;
    let mut pairs = value
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='));
    let (_, seconds) = pairs.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
