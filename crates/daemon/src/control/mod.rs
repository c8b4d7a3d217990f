//! The control thread: owner of programs, replicas and all other control state.

mod handle;
mod history;
mod message;
mod programs;
mod routing;
mod run;
mod state;

pub(crate) use handle::ControlHandle;
pub(crate) use message::{
    AdmittedStep, NewProgram, OwnedSlot, RouteRequest, RoutedCall, UpstreamGroup, UpstreamVm,
};
pub(crate) use programs::known_tokens;
pub(crate) use run::ControlThread;
pub(crate) use state::ControlOptions;
