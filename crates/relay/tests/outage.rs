//! Outages of the key-value service that concern one VM or all of them.

use std::time::{Duration, Instant};

use ibisdale_relay::decide::{AnswerRecord, ServiceOutage, may_be_cut_off};
use rstest::rstest;

/// Plays an outage of 7 s in which the service answers other VMs at the given times, in
/// milliseconds from its start, and this VM looks at the latest of them every 400 ms.
#[rstest]
#[case::peers_in_contact_all_along((-900..7_000).step_by(300).collect(), true)]
#[case::peers_in_contact_in_the_midst(vec![3_000], true)]
#[case::peers_lost_contact_a_little_later(vec![-500, 700], false)]
#[case::peers_regained_contact_a_little_earlier(vec![-100, 6_400, 6_900], false)]
#[case::no_contact(vec![], false)]
fn outage_is_local_if_peers_had_contact_in_its_midst(
    #[case] contacts_ms: Vec<i64>,
    #[case] expected: bool,
) {
    let before = Instant::now();
    let at = |ms: i64| before + Duration::from_millis(u64::try_from(ms + 1_000).unwrap());
    let mut outage = ServiceOutage::new(at(0));
    for now_ms in (0..7_000).step_by(400) {
        let contacts = contacts_ms.iter().filter(|contact| **contact <= now_ms);
        if let Some(latest) = contacts.max() {
            outage.record_peer_contact(at(*latest));
        }
    }
    assert_eq!(outage.is_local(at(7_000)), expected);
}

/// Guards against a VM that was cut off from the others too and kept replicas that had been
/// removed meanwhile.
#[rstest]
#[case::answered_all_along(-60_000, true)]
#[case::outage_of_all(6_900, false)]
#[case::noticed_later_by_others(900, false)]
fn outage_is_local_if_a_peer_says_that_it_was_answered_all_along(
    #[case] answers_since_ms: i64,
    #[case] expected: bool,
) {
    let before = Instant::now();
    let at = |ms: i64| before + Duration::from_millis(u64::try_from(ms + 100_000).unwrap());
    let mut outage = ServiceOutage::new(at(0));
    assert!(!outage.needs_peer_report(), "the other VMs are heard");
    outage.record_cut();
    outage.record_peer_answers(at(6_950));
    assert!(outage.needs_peer_report());
    outage.record_peer_answers(at(answers_since_ms));
    assert_eq!(outage.is_local(at(7_000)), expected);
    assert_eq!(outage.needs_peer_report(), !expected);
}

/// Plays answers at the given times, in milliseconds, and asks at 10 s for how long they came
/// without a gap.
#[rstest]
#[case::every_second((0..=9).map(|second| second * 1_000).collect(), Some(10_000))]
#[case::gap(vec![0, 1_000, 5_000, 6_000, 7_000, 8_000, 9_000], Some(5_000))]
#[case::late_news_of_an_earlier_answer(vec![0, 5_000, 1_000, 6_000, 7_100, 8_200, 9_300], Some(5_000))]
#[case::no_longer(vec![0, 1_000, 2_000], None)]
#[case::never(vec![], None)]
fn answers_are_unbroken_since_the_last_gap(
    #[case] answers_ms: Vec<u64>,
    #[case] expected_ms: Option<u64>,
) {
    let mut record = AnswerRecord::default();
    for at_ms in answers_ms {
        record.record(Duration::from_millis(at_ms));
    }
    let unbroken = record.unbroken_for(Duration::from_secs(10));
    assert_eq!(unbroken, expected_ms.map(Duration::from_millis));
}

/// Guards against VMs that are cut off together and take the outage of their group for one of
/// all, since they still hear each other.
#[rstest]
#[case::in_contact(53, 0, Some(100), false)]
#[case::other_group_is_cut_off(53, 9, Some(100), false)]
#[case::in_a_group_that_is_cut_off(53, 45, Some(100), true)]
#[case::heard_none_for_a_second(53, 0, Some(1_000), true)]
#[case::heard_none_yet(53, 0, None, true)]
#[case::only_vm(0, 0, None, false)]
fn vm_that_hears_less_than_half_may_be_cut_off(
    #[case] known: usize,
    #[case] silent: usize,
    #[case] since_heard_ms: Option<u64>,
    #[case] expected: bool,
) {
    let since_heard = since_heard_ms.map(Duration::from_millis);
    assert_eq!(may_be_cut_off(known, silent, since_heard), expected);
}
