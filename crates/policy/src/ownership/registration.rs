//! Registration of the daemon: its lease, its record and its journal.

use ibisdale_core::TimeStamp;

use super::call::{
    CallFailure, ConditionalWrite, KeyCondition, KeyWrite, StoreCall, StoreResponse,
};
use super::keys::{daemon_key, journal_key};
use super::machine::{CallPurpose, OwnershipMachine};
use super::record::{DaemonRecord, RegistrationId, to_json};
use super::snapshot::RegistrationPhase;
use super::timing::RetryTimer;
use super::writer::{PendingWrite, WritePurpose};
use crate::journal::JournalValue;

/// State of the registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RegistrationState {
    /// Reading the records of daemons and slots.
    Reading,
    /// Requesting a lease.
    RequestingLease { lease: i64 },
    /// Writing the daemon's record and its empty journal.
    Registering { lease: i64 },
    /// The registration is stored.
    Active {
        registration: RegistrationId,
        lease: i64,
        /// Store revision of the registration's write.
        registered_revision: i64,
    },
    /// Revoking the lease after a drain.
    Closing { lease: i64 },
    /// The lease was revoked after a drain.
    Ended,
    /// Another process has registered under the same name.
    Superseded,
}

impl RegistrationState {
    pub(crate) fn phase(&self, is_draining: bool) -> RegistrationPhase {
        match self {
            Self::Reading | Self::RequestingLease { .. } | Self::Registering { .. } => {
                RegistrationPhase::Starting
            }
            Self::Active { .. } if !is_draining => RegistrationPhase::Active,
            Self::Active { .. } | Self::Closing { .. } => RegistrationPhase::Draining,
            Self::Ended => RegistrationPhase::Ended,
            Self::Superseded => RegistrationPhase::Superseded,
        }
    }
}

impl OwnershipMachine {
    /// Issues the lease calls and the read of all records that are due.
    pub(crate) fn poll_registration(&mut self, now: TimeStamp) {
        let may_read = matches!(
            self.registration_state,
            RegistrationState::Reading | RegistrationState::Active { .. }
        );
        if self.needs_read && may_read && self.registration_timer.is_due(now) {
            self.registration_timer.start();
            self.issue(
                StoreCall::ReadAndWatchRecords,
                CallPurpose::ReadAndWatchRecords,
            );
        }
        match &self.registration_state {
            RegistrationState::Active { lease, .. } => {
                let lease = *lease;
                if self.renewal_timer.is_due(now) {
                    self.renewal_timer.start();
                    let purpose = CallPurpose::Renew { sent_at: now };
                    self.issue(StoreCall::RenewLease(lease), purpose);
                }
            }
            RegistrationState::RequestingLease { lease } if self.registration_timer.is_due(now) => {
                let lease = *lease;
                let ttl = self.options.lease_ttl;
                self.registration_timer.start();
                self.grant_sent_at.get_or_insert(now);
                self.issue(StoreCall::GrantLease { lease, ttl }, CallPurpose::Grant);
            }
            RegistrationState::Closing { lease } if self.registration_timer.is_due(now) => {
                let lease = *lease;
                self.registration_timer.start();
                self.issue(StoreCall::RevokeLease(lease), CallPurpose::Revoke);
            }
            _ => {}
        }
    }

    /// Handles the result of a lease call or a read of all records.
    pub(crate) fn on_registration_response(
        &mut self,
        purpose: &CallPurpose,
        response: Result<StoreResponse, CallFailure>,
        now: TimeStamp,
    ) {
        match (purpose, response) {
            (CallPurpose::Renew { sent_at }, Ok(StoreResponse::LeaseHeld)) => {
                self.lease_confirmed_until = sent_at.plus(self.options.lease_ttl);
                let interval = self.options.renew_interval();
                self.renewal_timer.succeed(now.plus(interval));
                self.bump_version();
            }
            (CallPurpose::Renew { .. }, Ok(StoreResponse::LeaseEnded)) => {
                self.restart_registration(now);
            }
            (CallPurpose::Renew { .. }, _) => self.renewal_timer.fail(now, &mut self.random),
            (CallPurpose::ReadAndWatchRecords, Ok(StoreResponse::Fleet(read))) => {
                if self.view.apply_read(read) {
                    self.registration_timer.succeed(now);
                    self.needs_read = false;
                    self.on_fleet_read(now);
                } else {
                    self.registration_timer.fail(now, &mut self.random);
                }
            }
            (CallPurpose::Grant, Ok(StoreResponse::LeaseHeld)) => self.start_registration(now),
            (CallPurpose::Revoke, Ok(StoreResponse::LeaseEnded)) => {
                self.registration_state = RegistrationState::Ended;
                self.bump_version();
            }
            _ => self.registration_timer.fail(now, &mut self.random),
        }
    }

