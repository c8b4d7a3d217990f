//! The table of all programs that one daemon owns.

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

pub use cleanup::CleanupOrder;
pub use import::ImportedProgram;
pub use slots::SlotHistory;

use crate::record::{ProgramEvent, ProgramRecord, RECORD_VERSION};
use crate::refusals;
use crate::state::{EventResult, ProgramState, TreeState, disorder};
use crate::table::expiry::TimerEntry;
use crate::table::slots::SlotState;
use crate::table::waiters::WaiterState;

const EARLY_WAIT: Duration = Duration::from_secs(10);
const JOIN_WAIT: Duration = Duration::from_mins(2);
const IDLE_LIMIT: Duration = Duration::from_mins(15);
const KEEP_ENDED: Duration = Duration::from_mins(10);
const EARLY_STEPS: u32 = 8;
const WAITERS_PER_PROGRAM: usize = 32;
const ATTEMPTS_PER_STEP: usize = 64;
const CHILDREN_PER_TREE: usize = 256;

new_key_type! {
    /// Names a running attempt at one owner.
    pub struct RunKey;
    /// Names a waiting request at one owner.
    pub struct WaiterKey;
    /// Names a clean-up order at one owner.
    pub struct CleanupKey;
    pub(crate) struct ProgramKey;
    pub(crate) struct TreeKey;
}

/// Bounds that the table keeps.
#[derive(Clone, Copy, Debug)]
pub struct TableOptions {
    early_wait: Duration,
    join_wait: Duration,
    idle_limit: Duration,
    keep_ended: Duration,
}

impl Default for TableOptions {
    fn default() -> Self {
        Self {
            early_wait: EARLY_WAIT,
            join_wait: JOIN_WAIT,
            idle_limit: IDLE_LIMIT,
            keep_ended: KEEP_ENDED,
        }
    }
}

impl TableOptions {
    /// Sets how long a request waits for the steps before it.
    #[must_use]
    pub const fn early_wait(mut self, wait: Duration) -> Self {
        self.early_wait = wait;
        self
    }

    /// Sets how long a repeat waits for the outcome of its running attempt.
    #[must_use]
    pub const fn join_wait(mut self, wait: Duration) -> Self {
        self.join_wait = wait;
        self
    }

    /// Sets after how long without a request or a running call a program is
    /// ended.
    #[must_use]
    pub const fn idle_limit(mut self, limit: Duration) -> Self {
        self.idle_limit = limit;
        self
    }

    /// Sets how long an ended program still answers repeats.
    #[must_use]
    pub const fn keep_ended(mut self, keep: Duration) -> Self {
        self.keep_ended = keep;
        self
    }
}

/// Where a running attempt is.
#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    program: ProgramKey,
}

/// The programs that one daemon owns.
///
/// All times are milliseconds since the Unix epoch, since deadlines pass from
/// one owner to the next.
#[derive(Debug, Default)]
pub struct ProgramTable {
    options: TableOptions,
    slots: HashMap<SlotId, SlotState>,
    trees: SlotMap<TreeKey, TreeState>,
    programs: SlotMap<ProgramKey, ProgramState>,
    runs: SlotMap<RunKey, ActiveRun>,
    waiters: SlotMap<WaiterKey, WaiterState>,
    cleanups: SlotMap<CleanupKey, CleanupOrder>,
    by_id: HashMap<ProgramId, ProgramKey>,
    lost: HashSet<ProgramId>,
    timers: BTreeSet<TimerEntry>,
    is_doubtful: bool,
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

    /// Sets whether the daemon's ownership is certain, as it is at first.
    ///
    /// It is not once the daemon's lease may have lapsed. Until it is certain
    /// again, refusals of steps say that the outcome is unknown: another owner
    /// may have run the attempt.
    pub const fn set_certain(&mut self, is_certain: bool) {
        self.is_doubtful = !is_certain;
    }

    /// Takes "not run" from a step's refusal unless ownership is certain.
    fn doubt(&self, refusal: RequestRefusal) -> RequestRefusal {
        if self.is_doubtful && refusal.get_run_state() == RunState::NotRun {
            return refusal.run_state(RunState::Unknown);
        }
        refusal
    }

    /// Finds a program for a caller of `workspace`.
    fn find(&self, id: ProgramId, workspace: &WorkspaceName) -> Result<ProgramKey, RequestRefusal> {
        self.check_slot(id.slot())?;
        let key = self.find_any(id)?;
        if self.programs[key].workspace == *workspace {
            return Ok(key);
        }
        Err(refusals::unknown_program())
    }

    /// Finds a program whatever its workspace.
    fn find_any(&self, id: ProgramId) -> Result<ProgramKey, RequestRefusal> {
        if let Some(key) = self.by_id.get(&id) {
            return Ok(*key);
        }
        let is_incomplete = self
            .slots
            .get(&id.slot())
            .is_some_and(SlotState::is_incomplete);
        if is_incomplete || self.lost.contains(&id) {
            return Err(refusals::history_lost());
        }
        Err(refusals::unknown_program())
    }

    /// Returns the epoch under which the slot is owned.
    fn epoch(&self, slot: SlotId) -> Option<u64> {
        self.slots.get(&slot).map(SlotState::epoch)
    }

    /// Applies an event and appends its record to the history.
    fn commit(
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

    /// Applies an event to a program that exists.
    fn apply(&mut self, key: ProgramKey, event: &ProgramEvent, epoch: u64) -> EventResult {
        let program = &mut self.programs[key];
        let tree = &mut self.trees[program.tree];
        match event {
            ProgramEvent::ProgramStarted(_) => Err(disorder("the program started twice")),
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

    /// Tells whether the time to end the program has come, and why.
    fn is_past(time: Option<TimeStamp>, now: TimeStamp) -> bool {
        time.is_some_and(|time| time <= now)
    }
}

fn next_sequence(tree: &TreeState) -> u64 {
    u64::try_from(tree.records.len()).unwrap_or(u64::MAX)
}
