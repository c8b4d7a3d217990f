//! Commands on the settings.

use clap::{Arg, ArgAction, Command, value_parser};

use crate::cli::{author_arg, file_arg, note_arg};

pub(crate) fn build_commands() -> [Command; 6] {
    [
        build_check(),
        build_diff(),
        build_apply(),
        build_show(),
        Command::new("history").about("Lists the revisions that are kept"),
        build_rollback(),
    ]
}

fn build_check() -> Command {
    Command::new("check")
        .about("Checks a settings file whole and lists all findings; needs no daemon")
        .arg(file_arg("FILE", "The settings file"))
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .action(ArgAction::SetTrue)
                .help("Checks a daemon's own file"),
        )
}

fn build_diff() -> Command {
    Command::new("diff")
        .about("Lists what a settings file would change")
        .arg(file_arg("FILE", "The settings file"))
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("REVISION|FILE")
                .help("What to compare with [default: the revision in force]"),
        )
}

fn build_apply() -> Command {
    Command::new("apply")
        .about("Applies a settings file; returns once it is accepted")
        .arg(file_arg("FILE", "The settings file"))
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("Revision that the file was made from [default: the revision in force]"),
        )
        .arg(note_arg())
        .arg(author_arg())
}

fn build_show() -> Command {
    Command::new("show")
        .about("Shows each value that holds, and where it comes from")
        .arg(
            Arg::new("path")
                .value_name("PATH")
                .default_value("/")
                .help("Section to show, with those beneath it"),
        )
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .value_parser(value_parser!(std::path::PathBuf))
                .help("Shows a file instead of the settings in force"),
        )
}

fn build_rollback() -> Command {
    Command::new("rollback")
        .about("Applies an earlier revision anew, as a new revision")
        .arg(
            Arg::new("revision")
                .value_name("REVISION")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("The earlier revision"),
        )
        .arg(author_arg())
}
