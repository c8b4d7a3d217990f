//! Registration: the lease, the daemon's record and its journal.

use ibisdale_core::TimeStamp;

use super::call::{CallFailure, GuardedWrite, KeyCondition, KeyWrite, StoreAnswer, StoreCall};
use super::keys::{daemon_key, journal_key};
use super::machine::{CallPurpose, OwnershipMachine};
use super::pace::RetryTimer;
use super::record::{DaemonRecord, OwnerIdentity, to_json};
use super::snapshot::SessionPhase;
use super::writer::{PendingWrite, WriteKind};
use crate::journal::JournalValue;

/// How far the registration has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// The records are to be read.
    Reading,
    /// A lease is to be granted.
    Granting {
        lease: i64,
    },
    /// The records of the registration are to be written.
    Registering {
        lease: i64,
    },
    /// The registration is in the store.
    Active {
        identity: OwnerIdentity,
        lease: i64,
        /// Revision of the registration.
        since: i64,
    },
    /// The lease is to be ended.
    Closing {
        lease: i64,
    },
    Ended,
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
    /// Asks for the session's next call, if one is due.
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
                if self.renewal.is_due(now) {
                    self.renewal.start();
                    let purpose = CallPurpose::Renew { sent_at: now };
                    self.issue(StoreCall::RenewLease(lease), purpose);
                }
            }
            SessionState::Granting { lease } if self.session_timer.is_due(now) => {
                let lease = *lease;
                let ttl = self.options.lease_ttl;
                self.session_timer.start();
                self.granted_at.get_or_insert(now);
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

    /// Takes in the answer to a call of the session.
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
                self.renewal.succeed(now.plus(interval));
                self.mark_changed();
            }
            (CallPurpose::Renew { .. }, Ok(StoreAnswer::LeaseEnded)) => self.lapse(now),
            (CallPurpose::Renew { .. }, _) => self.renewal.fail(now, &mut self.pace),
            (CallPurpose::ReadFleet, Ok(StoreAnswer::Fleet(read))) => {
                if self.view.replace(read) {
                    self.session_timer.succeed(now);
                    self.needs_read = false;
                    self.after_read(now);
                } else {
                    self.session_timer.fail(now, &mut self.pace);
                }
            }
            (CallPurpose::Grant, Ok(StoreAnswer::LeaseHeld)) => self.start_registration(now),
            (CallPurpose::Revoke, Ok(StoreAnswer::LeaseEnded)) => {
                self.session = SessionState::Ended;
                self.mark_changed();
            }
            _ => self.session_timer.fail(now, &mut self.pace),
        }
    }

    fn after_read(&mut self, now: TimeStamp) {
        if self.session == SessionState::Reading {
            let lease = self.pace.lease();
            self.session = SessionState::Granting { lease };
            self.granted_at = None;
        }
        self.after_view_change(now);
    }

    fn start_registration(&mut self, now: TimeStamp) {
        let SessionState::Granting { lease } = self.session else {
            return;
        };
        self.session_timer.succeed(now);
        self.session = SessionState::Registering { lease };
        let revision = u64::try_from(self.view.revision()).unwrap_or(0);
        let known = self.view.daemon_record(&self.options.profile.name);
        let above = known.map_or(0, |record| record.incarnation + 1);
        let identity = OwnerIdentity {
            name: self.options.profile.name.clone(),
            incarnation: revision.max(above),
        };
        let nonce = self.pace.nonce();
        let write = self.registration_write(&identity, lease, nonce);
        self.writer = Some(PendingWrite::new(
            write,
            WriteKind::Register(identity),
            nonce,
            now,
        ));
    }

    fn registration_write(&self, identity: &OwnerIdentity, lease: i64, nonce: u64) -> GuardedWrite {
        let key = daemon_key(&identity.name);
        let journal = journal_key(identity);
        let known = self.view.daemon(&identity.name);
        let value = JournalValue {
            nonce,
            ..JournalValue::default()
        };
        GuardedWrite {
            conditions: vec![
                KeyCondition::Revision {
                    key: key.clone(),
                    revision: known.map_or(0, |view| view.stored),
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
            reads_otherwise: vec![key, journal],
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

    /// Ends a registration attempt; `revision` is that of its write if it is
    /// in the store.
    pub(crate) fn finish_registration(
        &mut self,
        identity: OwnerIdentity,
        revision: Option<i64>,
        now: TimeStamp,
    ) {
        let SessionState::Registering { lease } = self.session else {
            return;
        };
        let Some(since) = revision else {
            self.session = SessionState::Reading;
            self.needs_read = true;
            self.session_timer.fail(now, &mut self.pace);
            return;
        };
        self.book.adopt(JournalValue::default(), since);
        self.session = SessionState::Active {
            identity,
            lease,
            since,
        };
        let granted_at = self.granted_at.unwrap_or(now);
        self.confirmed_until = granted_at.plus(self.options.lease_ttl);
        self.renewal = RetryTimer::at(granted_at.plus(self.options.renew_interval()));
        self.after_view_change(now);
    }

    /// Ends the registration, since its lease or journal has ended, and starts
    /// anew.
    pub(crate) fn lapse(&mut self, now: TimeStamp) {
        self.end_registration(SessionState::Reading);
        self.needs_read = true;
        self.session_timer = RetryTimer::at(now);
    }

    /// Forgets everything that belongs to the registration.
    pub(crate) fn end_registration(&mut self, next: SessionState) {
        self.session = next;
        self.book.reset();
        self.writer = None;
        self.takeover.reset();
        self.release_at = None;
        self.calls.clear();
        self.leaving.clear();
        self.confirmed_until = TimeStamp::default();
        self.mark_changed();
    }
}
