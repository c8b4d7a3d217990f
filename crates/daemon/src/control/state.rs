//! State that the control thread owns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use ibisdale_core::{ProgramId, RefusalCode, RequestRefusal, SlotId, TimeStamp, WorkspaceName};
use ibisdale_policy::PolicyProfile;
use ibisdale_programs::{
    EndedProgram, OpenAttempt, ProgramRecord, ProgramTable, RemovedPrograms, RunKey, StepAdmission,
    StepOutcome, TableOptions, WaiterKey, WokenWaiter,
};
use ibisdale_settings::SettingsSnapshot;
use ibisdale_telemetry::record_event;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use slotmap::SecondaryMap;

use super::history::HistorySink;
use super::message::{AdmittedStep, OwnedSlot, ReplySender, UpstreamGroup};
use super::routing::UpstreamRouter;
use crate::clock::unix_now;
use crate::history::{AppendJob, SlotRecovery, StoreResult};

/// Longest time between two looks at what has expired.
const EXPIRY_MAX: Duration = Duration::from_millis(250);

/// What the control thread starts with.
#[derive(Debug)]
pub(crate) struct ControlOptions {
    pub(crate) failure_domain: bytes::Bytes,
    pub(crate) profile: PolicyProfile,
    pub(crate) random: SmallRng,
    pub(crate) settings: Arc<ArcSwap<SettingsSnapshot>>,
    pub(crate) jobs: Sender<AppendJob>,
}

/// A step that waits for its turn or for a running attempt.
pub(super) struct WaitingStep {
    pub(super) program: ProgramId,
    pub(super) workspace: WorkspaceName,
    pub(super) reply: ReplySender<Result<AdmittedStep, RequestRefusal>>,
}

/// All control state.
pub(super) struct ControlState {
    pub(super) table: ProgramTable,
    pub(super) random: SmallRng,
    pub(super) profile: PolicyProfile,
    pub(super) failure_domain: bytes::Bytes,
    pub(super) owned: Vec<SlotId>,
    pub(super) waiting: SecondaryMap<WaiterKey, WaitingStep>,
    pub(super) runs: SecondaryMap<RunKey, Sender<()>>,
    pub(super) routers: HashMap<UpstreamGroup, UpstreamRouter>,
    pub(super) history: HistorySink,
}

impl ControlState {
    pub(super) fn new(options: ControlOptions) -> Self {
        Self {
            table: ProgramTable::new(TableOptions::default()),
            random: options.random,
            profile: options.profile,
            failure_domain: options.failure_domain,
            owned: Vec::new(),
            waiting: SecondaryMap::new(),
            runs: SecondaryMap::new(),
            routers: HashMap::new(),
            history: HistorySink::new(options.jobs, options.settings),
        }
    }

    /// Returns a slot of this daemon for a new program.
    pub(super) fn pick_slot(&mut self) -> Option<SlotId> {
        self.owned.choose(&mut self.random).copied()
    }

    /// Appends records to the history that they belong to.
    pub(super) fn append(&self, records: Vec<ProgramRecord>) -> Receiver<StoreResult> {
        let root = records.first().map(|record| record.root);
        let summary = root.and_then(|root| self.table.summary_in_any_workspace(root).ok());
        let workspace = summary.as_ref().map(|summary| &summary.workspace);
        let epoch = root.and_then(|root| self.table.slot_epoch(root.slot()));
        self.history.append(workspace, epoch.unwrap_or(0), records)
    }

    /// Appends the whole history of a program, since an answer from it may leave
    /// only when it is stored; holders confirm what they have already.
    fn store_again(&self, program: ProgramId) -> Receiver<StoreResult> {
        let mut root = program;
        while let Ok(Some(parent)) = self
            .table
            .summary_in_any_workspace(root)
            .map(|found| found.parent)
        {
            root = parent;
        }
        self.append(self.table.export(root).unwrap_or_default())
    }

    /// Returns the time until something expires.
    pub(super) fn next_delay(&self, now: TimeStamp) -> Duration {
        let expiry = self.table.next_expiry().map(|time| time.since(now));
        expiry.unwrap_or(EXPIRY_MAX).min(EXPIRY_MAX)
    }

    /// Ends what has expired.
    pub(super) fn expire(&mut self) {
        let now = unix_now();
        match self.table.expire(now) {
            Ok(report) => {
                for ended in report.ended {
                    self.apply_end(ended);
                }
                self.wake(report.woken);
            }
            Err(refusal) => log::error!("expiry failed: {}", refusal.get_message()),
        }
        for router in self.routers.values_mut() {
            router.expire(now);
            router.drain(now, &mut self.random);
        }
    }

