//! Evacuated failure domains in the tables of one VM and of whole fleets.

use std::collections::BTreeSet;

use bytes::Bytes;
use ibisdale_relay::decide::{
    DomainSelection, EvacuationReport, EvacuationTable, LimitTable, PlacementInput, ReplicaInfo,
    ReplicaTable, choose_replicas,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Rounds in which an operator changes the evacuated domains.
const CHANGE_ROUNDS: usize = 12;
/// Rounds without a change after which all tables know the last view.
const SETTLE_ROUNDS: usize = 80;
/// Maximum age of a report when it arrives, in rounds.
const REPORT_AGE_MAX_ROUNDS: usize = 12;
/// Maximum number of reports that a table sends in a round; some arrive twice and some nowhere.
const REPORTS_MAX: usize = 3;

fn names(domains: &[&str]) -> BTreeSet<Bytes> {
    let domains = domains.iter();
    domains
        .map(|domain| Bytes::copy_from_slice(domain.as_bytes()))
        .collect()
}

fn replicas(domains: &[&'static str]) -> Vec<ReplicaInfo> {
    let numbered = (1..).zip(domains);
    let infos = numbered.map(|(number, domain)| ReplicaInfo {
        id: Bytes::from(format!("replica-{number}")),
        started_ms: 1,
        service: Bytes::from_static(b"model"),
        address: ([127, 0, 0, 1], number).into(),
        domain: Bytes::from_static(domain.as_bytes()),
        software_version: Bytes::from_static(b"v1"),
        slots: 4,
        is_draining: false,
        cold_left_ms: 0,
    });
    infos.collect()
}

/// Returns the domains of the replicas that get any of many requests.
fn chosen_domains(table: &ReplicaTable) -> BTreeSet<Bytes> {
    let choices = (0..200_u64).filter_map(|random| {
        let input = PlacementInput {
            service: b"model",
            affinity: (random % 2 == 0).then_some(random),
            random: random << 32 | random.reverse_bits() >> 32,
            ..PlacementInput::default()
        };
        let choice = choose_replicas(table, &LimitTable::default(), &input, 1);
        Some(table.get_info(choice.open?)?.domain.clone())
    });
    choices.collect()
}

/// Guards against replicas of an evacuated domain that are chosen, also those that are listed
/// after the domain was evacuated.
#[test]
fn replicas_of_evacuated_domains_are_not_chosen() {
    let mut table = ReplicaTable::default();
    table.replace(replicas(&["a", "b"]));
    table.apply_evacuations(names(&["a", "b"]), 5);
    assert_eq!(chosen_domains(&table), names(&[]));
    table.replace(replicas(&["a", "b", "c", "a", "b", "c"]));
    assert_eq!(chosen_domains(&table), names(&["c"]));
    table.apply_evacuations(names(&["b"]), 6);
    assert_eq!(chosen_domains(&table), names(&["a", "c"]));
    table.apply_evacuations(names(&[]), 7);
    assert_eq!(chosen_domains(&table), names(&["a", "b", "c"]));
}

/// Guards against changes that are reported twice, and against older views that undo newer ones.
#[test]
fn repeated_and_older_reports_change_nothing() {
    let mut table = EvacuationTable::default();
    let applied = [
        (vec!["a"], 5),
        (vec!["a"], 5),
        (vec!["a", "b"], 7),
        (vec![], 6),
        (vec!["b"], 8),
        (vec!["b"], 9),
        (vec!["a", "b"], 7),
        (vec![], 10),
    ];
    let changes = applied.map(|(domains, revision)| {
        let change = table.apply(names(&domains), revision);
        format!(
            "{revision}: began {:?}, ended {:?}",
            change.began, change.ended
        )
    });
    insta::assert_debug_snapshot!(changes, @r#"
    [
        "5: began [b\"a\"], ended []",
        "5: began [], ended []",
        "7: began [b\"b\"], ended []",
        "6: began [], ended []",
        "8: began [], ended [b\"a\"]",
        "9: began [], ended []",
        "7: began [], ended []",
        "10: began [], ended [b\"b\"]",
    ]
    "#);
}

/// Guards against state messages that no datagram can hold.
#[test]
fn excess_names_are_ignored() {
    let selection = |count: usize, length: usize| {
        let domains = (0..count).map(|number| Bytes::from(format!("{number:0length$}")));
        let selection = DomainSelection::new(domains.collect());
        (selection.accepted.len(), selection.ignored.len())
    };
    assert_eq!(selection(256, 32), (256, 0));
    assert_eq!(selection(300, 10), (256, 44));
    assert_eq!(selection(40, 200), (40, 0));
    assert_eq!(selection(50, 200), (40, 10));
    assert_eq!(selection(2, 201), (0, 2));
    let empty = DomainSelection::new(names(&["", "a"]));
    assert_eq!(empty.ignored, names(&[""]));
}

/// Guards against tables that return to an older view, or never learn the last one, when reports
/// arrive late, twice, out of order or not at all.
#[rstest]
#[case::small(7)]
#[case::medium(75)]
#[case::large(300)]
fn tables_that_exchange_old_reports_agree_on_the_last_view(#[case] count: usize) {
    for seed in 0..5 {
        check_agreement(count, &mut Pcg64Mcg::seed_from_u64(seed));
    }
}

fn check_agreement(count: usize, random: &mut Pcg64Mcg) {
    let mut tables = vec![EvacuationTable::default(); count];
    let mut views = vec![names(&[])];
    let mut deliveries: Vec<(usize, usize, EvacuationReport)> = Vec::new();
    for round in 0..CHANGE_ROUNDS + SETTLE_ROUNDS {
        if round < CHANGE_ROUNDS {
            let domains = ["a", "b", "c"].into_iter();
            let domains: Vec<_> = domains.filter(|_| random.random_bool(0.5)).collect();
            views.push(names(&domains));
            let reader = random.random_range(0..count);
            tables[reader].apply(names(&domains), views.len() as u64 - 1);
        }
        for table in &tables {
            for _ in 0..random.random_range(0..=REPORTS_MAX) {
                let due_round = round + random.random_range(0..REPORT_AGE_MAX_ROUNDS);
                let receiver = random.random_range(0..count);
                deliveries.push((due_round, receiver, table.report().clone()));
            }
        }
        let (due, later) = deliveries.into_iter().partition(|(due, ..)| *due <= round);
        deliveries = later;
        let due: Vec<_> = due;
        for (_, receiver, report) in due {
            let table = &mut tables[receiver];
            let before = table.report().revision;
            table.apply(report.domains, report.revision);
            assert_eq!(table.report().revision, before.max(report.revision));
            let view = &views[usize::try_from(table.report().revision).unwrap()];
            assert_eq!(&table.report().domains, view);
        }
    }
    let last = views.len() as u64 - 1;
    let latest = tables
        .iter()
        .filter(|table| table.report().revision == last);
    assert_eq!(latest.count(), count);
}
