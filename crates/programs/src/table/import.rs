//! Import of programs from their histories.

use ibisdale_core::{ProgramId, TimeStamp, WorkspaceName};

use crate::record::{ProgramEvent, ProgramRecord, StepFinished};
use crate::result::{ProgramStatus, RemovedPrograms, StepOutcome};
use crate::state::{HistoryError, HistoryFault, OpenAttempt, ProgramState, invalid_event};
use crate::table::expiry::TimerTarget;
use crate::table::{ProgramKey, ProgramTable, TreeKey, next_sequence};

/// A root program that was rebuilt, with its sub-agents, from its history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ImportedProgram {
    /// The root program.
    pub root: ProgramId,
    /// Records to store: the outcomes of the attempts that had none.
    pub records: Vec<ProgramRecord>,
}

impl ProgramTable {
    /// Rebuilds a root program and its sub-agents from their history.
    ///
    /// The slot must be owned, but need not be open. `resolve` returns the outcome
    /// to record for each attempt without one: [`StepOutcome::Unknown`], unless the
    /// attempt is proven not to have run or its outcome is known from another
    /// source.
    ///
    /// # Errors
    ///
    /// Fails, with the position of the record, when the history is empty, a record
    /// before the last one is missing, a record is invalid, the slot is not owned or
    /// the program is already in the table. Nothing of the program is kept in that case.
    pub fn import(
        &mut self,
        records: &[ProgramRecord],
        resolve: impl FnMut(&OpenAttempt) -> StepOutcome,
        now: TimeStamp,
    ) -> Result<ImportedProgram, HistoryError> {
        let root = self.check_import(records)?;
        let mut created = None;
        for record in records {
            if let Err(fault) = self.replay_record(root, record, &mut created) {
                self.undo_import(created);
                return Err(HistoryError {
                    sequence: record.sequence,
                    fault,
                });
            }
        }
        let tree = created.ok_or(empty_history())?;
        let records = self.resolve_open_attempts(tree, resolve).map_err(|fault| {
            self.undo_import(Some(tree));
            HistoryError {
                sequence: u64::try_from(records.len()).unwrap_or(u64::MAX),
                fault,
            }
        })?;
        self.lost_histories.remove(&root);
        self.activate_tree(tree, now);
        Ok(ImportedProgram { root, records })
    }

    /// Rebuilds a program from a history that its caller supplies.
    ///
    /// Attempts without an outcome get [`StepOutcome::Unknown`].
    ///
    /// # Errors
    ///
    /// Fails as [`ProgramTable::import`] does, and when the history belongs to
    /// another workspace.
    pub fn import_from_caller(
        &mut self,
        workspace: &WorkspaceName,
        records: &[ProgramRecord],
        now: TimeStamp,
    ) -> Result<ImportedProgram, HistoryError> {
        let first = records.first().ok_or(empty_history())?;
        let is_same_workspace = matches!(
            &first.event,
            ProgramEvent::ProgramStarted(started) if started.workspace == *workspace
        );
        if !is_same_workspace {
            return Err(HistoryError {
                sequence: 0,
                fault: invalid_event("the history belongs to another workspace"),
            });
        }
        self.import(records, |_| StepOutcome::Unknown, now)
    }

    /// Returns the history of a root program and its sub-agents.
    #[must_use]
    pub fn export(&self, root: ProgramId) -> Option<Vec<ProgramRecord>> {
        self.records_from(root, 0).map(<[ProgramRecord]>::to_vec)
    }

    /// Returns the records of a root program's history from a sequence number on,
    /// to retry an append.
    #[must_use]
    pub fn records_from(&self, root: ProgramId, sequence: u64) -> Option<&[ProgramRecord]> {
        let key = self.by_id.get(&root)?;
        let tree = &self.trees[self.programs[*key].tree];
        let index = usize::try_from(sequence).ok()?;
        tree.records.get(index..)
    }

    /// Returns the number of records in a root program's history.
    ///
    /// A caller gets a recorded outcome only after this many records are stored.
    #[must_use]
    pub fn record_count(&self, root: ProgramId) -> Option<u64> {
        let key = self.by_id.get(&root)?;
        Some(next_sequence(&self.trees[self.programs[*key].tree]))
    }

    fn check_import(&self, records: &[ProgramRecord]) -> Result<ProgramId, HistoryError> {
        let first = records.first().ok_or(empty_history())?;
        let root = first.root;
        let reason = if self.epoch(root.slot()).is_none() {
            "the slot is not owned"
        } else if self.by_id.contains_key(&root) {
            "the program is already in the table"
        } else {
            return Ok(root);
        };
        Err(HistoryError {
            sequence: first.sequence,
            fault: HistoryFault::NotImportable { reason },
        })
    }

