//! State of the agent programs that this daemon owns: step order, budgets,
//! attempts, history and clean-up.
//!
//! - A program is a run of an agent as a sequence of numbered steps. A root program
//!   can start sub-agents, which share its budget and history.
//! - A slot is a fixed group of root programs with their sub-agents. Its owner is
//!   the one daemon that admits their steps.
//! - The epoch is the number under which a slot is owned. Each new owner has a
//!   higher one.
//! - A holder is a daemon that stores copies of histories.
//!
//! [`ProgramTable`] holds the state of all programs that one daemon owns. It does
//! no I/O and reads no clock: the caller passes the time, as milliseconds since
//! the Unix epoch, and every change returns typed results and
//! [`ProgramRecord`]s that the daemon appends to the program's history.
//!
//! The daemon must follow these rules:
//!
//! - Records of one root program are appended in the order of their sequence
//!   numbers.
//! - The records of a [`StepTicket`] are durably stored before the first byte of
//!   the request is sent. If [`StepTicket::is_intent_needed`] returns `true`, an
//!   intent to make the call is committed to the journal of paid actions as well.
//! - The records of a [`FinishedStep`] are durably stored before a caller gets its
//!   answer or digest. Before answering with [`StepAdmission::Recorded`], the first
//!   [`ProgramTable::record_count`] records must be durably stored.
//! - Each ticket is finished exactly once, even if the caller has disconnected.
//! - When a holder rejects a record, or the journal an intent, as having a stale
//!   epoch, another owner may have run the attempt: the caller's response
//!   reports an unknown outcome, and the slot is released.
//! - When the daemon's lease may have expired, the daemon calls
//!   [`ProgramTable::set_ownership_certain`] with `false` before any other method.
//!
//! ```
//! use bytes::Bytes;
//! use ibisdale_core::{AttemptKey, ProgramId, SlotId, StepNumber, TimeStamp, WorkspaceName};
//! use ibisdale_programs::{
//!     HistoryCompleteness, ProgramBudget, ProgramTable, StartRequest, StepAdmission,
//!     StepKind, StepOutcome, StepRequest, TableOptions,
//! };
//! use rand::{SeedableRng, rngs::SmallRng};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let now = TimeStamp::from_millis(1_000);
//! let slot = SlotId::new(7)?;
//! let mut table = ProgramTable::new(TableOptions::default());
//! table.acquire_slot(slot, 1);
//! table.open_slot(slot, HistoryCompleteness::Whole);
//!
//! let workspace = WorkspaceName::new("kermesse")?;
//! let id = ProgramId::generate(slot, &mut SmallRng::seed_from_u64(1));
//! let budget = ProgramBudget { tokens: Some(500), paid_actions: Some(1) };
//! let start = StartRequest::new(id, workspace.clone(), "planner").budget(budget);
//! let started = table.start(start, now).map_err(|refusal| format!("{refusal:?}"))?;
//! // … append started.records …
//!
//! let kind = StepKind::Model { prompt_tokens: 40, max_tokens: 100 };
//! let attempt = AttemptKey::new("a-1")?;
//! let request = StepRequest::new(id, workspace, StepNumber::FIRST, attempt, kind, "hello")
//!     .expect_digest(started.digest);
//! let Ok(StepAdmission::Run(ticket)) = table.admit_step(request, now) else {
//!     panic!("the first step runs");
//! };
//! // … append ticket.get_records(), commit the intent if needed, call the engine …
//! let outcome = StepOutcome::Completed { answer: Bytes::from("hi"), tokens_used: 60 };
//! let finished = table.finish_step(ticket, outcome, now).map_err(|refusal| format!("{refusal:?}"))?;
//! // … append finished.records, then answer with finished.digest, then wake finished.woken …
//! assert_eq!(finished.digest.length(), 2);
//! # Ok(())
//! # }
//! ```

mod account;
mod record;
mod refusals;
mod replication;
mod request;
mod result;
mod state;
mod store;
mod table;

pub use account::{BudgetItemUsage, BudgetUsage, ProgramBudget, ProgramLimits};
pub use record::{
    EndReason, EngineAddress, KeyLabel, ProgramEnded, ProgramEvent, ProgramRecord, ProgramStarted,
    RECORD_VERSION, RecordError, SessionOpened, SessionReleased, StepFinished, StepStarted,
};
pub use replication::{
    AppendEffect, FailureDomain, HolderKey, HolderShortage, HolderState, HolderTable,
    ReplicationPolicy, ReplicationProgress, ReplicationQueue, ReplicationTask,
};
pub use request::{StartRequest, StepKind, StepRequest};
pub use result::{
    EndedProgram, ExpiryReport, FinishedStep, ProgramStatus, ProgramSummary, RecordedOutcome,
    RecordedStep, RemovedPrograms, StartedProgram, StepAdmission, StepExchange, StepOutcome,
    StepTicket, StepView, WokenWaiter,
};
pub use state::{HistoryError, HistoryFault, OpenAttempt};
pub use store::{
    AppendStatus, DamageKind, DiskOperation, FaultHook, HistoryStore, SealReply, StoreDamage,
    StoreDisk, StoreError, StoreOptions, StoreUsage, StoredHistory, StoredRecord,
};
pub use table::{
    CleanupKey, CleanupRequest, HistoryCompleteness, ImportedProgram, ProgramTable, RunKey,
    TableOptions, WaiterKey,
};
