//! The task that runs the machine.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::KvClient;
use ibisdale_policy::journal::{IntentRequest, IntentTicket, IntentVerdict};
use ibisdale_policy::ownership::{
    IssuedCall, OwnershipMachine, OwnershipSnapshot, RegistrationPhase,
};
use smol::Timer;

use super::calls::make_call;
use super::clock::ProcessClock;
use super::feed::RecordFeeds;
use super::message::{ControlMessage, FollowStart, PaidIntent, PinnedSlot};

/// Runs the machine: makes its calls, publishes ownership and answers requests.
pub(crate) struct ControlTask {
    pub(crate) machine: OwnershipMachine,
    pub(crate) client: KvClient,
    pub(crate) clock: ProcessClock,
    pub(crate) executor: TrafficExecutor,
    pub(crate) messages: Receiver<ControlMessage>,
    pub(crate) sender: Sender<ControlMessage>,
    pub(crate) snapshot: Arc<ArcSwap<OwnershipSnapshot>>,
    pub(crate) feeds: Option<RecordFeeds>,
    pub(crate) waiting: BTreeMap<IntentTicket, Sender<IntentVerdict>>,
    pub(crate) drained: Vec<Sender<()>>,
    pub(crate) published: u64,
}

impl ControlTask {
    /// Runs until the last handle is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            for call in self.machine.poll(self.clock.now()) {
                self.start_call(call);
            }
            self.answer_intents();
            self.publish();
            let Some(message) = self.wait().await else {
                continue;
            };
            self.take(message);
            while let Ok(message) = self.messages.try_recv() {
                self.take(message);
            }
        }
    }

    /// Waits for a message, or until the machine is to be polled.
    async fn wait(&self) -> Option<ControlMessage> {
        let wake = self.machine.next_wake();
        let sleep = async {
            match wake {
                Some(wake) => {
                    Timer::at(self.clock.instant(wake)).await;
                }
                None => futures_lite::future::pending().await,
            }
            None
        };
        // This task holds a sender itself, so the channel stays open.
        let receive = async { self.messages.recv().await.ok() };
        receive.or(sleep).await
    }

    fn start_call(&self, issued: IssuedCall) {
        let client = self.client.clone();
        let sender = self.sender.clone();
        let task = async move {
            let result = make_call(&client, issued.call).await;
            let message = ControlMessage::Answer {
                id: issued.id,
                answer: result.answer,
                follow: result.follow,
            };
            // The control task may have ended, which makes the answer moot.
            let _ = sender.send(message).await;
        };
        self.executor.spawn(task).detach();
    }

    fn answer_intents(&mut self) {
        for receipt in self.machine.take_receipts() {
            if let Some(reply) = self.waiting.remove(&receipt.ticket) {
                // The requester may have left.
                let _ = reply.try_send(receipt.verdict);
            }
        }
    }

    fn publish(&mut self) {
        let version = self.machine.get_version();
        if version == self.published {
            return;
        }
        self.published = version;
        let snapshot = self.machine.snapshot();
        if snapshot.phase == RegistrationPhase::Ended {
            for reply in self.drained.drain(..) {
                // The requester may have left.
                let _ = reply.try_send(());
            }
        }
        self.snapshot.store(Arc::new(snapshot));
    }

    fn take(&mut self, message: ControlMessage) {
        let now = self.clock.now();
        match message {
            ControlMessage::Answer { id, answer, follow } => {
                self.machine.on_response(id, answer, now);
                if let Some(start) = follow {
                    self.follow(start);
                }
            }
            ControlMessage::Changes { changes } => self.machine.on_changes(&changes, now),
            ControlMessage::Gap => self.machine.on_gap(),
            ControlMessage::Intent { intent, reply } => self.take_intent(intent, reply),
            ControlMessage::Lookup {
                program,
                step,
                reply,
            } => {
                let entry = self.machine.get_intent(program, step).cloned();
                // The requester may have left.
                let _ = reply.try_send(entry);
            }
            ControlMessage::Finish { program, step } => {
                self.machine.finish_intent(program, step, now);
            }
            ControlMessage::Withdraw { program, step } => {
                self.machine.withdraw_intent(program, step, now);
            }
            ControlMessage::Pin { slot, reply } => {
                let epoch = self.machine.own_epoch(slot);
                if epoch.is_some() {
                    self.machine.pin(slot);
                }
                let pinned = epoch.map(|epoch| PinnedSlot { slot, epoch });
                if reply.try_send(pinned).is_err() {
                    self.machine.unpin(slot);
                }
            }
            ControlMessage::Unpin { slot } => self.machine.unpin(slot),
            ControlMessage::Fenced { slot, epoch } => self.machine.on_fenced(slot, epoch),
            ControlMessage::Drain { reply } => {
                self.drained.push(reply);
                self.machine.start_drain();
            }
        }
    }

    fn follow(&mut self, start: FollowStart) {
        let feeds = RecordFeeds::open(&self.client, &self.executor, start, &self.sender);
        self.feeds = Some(feeds);
    }

    fn take_intent(&mut self, intent: PaidIntent, reply: Sender<IntentVerdict>) {
        let request = IntentRequest {
            program: intent.program,
            step: intent.step,
            attempt: intent.attempt,
            deadline: self.clock.now().plus(intent.timeout),
        };
        let ticket = self.machine.push_intent(request);
        self.waiting.insert(ticket, reply);
    }
}
