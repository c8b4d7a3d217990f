//! Limits that replicas name in their responses.

use ibisdale_relay::decide::{LimitReport, LimitStatement, LimitTable};
use rstest::rstest;

const START: u64 = 7;

#[rstest]
#[case::not_named(&[], "Absent")]
#[case::decimal(&["4.6"], "PerSecond(4.6)")]
#[case::whole(&["12"], "PerSecond(12.0)")]
#[case::spaces(&[" 3 "], "PerSecond(3.0)")]
#[case::zero_is_raised(&["0"], "PerSecond(0.25)")]
#[case::tiny_is_raised(&["0.001"], "PerSecond(0.25)")]
#[case::huge_is_lowered(&["99999999999999999999999999999999999999999999"], "PerSecond(1000000.0)")]
#[case::negative(&["-1"], "Unreadable")]
#[case::sign(&["+1"], "Unreadable")]
#[case::no_number(&["many"], "Unreadable")]
#[case::empty(&[""], "Unreadable")]
#[case::not_a_number(&["NaN"], "Unreadable")]
#[case::infinite(&["inf"], "Unreadable")]
#[case::exponent(&["1e3"], "Unreadable")]
#[case::no_fraction(&["1."], "Unreadable")]
#[case::no_whole_part(&[".5"], "Unreadable")]
#[case::list(&["5, 5"], "Unreadable")]
#[case::twice(&["5", "5"], "Unreadable")]
fn limit_is_one_header_with_one_decimal_number(#[case] values: &[&str], #[case] expected: &str) {
    let statement = LimitStatement::read(values.iter().map(|value| value.as_bytes()));
    assert_eq!(format!("{statement:?}"), expected);
}

#[test]
fn huge_number_of_any_length_is_lowered() {
    let value = "9".repeat(500);
    let statement = LimitStatement::read([value.as_bytes()].into_iter());
    assert_eq!(statement, LimitStatement::PerSecond(1_000_000.0));
}

#[test]
fn limit_lasts_until_a_later_request_is_answered_without_it() {
    let mut table = LimitTable::default();
    let named = LimitStatement::PerSecond(2.0);
    let mut limits = vec![table.limit(START)];
    let observations = [
        (named, Some(10), 20),
        // Sent before the limit was named, so it may have been answered before, too.
        (LimitStatement::Absent, Some(15), 30),
        (LimitStatement::Absent, None, 40),
        (LimitStatement::Unreadable, Some(45), 50),
        (LimitStatement::PerSecond(3.0), Some(55), 60),
        (LimitStatement::Absent, Some(61), 70),
    ];
    for (statement, sent_ms, now_ms) in observations {
        table.observe(START, statement, sent_ms, now_ms);
        limits.push(table.limit(START));
    }
    let expected = [
        None,
        Some(2.0),
        Some(2.0),
        Some(2.0),
        Some(2.0),
        Some(3.0),
        None,
    ];
    assert_eq!(limits, expected);
}

#[test]
fn latest_response_to_any_vm_counts() {
    let mut table = LimitTable::default();
    table.observe(START, LimitStatement::PerSecond(2.0), Some(900), 1_000);
    let report = |per_s, age_ms| LimitReport {
        start: START,
        per_s,
        age_ms,
    };
    let limits = [
        report(None, 200),
        report(Some(5.0), 50),
        report(Some(4.0), 60),
        report(None, 0),
    ];
    let limits = limits.map(|report| {
        table.merge(&[report], 1_100);
        table.limit(START)
    });
    assert_eq!(limits, [Some(2.0), Some(5.0), Some(5.0), None]);
}

#[test]
fn only_own_changes_are_repeated_to_peers() {
    let mut table = LimitTable::default();
    table.observe(START, LimitStatement::PerSecond(2.0), Some(900), 1_000);
    table.observe(START, LimitStatement::PerSecond(2.0), Some(3_000), 4_000);
    let other = LimitReport {
        start: START + 1,
        per_s: Some(1.0),
        age_ms: 0,
    };
    table.merge(&[other], 1_000);
    assert_eq!(table.own_reports(500, 4_500).len(), 1);
    assert_eq!(table.own_reports(2_000, 4_500).len(), 0);
    assert_eq!(table.reports(4_500).len(), 2);
}
