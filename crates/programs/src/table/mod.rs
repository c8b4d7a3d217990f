//! Table of all programs that one daemon owns.

mod admit;
mod cleanup;
mod end;
mod expiry;
mod finish;
mod import;
mod slots;
mod start;
mod views;
mod waiters;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use ibisdale_core::{ProgramId, RequestRefusal, RunState, SlotId, TimeStamp, WorkspaceName};
use slotmap::{SlotMap, new_key_type};

pub use cleanup::CleanupRequest;
pub use import::ImportedProgram;
pub use slots::HistoryCompleteness;

use crate::record::{ProgramEvent, ProgramRecord, RECORD_VERSION};
use crate::refusals;
use crate::state::{EventResult, ProgramState, TreeState, invalid_event};
use crate::table::expiry::TimerEntry;
use crate::table::slots::SlotState;
use crate::table::waiters::WaiterState;

const DEFAULT_EARLY_STEP_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_REPEAT_TIMEOUT: Duration = Duration::from_mins(2);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_mins(15);
const DEFAULT_ENDED_RETENTION: Duration = Duration::from_mins(10);
/// Maximum distance of an early request's step from the next step.
const MAX_STEPS_AHEAD: u32 = 8;
/// Bounds the early requests of a program and, separately, the repeats that wait
/// for its running attempt.
const MAX_WAITERS_PER_PROGRAM: usize = 32;
const MAX_ATTEMPTS_PER_STEP: usize = 64;
/// Counts the root program as well as its sub-agents.
const MAX_PROGRAMS_PER_TREE: usize = 256;

new_key_type! {
    /// Identifies a running attempt within one table.
    pub struct RunKey;
    /// Identifies a waiting request within one table.
    pub struct WaiterKey;
    /// Identifies a clean-up request within one table.
    pub struct CleanupKey;
    pub(crate) struct ProgramKey;
    pub(crate) struct TreeKey;
}

/// Timeouts and retention of a [`ProgramTable`].
#[derive(Clone, Copy, Debug)]
pub struct TableOptions {
    early_step_timeout: Duration,
    repeat_timeout: Duration,
    idle_timeout: Duration,
    ended_retention: Duration,
}

impl Default for TableOptions {
    fn default() -> Self {
        Self {
            early_step_timeout: DEFAULT_EARLY_STEP_TIMEOUT,
            repeat_timeout: DEFAULT_REPEAT_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            ended_retention: DEFAULT_ENDED_RETENTION,
        }
    }
}

impl TableOptions {
    /// Sets how long a request that arrives early waits for the steps before it.
    #[must_use]
    pub const fn early_step_timeout(mut self, timeout: Duration) -> Self {
        self.early_step_timeout = timeout;
        self
    }

    /// Sets how long a repeated request waits for the outcome of the running
    /// attempt.
    #[must_use]
    pub const fn repeat_timeout(mut self, timeout: Duration) -> Self {
        self.repeat_timeout = timeout;
        self
    }

    /// Sets how long a program may go without starting a step or sub-agent and
    /// without a running step before it is ended.
    #[must_use]
    pub const fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets how long an ended program is kept to answer repeated requests.
    #[must_use]
    pub const fn ended_retention(mut self, retention: Duration) -> Self {
        self.ended_retention = retention;
        self
    }
}

/// A running attempt.
#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    program: ProgramKey,
}

/// State of the programs that one daemon owns.
///
/// All times are milliseconds since the Unix epoch, because deadlines are handed
/// over from one owner to the next.
#[derive(Debug, Default)]
pub struct ProgramTable {
    options: TableOptions,
    slots: HashMap<SlotId, SlotState>,
    trees: SlotMap<TreeKey, TreeState>,
    programs: SlotMap<ProgramKey, ProgramState>,
    runs: SlotMap<RunKey, ActiveRun>,
    waiters: SlotMap<WaiterKey, WaiterState>,
    cleanups: SlotMap<CleanupKey, CleanupRequest>,
    by_id: HashMap<ProgramId, ProgramKey>,
    lost_histories: HashSet<ProgramId>,
    timers: BTreeSet<TimerEntry>,
    is_ownership_uncertain: bool,
}

