//! The command line.

mod callers;
mod keys;
mod programs;
mod settings;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::output::OutputFormat;

/// Address of a daemon for operators where none is given.
const OPERATOR_ADDRESS: &str = "127.0.0.1:7301";
const TEXT_WIDTH: usize = 90;

/// Builds the command line.
pub(crate) fn build_command() -> Command {
    Command::new("ibisdale")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates an ibisdale fleet and runs programs on it")
        .after_help("Exit codes and the operators' key are described in docs/operate/command.md.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .term_width(TEXT_WIDTH)
        .args(global_args())
        .subcommands(settings::build_commands())
        .subcommand(keys::build_workspace_command())
        .subcommand(keys::build_key_command())
        .subcommands(programs::build_commands())
        .subcommands(callers::build_commands())
}

fn global_args() -> [Arg; 3] {
    [
        Arg::new("format")
            .long("format")
            .global(true)
            .value_name("FORMAT")
            .value_parser(PossibleValuesParser::new(["text", "json"]))
            .default_value("text")
            .help("How results and errors are written"),
        Arg::new("operator")
            .long("operator")
            .global(true)
            .value_name("ADDRESS")
            .value_parser(value_parser!(std::net::SocketAddr))
            .default_value(OPERATOR_ADDRESS)
            .help("Operators' address of any daemon"),
        Arg::new("operator-key-file")
            .long("operator-key-file")
            .global(true)
            .value_name("FILE")
            .value_parser(value_parser!(std::path::PathBuf))
            .help("File that holds the operators' key"),
    ]
}

/// Returns the format that was asked for.
pub(crate) fn output_format(matches: &ArgMatches) -> OutputFormat {
    match matches.get_one::<String>("format").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Text,
    }
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new("file")
        .value_name(name)
        .required(true)
        .value_parser(value_parser!(std::path::PathBuf))
        .help(help)
}

fn note_arg() -> Arg {
    Arg::new("note")
        .long("note")
        .value_name("TEXT")
        .default_value("")
        .hide_default_value(true)
        .help("What the history says about the revision")
}

fn author_arg() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .default_value("operator")
        .help("Who the history says applied the revision")
}

fn name_arg(id: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(value_name)
        .required(true)
        .help(help)
}
