//! Cases of a review that run as scripts: `review-3 CASE FOLDER`.
//!
//! Starts the project's entry VMs as separate processes beside stand-ins of the store, the
//! replicas and the clients, writes `record.txt` into FOLDER, and exits with 1 if the rule of the
//! case was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the case runs without its disruption.

mod budget;
mod deployment;
mod http;
mod json;
mod lost;
mod order;
mod quota;
mod record;
mod replica;
mod shutdown;
mod store;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use deployment::Deployment;
use record::Recorder;

/// Longest time of a case.
const CASE_TIME_MAX: Duration = Duration::from_secs(118);

/// Whether a rule was broken.
type Verdict = io::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(CASE_TIME_MAX);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let recorder = Recorder::new();
    let run: fn(&mut Deployment, bool) -> Verdict = match case.as_str() {
        "budget-split" => budget::run_split,
        "budget-return" => budget::run_return,
        "quota-readded" => quota::run_readded,
        "quota-restart" => quota::run_restart,
        "order-timeout" => order::run_timeout,
        "lost-shutdown" => shutdown::run_slow_reader,
        "lost-takeup" => lost::run_take_up,
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let result = Deployment::new(recorder.clone()).and_then(|mut deployment| {
        let verdict = run(&mut deployment, has_trouble);
        for ended in deployment.ended_vms() {
            recorder.note(format!("a process ended by itself: {ended}"));
        }
        verdict
    });
    let code = match result {
        Ok(true) => {
            recorder.note("the rule was BROKEN");
            1
        }
        Ok(false) => {
            recorder.note("the rule held");
            0
        }
        Err(error) => {
            recorder.note(format!("the case could not run: {error}"));
            2
        }
    };
    recorder.write(&Path::new(folder).join("record.txt"));
    ExitCode::from(code)
}
