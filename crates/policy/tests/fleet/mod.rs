//! A fleet of ownership machines before a model of the key-value service.

// Each test uses a part of the fleet.
#![allow(dead_code)]

pub(crate) mod store;
pub(crate) mod world;
