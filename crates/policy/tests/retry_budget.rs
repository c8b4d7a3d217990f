//! Retry decisions and retry budgets.

use std::time::Duration;

use ibisdale_core::{RunState, TimeStamp};
use ibisdale_policy::{
    AttemptReport, FailureKind, RetryBudget, RetryBudgetSettings, RetryDecision, RetryPolicy,
    StopReason,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SEED: u64 = 11;

fn report(attempts: u32) -> AttemptReport {
    AttemptReport {
        failure: FailureKind::Upstream,
        run_state: RunState::Unknown,
        is_idempotent: true,
        has_response_started: false,
        attempts,
        retry_after: None,
        deadline: None,
    }
}

fn decide(report: &AttemptReport, now: TimeStamp) -> RetryDecision {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut workspace = RetryBudget::new(RetryBudgetSettings::default(), now);
    let mut upstream = workspace.clone();
    let policy = RetryPolicy::default();
    policy.decide(report, &mut workspace, &mut upstream, now, &mut rng)
}

#[rstest]
#[case::may_have_run(
    AttemptReport { is_idempotent: false, ..report(1) },
    StopReason::MayHaveRun
)]
#[case::ran(
    AttemptReport { is_idempotent: false, run_state: RunState::Ran, ..report(1) },
    StopReason::MayHaveRun
)]
#[case::response_started(
    AttemptReport { has_response_started: true, ..report(1) },
    StopReason::AnswerBegun
)]
#[case::rejected(
    AttemptReport { failure: FailureKind::Rejected, ..report(1) },
    StopReason::Rejected
)]
#[case::attempt_limit(report(4), StopReason::AttemptLimit)]
#[case::deadline(
    AttemptReport {
        deadline: Some(TimeStamp::from_millis(1_500)),
        retry_after: Some(Duration::from_secs(1)),
        ..report(1)
    },
    StopReason::Deadline
)]
fn attempt_is_not_retried(#[case] report: AttemptReport, #[case] reason: StopReason) {
    let now = TimeStamp::from_millis(1_000);
    assert_eq!(decide(&report, now), RetryDecision::Stop(reason));
}

#[test]
fn request_known_not_to_have_run_is_retried() {
    let report = AttemptReport {
        is_idempotent: false,
        run_state: RunState::NotRun,
        ..report(1)
    };
    let decision = decide(&report, TimeStamp::default());
    assert!(matches!(decision, RetryDecision::Retry(_)), "{decision:?}");
}

#[test]
fn budget_prevents_amplification_in_an_outage() {
    const REQUESTS: u32 = 1_000;
    let policy = RetryPolicy::default();
    let settings = RetryBudgetSettings::default();
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut workspace = RetryBudget::new(settings.clone(), TimeStamp::default());
    let mut upstream = workspace.clone();
    let mut attempts = 0;
    for request in 0..REQUESTS {
        let now = TimeStamp::from_millis(u64::from(request) * 10);
        workspace.deposit(now);
        upstream.deposit(now);
        for attempt in 1.. {
            attempts += 1;
            let report = report(attempt);
            let decision = policy.decide(&report, &mut workspace, &mut upstream, now, &mut rng);
            if matches!(decision, RetryDecision::Stop(_)) {
                break;
            }
        }
    }
    // One first attempt per request, a tenth of a retry per request, the full budget
    // at the start and the retries added in ten seconds.
    let allowed =
        f64::from(REQUESTS) * 1.1 + settings.retry_limit + 10.0 * settings.retries_per_second;
    assert!(f64::from(attempts) <= allowed, "{attempts} attempts");
}
