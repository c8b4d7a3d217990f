//! The state machine: its state and its entry points.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ibisdale_core::{ProgramId, SlotId, StepNumber, TimeStamp};

use super::call::{CallFailure, CallId, IssuedCall, KeyChange, StoreCall, StoreResponse};
use super::options::OwnershipOptions;
use super::record::{RegistrationId, SlotRecord};
use super::registration::RegistrationState;
use super::snapshot::{LiveDaemon, OwnershipSnapshot, SlotOwner};
use super::takeover::TakeoverState;
use super::timing::{RandomSource, RetryTimer};
use super::view::{FleetView, SlotContent};
use super::writer::PendingWrite;
use crate::journal::{IntentReceipt, IntentRequest, IntentTicket, JournalEntry, JournalWriter};

/// Delay until the next poll if work was already due at the last poll.
const OVERDUE_POLL_DELAY: Duration = Duration::from_millis(20);

/// Why a call was issued, which decides how its result is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    ReadAndWatchRecords,
    Grant,
    Renew { sent_at: TimeStamp },
    Revoke,
    ReadJournal,
    Write,
}

/// State machine for the registration, the owned slots and the journal of one
/// daemon.
#[derive(Clone, Debug)]
pub struct OwnershipMachine {
    pub(crate) options: OwnershipOptions,
    pub(crate) random: RandomSource,
    pub(crate) view: FleetView,
    pub(crate) journal: JournalWriter,
    pub(crate) registration_state: RegistrationState,
    pub(crate) registration_timer: RetryTimer,
    pub(crate) renewal_timer: RetryTimer,
    /// When the first request for the current lease was issued. The lease can't have
    /// started earlier, so its end is computed from this time.
    pub(crate) grant_sent_at: Option<TimeStamp>,
    pub(crate) lease_confirmed_until: TimeStamp,
    pub(crate) pending_write: Option<PendingWrite>,
    pub(crate) takeover: TakeoverState,
    pub(crate) release_at: Option<TimeStamp>,
    /// When to next delete the journal of an ended registration.
    pub(crate) journal_deletion_at: Option<TimeStamp>,
    /// Slots without a live owner that the plan assigns to this daemon.
    pub(crate) slots_to_take: Vec<SlotId>,
    /// Owned slots that the plan assigns to other daemons.
    pub(crate) slots_to_release: Vec<SlotId>,
    /// Owned slots that accept no new work and are released as soon as they have no
    /// work in progress.
    pub(crate) releasing: BTreeSet<SlotId>,
    /// Number of slots without a live owner in the whole fleet.
    pub(crate) unowned_count: usize,
    /// Number of pins for each pinned slot.
    pub(crate) pinned: BTreeMap<SlotId, u32>,
    pub(crate) is_draining: bool,
    pub(crate) is_plan_stale: bool,
    /// Whether all records must be read, at startup or after changes may have been
    /// missed.
    pub(crate) needs_read: bool,
    pub(crate) calls: BTreeMap<CallId, CallPurpose>,
    /// Highest epoch reported by a fencing check, for each fenced slot.
    fenced: BTreeMap<SlotId, u64>,
    next_call: u64,
    outbox: Vec<IssuedCall>,
    version: u64,
    polled_at: TimeStamp,
}

