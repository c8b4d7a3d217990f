//! Release of the engine sessions of ended programs.

use ibisdale_core::{ProgramId, RequestRefusal, SlotId};

use crate::record::{EngineAddress, ProgramEvent, ProgramRecord, SessionOpened, SessionReleased};
use crate::table::{CleanupKey, ProgramKey, ProgramTable};

/// Request to an engine to release the session of an ended or unknown program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CleanupRequest {
    /// Identifier of the program.
    pub program: ProgramId,
    /// Address of the engine.
    pub engine: EngineAddress,
    /// Epoch of the owner that issues the request, used as the fencing number.
    pub epoch: u64,
}

impl ProgramTable {
    /// Records that the program is about to open a session on an engine.
    ///
    /// Returns the record to store before the engine is called, or `None` if the
    /// session is already recorded.
    ///
    /// # Errors
    ///
    /// Refuses when this daemon does not have the program.
    pub fn record_session(
        &mut self,
        program: ProgramId,
        engine: EngineAddress,
    ) -> Result<Option<ProgramRecord>, RequestRefusal> {
        let key = self.find_in_any_workspace(program)?;
        if self.programs[key].sessions.contains(&engine) {
            return Ok(None);
        }
        let event = ProgramEvent::SessionOpened(SessionOpened { engine });
        let record = self.append_event(key, event)?;
        if !self.programs[key].is_running() {
            self.queue_cleanup(key);
        }
        Ok(Some(record))
    }

    /// Iterates over the requests that are not yet confirmed.
    pub fn cleanup_requests(&self) -> impl Iterator<Item = (CleanupKey, &CleanupRequest)> {
        self.cleanups.iter()
    }

    /// Confirms that an engine carried out a request or has permanently left the
    /// fleet.
    ///
    /// Returns the record to store, or `None` if the request no longer exists or no
    /// recorded session belongs to it.
    ///
    /// # Errors
    ///
    /// Fails when the slot is no longer owned.
    pub fn confirm_cleanup(
        &mut self,
        key: CleanupKey,
    ) -> Result<Option<ProgramRecord>, RequestRefusal> {
        let Some(request) = self.cleanups.remove(key) else {
            return Ok(None);
        };
        let Some(program) = self.by_id.get(&request.program).copied() else {
            return Ok(None);
        };
        if !self.programs[program].sessions.contains(&request.engine) {
            return Ok(None);
        }
        let engine = request.engine;
        let event = ProgramEvent::SessionReleased(SessionReleased { engine });
        self.append_event(program, event).map(Some)
    }

    /// Queues the release of an engine's sessions of unknown programs, and of ended
    /// programs if neither they nor their sub-agents have a running step.
    ///
    /// Skips programs of slots that are not open or whose histories may be
    /// incomplete, and programs whose history is lost. Returns the number of requests
    /// added.
    pub fn queue_orphan_cleanups(
        &mut self,
        engine: &EngineAddress,
        session_programs: &[ProgramId],
    ) -> usize {
        let before = self.cleanups.len();
        for id in session_programs {
            let Some(epoch) = self.cleanup_epoch(id.slot()) else {
                continue;
            };
            let key = self.by_id.get(id).copied();
            let is_in_use = key
                .is_some_and(|key| self.programs[key].is_running() || self.has_running_step(key));
            if is_in_use || self.lost_histories.contains(id) {
                continue;
            }
            self.add_cleanup(CleanupRequest {
                program: *id,
                engine: engine.clone(),
                epoch,
            });
        }
        self.cleanups.len() - before
    }

    /// Returns the slot's epoch if the slot is open and its histories are complete.
    fn cleanup_epoch(&self, slot: SlotId) -> Option<u64> {
        let state = self.slots.get(&slot)?;
        (state.is_open() && !state.is_incomplete()).then(|| state.epoch())
    }

    fn add_cleanup(&mut self, request: CleanupRequest) {
        if !self.cleanups.values().any(|known| *known == request) {
            self.cleanups.insert(request);
        }
    }

    /// Queues the release of all sessions of an ended program, unless one of its
    /// calls is still running and could reopen them.
    pub(super) fn queue_cleanup(&mut self, key: ProgramKey) {
        let program = &self.programs[key];
        if program.is_running() || program.running().is_some() {
            return;
        }
        let id = program.id;
        let Some(epoch) = self.epoch(id.slot()) else {
            return;
        };
        for engine in program.sessions.clone() {
            self.add_cleanup(CleanupRequest {
                program: id,
                engine,
                epoch,
            });
        }
    }
}
