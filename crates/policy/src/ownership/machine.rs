//! The machine: what it knows, and the entry points.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ibisdale_core::{ProgramId, SlotId, StepNumber, TimeStamp};

use super::call::{CallFailure, CallId, IssuedCall, KeyChange, StoreAnswer, StoreCall};
use super::options::OwnershipOptions;
use super::pace::{PaceSource, RetryTimer};
use super::record::{OwnerIdentity, SlotRecord};
use super::session::SessionState;
use super::snapshot::{LiveDaemon, OwnershipSnapshot, SlotOwner};
use super::takeover::TakeoverState;
use super::view::{FleetView, SlotHolding};
use super::writer::PendingWrite;
use crate::journal::{IntentReceipt, IntentRequest, IntentTicket, JournalEntry, JournalWriter};

/// Least time between two polls when nothing else happens.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// What a call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    ReadFleet,
    Grant,
    Renew { sent_at: TimeStamp },
    Revoke,
    ReadJournal,
    Write,
}

/// Ownership of slots and the journal of one daemon.
#[derive(Clone, Debug)]
pub struct OwnershipMachine {
    pub(crate) options: OwnershipOptions,
    pub(crate) pace: PaceSource,
    pub(crate) view: FleetView,
    pub(crate) book: JournalWriter,
    pub(crate) session: SessionState,
    pub(crate) session_timer: RetryTimer,
    pub(crate) renewal: RetryTimer,
    pub(crate) granted_at: Option<TimeStamp>,
    pub(crate) confirmed_until: TimeStamp,
    pub(crate) writer: Option<PendingWrite>,
    pub(crate) takeover: TakeoverState,
    pub(crate) release_at: Option<TimeStamp>,
    pub(crate) prune_at: Option<TimeStamp>,
    /// Slots that this daemon is to take.
    pub(crate) takes: Vec<SlotId>,
    /// Own slots that this daemon is to give up.
    pub(crate) leaves: Vec<SlotId>,
    /// Own slots that are about to be given up.
    pub(crate) leaving: BTreeSet<SlotId>,
    pub(crate) orphan_count: usize,
    /// Number of pins by slot.
    pub(crate) pinned: BTreeMap<SlotId, u32>,
    pub(crate) is_draining: bool,
    pub(crate) is_plan_stale: bool,
    /// Set while the records must be read as a whole.
    pub(crate) needs_read: bool,
    pub(crate) calls: BTreeMap<CallId, CallPurpose>,
    fenced: BTreeMap<SlotId, u64>,
    next_call: u64,
    outbox: Vec<IssuedCall>,
    version: u64,
    polled_at: TimeStamp,
}

impl OwnershipMachine {
    /// Creates the machine of a daemon that has just started.
    #[must_use]
    pub fn new(options: OwnershipOptions) -> Self {
        Self {
            pace: PaceSource::new(options.seed),
            view: FleetView::new(options.slot_count),
            book: JournalWriter::new(options.journal),
            session: SessionState::Reading,
            session_timer: RetryTimer::default(),
            renewal: RetryTimer::default(),
            granted_at: None,
            confirmed_until: TimeStamp::default(),
            writer: None,
            takeover: TakeoverState::default(),
            release_at: None,
            prune_at: None,
            takes: Vec::new(),
            leaves: Vec::new(),
            leaving: BTreeSet::new(),
            orphan_count: 0,
            pinned: BTreeMap::new(),
            is_draining: false,
            is_plan_stale: true,
            needs_read: true,
            calls: BTreeMap::new(),
            fenced: BTreeMap::new(),
            next_call: 0,
            outbox: Vec::new(),
            version: 0,
            polled_at: TimeStamp::default(),
            options,
        }
    }

    /// Returns the calls that are to be made now.
    pub fn poll(&mut self, now: TimeStamp) -> Vec<IssuedCall> {
        self.polled_at = now;
        self.book.expire(now);
        self.poll_session(now);
        if matches!(self.session, SessionState::Active { .. }) {
            self.refresh_plan(now);
            self.poll_leaving(now);
            self.poll_takeover(now);
            self.poll_end(now);
        }
        self.poll_writer(now);
        std::mem::take(&mut self.outbox)
    }

