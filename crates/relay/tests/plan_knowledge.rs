//! What a VM knows of the configuration in force.

use std::time::Duration;

use ibisdale_relay::decide::PlanKnowledge;

const MAX: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn in_force(version: u64) -> PlanKnowledge {
    let mut knowledge = PlanKnowledge::default();
    knowledge.record_in_force(version);
    knowledge.record_confirmed(at(1_000));
    knowledge
}

#[test]
fn contact_of_a_vm_with_a_newer_version_does_not_confirm_the_one_before() {
    let mut knowledge = in_force(4);
    knowledge.record_report(5, Some(at(2_500)), at(2_500));
    let newer = (
        knowledge.confirmed_at(),
        knowledge.is_current(MAX, at(2_500)),
    );
    knowledge.record_report(4, Some(at(2_400)), at(2_600));
    let same = (
        knowledge.confirmed_at(),
        knowledge.is_current(MAX, at(2_600)),
    );
    insta::assert_debug_snapshot!((newer, same), @"
    (
        (
            Some(
                1s,
            ),
            false,
        ),
        (
            Some(
                2.4s,
            ),
            false,
        ),
    )
    ");
}

#[test]
fn version_that_was_not_confirmed_for_the_maximum_time_proves_nothing() {
    let knowledge = in_force(4);
    let ages = [at(2_999), at(3_000), at(3_001)];
    let proofs = ages.map(|now| knowledge.is_current(MAX, now));
    insta::assert_debug_snapshot!(proofs, @"
    [
        true,
        true,
        false,
    ]
    ");
}

#[test]
fn version_is_outdated_for_as_long_as_the_oldest_of_those_that_are_missing() {
    let mut knowledge = in_force(4);
    knowledge.record_report(5, None, at(2_000));
    knowledge.record_report(6, None, at(3_000));
    let before = knowledge.outdated_at();
    let outdated = [at(4_000), at(4_001)].map(|now| knowledge.is_outdated(MAX, now));
    let replaced = knowledge.record_in_force(5);
    insta::assert_debug_snapshot!((before, outdated, replaced, knowledge.outdated_at()), @"
    (
        Some(
            2s,
        ),
        [
            false,
            true,
        ],
        Some(
            2s,
        ),
        Some(
            3s,
        ),
    )
    ");
}

#[test]
fn version_that_nobody_names_any_more_does_not_keep_the_one_before_from_serving() {
    let mut knowledge = in_force(4);
    knowledge.record_report(5, None, at(2_000));
    knowledge.record_report(5, None, at(3_000));
    let times = [at(8_000), at(8_001)];
    let outdated = times.map(|now| knowledge.is_outdated(MAX, now));
    insta::assert_debug_snapshot!(outdated, @"
    [
        true,
        false,
    ]
    ");
}