    /// Cancels the runs of a program that ended, stores its records and wakes
    /// who waits.
    pub(super) fn apply_end(&mut self, ended: EndedProgram) {
        self.cancel_runs(&ended.running);
        drop(self.append(ended.records));
        self.wake(ended.woken);
    }

    /// Takes slots; their programs answer once the slots are opened.
    pub(super) fn begin_slots(&mut self, slots: &[OwnedSlot]) {
        for owned in slots {
            let lost = self.table.acquire_slot(owned.slot, owned.epoch);
            self.apply_loss(lost);
            self.owned.retain(|slot| *slot != owned.slot);
        }
    }

    /// Takes in what was read back of a slot, and opens it.
    ///
    /// `unsent` names attempts of non-idempotent calls that are proven not to
    /// have been sent.
    pub(super) fn open_slot(
        &mut self,
        owned: OwnedSlot,
        recovery: SlotRecovery,
        unsent: &[OpenAttempt],
    ) {
        if self.table.slot_epoch(owned.slot) != Some(owned.epoch) {
            return;
        }
        let count = recovery.histories.len();
        for history in recovery.histories {
            self.import_history(&history, unsent);
        }
        if count > 0 {
            record_event!(ProgramsRecovered, slot = owned.slot.get(), count = count);
        }
        self.table.open_slot(owned.slot, recovery.completeness);
        self.owned.push(owned.slot);
    }

    fn import_history(&mut self, history: &[ProgramRecord], unsent: &[OpenAttempt]) {
        let resolve = |attempt: &OpenAttempt| resolve_attempt(attempt, unsent);
        match self.table.import(history, resolve, unix_now()) {
            Ok(imported) => drop(self.append(imported.records)),
            Err(error) => {
                if let Some(record) = history.first() {
                    record_event!(HistoryLost, program = record.root);
                    log::warn!("history not taken in: {error}");
                    self.table.mark_history_lost(record.root);
                }
            }
        }
    }

    /// Gives slots up.
    pub(super) fn release_slots(&mut self, slots: &[SlotId]) {
        for slot in slots {
            let lost = self.table.release_slot(*slot);
            self.apply_loss(lost);
            self.owned.retain(|owned| owned != slot);
        }
    }

    fn apply_loss(&mut self, lost: RemovedPrograms) {
        self.cancel_runs(&lost.running);
        self.wake(lost.woken);
    }

    fn cancel_runs(&mut self, runs: &[RunKey]) {
        for run in runs {
            if let Some(cancel) = self.runs.remove(*run) {
                cancel.close();
            }
        }
    }

    /// Answers steps that waited.
    pub(super) fn wake(&mut self, woken: Vec<WokenWaiter>) {
        for waiter in woken {
            let Some(waiting) = self.waiting.remove(waiter.key) else {
                continue;
            };
            match waiter.result {
                Ok(admission) => self.answer_admission(admission, waiting),
                Err(refusal) => answer(&waiting.reply, Err(refusal)),
            }
        }
    }

    /// Answers a step that is admitted, or keeps it waiting.
    pub(super) fn answer_admission(&mut self, admission: StepAdmission, waiting: WaitingStep) {
        match admission {
            StepAdmission::Run(ticket) => self.run_step(ticket, &waiting),
            StepAdmission::Recorded(record) => {
                let stored = self.store_again(waiting.program);
                let record = Box::new(record);
                answer(
                    &waiting.reply,
                    Ok(AdmittedStep::Recorded { record, stored }),
                );
            }
            StepAdmission::Wait(key) | StepAdmission::Join(key) => {
                self.waiting.insert(key, waiting);
            }
        }
    }
}

/// Tells what became of an attempt that a history left open.
fn resolve_attempt(attempt: &OpenAttempt, unsent: &[OpenAttempt]) -> StepOutcome {
    if !unsent.contains(attempt) {
        return StepOutcome::Unknown;
    }
    let message = "the call was not sent: its owner changed before";
    let refusal = RequestRefusal::new(RefusalCode::OwnerUnavailable, message);
    StepOutcome::Failed { refusal }
}

/// Sends an answer; nobody may await it any more.
pub(super) fn answer<T>(reply: &ReplySender<T>, value: T) {
    let _ = reply.try_send(value);
}