    /// Returns when to poll next, if nothing else happens before.
    #[must_use]
    pub fn next_wake(&self) -> Option<TimeStamp> {
        let is_active = matches!(self.session, SessionState::Active { .. });
        let session = match &self.session {
            SessionState::Active { .. } => {
                let read = self.session_timer.wake().filter(|_| self.needs_read);
                self.renewal.wake().into_iter().chain(read).min()
            }
            SessionState::Reading
            | SessionState::Granting { .. }
            | SessionState::Closing { .. } => self.session_timer.wake(),
            SessionState::Registering { .. } | SessionState::Ended | SessionState::Superseded => {
                None
            }
        };
        let idle = [
            self.release_at,
            self.prune_at,
            self.book.commit_due(),
            self.takeover.wake(),
        ];
        let writer = match &self.writer {
            Some(pending) => pending.wake(),
            None if is_active => idle.into_iter().flatten().min(),
            None => None,
        };
        let wakes = [session, writer, self.book.next_deadline()];
        let wake = wakes.into_iter().flatten().min()?;
        // What was due at the last poll waits for something that gives no time.
        Some(if wake > self.polled_at {
            wake
        } else {
            self.polled_at.plus(POLL_INTERVAL_MIN)
        })
    }

    /// Takes in the answer to a call; answers to forgotten calls are ignored.
    pub fn on_answer(
        &mut self,
        id: CallId,
        answer: Result<StoreAnswer, CallFailure>,
        now: TimeStamp,
    ) {
        let Some(purpose) = self.calls.remove(&id) else {
            return;
        };
        match purpose {
            CallPurpose::Write => {
                let answer = match answer {
                    Ok(StoreAnswer::Write(outcome)) => Ok(outcome),
                    Ok(_) => Err(CallFailure::Unknown),
                    Err(failure) => Err(failure),
                };
                self.on_write_answer(answer, now);
            }
            CallPurpose::ReadJournal => self.on_journal_answer(answer, now),
            _ => self.on_session_answer(&purpose, answer, now),
        }
    }

    /// Takes in changes of the records of slots and daemons.
    pub fn on_changes(&mut self, changes: &[KeyChange], now: TimeStamp) {
        for change in changes {
            self.view.apply(change);
        }
        self.after_view_change(now);
    }

    /// Takes in that changes were missed: the records are read again.
    pub fn on_gap(&mut self) {
        self.needs_read = true;
    }

    /// Takes in that an effect of this daemon was refused, since the slot has a
    /// higher epoch.
    pub fn on_fenced(&mut self, slot: SlotId, epoch: u64) {
        let known = self.fenced.entry(slot).or_default();
        *known = (*known).max(epoch);
        self.mark_changed();
    }

    /// Starts to give up all slots.
    pub fn start_drain(&mut self) {
        self.is_draining = true;
        self.is_plan_stale = true;
        self.mark_changed();
    }

    /// Keeps a slot from being given up until it is unpinned as often.
    pub fn pin(&mut self, slot: SlotId) {
        *self.pinned.entry(slot).or_default() += 1;
    }

    /// Undoes one [`OwnershipMachine::pin`].
    pub fn unpin(&mut self, slot: SlotId) {
        let count = self.pinned.remove(&slot).unwrap_or(0);
        if count > 1 {
            self.pinned.insert(slot, count - 1);
        }
    }

    /// Asks for an action to be recorded; the verdict comes as a receipt.
    pub fn push_intent(&mut self, request: IntentRequest) -> IntentTicket {
        self.book.push(request)
    }

    /// Notes that a recorded action's outcome is stored in the history.
    pub fn finish_intent(&mut self, program: ProgramId, step: StepNumber, now: TimeStamp) {
        self.book.finish(program, step, now);
    }

    /// Notes that a recorded action was not sent and never will be.
    pub fn withdraw_intent(&mut self, program: ProgramId, step: StepNumber, now: TimeStamp) {
        self.book.withdraw(program, step, now);
    }

