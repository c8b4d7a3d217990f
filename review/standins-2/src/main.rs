//! Runs one case of the second review against real processes of the entry VMs.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod budget;
mod client;
mod deployment;
mod fleet;
mod http;
mod json;
mod lost;
mod order;
mod record;
mod refused;
mod replica;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use deployment::Deployment;

/// Time after which a case that has not ended is given up.
const CASE_TIME_MAX: Duration = Duration::from_secs(112);

/// Result of a case that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = words.as_slice() else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = match case.as_str() {
        "order" => order::run,
        "budget" => budget::run,
        "lost" => lost::run,
        "refused" => refused::run,
        "stale" => budget::run_stale,
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let result = Deployment::create(&PathBuf::from(record)).and_then(|deployment| {
        let deployment = Arc::new(deployment);
        let watched = Arc::clone(&deployment);
        thread::spawn(move || {
            thread::sleep(CASE_TIME_MAX);
            println!("the case couldn't run: it has not ended in time");
            watched.close();
            std::process::exit(2);
        });
        let verdict = run(&deployment, is_troubled);
        deployment.close();
        verdict
    });
    match result {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
