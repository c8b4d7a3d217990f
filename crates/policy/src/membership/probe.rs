//! Whom to probe.

use std::net::SocketAddr;

use super::table::MemberKey;

/// Why a member is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// It is its turn.
    Member(MemberKey),
    /// The VM list names an address that no live member has.
    Proposed,
}

/// A probe to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeOrder {
    /// Why.
    pub kind: ProbeKind,
    /// Where to.
    pub address: SocketAddr,
}
