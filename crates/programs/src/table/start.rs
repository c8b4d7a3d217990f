//! Start of programs and sub-agents.

use ibisdale_core::{HistoryDigest, ProgramId, RequestRefusal, RunState, TimeStamp};

use crate::account::ProgramBudget;
use crate::record::{ProgramEvent, ProgramRecord, ProgramStarted, RECORD_VERSION};
use crate::refusals;
use crate::request::StartRequest;
use crate::result::StartedProgram;
use crate::state::{EventResult, HistoryFault, ProgramState, TreeState, invalid_event};
use crate::table::{MAX_PROGRAMS_PER_TREE, ProgramKey, ProgramTable, next_sequence};

impl ProgramTable {
    /// Starts a program or a sub-agent.
    ///
    /// # Errors
    ///
    /// Refuses when the slot is not open here, the identifier is in use or the
    /// deadline has passed. Also refuses a sub-agent when its parent is not a
    /// running program of the workspace, the slots differ, it has a budget of its
    /// own, or the root's limit on steps or sub-agents is reached.
    pub fn start(
        &mut self,
        start: StartRequest,
        now: TimeStamp,
    ) -> Result<StartedProgram, RequestRefusal> {
        self.check_slot(start.id.slot())
            .map_err(|refusal| refusal.run_state(RunState::NotRun))?;
        if self.by_id.contains_key(&start.id) {
            return Err(refusals::internal("the program identifier is taken"));
        }
        if Self::has_passed(start.deadline, now) {
            return Err(refusals::deadline_exceeded());
        }
        let parent = self
            .check_parent(&start, now)
            .map_err(|refusal| refusal.run_state(RunState::NotRun))?;
        let id = start.id;
        let started = self.started_event(start, parent, now);
        let epoch = self
            .epoch(id.slot())
            .ok_or_else(refusals::owner_unavailable)?;
        let key = self
            .create_program(id, &started)
            .map_err(|fault| refusals::internal(&fault.to_string()))?;
        let tree = &mut self.trees[self.programs[key].tree];
        let record = ProgramRecord {
            version: RECORD_VERSION,
            root: tree.root,
            sequence: next_sequence(tree),
            epoch,
            program: id,
            event: ProgramEvent::ProgramStarted(started),
        };
        tree.records.push(record.clone());
        self.set_program_timer(key);
        Ok(StartedProgram {
            id,
            digest: HistoryDigest::EMPTY,
            records: vec![record],
        })
    }

    fn check_parent(
        &self,
        start: &StartRequest,
        now: TimeStamp,
    ) -> Result<Option<ProgramKey>, RequestRefusal> {
        let Some(parent) = start.parent else {
            return Ok(None);
        };
        let key = self.find_in_workspace(parent, &start.workspace)?;
        let program = &self.programs[key];
        if !program.is_running() {
            return Err(refusals::program_ended());
        }
        if let Some(refusal) = self.expiry_refusal(key, now) {
            return Err(refusal);
        }
        if start.id.slot() != parent.slot() {
            return Err(refusals::bad_request(
                "a sub-agent shares the slot of its root program",
            ));
        }
        if start.budget != ProgramBudget::default() {
            return Err(refusals::bad_request(
                "a sub-agent draws on the budget of its root program",
            ));
        }
        let tree = &self.trees[program.tree];
        if !tree.is_below_step_limit() {
            return Err(refusals::limit_reached("step"));
        }
        if tree.members.len() >= MAX_PROGRAMS_PER_TREE {
            return Err(refusals::limit_reached("sub-agent"));
        }
        Ok(Some(key))
    }

    fn started_event(
        &self,
        start: StartRequest,
        parent: Option<ProgramKey>,
        now: TimeStamp,
    ) -> ProgramStarted {
        let parent_deadline = parent.and_then(|key| self.programs[key].deadline);
        let deadline = [start.deadline, parent_deadline]
            .into_iter()
            .flatten()
            .min();
        ProgramStarted {
            workspace: start.workspace,
            name: start.name,
            key: start.key,
            parent: start.parent,
            deadline,
            budget: start.budget,
            limits: start.limits,
            at: now,
        }
    }

    /// Creates the state of a program from its start event.
    pub(super) fn create_program(
        &mut self,
        id: ProgramId,
        started: &ProgramStarted,
    ) -> Result<ProgramKey, HistoryFault> {
        if self.by_id.contains_key(&id) {
            return Err(invalid_event("the program started twice"));
        }
        let parent = match started.parent {
            Some(parent) => Some(*self.by_id.get(&parent).ok_or(invalid_event("no parent"))?),
            None => None,
        };
        let tree = match parent {
            Some(parent) => self.programs[parent].tree,
            None => self.trees.insert(TreeState::new(id, started)),
        };
        let key = self
            .programs
            .insert(ProgramState::new(id, tree, parent, started));
        self.by_id.insert(id, key);
        self.trees[tree].members.push(key);
        if let Some(parent) = parent {
            self.add_child(parent, key, started)?;
        }
        Ok(key)
    }

    fn add_child(
        &mut self,
        parent: ProgramKey,
        child: ProgramKey,
        started: &ProgramStarted,
    ) -> EventResult {
        let program = &mut self.programs[parent];
        if !program.is_running() {
            return Err(invalid_event("a sub-agent started after its parent's end"));
        }
        program.children.push(child);
        program.last_activity = program.last_activity.max(started.at);
        let tree = &mut self.trees[program.tree];
        tree.counted_steps = tree.counted_steps.saturating_add(1);
        Ok(())
    }
}
