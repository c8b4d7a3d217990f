//! The table and the file of figures.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::support::{PolicyKind, RunMeasure, Scenario};
use crate::timing::TimingResult;

/// Figures of one policy in one scenario.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
struct ResultRow {
    p50_ms: u64,
    p95_ms: u64,
    p95_alone_ms: u64,
    p95_excess_ms: u64,
    wasted_tokens: u64,
    computed_tokens: u64,
    worst_stretch: f64,
    worst_workspace: usize,
    stretch_by_workspace: Vec<f64>,
    mean_ms_by_workspace: Vec<f64>,
    wrongful_refusals: u64,
    rightful_refusals: u64,
    programs: usize,
    failed_programs: usize,
    calls: u64,
    attempts: u64,
    calls_to_leaving: u64,
    finished_by_second: Vec<u32>,
    answered_by_second: Vec<u32>,
}

/// Time of a decision.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
struct TimingRow {
    replicas: u32,
    mean_ns: f64,
    p99_ns: u64,
}

/// All figures of a run of the bench, by scenario and policy.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ResultTable {
    rows: BTreeMap<String, BTreeMap<String, ResultRow>>,
    timings: Vec<TimingRow>,
}

impl ResultTable {
    pub(crate) fn add(&mut self, scenario: &Scenario, kind: PolicyKind, measure: &RunMeasure) {
        let row = ResultRow {
            p50_ms: measure.p50_ms,
            p95_ms: measure.p95_ms,
            p95_alone_ms: measure.p95_alone_ms,
            p95_excess_ms: measure.p95_excess_ms,
            wasted_tokens: measure.wasted_tokens,
            computed_tokens: measure.computed_tokens,
            worst_stretch: measure.worst_stretch,
            worst_workspace: measure.worst_workspace,
            stretch_by_workspace: measure.stretch_by_workspace.clone(),
            mean_ms_by_workspace: measure.mean_ms_by_workspace.clone(),
            wrongful_refusals: measure.wrongful_refusals,
            rightful_refusals: measure.rightful_refusals,
            programs: measure.programs,
            failed_programs: measure.failed_programs,
            calls: measure.calls,
            attempts: measure.attempts,
            calls_to_leaving: measure.calls_to_leaving,
            finished_by_second: measure.finished_by_second.clone(),
            answered_by_second: measure.answered_by_second.clone(),
        };
        let rows = self.rows.entry(scenario.name.to_owned()).or_default();
        rows.insert(kind.name().to_owned(), row);
    }

    pub(crate) fn add_timings(&mut self, timings: Vec<TimingResult>) {
        self.timings = timings
            .into_iter()
            .map(|timing| TimingRow {
                replicas: timing.replicas,
                mean_ns: timing.mean_ns,
                p99_ns: timing.p99_ns,
            })
            .collect();
    }

    pub(crate) fn print(&self) {
        println!(
            "{:<17} {:<15} {:>7} {:>7} {:>7} {:>8} {:>9} {:>8} {:>3} {:>6} {:>6} {:>6} {:>7} {:>5}",
            "scenario",
            "policy",
            "p50 ms",
            "p95 ms",
            "alone",
            "excess",
            "wasted",
            "stretch",
            "ws",
            "wrong",
            "right",
            "failed",
            "retried",
            "leav"
        );
        for (scenario, rows) in &self.rows {
            for (policy, row) in rows {
                println!(
                    "{scenario:<17} {policy:<15} {:>7} {:>7} {:>7} {:>8} {:>9} {:>8.2} {:>3} {:>6} {:>6} {:>6} {:>7} {:>5}",
                    row.p50_ms,
                    row.p95_ms,
                    row.p95_alone_ms,
                    row.p95_excess_ms,
                    row.wasted_tokens,
                    row.worst_stretch,
                    row.worst_workspace,
                    row.wrongful_refusals,
                    row.rightful_refusals,
                    row.failed_programs,
                    row.attempts.saturating_sub(row.calls),
                    row.calls_to_leaving,
                );
            }
        }
        for timing in &self.timings {
            println!(
                "decision among {:>5} replicas: mean {:.0} ns, p99 {} ns",
                timing.replicas, timing.mean_ns, timing.p99_ns
            );
        }
    }

    /// Prints how the figures differ from those in a file.
    pub(crate) fn print_changes(&self, path: &Path) {
        let earlier: Self = match fs::read(path).map(|text| serde_json::from_slice(&text)) {
            Ok(Ok(earlier)) => earlier,
            Ok(Err(error)) => return eprintln!("{}: {error}", path.display()),
            Err(error) => return eprintln!("{}: {error}", path.display()),
        };
        println!("changes from {}:", path.display());
        for (scenario, rows) in &self.rows {
            for (policy, row) in rows {
                let known = earlier.rows.get(scenario).and_then(|rows| rows.get(policy));
                if let Some(known) = known {
                    print_change(scenario, policy, known, row);
                }
            }
        }
    }

    /// Writes the figures to a file.
    pub(crate) fn write(&self, path: &Path) {
        let text = serde_json::to_vec_pretty(self).unwrap_or_default();
        if let Err(error) = fs::write(path, text) {
            eprintln!("{}: {error}", path.display());
        }
    }
}

fn print_change(scenario: &str, policy: &str, known: &ResultRow, row: &ResultRow) {
    println!(
        "{scenario:<17} {policy:<15} p95 {} -> {} ms, wasted {} -> {}, stretch {:.2} -> {:.2}, wrong {} -> {}, failed {} -> {}",
        known.p95_ms,
        row.p95_ms,
        known.wasted_tokens,
        row.wasted_tokens,
        known.worst_stretch,
        row.worst_stretch,
        known.wrongful_refusals,
        row.wrongful_refusals,
        known.failed_programs,
        row.failed_programs,
    );
}
