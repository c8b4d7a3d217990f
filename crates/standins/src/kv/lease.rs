//! Leases and the keys that end with them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ibisdale_platform::wire::{
    Int64, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveResponse, LeaseRevokeResponse,
};

use super::store::{KvStore, StoreError};

/// First identifier that the service chooses itself.
const FIRST_LEASE_ID: i64 = 7_587_000_000_000_000_001;

#[derive(Debug)]
struct LeaseState {
    ttl_seconds: i64,
    expires: Instant,
    keys: BTreeSet<Bytes>,
}

#[derive(Debug, Default)]
pub(crate) struct LeaseTable {
    leases: BTreeMap<i64, LeaseState>,
    lease_of_key: HashMap<Bytes, i64>,
    granted: i64,
}

fn lifetime(ttl_seconds: i64) -> Duration {
    Duration::from_secs(u64::try_from(ttl_seconds).unwrap_or(0))
}

impl LeaseTable {
    pub(crate) fn is_held(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    pub(crate) fn ids(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Ties a key to a lease; 0 unties it.
    pub(crate) fn attach(&mut self, key: &Bytes, id: i64) {
        if let Some(old) = self.lease_of_key.remove(key)
            && let Some(lease) = self.leases.get_mut(&old)
        {
            lease.keys.remove(key);
        }
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.insert(key.clone());
            self.lease_of_key.insert(key.clone(), id);
        }
    }
}

impl KvStore {
    pub(crate) fn grant_lease(
        &mut self,
        request: &LeaseGrantRequest,
        now: Instant,
    ) -> Result<LeaseGrantResponse, StoreError> {
        let id = if request.id.0 == 0 {
            self.leases.granted += 1;
            FIRST_LEASE_ID + self.leases.granted
        } else {
            request.id.0
        };
        if self.leases.is_held(id) {
            return Err(StoreError::LeaseExists);
        }
        let ttl_seconds = request.ttl.0.max(1);
        let lease = LeaseState {
            ttl_seconds,
            expires: now + lifetime(ttl_seconds),
            keys: BTreeSet::new(),
        };
        self.leases.leases.insert(id, lease);
        Ok(LeaseGrantResponse {
            header: self.header(),
            id: Int64(id),
            ttl: Int64(ttl_seconds),
        })
    }

    pub(crate) fn keep_lease(&mut self, id: i64, now: Instant) -> LeaseKeepAliveResponse {
        let mut ttl = 0;
        if let Some(lease) = self.leases.leases.get_mut(&id) {
            lease.expires = now + lifetime(lease.ttl_seconds);
            ttl = lease.ttl_seconds;
        }
        LeaseKeepAliveResponse {
            header: self.header(),
            id: Int64(id),
            ttl: Int64(ttl),
        }
    }

    pub(crate) fn revoke_lease(&mut self, id: i64) -> Result<LeaseRevokeResponse, StoreError> {
        let lease = self.leases.leases.remove(&id);
        let lease = lease.ok_or(StoreError::LeaseNotFound)?;
        if !lease.keys.is_empty() {
            let revision = self.revision + 1;
            for key in &lease.keys {
                self.delete_key_at(key, revision);
            }
            self.revision = revision;
        }
        Ok(LeaseRevokeResponse {
            header: self.header(),
        })
    }

    /// Ends the leases that were not renewed in time; tells whether any was.
    pub(crate) fn expire_leases(&mut self, now: Instant) -> bool {
        let expired: Vec<i64> = self
            .leases
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            // The identifier was just listed, so the lease is there.
            let _ = self.revoke_lease(*id);
        }
        !expired.is_empty()
    }

    /// Restarts the lifetime of all leases, as after a service outage.
    pub(crate) fn extend_leases(&mut self, now: Instant) {
        for lease in self.leases.leases.values_mut() {
            lease.expires = now + lifetime(lease.ttl_seconds);
        }
    }
}
