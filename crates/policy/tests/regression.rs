//! Bounds on the metrics of simulated runs with fixed seeds.
//!
//! The bounds are the design goals, not measured results.

use std::sync::LazyLock;

use crate::support::{Deployment, FaultKind, PolicyKind, RunMetrics, Scenario, ScheduledFault};

#[path = "../benches/support/mod.rs"]
mod support;

/// Largest allowed ratio to the best baseline, for latency and wasted tokens.
const MAX_BASELINE_RATIO: f64 = 0.7;
/// Largest allowed ratio of the worst stretch to that of the best baseline.
const MAX_STRETCH_RATIO: f64 = 0.5;
/// Largest allowed ratio of the latency while another workspace is busy to the latency
/// otherwise.
const MAX_BUSY_RATIO: f64 = 1.1;
/// Smallest allowed ratio of the goodput after recovery to that before the outage.
const MIN_GOODPUT_RATIO: f64 = 0.95;
/// Time after an outage in which the goodput must recover.
const RECOVERY_SECONDS: usize = 15;
const BUSY_WORKSPACE: usize = 0;

/// Metrics of one scenario under every policy.
struct Comparison {
    ibisdale: RunMetrics,
    baselines: Vec<RunMetrics>,
}

impl Comparison {
    fn new(scenario: &Scenario) -> Self {
        let [ibisdale, baselines @ ..] = PolicyKind::ALL.map(|kind| run(scenario, kind));
        Self {
            ibisdale,
            baselines: baselines.into(),
        }
    }

    fn best_baseline(&self, metric: impl Fn(&RunMetrics) -> f64) -> f64 {
        let values = self.baselines.iter().map(metric);
        values.fold(f64::INFINITY, f64::min)
    }

    #[track_caller]
    fn assert_ratio(&self, ratio: f64, metric: impl Fn(&RunMetrics) -> f64) {
        let ibisdale = metric(&self.ibisdale);
        let best = self.best_baseline(metric);
        assert!(
            ibisdale <= best * ratio,
            "{ibisdale} is more than {ratio} times the best baseline's {best}"
        );
    }
}

fn run(scenario: &Scenario, kind: PolicyKind) -> RunMetrics {
    support::run_scenario(scenario, kind, &scenario.deployment.profile())
}

fn scenario(deployment: Deployment) -> Scenario {
    Scenario::new("regression", deployment)
}

fn with_busy_workspace(scenario: Scenario) -> Scenario {
    let busy = FaultKind::BusyWorkspace {
        workspace: BUSY_WORKSPACE,
        factor: 4.0,
    };
    scenario.fault(ScheduledFault::new(busy, 60, 120))
}

static HIGH_LOAD: LazyLock<Comparison> =
    LazyLock::new(|| Comparison::new(&scenario(Deployment::Kermesse).load(0.9)));

#[expect(clippy::cast_precision_loss)]
fn wasted_tokens(metrics: &RunMetrics) -> f64 {
    metrics.wasted_tokens as f64
}

#[expect(clippy::cast_precision_loss)]
fn p95_ms(metrics: &RunMetrics) -> f64 {
    metrics.p95_ms as f64
}

#[test]
fn no_call_within_rate_is_refused_at_high_load() {
    assert_eq!(HIGH_LOAD.ibisdale.refusals_within_rate, 0);
    assert_eq!(HIGH_LOAD.ibisdale.failed_programs, 0);
}

#[test]
fn high_load_recomputes_fewer_tokens_than_baselines() {
    HIGH_LOAD.assert_ratio(MAX_BASELINE_RATIO, wasted_tokens);
}

#[test]
fn high_load_p95_latency_is_below_baselines() {
    HIGH_LOAD.assert_ratio(MAX_BASELINE_RATIO, p95_ms);
}

#[test]
fn high_load_serves_worst_workspace_twice_as_well() {
    HIGH_LOAD.assert_ratio(MAX_STRETCH_RATIO, |metrics| metrics.worst_stretch);
}

#[test]
fn busy_workspace_does_not_slow_the_others() {
    let without_busy = run(&scenario(Deployment::Kermesse), PolicyKind::Ibisdale);
    let with_busy = with_busy_workspace(scenario(Deployment::Kermesse));
    let busy = run(&with_busy, PolicyKind::Ibisdale);
    let sum_of_means_ms = |metrics: &RunMetrics| -> f64 {
        let others = metrics.mean_ms_by_workspace.iter().skip(BUSY_WORKSPACE + 1);
        others.sum()
    };
    let (with, without) = (sum_of_means_ms(&busy), sum_of_means_ms(&without_busy));
    assert!(
        with <= without * MAX_BUSY_RATIO,
        "sum of the mean latencies is {with} ms with the busy workspace, {without} ms without"
    );
    let (with, without) = (p95_ms(&busy), p95_ms(&without_busy));
    assert!(
        with <= without * MAX_BUSY_RATIO,
        "p95 is {with} ms with the busy workspace, {without} ms without"
    );
    assert_eq!(busy.refusals_within_rate, 0);
}

#[test]
fn leaving_replica_gets_no_calls() {
    let leaving = FaultKind::LeavingReplica { replica: 1 };
    let scenario = scenario(Deployment::Norrfrost)
        .arrival_seconds(90)
        .fault(ScheduledFault::new(leaving, 30, 60));
    let metrics = run(&scenario, PolicyKind::Ibisdale);
    assert_eq!(metrics.attempts_to_leaving, 0);
    assert_eq!(metrics.failed_programs, 0);
}

#[test]
fn goodput_recovers_after_an_outage() {
    const OUTAGE_START: usize = 50;
    const OUTAGE_END: usize = 60;
    let outage = ScheduledFault::new(FaultKind::Outage, OUTAGE_START as u64, OUTAGE_END as u64);
    let scenario = scenario(Deployment::Kermesse)
        .arrival_seconds(100)
        .fault(outage);
    let metrics = run(&scenario, PolicyKind::Ibisdale);
    let goodput = |from: usize, until: usize| {
        let answered: u32 = metrics.answered_by_second[from..until].iter().sum();
        f64::from(answered) / f64::from(u32::try_from(until - from).unwrap())
    };
    let before = goodput(OUTAGE_START - 10, OUTAGE_START);
    let recovered_at = OUTAGE_END + RECOVERY_SECONDS;
    let after = goodput(recovered_at, recovered_at + 10);
    assert!(
        after >= before * MIN_GOODPUT_RATIO,
        "goodput is {after}/s after the outage, {before}/s before it"
    );
    assert_eq!(metrics.failed_programs, 0);
}

#[test]
fn runs_are_deterministic() {
    let scenario = scenario(Deployment::Norrfrost).arrival_seconds(30);
    let first = run(&scenario, PolicyKind::Ibisdale);
    let second = run(&scenario, PolicyKind::Ibisdale);
    assert_eq!(first.wasted_tokens, second.wasted_tokens);
    assert_eq!(first.answered_by_second, second.answered_by_second);
}
