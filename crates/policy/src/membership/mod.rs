//! SWIM-style fleet membership and failure detection.
//!
//! Each daemon probes one member at a time. A member that answers neither directly
//! nor through other members is suspected and, unless it refutes the suspicion,
//! declared dead. Updates are attached to the probes, so the cost per daemon does
//! not grow with the fleet. The platform's VM list only supplies candidate
//! addresses to probe.

mod probe;
mod table;
mod update;

pub use probe::{Probe, ProbeKind};
pub use table::{MemberKey, MemberOptions, MemberTable};
pub use update::{MemberFacts, MemberState, MemberUpdate, MemberVersion};
