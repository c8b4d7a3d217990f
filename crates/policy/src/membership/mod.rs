//! SWIM-style fleet membership and failure detection.
//!
//! Each daemon probes one member at a time. A member that answers neither a direct
//! nor an indirect probe is suspected and, unless it refutes the suspicion, declared
//! dead. Updates are attached to the probes, so the traffic per daemon does not grow
//! with the fleet. The platform's VM list supplies candidate addresses to probe.

mod probe;
mod table;
mod update;

pub use probe::{Probe, ProbeKind};
pub use table::{MemberKey, MemberOptions, MemberTable};
pub use update::{MemberFacts, MemberState, MemberUpdate, MemberVersion};
