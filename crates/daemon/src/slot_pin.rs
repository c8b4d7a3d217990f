//! Keeps a slot at this daemon while a step of it runs.

use ibisdale_core::{ProgramId, RefusalCode, RequestRefusal, SlotId};

use crate::context::DaemonContext;
use crate::ownership::OwnershipHandle;

/// Time after which a slot that moves is worth another try.
const MOVE_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(500);

/// A slot that is not handed over until this is dropped.
#[derive(Debug)]
pub(crate) struct SlotPin {
    ownership: OwnershipHandle,
    slot: SlotId,
}

impl SlotPin {
    /// Pins the slot of a program.
    ///
    /// # Errors
    ///
    /// Refuses when this daemon does not own the slot any more.
    pub(crate) async fn new(
        context: &DaemonContext,
        program: ProgramId,
    ) -> Result<Self, RequestRefusal> {
        let ownership = context.ownership.clone();
        let slot = program.slot();
        if let Ok(Some(_)) = ownership.pin(slot).await {
            return Ok(Self { ownership, slot });
        }
        let message = "the program's owner is changing";
        let refusal = RequestRefusal::new(RefusalCode::OwnerUnavailable, message);
        Err(refusal.retry_after(MOVE_RETRY_DELAY))
    }
}

impl Drop for SlotPin {
    fn drop(&mut self) {
        self.ownership.unpin(self.slot);
    }
}
