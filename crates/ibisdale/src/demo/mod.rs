//! Runs a program on a daemon and stand-ins within this process.

mod bed;
mod hops;

use ibisdale_core::admin::ApplyRequest;
use ibisdale_net::TrafficExecutor;

use crate::demo::bed::DemoBed;
use crate::demo::hops::read_hops;
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::operator::OperatorClient;
use crate::output::OutputFormat;
use crate::run::{parse_program, run_program};

/// Settings of the demonstration.
const SETTINGS: &str = include_str!("../../../../examples/settings.ini");
/// Program of the demonstration: several turns, a sub-agent and a paid order.
const PROGRAM: &str = include_str!("../../../../examples/program.json");
/// Key that the settings grant to the program's workspace.
const CALLER_KEY: &str = include_str!("../../../../examples/keys/kermesse.key");

/// Runs the demonstration.
pub(crate) fn run(format: OutputFormat) -> Result<ExitStatus, CommandError> {
    let bed = DemoBed::start()?;
    format.report_progress(format_args!("{bed}"));
    let operator = OperatorClient::new(
        bed.get_operator_address(),
        DemoBed::operator_key(),
        TrafficExecutor::default(),
    );
    let applied = operator.apply(0, &settings_request())?;
    format.report_progress(format_args!(
        "settings revision {} accepted",
        applied.revision
    ));
    let program = parse_program("examples/program.json", PROGRAM.as_bytes())?;
    let key = bed::key_value(CALLER_KEY);
    let report = run_program(bed.get_entry_address(), key, &program, format)?;
    format.write(&report, &report)?;
    let executions = bed.count_paid_executions();
    format.report_progress(format_args!(
        "the order service ran each booking {executions} time(s)"
    ));
    let trace_file = bed.close();
    for hop in read_hops(&trace_file) {
        format.report_progress(hop);
    }
    // The folder holds nothing that is needed any more.
    let _ = trace_file.parent().map(std::fs::remove_dir_all);
    Ok(ExitStatus::Success)
}

fn settings_request() -> ApplyRequest {
    // The stand-in of the order service asks for no credential.
    let lines = SETTINGS.lines();
    let text: Vec<&str> = lines
        .filter(|line| !line.starts_with("credential_file"))
        .collect();
    ApplyRequest {
        file: "examples/settings.ini".to_owned(),
        text: text.join("\n"),
        author: "demo".to_owned(),
        note: String::new(),
    }
}
