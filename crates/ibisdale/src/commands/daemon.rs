//! A daemon's status and shutdown.

use clap::ArgMatches;
use ibisdale_core::admin::{MemberState, MemberStatus, StatusReply};

use crate::commands::CommandResult;
use crate::exit::ExitStatus;
use crate::operator::OperatorClient;
use crate::output::{OutputFormat, render_table};

const HEAD: [&str; 5] = ["MEMBER", "FAILURE DOMAIN", "ADDRESS", "STATE", "SETTINGS"];

pub(crate) fn status(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let reply = OperatorClient::from_args(matches)?.read_status()?;
    format.write(&reply, render_status(&reply))?;
    Ok(ExitStatus::Success)
}

fn render_status(reply: &StatusReply) -> String {
    let confirmed = match reply.settings_confirmed_ms {
        Some(age) => format!("confirmed {age} ms ago"),
        None => "not confirmed".to_owned(),
    };
    let draining = if reply.draining { ", draining" } else { "" };
    let rows: Vec<Vec<String>> = reply.members.iter().map(member_row).collect();
    format!(
        "{} (incarnation {}){draining}: {} slots, settings revision {} ({confirmed})\n\n{}",
        reply.name,
        reply.incarnation,
        reply.slots_owned,
        reply.settings_revision,
        render_table(&HEAD, &rows),
    )
}

fn member_row(member: &MemberStatus) -> Vec<String> {
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Draining => "draining",
        MemberState::Dead => "dead",
    };
    vec![
        member.name.to_string(),
        member.failure_domain.clone(),
        member.entry_address.clone(),
        state.to_owned(),
        member.settings_revision.to_string(),
    ]
}

pub(crate) fn drain(matches: &ArgMatches, format: OutputFormat) -> CommandResult {
    let reply = OperatorClient::from_args(matches)?.drain()?;
    format.write(&reply, format!("{} has started its shutdown", reply.name))?;
    Ok(ExitStatus::Success)
}