impl OwnershipMachine {
    /// Creates the state machine of a daemon that has not registered yet.
    #[must_use]
    pub fn new(options: OwnershipOptions) -> Self {
        Self {
            random: RandomSource::new(options.seed),
            view: FleetView::new(options.slot_count),
            journal: JournalWriter::new(options.journal_limits),
            registration_state: RegistrationState::Reading,
            registration_timer: RetryTimer::default(),
            renewal_timer: RetryTimer::default(),
            grant_sent_at: None,
            lease_confirmed_until: TimeStamp::default(),
            pending_write: None,
            takeover: TakeoverState::default(),
            release_at: None,
            journal_deletion_at: None,
            slots_to_take: Vec::new(),
            slots_to_release: Vec::new(),
            releasing: BTreeSet::new(),
            unowned_count: 0,
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

    /// Advances the state machine to `now` and returns the calls to execute.
    pub fn poll(&mut self, now: TimeStamp) -> Vec<IssuedCall> {
        self.polled_at = now;
        self.journal.expire(now);
        self.poll_registration(now);
        if matches!(self.registration_state, RegistrationState::Active { .. }) {
            self.refresh_plan(now);
            self.poll_release(now);
            self.poll_takeover(now);
            self.poll_drain(now);
        }
        self.poll_writer(now);
        std::mem::take(&mut self.outbox)
    }

    /// Returns when to call [`poll`](Self::poll) next if no event arrives before.
    #[must_use]
    pub fn next_wake(&self) -> Option<TimeStamp> {
        let is_active = matches!(self.registration_state, RegistrationState::Active { .. });
        let registration_wake = match &self.registration_state {
            RegistrationState::Active { .. } => {
                let read = self
                    .registration_timer
                    .next_wake()
                    .filter(|_| self.needs_read);
                self.renewal_timer.next_wake().into_iter().chain(read).min()
            }
            RegistrationState::Reading
            | RegistrationState::RequestingLease { .. }
            | RegistrationState::Closing { .. } => self.registration_timer.next_wake(),
            RegistrationState::Registering { .. }
            | RegistrationState::Ended
            | RegistrationState::Superseded => None,
        };
        let next_write_wakes = [
            self.release_at,
            self.journal_deletion_at,
            self.journal.commit_due(),
            self.takeover.next_wake(),
        ];
        let write_wake = match &self.pending_write {
            Some(pending) => pending.next_wake(),
            None if is_active => next_write_wakes.into_iter().flatten().min(),
            None => None,
        };
        let wakes = [registration_wake, write_wake, self.journal.next_deadline()];
        let wake = wakes.into_iter().flatten().min()?;
        // Work that was already due at the last poll is blocked until an event whose time
        // is not known. The delay avoids a busy loop.
        Some(if wake > self.polled_at {
            wake
        } else {
            self.polled_at.plus(OVERDUE_POLL_DELAY)
        })
    }

    /// Handles the result of a call.
    ///
    /// Results of calls issued before the registration last ended are ignored.
    pub fn on_response(
        &mut self,
        id: CallId,
        response: Result<StoreResponse, CallFailure>,
        now: TimeStamp,
    ) {
        let Some(purpose) = self.calls.remove(&id) else {
            return;
        };
        match purpose {
            CallPurpose::Write => {
                let response = match response {
                    Ok(StoreResponse::Write(outcome)) => Ok(outcome),
                    Ok(_) => Err(CallFailure::Unknown),
                    Err(failure) => Err(failure),
                };
                self.on_write_response(response, now);
            }
            CallPurpose::ReadJournal => self.on_journal_response(response, now),
            _ => self.on_registration_response(&purpose, response, now),
        }
    }

    /// Applies watched changes of slot and daemon records.
    pub fn on_changes(&mut self, changes: &[KeyChange], now: TimeStamp) {
        for change in changes {
            self.view.apply(change);
        }
        self.on_view_change(now);
    }

    /// Schedules a read of all records, since watched changes may have been missed.
    pub fn on_gap(&mut self) {
        self.needs_read = true;
    }

    /// Handles a request of this daemon that was refused by a fencing check, which has
    /// seen `epoch` for the slot, higher than that of the request. The slot is not
    /// reported as owned below that epoch.
    pub fn on_fenced(&mut self, slot: SlotId, epoch: u64) {
        let known = self.fenced.entry(slot).or_default();
        *known = (*known).max(epoch);
        self.bump_version();
    }

    /// Starts to release all slots; the lease is revoked once none are left.
    pub fn start_drain(&mut self) {
        self.is_draining = true;
        self.is_plan_stale = true;
        self.bump_version();
    }

    /// Prevents a slot from being released until each pin is undone by
    /// [`unpin`](Self::unpin).
    pub fn pin(&mut self, slot: SlotId) {
        *self.pinned.entry(slot).or_default() += 1;
    }

    /// Undoes one [`pin`](Self::pin).
    pub fn unpin(&mut self, slot: SlotId) {
        let count = self.pinned.remove(&slot).unwrap_or(0);
        if count > 1 {
            self.pinned.insert(slot, count - 1);
        }
    }

    /// Queues a paid action to be recorded in the journal. The result is returned by
    /// [`take_receipts`](Self::take_receipts).
    pub fn push_intent(&mut self, request: IntentRequest) -> IntentTicket {
        self.journal.push(request)
    }

    /// Marks the outcome of a recorded action as stored in the program's history.
    pub fn finish_intent(&mut self, program: ProgramId, step: StepNumber, now: TimeStamp) {
        self.journal.finish(program, step, now);
    }

    /// Withdraws a recorded action that was not sent and never will be.
    pub fn withdraw_intent(&mut self, program: ProgramId, step: StepNumber, now: TimeStamp) {
        self.journal.withdraw(program, step, now);
    }

    /// Returns the journal entry of a step, including entries carried over from
    /// previous owners.
    #[must_use]
    pub fn get_intent(&self, program: ProgramId, step: StepNumber) -> Option<&JournalEntry> {
        self.journal.get_value().find(program, step)
    }

    /// Takes the results of requests that have completed since the last call.
    pub fn take_receipts(&mut self) -> Vec<IntentReceipt> {
        self.journal.take_receipts()
    }

    /// Returns a version number that increases when the snapshot may have changed.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        self.version
    }

    /// Returns the epoch of a slot, or `None` if this daemon does not own it.
    #[must_use]
    pub fn own_epoch(&self, slot: SlotId) -> Option<u64> {
        let record = self.view.slot(slot)?.record()?;
        self.is_own(slot, record).then_some(record.epoch)
    }

    fn is_own(&self, slot: SlotId, record: &SlotRecord) -> bool {
        let RegistrationState::Active { registration, .. } = &self.registration_state else {
            return false;
        };
        let fence = self.fenced.get(&slot).copied().unwrap_or(0);
        !record.is_released
            && record.incarnation == registration.incarnation
            && record.owner == registration.name
            && record.epoch >= fence
    }

    /// Returns this daemon's registration, if it is active.
    #[must_use]
    pub fn registration(&self) -> Option<RegistrationId> {
        match &self.registration_state {
            RegistrationState::Active { registration, .. } => Some(registration.clone()),
            _ => None,
        }
    }

    /// Returns the currently known ownership of all slots.
    #[must_use]
    pub fn snapshot(&self) -> OwnershipSnapshot {
        let slots = self.view.slots();
        let owners = slots.map(|(slot, view)| {
            let record = view.record()?;
            Some(SlotOwner {
                owner: record.registration(),
                epoch: record.epoch,
                is_own: self.is_own(slot, record),
                is_leaving: self.releasing.contains(&slot) || record.is_released,
            })
        });
        let contents = self.view.slots().map(|(_, view)| &view.content);
        let unreadable = contents.filter(|content| **content == SlotContent::Invalid);
        let daemons = self.view.daemon_records().map(|(name, record)| LiveDaemon {
            name: name.clone(),
            record: record.clone(),
        });
        OwnershipSnapshot {
            phase: self.registration_state.phase(self.is_draining),
            registration: self.registration(),
            lease_confirmed_until: self.lease_confirmed_until,
            revision: self.view.revision(),
            unreadable_slots: unreadable.count(),
            owners: owners.collect(),
            daemons: daemons.collect(),
        }
    }

    pub(crate) fn bump_version(&mut self) {
        self.version += 1;
    }

    pub(crate) fn issue(&mut self, call: StoreCall, purpose: CallPurpose) {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, purpose);
        self.outbox.push(IssuedCall { id, call });
    }

