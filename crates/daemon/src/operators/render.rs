//! What operators are shown.

use ibisdale_core::SlotId;
use ibisdale_core::admin::{
    MemberState, MemberStatus, ProgramSummary as ProgramReply, StatusReply,
};
use ibisdale_policy::{MemberState as PolicyState, MemberUpdate};
use ibisdale_programs::{ProgramStatus, ProgramSummary};

use super::settings::confirmed_ms;
use crate::context::DaemonContext;
use crate::members::MemberSnapshot;

/// Renders a program.
pub(super) fn render_program(summary: &ProgramSummary) -> ProgramReply {
    let state = match summary.status {
        ProgramStatus::Running => "running",
        ProgramStatus::Ended { reason, .. } => reason.as_str(),
    };
    let tokens = summary.budget.tokens;
    let actions = summary.budget.paid_actions;
    ProgramReply {
        id: summary.id,
        workspace: summary.workspace.clone(),
        name: summary.name.clone(),
        parent: summary.parent,
        state: state.to_owned(),
        next_step: summary.next_step,
        is_busy: summary.is_busy,
        digest: summary.digest,
        deadline: summary.deadline,
        tokens_used: tokens.spent + tokens.reserved,
        tokens_limit: tokens.limit,
        paid_actions_used: actions.spent + actions.reserved,
        paid_actions_limit: actions.limit,
    }
}

/// Renders the daemon's status.
pub(super) fn render_status(context: &DaemonContext) -> StatusReply {
    let owners = context.owners.load();
    let is_own = |slot: &SlotId| owners.get(*slot).is_some_and(|owner| owner.is_self);
    let slots_owned = SlotId::all().filter(is_own).count();
    StatusReply {
        name: context.identity.name.clone(),
        incarnation: context.identity.incarnation,
        settings_revision: context.settings().revision(),
        settings_confirmed_ms: confirmed_ms(context),
        members: render_members(&context.members.snapshot()),
        slots_owned: u32::try_from(slots_owned).unwrap_or(u32::MAX),
        draining: context.drain.is_started(),
    }
}

fn render_members(members: &MemberSnapshot) -> Vec<MemberStatus> {
    members
        .own
        .iter()
        .chain(&members.others)
        .map(render_member)
        .collect()
}

fn render_member(update: &MemberUpdate) -> MemberStatus {
    let state = match update.state {
        PolicyState::Alive => MemberState::Alive,
        PolicyState::Draining => MemberState::Draining,
        PolicyState::Suspect => MemberState::Suspect,
        PolicyState::Dead => MemberState::Dead,
    };
    MemberStatus {
        name: update.facts.name.clone(),
        failure_domain: String::from_utf8_lossy(&update.facts.failure_domain).into_owned(),
        entry_address: update.facts.entry_address.to_string(),
        state,
        settings_revision: update.facts.settings_revision,
    }
}
