//! Discrete-event simulation of a small pool of engines whose calls are
//! scheduled by `ibisdale-policy` or by a baseline.
#![allow(
    dead_code,
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the bench and the tests each use only some items; values stay far below the limits of their types"
)]

mod daemon;
mod engine;
mod event;
mod fault;
mod measure;
mod runs;
mod scenario;
mod workload;
mod world;

pub(crate) use daemon::PolicyKind;
pub(crate) use fault::{FaultKind, ScheduledFault};
pub(crate) use measure::RunMetrics;
pub(crate) use scenario::{Deployment, Scenario};
pub(crate) use world::run_scenario;
