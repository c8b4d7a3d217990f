//! Metrics of a run.

use hdrhistogram::Histogram;

use super::event::{MICROS_PER_MILLI, MICROS_PER_SECOND};
use super::fault::FaultKind;
use super::runs::{ProgramRun, ProgramState};
use super::scenario::{Scenario, WORKSPACE_LOAD_SHARES};
use super::workload::{ProgramPlan, Workload};

/// Latency recorded for a program that failed or did not finish.
const FAILED_LATENCY_MS: u64 = 300_000;
/// Stretch recorded for a program that failed or did not finish.
const FAILED_STRETCH: f64 = 50.0;
/// Histogram units for a stretch of 1.
const STRETCH_SCALE: f64 = 1_000.0;
/// Largest value that the histograms record; larger ones count as this.
const HISTOGRAM_MAX: u64 = 1_000_000_000;

/// Metrics of one scenario under one policy.
///
/// Latencies, stretches and failed programs leave out the workspaces that exceed
/// their rate.
#[derive(Clone, Debug)]
pub(crate) struct RunMetrics {
    /// Median latency of programs including tool pauses, in milliseconds.
    pub(crate) p50_ms: u64,
    pub(crate) p95_ms: u64,
    /// 95th percentile of the ideal latency: that of a program alone on idle engines
    /// with all prefixes cached.
    pub(crate) p95_ideal_ms: u64,
    /// 95th percentile of the latency in excess of the program's ideal latency, in
    /// milliseconds.
    pub(crate) p95_excess_ms: u64,
    /// Prompt tokens recomputed although some engine had already computed them.
    pub(crate) wasted_tokens: u64,
    pub(crate) computed_tokens: u64,
    /// Largest 95th percentile of stretch among the workspaces. Stretch is the
    /// latency of a program divided by its ideal latency.
    pub(crate) worst_stretch: f64,
    pub(crate) worst_workspace: usize,
    pub(crate) stretch_by_workspace: Vec<f64>,
    pub(crate) mean_ms_by_workspace: Vec<f64>,
    /// Refusals of calls from workspaces that never exceed their rate.
    pub(crate) refusals_within_rate: u64,
    /// Refusals of calls from workspaces that exceed their rate during the run.
    pub(crate) refusals_over_rate: u64,
    pub(crate) programs: usize,
    pub(crate) failed_programs: usize,
    pub(crate) attempts: u64,
    pub(crate) calls: u64,
    /// Attempts sent to a replica more than three seconds after it began to leave.
    pub(crate) attempts_to_leaving: u64,
    /// Programs finished in each second.
    pub(crate) finished_by_second: Vec<u32>,
    /// Calls answered completely in each second.
    pub(crate) answered_by_second: Vec<u32>,
}

/// Counters updated during a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunCounters {
    pub(crate) refusals_within_rate: u64,
    pub(crate) refusals_over_rate: u64,
    pub(crate) attempts: u64,
    pub(crate) calls: u64,
    pub(crate) attempts_to_leaving: u64,
    pub(crate) wasted_tokens: u64,
    pub(crate) computed_tokens: u64,
    pub(crate) answered_by_second: Vec<u32>,
}

/// Returns whether a workspace exceeds its rate at any time during the run.
pub(crate) fn is_over_rate(scenario: &Scenario, workspace: usize) -> bool {
    scenario.faults.iter().any(|fault| {
        matches!(fault.kind, FaultKind::BusyWorkspace { workspace: busy, .. } if busy == workspace)
    })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(HISTOGRAM_MAX, 3).expect("the histogram bounds are valid")
}

fn latency_us(plan: &ProgramPlan, run: &ProgramRun) -> Option<u64> {
    match run.state {
        ProgramState::Finished { at_us } => Some(at_us - plan.arrival_us),
        _ => None,
    }
}

/// Increments the count of the second in which an event occurs.
pub(crate) fn count_second(counts: &mut Vec<u32>, at_us: u64) {
    let second = (at_us / MICROS_PER_SECOND) as usize;
    if counts.len() <= second {
        counts.resize(second + 1, 0);
    }
    counts[second] += 1;
}

impl RunMetrics {
    pub(crate) fn collect(
        scenario: &Scenario,
        workload: &Workload,
        runs: &[ProgramRun],
        counters: &RunCounters,
    ) -> Self {
        let mut latencies = new_histogram();
        let mut excesses = new_histogram();
        let mut ideals = new_histogram();
        let mut stretches = vec![new_histogram(); WORKSPACE_LOAD_SHARES.len()];
        let mut latencies_by_workspace = vec![new_histogram(); WORKSPACE_LOAD_SHARES.len()];
        let mut finished_by_second = Vec::new();
        let mut failed_programs = 0;
        for (plan, run) in workload.programs.iter().zip(runs) {
            let latency = latency_us(plan, run);
            if let ProgramState::Finished { at_us } = run.state {
                count_second(&mut finished_by_second, at_us);
            }
            if is_over_rate(scenario, plan.workspace) {
                continue;
            }
            failed_programs += usize::from(latency.is_none());
            let latency_ms = latency.map_or(FAILED_LATENCY_MS, |us| us / MICROS_PER_MILLI);
            let ideal_ms = plan.ideal_us / MICROS_PER_MILLI;
            let stretch = latency.map_or(FAILED_STRETCH, |us| us as f64 / plan.ideal_us as f64);
            latencies.saturating_record(latency_ms);
            ideals.saturating_record(ideal_ms);
            excesses.saturating_record(latency_ms.saturating_sub(ideal_ms));
            latencies_by_workspace[plan.workspace].saturating_record(latency_ms);
            stretches[plan.workspace].saturating_record((stretch * STRETCH_SCALE) as u64);
        }
        let stretch_by_workspace: Vec<f64> = stretches
            .iter()
            .map(|histogram| histogram.value_at_quantile(0.95) as f64 / STRETCH_SCALE)
            .collect();
        let (worst_workspace, worst_stretch) = stretch_by_workspace
            .iter()
            .copied()
            .enumerate()
            .max_by(|left, right| left.1.total_cmp(&right.1))
            .unwrap_or_default();
        Self {
            p50_ms: latencies.value_at_quantile(0.5),
            p95_ms: latencies.value_at_quantile(0.95),
            p95_ideal_ms: ideals.value_at_quantile(0.95),
            p95_excess_ms: excesses.value_at_quantile(0.95),
            wasted_tokens: counters.wasted_tokens,
            computed_tokens: counters.computed_tokens,
            worst_stretch,
            worst_workspace,
            stretch_by_workspace,
            mean_ms_by_workspace: latencies_by_workspace.iter().map(Histogram::mean).collect(),
            refusals_within_rate: counters.refusals_within_rate,
            refusals_over_rate: counters.refusals_over_rate,
            programs: runs.len(),
            failed_programs,
            attempts: counters.attempts,
            calls: counters.calls,
            attempts_to_leaving: counters.attempts_to_leaving,
            finished_by_second,
            answered_by_second: counters.answered_by_second.clone(),
        }
    }
}
