//! Compares the scheduling policy with baselines on simulated engines, and times
//! routing decisions.
//!
//! Prints a table; `--json FILE` writes the results to a file, and `--compare FILE`
//! prints the differences from the results in such a file.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::output::ResultTable;
use crate::support::{PolicyKind, run_scenario};

#[path = "decisions/output.rs"]
mod output;
#[path = "decisions/scenarios.rs"]
mod scenarios;
mod support;
#[path = "decisions/timing.rs"]
mod timing;

fn command() -> Command {
    Command::new("decisions")
        .about("Compares the scheduling policy with baselines and times routing decisions")
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the results to FILE as JSON"),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Prints the differences from the results in FILE"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("TEXT")
                .help("Runs only scenarios whose name contains TEXT"),
        )
        .arg(
            Arg::new("own")
                .long("own")
                .action(ArgAction::SetTrue)
                .help("Runs only the policy under test, without the baselines"),
        )
        .arg(
            // Passed by `cargo bench`.
            Arg::new("bench")
                .long("bench")
                .action(ArgAction::SetTrue)
                .hide(true),
        )
}

fn main() {
    let matches = command().get_matches();
    let only = matches.get_one::<String>("only");
    let skip_baselines = matches.get_flag("own");
    let mut table = ResultTable::default();
    for scenario in scenarios::all() {
        if only.is_some_and(|text| !scenario.name.contains(text.as_str())) {
            continue;
        }
        let profile = scenario.deployment.profile();
        for kind in PolicyKind::ALL {
            if skip_baselines && kind != PolicyKind::Ibisdale {
                continue;
            }
            let metrics = run_scenario(&scenario, kind, &profile);
            table.add(&scenario, kind, &metrics);
        }
    }
    table.add_timings(timing::measure_all());
    table.print();
    if let Some(path) = matches.get_one::<PathBuf>("compare") {
        table.print_changes(path);
    }
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        table.write(path);
    }
}
