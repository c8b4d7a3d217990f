//! Targets of membership probes.

use std::net::SocketAddr;

use super::table::MemberKey;

/// Kind of a probed target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// The member is next in the probe round.
    Member(MemberKey),
    /// The VM list has the address, and no member that is not dead is known at it.
    Candidate,
}

/// A probe to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Kind of the probed target.
    pub kind: ProbeKind,
    /// Address to probe.
    pub address: SocketAddr,
}
