//! Times for which streams and programs are remembered across versions of the configuration.

use ibisdale_relay::decide::{SpanHistory, SpanReport};
use ibisdale_relay::plan::{DeploymentPlan, MemorySpans};

const LONG: MemorySpans = MemorySpans {
    resume_ms: 12_000,
    retention_ms: 60_000,
    request_ms: 6_000,
};
const SHORT: MemorySpans = MemorySpans {
    resume_ms: 2_000,
    retention_ms: 30_000,
    request_ms: 1_000,
};
/// Times at which a history is asked, in milliseconds.
const ASKED_MS: [u64; 6] = [9_999, 10_000, 32_999, 33_000, 80_999, 81_000];

/// Returns the effective resume and retention times of a history.
fn effective(history: &SpanHistory) -> Vec<(u64, u64, u64)> {
    let asked = ASKED_MS.map(|now_ms| {
        let spans = history.effective(now_ms);
        (now_ms, spans.resume_ms, spans.retention_ms)
    });
    asked.to_vec()
}

#[test]
fn times_of_a_replaced_version_count_until_all_that_began_under_it_has_ended() {
    let mut history = SpanHistory::default();
    history.replace(LONG, 0);
    history.replace(SHORT, 10_000);
    insta::assert_debug_snapshot!(effective(&history), @r"
    [
        (
            9999,
            12000,
            60000,
        ),
        (
            10000,
            12000,
            60000,
        ),
        (
            32999,
            12000,
            60000,
        ),
        (
            33000,
            2000,
            60000,
        ),
        (
            80999,
            2000,
            60000,
        ),
        (
            81000,
            2000,
            30000,
        ),
    ]
    ");
}

/// A version that lacks all routes has no times at all.
#[test]
fn times_that_are_away_for_a_version_count_as_before() {
    let mut history = SpanHistory::default();
    history.replace(LONG, 0);
    history.replace(MemorySpans::default(), 10_000);
    history.replace(LONG, 13_000);
    history.expire(70_000);
    assert_eq!(history.effective(70_000), LONG);
    assert_eq!(history.reports(70_000), []);
}

/// Guards against a VM that has missed a version, or starts, and forgets what others remember.
#[test]
fn vm_learns_from_another_one_what_still_counts() {
    let mut history = SpanHistory::default();
    history.replace(LONG, 0);
    history.replace(SHORT, 10_000);
    let reports = history.reports(20_000);
    let mut started = SpanHistory::default();
    started.merge(&reports, 500);
    started.replace(SHORT, 700);
    // 20,000 of the first is 500 of the other.
    let same = |now_ms: u64| history.effective(now_ms) == started.effective(now_ms - 19_500);
    assert!(
        [21_000, 32_999, 33_000, 80_999, 81_000]
            .into_iter()
            .all(same)
    );
}

/// Two VMs that report the same replacement to each other would else keep it for ever.
#[test]
fn report_that_is_passed_on_does_not_last_longer() {
    let mut histories = [SpanHistory::default(), SpanHistory::default()];
    for history in &mut histories {
        history.replace(LONG, 0);
        history.replace(SHORT, 10_000);
    }
    for round in 1..400 {
        let now_ms = 10_000 + round * 250;
        let [first, second] = &mut histories;
        // Each message takes 200 ms.
        second.merge(&first.reports(now_ms), now_ms + 200);
        first.merge(&second.reports(now_ms), now_ms + 200);
    }
    let left = histories.map(|history| history.effective(82_000));
    assert_eq!(left, [SHORT, SHORT]);
}

#[test]
fn many_replacements_are_joined_to_the_longest_times() {
    let mut history = SpanHistory::default();
    for number in 0..100 {
        let spans = MemorySpans {
            retention_ms: 200_000 - number,
            ..SHORT
        };
        history.replace(spans, number);
    }
    assert!(history.reports(100).len() <= 8);
    assert_eq!(history.effective(100).retention_ms, 200_000);
}

#[test]
fn restored_times_count_as_if_replaced_just_now() {
    let mut history = SpanHistory::default();
    history.restore(LONG, 10_000);
    history.replace(SHORT, 10_100);
    let expected = SpanReport {
        spans: LONG,
        age_ms: 100,
    };
    assert_eq!(history.reports(10_100), [expected]);
}

/// A VM that gets copies of accounts before it has a configuration must not forget them at once.
#[test]
fn programs_are_remembered_before_there_is_a_configuration() {
    let without_plan = DeploymentPlan::default().get_memory_spans();
    let mut history = SpanHistory::new(without_plan);
    assert_eq!(history.effective(1).retention_ms, 30_000);
    history.replace(LONG, 1_000);
    assert_eq!(history.effective(1_000), LONG);
}
