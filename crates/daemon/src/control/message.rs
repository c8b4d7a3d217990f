//! Messages to the control thread.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use ibisdale_core::{ProgramId, RequestRefusal, SlotId, StepNumber, TimeStamp, WorkspaceName};
use ibisdale_policy::{CallReport, InFlightKey, LoadReport};
use ibisdale_programs::{
    CleanupKey, CleanupRequest, KeyLabel, OpenAttempt, ProgramBudget, ProgramLimits, ProgramRecord,
    ProgramSummary, RecordedStep, StartedProgram, StepExchange, StepOutcome, StepRequest,
    StepTicket, StepView,
};

use crate::history::{SlotRecovery, StoreResult};

/// Says that the control thread has stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlClosed;

/// Where an answer goes; an answer that nobody awaits is dropped.
pub(crate) type ReplySender<T> = Sender<T>;

/// A program to be started.
#[derive(Clone, Debug)]
pub(crate) struct NewProgram {
    pub(crate) workspace: WorkspaceName,
    pub(crate) name: Bytes,
    pub(crate) key: Option<KeyLabel>,
    pub(crate) parent: Option<ProgramId>,
    pub(crate) deadline: Option<TimeStamp>,
    pub(crate) budget: ProgramBudget,
    pub(crate) limits: ProgramLimits,
}

/// Answer to a step that asks to run.
#[derive(Debug)]
pub(crate) enum AdmittedStep {
    /// It runs now; a message or the closing of `cancel` stops it.
    Run {
        ticket: Box<StepTicket>,
        stored: Receiver<StoreResult>,
        cancel: Receiver<()>,
        history: Vec<StepExchange>,
    },
    /// It has run already.
    Recorded {
        record: Box<RecordedStep>,
        /// Yields when the program's history is stored.
        stored: Receiver<StoreResult>,
    },
}

/// Names the replicas that serve a model or a service, as in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct UpstreamGroup(pub(crate) Bytes);

/// A call that needs a replica.
#[derive(Clone, Debug)]
pub(crate) struct RouteRequest {
    pub(crate) group: UpstreamGroup,
    pub(crate) workspace: WorkspaceName,
    pub(crate) program: Option<ProgramId>,
    pub(crate) prompt_tokens: u32,
    pub(crate) known_tokens: u32,
    pub(crate) deadline: Option<TimeStamp>,
    pub(crate) avoid: Option<SocketAddr>,
    /// Share of the upstreams that the workspace has, against the others.
    pub(crate) weight: f64,
}

/// A call's place at a replica.
#[derive(Clone, Debug)]
pub(crate) struct CallRoute {
    pub(crate) group: UpstreamGroup,
    pub(crate) flight: InFlightKey,
}

/// A call with its replica chosen.
#[derive(Clone, Debug)]
pub(crate) struct RoutedCall {
    pub(crate) route: CallRoute,
    pub(crate) address: SocketAddr,
    pub(crate) priority: i32,
}

/// An upstream VM, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamVm {
    pub(crate) group: UpstreamGroup,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: Bytes,
    pub(crate) is_leaving: bool,
}

/// A slot that this daemon owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnedSlot {
    pub(crate) slot: SlotId,
    pub(crate) epoch: u64,
}

/// A task for the control thread; its debug form tells nothing of it.
pub(crate) struct ControlTask(pub(super) Pin<Box<dyn Future<Output = ()> + Send>>);

impl fmt::Debug for ControlTask {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ControlTask")
    }
}

/// What the control thread is asked.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    Start(
        Box<NewProgram>,
        ReplySender<Result<StartedProgram, RequestRefusal>>,
    ),
    Admit(
        Box<StepRequest>,
        ReplySender<Result<AdmittedStep, RequestRefusal>>,
    ),
    Finish(
        Box<StepTicket>,
        StepOutcome,
        ReplySender<Result<RecordedStep, RequestRefusal>>,
    ),
    End(
        ProgramId,
        WorkspaceName,
        ReplySender<Result<ProgramSummary, RequestRefusal>>,
    ),
    Cancel(
        ProgramId,
        Option<WorkspaceName>,
        ReplySender<Result<ProgramSummary, RequestRefusal>>,
    ),
    Summary(
        ProgramId,
        Option<WorkspaceName>,
        ReplySender<Result<ProgramSummary, RequestRefusal>>,
    ),
    Step(
        ProgramId,
        WorkspaceName,
        StepNumber,
        ReplySender<Result<StepView, RequestRefusal>>,
    ),
    Programs(ReplySender<Vec<ProgramSummary>>),
    Route(
        Box<RouteRequest>,
        ReplySender<Result<RoutedCall, RequestRefusal>>,
    ),
    OpenSession(
        ProgramId,
        SocketAddr,
        ReplySender<Result<(), RequestRefusal>>,
    ),
    Certain(bool),
    FirstToken(CallRoute),
    CallEnded(CallRoute, CallReport),
    Upstreams(Vec<UpstreamVm>),
    Load(SocketAddr, LoadReport),
    BeginSlots(Vec<OwnedSlot>),
    OpenSlot(OwnedSlot, Box<SlotRecovery>, Vec<OpenAttempt>),
    ReleaseSlots(Vec<SlotId>),
    Export(ProgramId, ReplySender<Vec<ProgramRecord>>),
    Cleanups(ReplySender<Vec<(CleanupKey, CleanupRequest)>>),
    CleanupDone(CleanupKey, ReplySender<()>),
    KeyWithdrawn(WorkspaceName, KeyLabel),
    Sweep(SocketAddr, Vec<ProgramId>),
    Spawn(ControlTask),
    Stop,
}
