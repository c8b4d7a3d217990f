//! Program state at its owner: step order, budgets, attempts, history and clean-up.
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
//!   the request is sent; when [`StepTicket::is_intent_needed`] holds, the intent is
//!   committed as well.
//! - The records of a [`FinishedStep`] are durably stored before a caller gets its
//!   answer or digest. The same holds for [`StepAdmission::Recorded`]: the history
//!   is stored up to [`ProgramTable::record_count`] first.
//! - Each ticket is finished exactly once, even if the caller has disconnected.
//! - When a holder or the journal rejects an append because of its epoch, another
//!   owner may have run the attempt: the caller is told that the outcome is
//!   unknown, and the slot is released.
//! - When the daemon's lease may have expired, the daemon calls
//!   [`ProgramTable::set_ownership_certain`] with `false` before any other method.
//!
//! ```
//! use bytes::Bytes;
//! use ibisdale_core::{AttemptKey, ProgramId, SlotId, StepNumber, TimeStamp, WorkspaceName};
//! use ibisdale_programs::{
//!     ProgramBudget, ProgramStart, ProgramTable, SlotHistory, StepAdmission, StepKind,
//!     StepOutcome, StepRequest, TableOptions,
//! };
//! use rand::{SeedableRng, rngs::SmallRng};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let now = TimeStamp::from_millis(1_000);
//! let slot = SlotId::new(7)?;
//! let mut table = ProgramTable::new(TableOptions::default());
//! table.acquire_slot(slot, 1);
//! table.open_slot(slot, SlotHistory::Whole);
//!
//! let workspace = WorkspaceName::new("kermesse")?;
//! let id = ProgramId::generate(slot, &mut SmallRng::seed_from_u64(1));
//! let budget = ProgramBudget { tokens: Some(500), paid_actions: Some(1) };
//! let start = ProgramStart::new(id, workspace.clone(), "planner").budget(budget);
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

pub use account::{BudgetUsage, ProgramBudget, ProgramLimits, QuotaUsage};
pub use record::{
    EndReason, EngineAddress, KeyLabel, ProgramEnded, ProgramEvent, ProgramRecord, ProgramStarted,
    RECORD_VERSION, RecordError, SessionOpened, SessionReleased, StepFinished, StepStarted,
};
pub use replication::{
    AppendEffect, CopyPolicy, CopyProgress, CopyShortage, FailureDomain, HolderKey, HolderState,
    HolderTable, RecopyQueue, RecopyTask,
};
pub use request::{ProgramStart, StepKind, StepRequest};
pub use result::{
    EndedProgram, ExpiryReport, FinishedStep, LostSlot, ProgramStatus, ProgramSummary,
    StartedProgram, StepAdmission, StepExchange, StepOutcome, StepRecord, StepResult, StepTicket,
    StepView, WokenWaiter,
};
pub use state::{HistoryError, HistoryFault, OpenAttempt};
pub use store::{
    AppendStatus, DiskFault, DiskOperation, FindingKind, HistoryStore, SealReply, StoreDisk,
    StoreError, StoreFinding, StoreOptions, StoreUsage, StoredHistory, StoredRecord,
};
pub use table::{
    CleanupKey, CleanupOrder, ImportedProgram, ProgramTable, RunKey, SlotHistory, TableOptions,
    WaiterKey,
};
