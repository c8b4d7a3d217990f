//! Leases.

use std::time::Duration;

use super::client::KvClient;
use super::entry::LeaseId;
use super::error::{KvError, KvFailure};
use crate::counts::KvCallKind;
use crate::wire;

/// A lease that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease.
    pub id: LeaseId,
    /// Time to live, from when the service took the call.
    pub ttl: Duration,
}

/// What a renewal found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The lease is renewed.
    Renewed {
        /// Time to live, from when the service took the call.
        ttl: Duration,
    },
    /// The lease has ended, and its keys are deleted.
    Ended,
}

fn duration_of(seconds: wire::Int64) -> Duration {
    Duration::from_secs(u64::try_from(seconds.0).unwrap_or(0))
}

impl KvClient {
    /// Asks for a lease; the time to live is rounded up to whole seconds.
    ///
    /// With an `id` of the caller's choice, a grant whose answer was lost can
    /// be recognised: a second one is refused, and a renewal succeeds.
    ///
    /// # Errors
    ///
    /// Fails as described at [`KvError`].
    pub async fn grant_lease(
        &self,
        ttl: Duration,
        id: Option<LeaseId>,
    ) -> Result<LeaseGrant, KvError> {
        let seconds = ttl.as_millis().div_ceil(1_000).max(1);
        let request = wire::LeaseGrantRequest {
            ttl: wire::Int64(i64::try_from(seconds).unwrap_or(i64::MAX)),
            id: wire::Int64(id.map_or(0, LeaseId::get)),
        };
        let response: wire::LeaseGrantResponse =
            self.call(KvCallKind::LeaseGrant, &request).await?;
        Ok(LeaseGrant {
            id: LeaseId::new(response.id.0),
            ttl: duration_of(response.ttl),
        })
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails as described at [`KvError`].
    pub async fn keep_lease(&self, id: LeaseId) -> Result<LeaseStatus, KvError> {
        let request = wire::LeaseKeepAliveRequest {
            id: wire::Int64(id.get()),
        };
        let line: wire::StreamLine<wire::LeaseKeepAliveResponse> =
            self.call(KvCallKind::LeaseKeepAlive, &request).await?;
        match line {
            wire::StreamLine::Result(response) if response.ttl.0 > 0 => Ok(LeaseStatus::Renewed {
                ttl: duration_of(response.ttl),
            }),
            wire::StreamLine::Result(_) => Ok(LeaseStatus::Ended),
            wire::StreamLine::Error(error) => {
                let failure = KvFailure::Refused {
                    status: 200,
                    code: error.code,
                    message: error.message,
                };
                Err(KvError::new(KvCallKind::LeaseKeepAlive, failure))
            }
        }
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails as described at [`KvError`]; a lease that has already ended is
    /// refused.
    pub async fn revoke_lease(&self, id: LeaseId) -> Result<(), KvError> {
        let request = wire::LeaseRevokeRequest {
            id: wire::Int64(id.get()),
        };
        let _: wire::LeaseRevokeResponse = self.call(KvCallKind::LeaseRevoke, &request).await?;
        Ok(())
    }
}