    pub(crate) fn is_drain_announced(&self) -> bool {
        let record = self.view.daemon_record(&self.options.profile.name);
        record.is_some_and(|record| record.is_draining)
    }

    /// Reacts to changed records: marks the plan as stale, restarts the registration if
    /// this daemon's record was deleted, and ends it if the record was replaced.
    pub(crate) fn on_view_change(&mut self, now: TimeStamp) {
        self.is_plan_stale = true;
        self.bump_version();
        let RegistrationState::Active {
            registration,
            registered_revision,
            ..
        } = self.registration_state.clone()
        else {
            return;
        };
        let Some(own) = self.view.daemon(&registration.name) else {
            return;
        };
        let seen = own.record.as_ref().map(|record| record.incarnation);
        if own.revision > registered_revision && seen != Some(registration.incarnation) {
            if seen.is_some() {
                self.end_registration(RegistrationState::Superseded);
            } else {
                self.restart_registration(now);
            }
            return;
        }
        self.update_entries_to_remove(&registration);
    }

    /// Marks journal entries for removal with the next commit if another registration
    /// owns their slot, and unmarks the others.
    fn update_entries_to_remove(&mut self, registration: &RegistrationId) {
        let slots: BTreeSet<SlotId> = {
            let entries = self.journal.get_value().entries.iter();
            entries.map(JournalEntry::slot).collect()
        };
        for slot in slots {
            let record = self.view.slot(slot).and_then(|view| view.record());
            let keeps_entries = record.is_none_or(|record| record.registration() == *registration);
            if keeps_entries {
                self.journal.keep_slot(slot);
            } else {
                self.journal.drop_slot(slot);
            }
        }
    }
}
