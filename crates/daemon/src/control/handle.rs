//! The traffic threads' side of the control thread.

use std::net::SocketAddr;

use async_channel::Sender;
use ibisdale_core::{
    ProgramId, RefusalCode, RequestRefusal, RunState, SlotId, StepNumber, WorkspaceName,
};
use ibisdale_policy::{CallReport, LoadReport};
use ibisdale_programs::{
    CleanupKey, CleanupRequest, KeyLabel, OpenAttempt, ProgramRecord, ProgramSummary, RecordedStep,
    StartedProgram, StepOutcome, StepRequest, StepTicket, StepView,
};

use super::message::{
    AdmittedStep, CallRoute, ControlClosed, ControlMessage, ControlTask, NewProgram, OwnedSlot,
    ReplySender, RouteRequest, RoutedCall, UpstreamVm,
};

use crate::history::SlotRecovery;

/// Sends messages to the control thread; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    sender: Sender<ControlMessage>,
}

fn stopped() -> RequestRefusal {
    let message = "the daemon is stopping";
    RequestRefusal::new(RefusalCode::Draining, message).run_state(RunState::Unknown)
}

impl ControlHandle {
    pub(crate) fn new(sender: Sender<ControlMessage>) -> Self {
        Self { sender }
    }

    async fn ask<T>(
        &self,
        message: impl FnOnce(ReplySender<T>) -> ControlMessage,
    ) -> Result<T, ControlClosed> {
        let (reply, answer) = async_channel::bounded(1);
        self.sender
            .send(message(reply))
            .await
            .map_err(|_| ControlClosed)?;
        answer.recv().await.map_err(|_| ControlClosed)
    }

    async fn request<T>(
        &self,
        message: impl FnOnce(ReplySender<Result<T, RequestRefusal>>) -> ControlMessage,
    ) -> Result<T, RequestRefusal> {
        self.ask(message)
            .await
            .unwrap_or_else(|ControlClosed| Err(stopped()))
    }

    fn notify(&self, message: ControlMessage) {
        // The channel is unbounded; it fails only when the thread has stopped.
        let _ = self.sender.try_send(message);
    }

    /// Starts a program.
    pub(crate) async fn start(&self, new: NewProgram) -> Result<StartedProgram, RequestRefusal> {
        self.request(|reply| ControlMessage::Start(Box::new(new), reply))
            .await
    }

    /// Asks for a step to run; waits for its turn, and for a recorded outcome
    /// until it is stored.
    pub(crate) async fn admit(&self, request: StepRequest) -> Result<AdmittedStep, RequestRefusal> {
        let admitted = self
            .request(|reply| ControlMessage::Admit(Box::new(request), reply))
            .await?;
        if let AdmittedStep::Recorded { stored, .. } = &admitted {
            stored.recv().await.unwrap_or(Ok(()))?;
        }
        Ok(admitted)
    }

    /// Finishes a step; answers when the outcome is stored.
    pub(crate) async fn finish(
        &self,
        ticket: Box<StepTicket>,
        outcome: StepOutcome,
    ) -> Result<RecordedStep, RequestRefusal> {
        self.request(|reply| ControlMessage::Finish(ticket, outcome, reply))
            .await
    }

    /// Finishes a step whose caller awaits nothing any more.
    pub(crate) fn finish_detached(&self, ticket: Box<StepTicket>, outcome: StepOutcome) {
        let (reply, _) = async_channel::bounded(1);
        self.notify(ControlMessage::Finish(ticket, outcome, reply));
    }

    /// Ends a program.
    pub(crate) async fn end(
        &self,
        program: ProgramId,
        workspace: WorkspaceName,
    ) -> Result<ProgramSummary, RequestRefusal> {
        self.request(|reply| ControlMessage::End(program, workspace, reply))
            .await
    }

    /// Cancels a program; an operator names no workspace.
    pub(crate) async fn cancel(
        &self,
        program: ProgramId,
        workspace: Option<WorkspaceName>,
    ) -> Result<ProgramSummary, RequestRefusal> {
        self.request(|reply| ControlMessage::Cancel(program, workspace, reply))
            .await
    }

    /// Reads a program's state; an operator names no workspace.
    pub(crate) async fn summary(
        &self,
        program: ProgramId,
        workspace: Option<WorkspaceName>,
    ) -> Result<ProgramSummary, RequestRefusal> {
        self.request(|reply| ControlMessage::Summary(program, workspace, reply))
            .await
    }

