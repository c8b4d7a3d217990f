//! Consistency of the event and metric catalogues with the operator
//! documentation.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use ibisdale_telemetry::{LogEvent, METRIC_CATALOGUE, format_event_table, format_metric_table};
use rstest::rstest;

fn read_page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate");
    fs::read_to_string(path.join(name)).unwrap()
}

fn table_lines(page: &str) -> String {
    let lines: Vec<&str> = page.lines().filter(|line| line.starts_with('|')).collect();
    lines.join("\n") + "\n"
}

#[rstest]
#[case::events("events.md", format_event_table())]
#[case::metrics("metrics.md", format_metric_table())]
fn documented_tables_match_the_code(#[case] page: &str, #[case] table: String) {
    assert_eq!(table_lines(&read_page(page)), table);
}

#[test]
fn events_are_unique_and_ordered_by_number() {
    let numbers: BTreeSet<u32> = LogEvent::ALL
        .iter()
        .map(|event| event.get_number())
        .collect();
    let names: BTreeSet<&str> = LogEvent::ALL.iter().map(|event| event.get_name()).collect();
    assert_eq!(numbers.len(), LogEvent::ALL.len());
    assert_eq!(names.len(), LogEvent::ALL.len());
    assert!(LogEvent::ALL.is_sorted_by_key(|event| event.get_number()));
}

#[test]
fn metric_names_are_unique() {
    let names: BTreeSet<&str> = METRIC_CATALOGUE
        .iter()
        .map(|definition| definition.name)
        .collect();
    assert_eq!(names.len(), METRIC_CATALOGUE.len());
}
