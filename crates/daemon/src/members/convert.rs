//! Member updates as messages between daemons.

use ibisdale_core::DaemonName;
use ibisdale_fleet::proto;
use ibisdale_policy::{MemberFacts, MemberState, MemberUpdate, MemberVersion};

fn state_to_proto(state: MemberState) -> proto::MemberStatus {
    match state {
        MemberState::Alive => proto::MemberStatus::Alive,
        MemberState::Draining => proto::MemberStatus::Draining,
        MemberState::Suspect => proto::MemberStatus::Suspect,
        MemberState::Dead => proto::MemberStatus::Dead,
    }
}

fn state_from_proto(state: proto::MemberStatus) -> Option<MemberState> {
    match state {
        proto::MemberStatus::Alive => Some(MemberState::Alive),
        proto::MemberStatus::Draining => Some(MemberState::Draining),
        proto::MemberStatus::Suspect => Some(MemberState::Suspect),
        proto::MemberStatus::Dead => Some(MemberState::Dead),
        proto::MemberStatus::Unspecified => None,
    }
}

/// Renders an update.
pub(super) fn to_proto(update: &MemberUpdate) -> proto::MemberUpdate {
    let facts = &update.facts;
    proto::MemberUpdate {
        name: facts.name.to_string(),
        incarnation: update.version.incarnation,
        version: update.version.version,
        status: state_to_proto(update.state).into(),
        fleet_address: facts.fleet_address.to_string(),
        entry_address: facts.entry_address.to_string(),
        failure_domain: String::from_utf8_lossy(&facts.failure_domain).into_owned(),
        settings_revision: facts.settings_revision,
        load_permille: facts.load_permille,
        holds_history: facts.is_holder,
    }
}

/// Reads an update; `None` when it is malformed.
pub(super) fn from_proto(update: proto::MemberUpdate) -> Option<MemberUpdate> {
    let state = state_from_proto(update.status())?;
    let facts = MemberFacts {
        name: DaemonName::new(update.name).ok()?,
        fleet_address: update.fleet_address.parse().ok()?,
        entry_address: update.entry_address.parse().ok()?,
        failure_domain: update.failure_domain.into(),
        settings_revision: update.settings_revision,
        load_permille: update.load_permille,
        is_holder: update.holds_history,
    };
    let version = MemberVersion {
        incarnation: update.incarnation,
        version: update.version,
    };
    Some(MemberUpdate {
        facts,
        version,
        state,
    })
}

/// Reads updates; malformed ones are left out.
pub(super) fn all_from_proto(updates: Vec<proto::MemberUpdate>) -> Vec<MemberUpdate> {
    updates.into_iter().filter_map(from_proto).collect()
}

/// Renders updates.
pub(super) fn all_to_proto(updates: &[MemberUpdate]) -> Vec<proto::MemberUpdate> {
    updates.iter().map(to_proto).collect()
}
