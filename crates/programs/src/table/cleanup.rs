//! Engine sessions of ended programs, until their release is confirmed.

use ibisdale_core::{ProgramId, RequestRefusal, SlotId};

use crate::record::{EngineAddress, ProgramEvent, ProgramRecord, SessionOpened, SessionReleased};
use crate::table::{CleanupKey, ProgramKey, ProgramTable};

/// Order to release what an engine holds of an ended program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CleanupOrder {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineAddress,
    /// Epoch of the owner that gives the order; its fencing number.
    pub epoch: u64,
}

impl ProgramTable {
    /// Notes that a session of the program is about to be opened at an engine.
    ///
    /// Returns the record to store before the engine is called; `None` when the
    /// session is noted already.
    ///
    /// # Errors
    ///
    /// Refuses when there is no such program here.
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

    /// Iterates over the orders that are not confirmed.
    pub fn cleanup_orders(&self) -> impl Iterator<Item = (CleanupKey, &CleanupOrder)> {
        self.cleanups.iter()
    }

    /// Notes that an engine carried out an order, or is gone for good.
    ///
    /// Returns the record to store; `None` when the order is void.
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

    /// Compares what an engine holds with the programs that live, and orders
    /// the release of what is held for none.
    ///
    /// Only programs of open slots with whole histories are judged. Returns the
    /// number of orders added.
    pub fn sweep_engine(&mut self, engine: &EngineAddress, held: &[ProgramId]) -> usize {
        let before = self.cleanups.len();
        for id in held {
            let Some(epoch) = self.sweep_epoch(id.slot()) else {
                continue;
            };
            let key = self.by_id.get(id).copied();
            let is_live = key
                .is_some_and(|key| self.programs[key].is_running() || self.has_running_step(key));
            if is_live || self.lost_histories.contains(id) {
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

    fn sweep_epoch(&self, slot: SlotId) -> Option<u64> {
        let state = self.slots.get(&slot)?;
        (state.is_open() && !state.is_incomplete()).then(|| state.epoch())
    }

    fn add_cleanup(&mut self, order: CleanupOrder) {
        if !self.cleanups.values().any(|known| *known == order) {
            self.cleanups.insert(order);
        }
    }

    /// Orders the release of all sessions of an ended program, unless a call of
    /// it is still running and could open them again.
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