impl ProgramTable {
    /// Creates a table that owns no slot.
    #[must_use]
    pub fn new(options: TableOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Sets whether the daemon certainly owns its slots; a new table assumes so.
    ///
    /// Ownership is uncertain once the daemon's lease may have expired. Until it is
    /// certain again, refused step requests carry [`RunState::Unknown`] instead of
    /// [`RunState::NotRun`], because another owner may have run the attempt.
    pub const fn set_ownership_certain(&mut self, is_certain: bool) {
        self.is_ownership_uncertain = !is_certain;
    }

    /// Changes [`RunState::NotRun`] to [`RunState::Unknown`] while ownership is
    /// uncertain.
    fn mark_unknown_if_uncertain(&self, refusal: RequestRefusal) -> RequestRefusal {
        if self.is_ownership_uncertain && refusal.get_run_state() == RunState::NotRun {
            return refusal.run_state(RunState::Unknown);
        }
        refusal
    }

    /// Finds a program of `workspace` in an open slot.
    fn find_in_workspace(
        &self,
        id: ProgramId,
        workspace: &WorkspaceName,
    ) -> Result<ProgramKey, RequestRefusal> {
        self.check_slot(id.slot())?;
        let key = self.find_in_any_workspace(id)?;
        if self.programs[key].workspace == *workspace {
            return Ok(key);
        }
        Err(refusals::unknown_program())
    }

    /// Finds a program in any workspace.
    ///
    /// A missing program is refused as `history_lost` if its history is marked as
    /// lost or may not have been read.
    fn find_in_any_workspace(&self, id: ProgramId) -> Result<ProgramKey, RequestRefusal> {
        if let Some(key) = self.by_id.get(&id) {
            return Ok(*key);
        }
        let is_incomplete = self
            .slots
            .get(&id.slot())
            .is_some_and(SlotState::is_incomplete);
        if is_incomplete || self.lost_histories.contains(&id) {
            return Err(refusals::history_lost());
        }
        Err(refusals::unknown_program())
    }

    /// Returns the epoch under which the slot is owned, if it is.
    fn epoch(&self, slot: SlotId) -> Option<u64> {
        self.slots.get(&slot).map(SlotState::epoch)
    }

    /// Applies an event and appends its record to the in-memory history.
    fn append_event(
        &mut self,
        key: ProgramKey,
        event: ProgramEvent,
    ) -> Result<ProgramRecord, RequestRefusal> {
        let id = self.programs[key].id;
        let tree = self.programs[key].tree;
        let epoch = self
            .epoch(id.slot())
            .ok_or_else(refusals::owner_unavailable)?;
        self.apply(key, &event, epoch)
            .map_err(|fault| refusals::internal(&fault.to_string()))?;
        let tree = &mut self.trees[tree];
        let record = ProgramRecord {
            version: RECORD_VERSION,
            root: tree.root,
            sequence: next_sequence(tree),
            epoch,
            program: id,
            event,
        };
        tree.records.push(record.clone());
        Ok(record)
    }

    /// Applies an event to an existing program.
    fn apply(&mut self, key: ProgramKey, event: &ProgramEvent, epoch: u64) -> EventResult {
        let program = &mut self.programs[key];
        let tree = &mut self.trees[program.tree];
        match event {
            ProgramEvent::ProgramStarted(_) => Err(invalid_event("the program started twice")),
            ProgramEvent::StepStarted(started) => program.apply_started(tree, started, epoch),
            ProgramEvent::StepFinished(finished) => program.apply_finished(tree, finished),
            ProgramEvent::ProgramEnded(ended) => program.apply_ended(*ended),
            ProgramEvent::SessionOpened(opened) => {
                program.sessions.insert(opened.engine.clone());
                Ok(())
            }
            ProgramEvent::SessionReleased(released) => {
                program.sessions.remove(&released.engine);
                Ok(())
            }
        }
    }

    /// Returns whether `time` is set and has passed.
    fn has_passed(time: Option<TimeStamp>, now: TimeStamp) -> bool {
        time.is_some_and(|time| time <= now)
    }
}

fn next_sequence(tree: &TreeState) -> u64 {
    u64::try_from(tree.records.len()).unwrap_or(u64::MAX)
}
