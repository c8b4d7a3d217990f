//! Runs one case of the review: `review-case CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod budget;
mod caller;
mod chains;
mod deployment;
mod http;
mod json;
mod memory;
mod record;
mod replica;
mod store;
mod vm;

use std::path::Path;
use std::process::ExitCode;

use record::CaseRecord;

/// Result of a case: whether the rule was broken.
type CaseResult = std::io::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match CaseRecord::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, disruption: {has_trouble}"));
    vm::watch();
    let result = match case.as_str() {
        "kill" => budget::kill(&record, has_trouble),
        "freeze" => budget::freeze(&record, has_trouble),
        "reset" => budget::reset(&record, has_trouble),
        "burst" => memory::burst(&record, has_trouble),
        "chains" => chains::continued_by_others(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