    fn on_fleet_read(&mut self, now: TimeStamp) {
        if self.registration_state == RegistrationState::Reading {
            let lease = self.random.lease_id();
            self.registration_state = RegistrationState::RequestingLease { lease };
            self.grant_sent_at = None;
        }
        self.on_view_change(now);
    }

    fn start_registration(&mut self, now: TimeStamp) {
        let RegistrationState::RequestingLease { lease } = self.registration_state else {
            return;
        };
        self.registration_timer.succeed(now);
        self.registration_state = RegistrationState::Registering { lease };
        let revision = u64::try_from(self.view.revision()).unwrap_or(0);
        let known = self.view.daemon_record(&self.options.profile.name);
        let next_incarnation = known.map_or(0, |record| record.incarnation + 1);
        let registration = RegistrationId {
            name: self.options.profile.name.clone(),
            incarnation: revision.max(next_incarnation),
        };
        let nonce = self.random.nonce();
        let write = self.registration_write(&registration, lease, nonce);
        self.pending_write = Some(PendingWrite::new(
            write,
            WritePurpose::Register(registration),
            nonce,
            now,
        ));
    }

    fn registration_write(
        &self,
        registration: &RegistrationId,
        lease: i64,
        nonce: u64,
    ) -> ConditionalWrite {
        let key = daemon_key(&registration.name);
        let journal = journal_key(registration);
        let known = self.view.daemon(&registration.name);
        let value = JournalValue {
            nonce,
            ..JournalValue::default()
        };
        ConditionalWrite {
            conditions: vec![
                KeyCondition::Revision {
                    key: key.clone(),
                    revision: known.map_or(0, |view| view.mod_revision),
                },
                KeyCondition::Revision {
                    key: journal.clone(),
                    revision: 0,
                },
            ],
            writes: vec![
                self.daemon_write(registration, lease, nonce, false),
                KeyWrite {
                    key: journal.clone(),
                    value: Some(to_json(&value)),
                    lease: None,
                },
            ],
            failure_reads: vec![key, journal],
        }
    }

    pub(crate) fn daemon_write(
        &self,
        registration: &RegistrationId,
        lease: i64,
        nonce: u64,
        is_draining: bool,
    ) -> KeyWrite {
        let profile = &self.options.profile;
        let record = DaemonRecord {
            incarnation: registration.incarnation,
            nonce,
            fleet_address: profile.fleet_address,
            entry_address: profile.entry_address,
            failure_domain: profile.failure_domain.clone(),
            is_draining,
        };
        KeyWrite {
            key: daemon_key(&registration.name),
            value: Some(to_json(&record)),
            lease: Some(lease),
        }
    }

    /// Handles the end of the registration's write; `revision` is its revision if it is
    /// known to have taken effect.
    pub(crate) fn finish_registration_write(
        &mut self,
        registration: RegistrationId,
        revision: Option<i64>,
        now: TimeStamp,
    ) {
        let RegistrationState::Registering { lease } = self.registration_state else {
            return;
        };
        let Some(registered_revision) = revision else {
            self.registration_state = RegistrationState::Reading;
            self.needs_read = true;
            self.registration_timer.fail(now, &mut self.random);
            return;
        };
        self.journal
            .adopt(JournalValue::default(), registered_revision);
        self.registration_state = RegistrationState::Active {
            registration,
            lease,
            registered_revision,
        };
        let grant_sent_at = self.grant_sent_at.unwrap_or(now);
        self.lease_confirmed_until = grant_sent_at.plus(self.options.lease_ttl);
        self.renewal_timer = RetryTimer::due_at(grant_sent_at.plus(self.options.renew_interval()));
        self.on_view_change(now);
    }

    /// Ends the registration and starts a new one, after the lease has ended, the
    /// daemon's record was deleted, or the journal was sealed, deleted or can't be parsed.
    pub(crate) fn restart_registration(&mut self, now: TimeStamp) {
        self.end_registration(RegistrationState::Reading);
        self.needs_read = true;
        self.registration_timer = RetryTimer::due_at(now);
    }

    /// Enters the `next` state and discards the current registration's journal, calls,
    /// pending write, takeover and release.
    pub(crate) fn end_registration(&mut self, next: RegistrationState) {
        self.registration_state = next;
        self.journal.reset();
        self.pending_write = None;
        self.takeover.reset();
        self.release_at = None;
        self.calls.clear();
        self.releasing.clear();
        self.lease_confirmed_until = TimeStamp::default();
        self.bump_version();
    }
}
