//! Bounds on counted figures of runs in virtual time, with fixed seeds.
//!
//! The bounds are the aims, not what was measured.

use std::sync::LazyLock;

use crate::support::{Deployment, FaultKind, PolicyKind, RunMetrics, Scenario, ScheduledFault};

#[path = "../benches/support/mod.rs"]
mod support;

/// Part of the best baseline's figure that is allowed.
const BASELINE_PART: f64 = 0.7;
/// Part of the best baseline's worst stretch that is allowed.
const WORST_SERVED_PART: f64 = 0.5;
/// Latency allowed under another's overload, over that without.
const OVERLOAD_PART: f64 = 1.1;
/// Part of the goodput before an outage that must come back.
const GOODPUT_PART: f64 = 0.95;
/// Seconds after an outage in which it must come back.
const RECOVERY_SECONDS: usize = 15;
const BUSY_WORKSPACE: usize = 0;

/// A run of every policy.
struct Comparison {
    own: RunMetrics,
    baselines: Vec<RunMetrics>,
}

impl Comparison {
    fn new(scenario: &Scenario) -> Self {
        let [own, baselines @ ..] = PolicyKind::ALL.map(|kind| run(scenario, kind));
        Self {
            own,
            baselines: baselines.into(),
        }
    }

    fn best(&self, figure: impl Fn(&RunMetrics) -> f64) -> f64 {
        let figures = self.baselines.iter().map(figure);
        figures.fold(f64::INFINITY, f64::min)
    }

    #[track_caller]
    fn assert_part(&self, part: f64, figure: impl Fn(&RunMetrics) -> f64) {
        let own = figure(&self.own);
        let best = self.best(figure);
        assert!(
            own <= best * part,
            "{own} against {best} of the best baseline"
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
fn wasted(measure: &RunMetrics) -> f64 {
    measure.wasted_tokens as f64
}

#[expect(clippy::cast_precision_loss)]
fn p95(measure: &RunMetrics) -> f64 {
    measure.p95_ms as f64
}

#[test]
fn high_load_refuses_nothing_within_rate() {
    assert_eq!(HIGH_LOAD.own.wrongful_refusals, 0);
    assert_eq!(HIGH_LOAD.own.failed_programs, 0);
}

#[test]
fn high_load_wastes_little_cache() {
    HIGH_LOAD.assert_part(BASELINE_PART, wasted);
}

#[test]
fn high_load_p95_latency_is_below_baselines() {
    HIGH_LOAD.assert_part(BASELINE_PART, p95);
}

#[test]
fn high_load_serves_worst_workspace_twice_as_well() {
    HIGH_LOAD.assert_part(WORST_SERVED_PART, |measure| measure.worst_stretch);
}

#[test]
fn overload_of_one_workspace_leaves_the_others_alone() {
    let alone = run(&scenario(Deployment::Kermesse), PolicyKind::Ibisdale);
    let with_overload = with_busy_workspace(scenario(Deployment::Kermesse));
    let overload = run(&with_overload, PolicyKind::Ibisdale);
    let means = |measure: &RunMetrics| -> f64 {
        let others = measure.mean_ms_by_workspace.iter().skip(BUSY_WORKSPACE + 1);
        others.sum()
    };
    let (with, without) = (means(&overload), means(&alone));
    assert!(
        with <= without * OVERLOAD_PART,
        "{with} ms against {without} ms"
    );
    let (with, without) = (p95(&overload), p95(&alone));
    assert!(
        with <= without * OVERLOAD_PART,
        "{with} ms against {without} ms"
    );
    assert_eq!(overload.wrongful_refusals, 0);
}

#[test]
fn leaving_replica_gets_no_calls() {
    let leaving = FaultKind::LeavingReplica { replica: 1 };
    let scenario = scenario(Deployment::Norrfrost)
        .arrival_seconds(90)
        .fault(ScheduledFault::new(leaving, 30, 60));
    let measure = run(&scenario, PolicyKind::Ibisdale);
    assert_eq!(measure.calls_to_leaving, 0);
    assert_eq!(measure.failed_programs, 0);
}

#[test]
fn goodput_comes_back_after_an_outage() {
    const FROM: usize = 50;
    const UNTIL: usize = 60;
    let outage = ScheduledFault::new(FaultKind::Outage, FROM as u64, UNTIL as u64);
    let scenario = scenario(Deployment::Kermesse)
        .arrival_seconds(100)
        .fault(outage);
    let measure = run(&scenario, PolicyKind::Ibisdale);
    let goodput = |from: usize, until: usize| {
        let answered: u32 = measure.answered_by_second[from..until].iter().sum();
        f64::from(answered) / f64::from(u32::try_from(until - from).unwrap())
    };
    let before = goodput(FROM - 10, FROM);
    let back = UNTIL + RECOVERY_SECONDS;
    let after = goodput(back, back + 10);
    assert!(after >= before * GOODPUT_PART, "{after}/s after {before}/s");
    assert_eq!(measure.failed_programs, 0);
}

#[test]
fn runs_come_out_the_same() {
    let scenario = scenario(Deployment::Norrfrost).arrival_seconds(30);
    let first = run(&scenario, PolicyKind::Ibisdale);
    let second = run(&scenario, PolicyKind::Ibisdale);
    assert_eq!(first.wasted_tokens, second.wasted_tokens);
    assert_eq!(first.answered_by_second, second.answered_by_second);
}
