//! Measures the decisions on a small pool of engines in virtual time.
//!
//! Prints a table; `--json FILE` keeps the figures, `--compare FILE` prints the
//! change from figures kept earlier.

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
        .about("Measures the scheduling decisions")
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the figures to FILE"),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Prints the change from the figures in FILE"),
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
                .help("Leaves the baselines out"),
        )
        .arg(
            Arg::new("bench")
                .long("bench")
                .action(ArgAction::SetTrue)
                .hide(true),
        )
}

fn main() {
    let matches = command().get_matches();
    let only = matches.get_one::<String>("only");
    let is_own = matches.get_flag("own");
    let mut table = ResultTable::default();
    for scenario in scenarios::all() {
        if only.is_some_and(|text| !scenario.name.contains(text.as_str())) {
            continue;
        }
        let profile = scenario.deployment.profile();
        for kind in PolicyKind::ALL {
            if is_own && kind != PolicyKind::Ibisdale {
                continue;
            }
            let measure = run_scenario(&scenario, kind, &profile);
            table.add(&scenario, kind, &measure);
        }
    }
    table.add_timings(timing::measure());
    table.print();
    if let Some(path) = matches.get_one::<PathBuf>("compare") {
        table.print_changes(path);
    }
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        table.write(path);
    }
}
