//! Commands on workspaces and their keys.

use clap::{Arg, Command};

use crate::cli::name_arg;

pub(crate) fn build_workspace_command() -> Command {
    Command::new("workspace")
        .about("Shows workspaces")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Lists the workspaces with rate and programs"))
        .subcommand(
            Command::new("show")
                .about("Shows one workspace, its programs and keys")
                .arg(workspace_arg()),
        )
}

pub(crate) fn build_key_command() -> Command {
    Command::new("key")
        .about("Grants, withdraws and lists keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("grant")
                .about("Grants a workspace a new key and shows it, this once")
                .arg(workspace_arg())
                .arg(key_arg()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key")
                .arg(workspace_arg())
                .arg(key_arg()),
        )
        .subcommand(
            Command::new("list").about("Lists keys").arg(
                Arg::new("workspace")
                    .value_name("WORKSPACE")
                    .help("Lists the keys of this workspace only"),
            ),
        )
        .subcommand(Command::new("new").about(
            "Makes a key and its hash without granting it, for a daemon's operator_key_hash",
        ))
}

fn workspace_arg() -> Arg {
    name_arg("workspace", "WORKSPACE", "The workspace")
}

fn key_arg() -> Arg {
    name_arg("key", "KEY", "The key's name")
}
