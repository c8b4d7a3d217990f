//! Prints the results as a table and stores them as JSON.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::support::{PolicyKind, RunMetrics, Scenario};
use crate::timing::TimingResult;

/// Results of one policy in one scenario.
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

/// Time of a routing decision.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
struct TimingRow {
    replicas: u32,
    mean_ns: f64,
    p99_ns: u64,
}

/// Results of a run of the bench, by scenario and policy.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ResultTable {
    rows: BTreeMap<String, BTreeMap<String, ResultRow>>,
    timings: Vec<TimingRow>,
}

impl ResultTable {
    pub(crate) fn add(&mut self, scenario: &Scenario, kind: PolicyKind, metrics: &RunMetrics) {
        let row = ResultRow {
            p50_ms: metrics.p50_ms,
            p95_ms: metrics.p95_ms,
            p95_alone_ms: metrics.p95_ideal_ms,
            p95_excess_ms: metrics.p95_excess_ms,
            wasted_tokens: metrics.wasted_tokens,
            computed_tokens: metrics.computed_tokens,
            worst_stretch: metrics.worst_stretch,
            worst_workspace: metrics.worst_workspace,
            stretch_by_workspace: metrics.stretch_by_workspace.clone(),
            mean_ms_by_workspace: metrics.mean_ms_by_workspace.clone(),
            wrongful_refusals: metrics.refusals_within_rate,
            rightful_refusals: metrics.refusals_over_rate,
            programs: metrics.programs,
            failed_programs: metrics.failed_programs,
            calls: metrics.calls,
            attempts: metrics.attempts,
            calls_to_leaving: metrics.attempts_to_leaving,
            finished_by_second: metrics.finished_by_second.clone(),
            answered_by_second: metrics.answered_by_second.clone(),
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

    /// Prints the differences from the results in a file.
    pub(crate) fn print_changes(&self, path: &Path) {
        let earlier: Self = match fs::read(path).map(|text| serde_json::from_slice(&text)) {
            Ok(Ok(earlier)) => earlier,
            Ok(Err(error)) => return eprintln!("can't parse {}: {error}", path.display()),
            Err(error) => return eprintln!("can't read {}: {error}", path.display()),
        };
        println!("changes from {}:", path.display());
        for (scenario, rows) in &self.rows {
            for (policy, row) in rows {
                let earlier_row = earlier.rows.get(scenario).and_then(|rows| rows.get(policy));
                if let Some(earlier_row) = earlier_row {
                    print_change(scenario, policy, earlier_row, row);
                }
            }
        }
    }

    /// Writes the results to a file as JSON.
    pub(crate) fn write(&self, path: &Path) {
        let text = serde_json::to_vec_pretty(self).unwrap_or_default();
        if let Err(error) = fs::write(path, text) {
            eprintln!("can't write {}: {error}", path.display());
        }
    }
}

fn print_change(scenario: &str, policy: &str, earlier_row: &ResultRow, row: &ResultRow) {
    println!(
        "{scenario:<17} {policy:<15} p95 {} -> {} ms, wasted {} -> {}, stretch {:.2} -> {:.2}, wrong {} -> {}, failed {} -> {}",
        earlier_row.p95_ms,
        row.p95_ms,
        earlier_row.wasted_tokens,
        row.wasted_tokens,
        earlier_row.worst_stretch,
        row.worst_stretch,
        earlier_row.wrongful_refusals,
        row.wrongful_refusals,
        earlier_row.failed_programs,
        row.failed_programs,
    );
}
