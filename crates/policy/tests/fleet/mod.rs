//! Simulation of a fleet of ownership state machines and a model of the key-value
//! service.

// Each test binary uses only some of these items.
#![allow(dead_code)]

pub(crate) mod simulation;
pub(crate) mod store;