    fn replay_record(
        &mut self,
        root: ProgramId,
        record: &ProgramRecord,
        created: &mut Option<TreeKey>,
    ) -> Result<(), HistoryFault> {
        if record.root != root || record.program.slot() != root.slot() {
            return Err(HistoryFault::WrongRoot { root: record.root });
        }
        let last = created.and_then(|tree| self.trees[tree].records.last());
        let last_epoch = last.map_or(0, |last| last.epoch);
        let expected = created.map_or(0, |tree| next_sequence(&self.trees[tree]));
        if record.sequence != expected {
            return Err(HistoryFault::UnexpectedSequence {
                found: record.sequence,
            });
        }
        let own_epoch = self.epoch(root.slot()).unwrap_or_default();
        if record.epoch < last_epoch || record.epoch > own_epoch {
            return Err(HistoryFault::InvalidEpoch {
                epoch: record.epoch,
            });
        }
        let tree = match (&record.event, *created) {
            (ProgramEvent::ProgramStarted(_), tree) => self.replay_start(root, record, tree)?,
            (event, Some(tree)) => {
                let key = self.find_member(tree, record.program)?;
                self.apply(key, event, record.epoch)?;
                tree
            }
            (_, None) => {
                return Err(invalid_event(
                    "the history does not begin with the start of a program",
                ));
            }
        };
        *created = Some(tree);
        self.trees[tree].records.push(record.clone());
        Ok(())
    }

    fn replay_start(
        &mut self,
        root: ProgramId,
        record: &ProgramRecord,
        tree: Option<TreeKey>,
    ) -> Result<TreeKey, HistoryFault> {
        let ProgramEvent::ProgramStarted(started) = &record.event else {
            return Err(invalid_event("the event is not the start of a program"));
        };
        match (tree, started.parent) {
            (None, None) if record.program == root => {}
            (Some(tree), Some(parent)) => {
                let key = self.find_member(tree, parent)?;
                if self.programs[key].workspace != started.workspace {
                    return Err(invalid_event(
                        "a sub-agent belongs to another workspace than its parent",
                    ));
                }
            }
            _ => {
                return Err(invalid_event(
                    "only the first start may lack a parent, and it must be the root's",
                ));
            }
        }
        let key = self.create_program(record.program, started)?;
        Ok(self.programs[key].tree)
    }

    fn find_member(&self, tree: TreeKey, id: ProgramId) -> Result<ProgramKey, HistoryFault> {
        self.by_id
            .get(&id)
            .copied()
            .filter(|key| self.programs[*key].tree == tree)
            .ok_or(invalid_event("the program has not started"))
    }

    fn undo_import(&mut self, tree: Option<TreeKey>) {
        let Some(tree) = tree.and_then(|key| self.trees.remove(key)) else {
            return;
        };
        let mut removed = RemovedPrograms::default();
        for member in tree.members {
            self.remove_program(member, &mut removed);
        }
    }

    /// Records an outcome for every attempt that has none.
    fn resolve_open_attempts(
        &mut self,
        tree: TreeKey,
        mut resolve: impl FnMut(&OpenAttempt) -> StepOutcome,
    ) -> Result<Vec<ProgramRecord>, HistoryFault> {
        let mut records = Vec::new();
        for key in self.trees[tree].members.clone() {
            let Some(attempt) = open_attempt(&self.programs[key]) else {
                continue;
            };
            let finished = StepFinished {
                step: attempt.step,
                attempt: attempt.attempt.clone(),
                result: resolve(&attempt).into_result(),
            };
            let event = ProgramEvent::StepFinished(finished);
            let record = self
                .append_event(key, event)
                .map_err(|_| invalid_event("the outcome can't be recorded"))?;
            records.push(record);
        }
        Ok(records)
    }

    /// Sets the timers and queues the clean-up requests of a rebuilt tree.
    fn activate_tree(&mut self, tree: TreeKey, now: TimeStamp) {
        for key in self.trees[tree].members.clone() {
            let program = &mut self.programs[key];
            match program.status {
                ProgramStatus::Running => {
                    program.last_activity = program.last_activity.max(now);
                    self.set_program_timer(key);
                }
                ProgramStatus::Ended { at, .. } => {
                    self.queue_cleanup(key);
                    self.set_timer(
                        at.plus(self.options.ended_retention),
                        TimerTarget::EndedTree(tree),
                    );
                }
            }
        }
    }
}

fn open_attempt(program: &ProgramState) -> Option<OpenAttempt> {
    let attempt = program.running()?;
    Some(OpenAttempt {
        program: program.id,
        step: program.next_step(),
        attempt: attempt.key.clone(),
        kind: attempt.kind,
        epoch: attempt.epoch,
    })
}

const fn empty_history() -> HistoryError {
    HistoryError {
        sequence: 0,
        fault: HistoryFault::Empty,
    }
}
