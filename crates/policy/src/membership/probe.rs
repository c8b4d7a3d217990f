//! Targets of membership probes.

use std::net::SocketAddr;

use super::table::MemberKey;

/// Reason for a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// The member is next in the probe round.
    Member(MemberKey),
    /// The VM list has the address, and every known member with it is dead.
    Candidate,
}

/// A probe to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Reason for the probe.
    pub kind: ProbeKind,
    /// Address to probe.
    pub address: SocketAddr,
}
