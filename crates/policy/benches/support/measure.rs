//! Figures of a run.

use hdrhistogram::Histogram;

use super::client::{ProgramRun, ProgramState};
use super::event::{MICROS_PER_MILLI, MICROS_PER_SECOND};
use super::fault::FaultKind;
use super::scenario::{Scenario, WORKSPACE_PARTS};
use super::workload::{ProgramPlan, Workload};

/// Latency that a program counts with when it failed or did not end.
const FAILED_LATENCY_MS: u64 = 300_000;
/// Stretch that a program counts with when it failed or did not end.
const FAILED_STRETCH: f64 = 50.0;
/// Units of the stretch histogram in one.
const STRETCH_SCALE: f64 = 1_000.0;
/// Largest value that the histograms hold.
const HISTOGRAM_MAX: u64 = 1_000_000_000;

/// Figures of one run of one policy.
#[derive(Clone, Debug)]
pub(crate) struct RunMeasure {
    /// Whole latency of programs, tool pauses included, in milliseconds.
    pub(crate) p50_ms: u64,
    pub(crate) p95_ms: u64,
    /// What `p95_ms` would be on idle engines with all prefixes cached.
    pub(crate) p95_alone_ms: u64,
    /// Latency beyond that of the program alone on idle engines, in milliseconds.
    pub(crate) p95_excess_ms: u64,
    /// Prompt tokens computed again that had been computed before.
    pub(crate) wasted_tokens: u64,
    pub(crate) computed_tokens: u64,
    /// The 95th percentile of stretch, latency over latency alone, of the
    /// workspace where it is largest.
    pub(crate) worst_stretch: f64,
    pub(crate) worst_workspace: usize,
    pub(crate) stretch_by_workspace: Vec<f64>,
    pub(crate) mean_ms_by_workspace: Vec<f64>,
    pub(crate) wrongful_refusals: u64,
    pub(crate) rightful_refusals: u64,
    pub(crate) programs: usize,
    pub(crate) failed_programs: usize,
    pub(crate) attempts: u64,
    pub(crate) calls: u64,
    /// Calls sent to a leaving replica more than three seconds after it began
    /// to leave.
    pub(crate) calls_to_leaving: u64,
    pub(crate) finished_by_second: Vec<u32>,
    /// Calls answered whole, by second.
    pub(crate) answered_by_second: Vec<u32>,
}

/// Counters kept during a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunCounters {
    pub(crate) wrongful_refusals: u64,
    pub(crate) rightful_refusals: u64,
    pub(crate) attempts: u64,
    pub(crate) calls: u64,
    pub(crate) calls_to_leaving: u64,
    pub(crate) wasted_tokens: u64,
    pub(crate) computed_tokens: u64,
    pub(crate) answered_by_second: Vec<u32>,
}

/// Returns whether a workspace sends more than its rate at some time.
pub(crate) fn is_over_rate(scenario: &Scenario, workspace: usize) -> bool {
    scenario.faults.iter().any(|fault| {
        matches!(fault.kind, FaultKind::BusyWorkspace { workspace: busy, .. } if busy == workspace)
    })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(HISTOGRAM_MAX, 3).expect("the bounds are supported")
}

fn latency_us(plan: &ProgramPlan, run: &ProgramRun) -> Option<u64> {
    match run.state {
        ProgramState::Finished { at_us } => Some(at_us - plan.arrival_us),
        _ => None,
    }
}

/// Counts an event in the second that it falls in.
pub(crate) fn count_second(counts: &mut Vec<u32>, at_us: u64) {
    let second = (at_us / MICROS_PER_SECOND) as usize;
    if counts.len() <= second {
        counts.resize(second + 1, 0);
    }
    counts[second] += 1;
}

impl RunMeasure {
    pub(crate) fn collect(
        scenario: &Scenario,
        workload: &Workload,
        runs: &[ProgramRun],
        counters: &RunCounters,
    ) -> Self {
        let mut latencies = histogram();
        let mut excesses = histogram();
        let mut alone = histogram();
        let mut stretches = vec![histogram(); WORKSPACE_PARTS.len()];
        let mut means = vec![histogram(); WORKSPACE_PARTS.len()];
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
            alone.saturating_record(ideal_ms);
            excesses.saturating_record(latency_ms.saturating_sub(ideal_ms));
            means[plan.workspace].saturating_record(latency_ms);
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
            p95_alone_ms: alone.value_at_quantile(0.95),
            p95_excess_ms: excesses.value_at_quantile(0.95),
            wasted_tokens: counters.wasted_tokens,
            computed_tokens: counters.computed_tokens,
            worst_stretch,
            worst_workspace,
            stretch_by_workspace,
            mean_ms_by_workspace: means.iter().map(Histogram::mean).collect(),
            wrongful_refusals: counters.wrongful_refusals,
            rightful_refusals: counters.rightful_refusals,
            programs: runs.len(),
            failed_programs,
            attempts: counters.attempts,
            calls: counters.calls,
            calls_to_leaving: counters.calls_to_leaving,
            finished_by_second,
            answered_by_second: counters.answered_by_second.clone(),
        }
    }
}
