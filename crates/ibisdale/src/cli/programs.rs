//! Commands on running programs and on a daemon.

use clap::{Arg, Command, value_parser};
use ibisdale_core::ProgramId;

pub(crate) fn build_commands() -> [Command; 3] {
    [
        build_program(),
        Command::new("status").about("Shows a daemon and the members it knows"),
        Command::new("drain").about("Starts a daemon's graceful shutdown"),
    ]
}

fn build_program() -> Command {
    Command::new("program")
        .about("Shows and cancels running programs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Lists the programs that the daemon owns"))
        .subcommand(
            Command::new("show")
                .about("Shows one program")
                .arg(program_arg()),
        )
        .subcommand(
            Command::new("cancel")
                .about("Cancels a program and what runs in it")
                .arg(program_arg()),
        )
}

fn program_arg() -> Arg {
    Arg::new("program")
        .value_name("PROGRAM")
        .required(true)
        .value_parser(value_parser!(ProgramId))
        .help("The program's identifier")
}
