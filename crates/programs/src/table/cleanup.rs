//! Release of the engine sessions of ended programs.

use ibisdale_core::{ProgramId, RequestRefusal, SlotId};

use crate::record::{EngineAddress, ProgramEvent, ProgramRecord, SessionOpened, SessionReleased};
use crate::table::{CleanupKey, ProgramKey, ProgramTable};

/// Order to an engine to release what it holds for an ended program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CleanupOrder {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineAddress,
    /// Epoch of the owner that issues the order, used as the fencing number.
    pub epoch: u64,
}

impl ProgramTable {
    /// Records that the program is about to open a session at an engine.
    ///
    /// Returns the record to store before the engine is called, or `None` if the
    /// session is already recorded.
    ///
    /// # Errors
    ///
    /// Refuses when this daemon does not have the program.
    pub fn open_session(
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

    /// Iterates over the orders that are not yet confirmed.
    pub fn cleanup_orders(&self) -> impl Iterator<Item = (CleanupKey, &CleanupOrder)> {
        self.cleanups.iter()
    }

    /// Confirms that an engine carried out an order or has permanently left.
    ///
    /// Returns the record to store, or `None` if the order no longer exists or no
    /// recorded session belongs to it.
    ///
    /// # Errors
    ///
    /// Fails when the slot is no longer owned.
    pub fn confirm_cleanup(
        &mut self,
        key: CleanupKey,
    ) -> Result<Option<ProgramRecord>, RequestRefusal> {
        let Some(order) = self.cleanups.remove(key) else {
            return Ok(None);
        };
        let Some(program) = self.by_id.get(&order.program).copied() else {
            return Ok(None);
        };
        if !self.programs[program].sessions.contains(&order.engine) {
            return Ok(None);
        }
        let engine = order.engine;
        let event = ProgramEvent::SessionReleased(SessionReleased { engine });
        self.append_event(program, event).map(Some)
    }

    /// Orders the release of sessions that an engine holds for unknown programs and
    /// for ended programs without a running step, their own or a sub-agent's.
    ///
    /// Skips programs of slots that are not open or whose histories may be
    /// incomplete, and programs whose history is lost. Returns the number of orders
    /// added.
    pub fn sweep_engine(
        &mut self,
        engine: &EngineAddress,
        session_programs: &[ProgramId],
    ) -> usize {
        let before = self.cleanups.len();
        for id in session_programs {
            let Some(epoch) = self.sweep_epoch(id.slot()) else {
                continue;
            };
            let key = self.by_id.get(id).copied();
            let is_in_use = key
                .is_some_and(|key| self.programs[key].is_running() || self.has_running_step(key));
            if is_in_use || self.lost_histories.contains(id) {
                continue;
            }
            self.add_cleanup(CleanupOrder {
                program: *id,
                engine: engine.clone(),
                epoch,
            });
        }
        self.cleanups.len() - before
    }

    /// Returns the epoch of a slot whose sessions can be checked.
    fn sweep_epoch(&self, slot: SlotId) -> Option<u64> {
        let state = self.slots.get(&slot)?;
        (state.is_open() && !state.is_incomplete()).then(|| state.epoch())
    }

    fn add_cleanup(&mut self, order: CleanupOrder) {
        if !self.cleanups.values().any(|known| *known == order) {
            self.cleanups.insert(order);
        }
    }

    /// Orders the release of all sessions of an ended program, unless one of its
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
            self.add_cleanup(CleanupOrder {
                program: id,
                engine,
                epoch,
            });
        }
    }
}
