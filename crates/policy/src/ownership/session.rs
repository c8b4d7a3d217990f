//! Registration of the daemon: its lease, its record and its journal.

use ibisdale_core::TimeStamp;

use super::call::{CallFailure, ConditionalWrite, KeyCondition, KeyWrite, StoreAnswer, StoreCall};
use super::keys::{daemon_key, journal_key};
use super::machine::{CallPurpose, OwnershipMachine};
use super::record::{DaemonRecord, OwnerIdentity, to_json};
use super::snapshot::SessionPhase;
use super::timing::RetryTimer;
use super::writer::{PendingWrite, WriteKind};
use crate::journal::JournalValue;

/// State of the registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// Reading the records of daemons and slots.
    Reading,
    /// Requesting a lease.
    Granting { lease: i64 },
    /// Writing the daemon's record and its empty journal.
    Registering { lease: i64 },
    /// The registration is stored.
    Active {
        identity: OwnerIdentity,
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

impl SessionState {
    pub(crate) fn phase(&self, is_draining: bool) -> SessionPhase {
        match self {
            Self::Reading | Self::Granting { .. } | Self::Registering { .. } => {
                SessionPhase::Starting
            }
            Self::Active { .. } if !is_draining => SessionPhase::Active,
            Self::Active { .. } | Self::Closing { .. } => SessionPhase::Draining,
            Self::Ended => SessionPhase::Ended,
            Self::Superseded => SessionPhase::Superseded,
        }
    }
}

impl OwnershipMachine {
    /// Issues the session's calls that are due.
    pub(crate) fn poll_session(&mut self, now: TimeStamp) {
        let is_readable = matches!(
            self.session,
            SessionState::Reading | SessionState::Active { .. }
        );
        if self.needs_read && is_readable && self.session_timer.is_due(now) {
            self.session_timer.start();
            self.issue(StoreCall::ReadFleet, CallPurpose::ReadFleet);
        }
        match &self.session {
            SessionState::Active { lease, .. } => {
                let lease = *lease;
                if self.renewal_timer.is_due(now) {
                    self.renewal_timer.start();
                    let purpose = CallPurpose::Renew { sent_at: now };
                    self.issue(StoreCall::RenewLease(lease), purpose);
                }
            }
            SessionState::Granting { lease } if self.session_timer.is_due(now) => {
                let lease = *lease;
                let ttl = self.options.lease_ttl;
                self.session_timer.start();
                self.grant_sent_at.get_or_insert(now);
                self.issue(StoreCall::GrantLease { lease, ttl }, CallPurpose::Grant);
            }
            SessionState::Closing { lease } if self.session_timer.is_due(now) => {
                let lease = *lease;
                self.session_timer.start();
                self.issue(StoreCall::RevokeLease(lease), CallPurpose::Revoke);
            }
            _ => {}
        }
    }

    /// Handles the result of a session call.
    pub(crate) fn on_session_answer(
        &mut self,
        purpose: &CallPurpose,
        answer: Result<StoreAnswer, CallFailure>,
        now: TimeStamp,
    ) {
        match (purpose, answer) {
            (CallPurpose::Renew { sent_at }, Ok(StoreAnswer::LeaseHeld)) => {
                self.confirmed_until = sent_at.plus(self.options.lease_ttl);
                let interval = self.options.renew_interval();
                self.renewal_timer.succeed(now.plus(interval));
                self.bump_version();
            }
            (CallPurpose::Renew { .. }, Ok(StoreAnswer::LeaseEnded)) => {
                self.restart_registration(now);
            }
            (CallPurpose::Renew { .. }, _) => self.renewal_timer.fail(now, &mut self.random),
            (CallPurpose::ReadFleet, Ok(StoreAnswer::Fleet(read))) => {
                if self.view.apply_read(read) {
                    self.session_timer.succeed(now);
                    self.needs_read = false;
                    self.on_fleet_read(now);
                } else {
                    self.session_timer.fail(now, &mut self.random);
                }
            }
            (CallPurpose::Grant, Ok(StoreAnswer::LeaseHeld)) => self.start_registration(now),
            (CallPurpose::Revoke, Ok(StoreAnswer::LeaseEnded)) => {
                self.session = SessionState::Ended;
                self.bump_version();
            }
            _ => self.session_timer.fail(now, &mut self.random),
        }
    }

    fn on_fleet_read(&mut self, now: TimeStamp) {
        if self.session == SessionState::Reading {
            let lease = self.random.lease_id();
            self.session = SessionState::Granting { lease };
            self.grant_sent_at = None;
        }
        self.on_view_change(now);
    }

    fn start_registration(&mut self, now: TimeStamp) {
        let SessionState::Granting { lease } = self.session else {
            return;
        };
        self.session_timer.succeed(now);
        self.session = SessionState::Registering { lease };
        let revision = u64::try_from(self.view.revision()).unwrap_or(0);
        let known = self.view.daemon_record(&self.options.profile.name);
        let next_incarnation = known.map_or(0, |record| record.incarnation + 1);
        let identity = OwnerIdentity {
            name: self.options.profile.name.clone(),
            incarnation: revision.max(next_incarnation),
        };
        let nonce = self.random.nonce();
        let write = self.registration_write(&identity, lease, nonce);
        self.writer = Some(PendingWrite::new(
            write,
            WriteKind::Register(identity),
            nonce,
            now,
        ));
    }

    fn registration_write(
        &self,
        identity: &OwnerIdentity,
        lease: i64,
        nonce: u64,
    ) -> ConditionalWrite {
        let key = daemon_key(&identity.name);
        let journal = journal_key(identity);
        let known = self.view.daemon(&identity.name);
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
                self.daemon_write(identity, lease, nonce, false),
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
        identity: &OwnerIdentity,
        lease: i64,
        nonce: u64,
        is_draining: bool,
    ) -> KeyWrite {
        let profile = &self.options.profile;
        let record = DaemonRecord {
            incarnation: identity.incarnation,
            nonce,
            fleet_address: profile.fleet_address,
            entry_address: profile.entry_address,
            failure_domain: profile.failure_domain.clone(),
            is_draining,
        };
        KeyWrite {
            key: daemon_key(&identity.name),
            value: Some(to_json(&record)),
            lease: Some(lease),
        }
    }

    /// Ends a registration attempt; `revision` is the revision of its write if the write
    /// is known to have taken effect.
    pub(crate) fn finish_registration(
        &mut self,
        identity: OwnerIdentity,
        revision: Option<i64>,
        now: TimeStamp,
    ) {
        let SessionState::Registering { lease } = self.session else {
            return;
        };
        let Some(registered_revision) = revision else {
            self.session = SessionState::Reading;
            self.needs_read = true;
            self.session_timer.fail(now, &mut self.random);
            return;
        };
        self.journal
            .adopt(JournalValue::default(), registered_revision);
        self.session = SessionState::Active {
            identity,
            lease,
            registered_revision,
        };
        let grant_sent_at = self.grant_sent_at.unwrap_or(now);
        self.confirmed_until = grant_sent_at.plus(self.options.lease_ttl);
        self.renewal_timer = RetryTimer::at(grant_sent_at.plus(self.options.renew_interval()));
        self.on_view_change(now);
    }

    /// Ends the registration, whose lease has ended or whose journal was sealed or
    /// deleted, and registers again.
    pub(crate) fn restart_registration(&mut self, now: TimeStamp) {
        self.end_registration(SessionState::Reading);
        self.needs_read = true;
        self.session_timer = RetryTimer::at(now);
    }

    /// Enters the `next` state and discards all state of the current registration.
    pub(crate) fn end_registration(&mut self, next: SessionState) {
        self.session = next;
        self.journal.reset();
        self.writer = None;
        self.takeover.reset();
        self.release_at = None;
        self.calls.clear();
        self.releasing.clear();
        self.confirmed_until = TimeStamp::default();
        self.bump_version();
    }
}
