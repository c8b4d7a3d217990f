//! The driver and the handles to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use ibisdale_core::{ProgramId, SlotId, StepNumber};
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::KvClient;
use ibisdale_policy::journal::JournalEntry;
use ibisdale_policy::ownership::{OwnershipMachine, OwnershipOptions, OwnershipSnapshot};
use smol::Task;

use super::clock::ProcessClock;
use super::control::ControlTask;
use super::message::{
    CommittedIntent, ControlMessage, IntentError, PaidIntent, PinnedSlot, answer_of,
};

/// Ownership of slots at this daemon, and the journal of its paid actions.
#[derive(Debug)]
pub struct OwnershipDriver {
    handle: OwnershipHandle,
    task: Task<()>,
}

/// Reads ownership and asks for paid actions to be recorded, from any thread.
#[derive(Clone, Debug)]
pub struct OwnershipHandle {
    snapshot: Arc<ArcSwap<OwnershipSnapshot>>,
    messages: Sender<ControlMessage>,
}

impl OwnershipDriver {
    /// Starts to register and to take slots; runs on `executor`.
    #[must_use]
    pub fn start(
        options: OwnershipOptions,
        client: KvClient,
        clock: ProcessClock,
        executor: &TrafficExecutor,
    ) -> Self {
        let snapshot = Arc::new(ArcSwap::from_pointee(OwnershipSnapshot::empty()));
        let (sender, messages) = async_channel::unbounded();
        let control = ControlTask {
            machine: OwnershipMachine::new(options),
            client,
            clock,
            executor: TrafficExecutor::clone(executor),
            messages,
            sender: sender.clone(),
            snapshot: Arc::clone(&snapshot),
            feeds: None,
            waiting: BTreeMap::new(),
            drained: Vec::new(),
            published: u64::MAX,
        };
        Self {
            handle: OwnershipHandle {
                snapshot,
                messages: sender,
            },
            task: executor.spawn(control.run()),
        }
    }

    /// Returns a handle for other threads.
    #[must_use]
    pub fn handle(&self) -> OwnershipHandle {
        self.handle.clone()
    }

    /// Gives up all slots, waits until that is done, and ends the lease.
    ///
    /// Slots with work in progress are given up when they are unpinned. The
    /// caller sets a limit on the wait: it lasts as long as an outage.
    pub async fn drain(&self) {
        let (reply, done) = async_channel::bounded(1);
        self.handle.send(ControlMessage::Drain { reply });
        // The channel closes without an item when the driver has stopped.
        let _ = done.recv().await;
    }

    /// Stops at once; other daemons take over when the lease has ended.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

impl OwnershipHandle {
    /// Returns ownership as it is known now.
    #[must_use]
    pub fn get_snapshot(&self) -> Arc<OwnershipSnapshot> {
        self.snapshot.load_full()
    }

    fn send(&self, message: ControlMessage) {
        // The channel has no limit and closes only with the driver.
        let _ = self.messages.try_send(message);
    }

    /// Records a paid action before it is sent.
    ///
    /// # Errors
    ///
    /// Fails when the action must not be sent; see [`IntentError`].
    pub async fn commit_intent(&self, intent: PaidIntent) -> Result<CommittedIntent, IntentError> {
        let (reply, verdict) = async_channel::bounded(1);
        self.send(ControlMessage::Intent { intent, reply });
        answer_of(receive(verdict).await?)
    }

    /// Returns what is recorded of a step, also by earlier owners of its slot.
    ///
    /// # Errors
    ///
    /// Fails with [`IntentError::Stopped`].
    pub async fn find_intent(
        &self,
        program: ProgramId,
        step: StepNumber,
    ) -> Result<Option<JournalEntry>, IntentError> {
        let (reply, entry) = async_channel::bounded(1);
        self.send(ControlMessage::Lookup {
            program,
            step,
            reply,
        });
        receive(entry).await
    }

    /// Notes that a recorded action's outcome is stored in the history.
    pub fn finish_intent(&self, program: ProgramId, step: StepNumber) {
        self.send(ControlMessage::Finish { program, step });
    }

    /// Notes that a recorded action was not sent and never will be.
    pub fn withdraw_intent(&self, program: ProgramId, step: StepNumber) {
        self.send(ControlMessage::Withdraw { program, step });
    }

    /// Keeps an own slot from being given up while it has work in progress.
    ///
    /// Returns nothing when this daemon does not own the slot.
    ///
    /// # Errors
    ///
    /// Fails with [`IntentError::Stopped`].
    pub async fn pin(&self, slot: SlotId) -> Result<Option<PinnedSlot>, IntentError> {
        let (reply, pinned) = async_channel::bounded(1);
        self.send(ControlMessage::Pin { slot, reply });
        receive(pinned).await
    }

    /// Undoes one [`OwnershipHandle::pin`].
    pub fn unpin(&self, slot: SlotId) {
        self.send(ControlMessage::Unpin { slot });
    }

    /// Reports that an effect was refused since the slot has a higher epoch.
    pub fn report_fenced(&self, slot: SlotId, epoch: u64) {
        self.send(ControlMessage::Fenced { slot, epoch });
    }
}

async fn receive<T>(reply: Receiver<T>) -> Result<T, IntentError> {
    reply.recv().await.map_err(|_| IntentError::Stopped)
}