    /// Reads what became of a step.
    pub(crate) async fn step(
        &self,
        program: ProgramId,
        workspace: WorkspaceName,
        step: StepNumber,
    ) -> Result<StepView, RequestRefusal> {
        self.request(|reply| ControlMessage::Step(program, workspace, step, reply))
            .await
    }

    /// Lists the programs that this daemon owns.
    pub(crate) async fn programs(&self) -> Vec<ProgramSummary> {
        self.ask(ControlMessage::Programs).await.unwrap_or_default()
    }

    /// Chooses a replica.
    pub(crate) async fn route(&self, request: RouteRequest) -> Result<RoutedCall, RequestRefusal> {
        self.request(|reply| ControlMessage::Route(Box::new(request), reply))
            .await
    }

    /// Notes that an engine is about to hold a session of a program; answers
    /// when that is stored.
    pub(crate) async fn open_session(
        &self,
        program: ProgramId,
        address: SocketAddr,
    ) -> Result<(), RequestRefusal> {
        self.request(|reply| ControlMessage::OpenSession(program, address, reply))
            .await
    }

    /// Sets whether this daemon surely holds its lease.
    pub(crate) fn set_certain(&self, is_certain: bool) {
        self.notify(ControlMessage::Certain(is_certain));
    }

    /// Notes the first token of a call.
    pub(crate) fn first_token(&self, route: &CallRoute) {
        self.notify(ControlMessage::FirstToken(route.clone()));
    }

    /// Notes the end of a call.
    pub(crate) fn call_ended(&self, route: CallRoute, report: CallReport) {
        self.notify(ControlMessage::CallEnded(route, report));
    }

    /// Replaces the list of upstream VMs.
    pub(crate) fn set_upstreams(&self, vms: Vec<UpstreamVm>) {
        self.notify(ControlMessage::Upstreams(vms));
    }

    /// Notes a replica's load report.
    pub(crate) fn record_load(&self, address: SocketAddr, report: LoadReport) {
        self.notify(ControlMessage::Load(address, report));
    }

    /// Takes slots, whose programs do not answer yet.
    pub(crate) fn begin_slots(&self, slots: Vec<OwnedSlot>) {
        self.notify(ControlMessage::BeginSlots(slots));
    }

    /// Opens a slot with what was read back of it.
    pub(crate) fn open_slot(
        &self,
        slot: OwnedSlot,
        recovery: SlotRecovery,
        unsent: Vec<OpenAttempt>,
    ) {
        self.notify(ControlMessage::OpenSlot(slot, Box::new(recovery), unsent));
    }

    /// Gives slots up.
    pub(crate) fn release_slots(&self, slots: Vec<SlotId>) {
        self.notify(ControlMessage::ReleaseSlots(slots));
    }

    /// Returns the whole history of a root program.
    pub(crate) async fn export(&self, root: ProgramId) -> Vec<ProgramRecord> {
        self.ask(|reply| ControlMessage::Export(root, reply))
            .await
            .unwrap_or_default()
    }

    /// Ends the programs that were started under a key.
    pub(crate) fn end_withdrawn(&self, workspace: WorkspaceName, key: KeyLabel) {
        self.notify(ControlMessage::KeyWithdrawn(workspace, key));
    }

    /// Returns the sessions to release at engines.
    pub(crate) async fn cleanups(&self) -> Vec<(CleanupKey, CleanupRequest)> {
        self.ask(ControlMessage::Cleanups).await.unwrap_or_default()
    }

    /// Notes that a session is released.
    pub(crate) async fn confirm_cleanup(&self, key: CleanupKey) {
        let _ = self
            .ask(|reply| ControlMessage::CleanupDone(key, reply))
            .await;
    }

    /// Compares what an engine holds with the programs that live.
    pub(crate) fn sweep_engine(&self, engine: SocketAddr, held: Vec<ProgramId>) {
        self.notify(ControlMessage::Sweep(engine, held));
    }

    /// Runs a task on the control thread until the thread stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.notify(ControlMessage::Spawn(ControlTask(Box::pin(task))));
    }

    /// Stops the thread.
    pub(crate) fn stop(&self) {
        self.notify(ControlMessage::Stop);
    }
}
