//! Who lives in the fleet, as each daemon finds out by itself.
//!
//! Each daemon probes one member at a time; a member that does not answer, nor
//! through others, is suspected and, unless it refutes that, taken for dead.
//! Updates travel with the probes, so the cost of a daemon does not grow with
//! the fleet. The platform's VM list only proposes whom to probe.

mod probe;
mod table;
mod update;

pub use probe::{ProbeKind, ProbeOrder};
pub use table::{MemberKey, MemberOptions, MemberTable};
pub use update::{MemberFacts, MemberState, MemberUpdate, MemberVersion};
