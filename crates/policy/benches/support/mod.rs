//! A small pool of engines in virtual time, driven by the real decisions.
#![allow(
    dead_code,
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the bench and the tests each use a part; figures stay far below the limits of the types"
)]

mod client;
mod daemon;
mod engine;
mod event;
mod fault;
mod measure;
mod scenario;
mod workload;
mod world;

pub(crate) use daemon::PolicyKind;
pub(crate) use fault::{FaultEntry, FaultKind};
pub(crate) use measure::RunMeasure;
pub(crate) use scenario::{Deployment, Scenario};
pub(crate) use world::run_scenario;
