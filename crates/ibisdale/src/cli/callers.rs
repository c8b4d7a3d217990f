//! Commands for callers, and shell completions.

use clap::{Arg, Command, value_parser};
use clap_complete::Shell;

use crate::cli::file_arg;

/// Address of a daemon for callers where none is given.
const ENTRY_ADDRESS: &str = "127.0.0.1:7101";

pub(crate) fn build_commands() -> [Command; 3] {
    [build_run(), build_demo(), build_completions()]
}

fn build_run() -> Command {
    Command::new("run")
        .about("Runs a program that is described in a JSON file, and shows its progress")
        .arg(file_arg("PROGRAM-FILE", "The program's steps, in JSON"))
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .value_parser(value_parser!(std::net::SocketAddr))
                .default_value(ENTRY_ADDRESS)
                .help("Callers' address of any daemon"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf))
                .help("File that holds the workspace's key"),
        )
}

fn build_demo() -> Command {
    Command::new("demo")
        .about("Runs a program on a daemon and stand-ins within this process; needs nothing else")
}

fn build_completions() -> Command {
    Command::new("completions")
        .about("Writes completions for a shell to standard output")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("The shell"),
        )
}