    /// Returns what is recorded of a step, also by earlier owners.
    #[must_use]
    pub fn get_intent(&self, program: ProgramId, step: StepNumber) -> Option<&JournalEntry> {
        self.book.get_value().find(program, step)
    }

    /// Returns the verdicts reached since the last call.
    pub fn take_receipts(&mut self) -> Vec<IntentReceipt> {
        self.book.take_receipts()
    }

    /// Returns a number that rises when the snapshot changes.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        self.version
    }

    /// Returns the epoch of a slot that this daemon owns.
    #[must_use]
    pub fn own_epoch(&self, slot: SlotId) -> Option<u64> {
        let record = self.view.slot(slot)?.record()?;
        self.is_own(slot, record).then_some(record.epoch)
    }

    fn is_own(&self, slot: SlotId, record: &SlotRecord) -> bool {
        let SessionState::Active { identity, .. } = &self.session else {
            return false;
        };
        let fence = self.fenced.get(&slot).copied().unwrap_or(0);
        !record.is_released
            && record.incarnation == identity.incarnation
            && record.owner == identity.name
            && record.epoch >= fence
    }

    /// Returns this daemon's registration.
    #[must_use]
    pub fn identity(&self) -> Option<OwnerIdentity> {
        match &self.session {
            SessionState::Active { identity, .. } => Some(identity.clone()),
            _ => None,
        }
    }

    /// Returns ownership as it is known now.
    #[must_use]
    pub fn snapshot(&self) -> OwnershipSnapshot {
        let slots = self.view.slots();
        let owners = slots.map(|(slot, view)| {
            let record = view.record()?;
            Some(SlotOwner {
                owner: record.identity(),
                epoch: record.epoch,
                is_own: self.is_own(slot, record),
                is_leaving: self.leaving.contains(&slot) || record.is_released,
            })
        });
        let holdings = self.view.slots().map(|(_, view)| &view.holding);
        let unreadable = holdings.filter(|holding| **holding == SlotHolding::Unreadable);
        let daemons = self.view.daemon_records().map(|(name, record)| LiveDaemon {
            name: name.clone(),
            record: record.clone(),
        });
        OwnershipSnapshot {
            phase: self.session.phase(self.is_draining),
            identity: self.identity(),
            confirmed_until: self.confirmed_until,
            revision: self.view.revision(),
            unreadable_slots: unreadable.count(),
            owners: owners.collect(),
            daemons: daemons.collect(),
        }
    }

    pub(crate) fn mark_changed(&mut self) {
        self.version += 1;
    }

    pub(crate) fn issue(&mut self, call: StoreCall, purpose: CallPurpose) {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, purpose);
        self.outbox.push(IssuedCall { id, call });
    }

    pub(crate) fn is_announced(&self) -> bool {
        let record = self.view.daemon_record(&self.options.profile.name);
        record.is_some_and(|record| record.is_draining)
    }

    /// Draws the consequences of changed records.
    pub(crate) fn after_view_change(&mut self, now: TimeStamp) {
        self.is_plan_stale = true;
        self.mark_changed();
        let SessionState::Active {
            identity, since, ..
        } = self.session.clone()
        else {
            return;
        };
        let Some(own) = self.view.daemon(&identity.name) else {
            return;
        };
        let seen = own.record.as_ref().map(|record| record.incarnation);
        if own.revision > since && seen != Some(identity.incarnation) {
            if seen.is_some() {
                self.end_registration(SessionState::Superseded);
            } else {
                self.lapse(now);
            }
            return;
        }
        self.sync_journal(&identity);
    }

    fn sync_journal(&mut self, identity: &OwnerIdentity) {
        let slots: BTreeSet<SlotId> = {
            let entries = self.book.get_value().entries.iter();
            entries.map(JournalEntry::slot).collect()
        };
        for slot in slots {
            let record = self.view.slot(slot).and_then(|view| view.record());
            let is_mine = record.is_none_or(|record| record.identity() == *identity);
            if is_mine {
                self.book.keep_slot(slot);
            } else {
                self.book.drop_slot(slot);
            }
        }
    }
}
