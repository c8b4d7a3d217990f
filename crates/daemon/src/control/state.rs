//! State that the control thread owns.

use std::collections::HashMap;
use std::time::Duration;

use async_channel::Sender;
use ibisdale_core::{RequestRefusal, SlotId, TimeStamp};
use ibisdale_policy::PolicyProfile;
use ibisdale_programs::{
    EndedProgram, LostSlot, ProgramTable, RunKey, SlotHistory, StepAdmission, TableOptions,
    WaiterKey, WokenWaiter,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use slotmap::SecondaryMap;

use super::history::HistorySink;
use super::message::{AdmittedStep, ReplySender, RunningStep, SlotChange, UpstreamGroup};
use super::routing::UpstreamRouter;
use crate::clock::unix_now;

/// Longest time between two looks at what has expired.
const EXPIRY_MAX: Duration = Duration::from_millis(250);

/// What the control thread starts with.
#[derive(Debug)]
pub(crate) struct ControlOptions {
    pub(crate) failure_domain: bytes::Bytes,
    pub(crate) profile: PolicyProfile,
    pub(crate) random: SmallRng,
}

/// A step that waits for its turn or for a running attempt.
pub(super) struct WaitingStep {
    pub(super) step: RunningStep,
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
    pub(super) fn new(options: ControlOptions, history: HistorySink) -> Self {
        Self {
            table: ProgramTable::new(TableOptions::default()),
            random: options.random,
            profile: options.profile,
            failure_domain: options.failure_domain,
            owned: Vec::new(),
            waiting: SecondaryMap::new(),
            runs: SecondaryMap::new(),
            routers: HashMap::new(),
            history,
        }
    }

    /// Returns a slot of this daemon for a new program.
    pub(super) fn pick_slot(&mut self) -> Option<SlotId> {
        self.owned.choose(&mut self.random).copied()
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
        drop(self.history.append(ended.records));
        self.wake(ended.woken);
    }

    pub(super) fn change_slots(&mut self, change: SlotChange) {
        for slot in change.lost {
            let lost = self.table.release_slot(slot);
            self.apply_loss(lost);
            self.owned.retain(|owned| *owned != slot);
        }
        for gained in change.gained {
            let lost = self.table.begin_slot(gained.slot, gained.epoch);
            self.apply_loss(lost);
            self.table.open_slot(gained.slot, SlotHistory::Whole);
            if !self.owned.contains(&gained.slot) {
                self.owned.push(gained.slot);
            }
        }
    }

    fn apply_loss(&mut self, lost: LostSlot) {
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
                answer(&waiting.reply, Ok(AdmittedStep::Recorded(Box::new(record))));
            }
            StepAdmission::Wait(key) | StepAdmission::Join(key) => {
                self.waiting.insert(key, waiting);
            }
        }
    }
}

/// Sends an answer; nobody may await it any more.
pub(super) fn answer<T>(reply: &ReplySender<T>, value: T) {
    let _ = reply.try_send(value);
}
