//! Integration tests of gateways on loopback, between callers and scripted replicas.

mod attempts;
mod budgets;
mod busy;
mod client_memory;
mod closed_idle;
mod crashes;
mod datagrams;
mod directory;
mod endless;
mod evacuation;
mod fleet;
mod fleet_support;
mod holder_support;
mod limits;
mod misplaced;
mod replaced_plans;
mod responses;
mod routes;
mod silent_source;
mod support;
mod turns;
mod unframed;
mod versions;
