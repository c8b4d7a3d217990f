//! A value holds beneath the section it is set on, and text survives a round
//! trip.

use std::fmt::Write;

use ibisdale_core::{ProgramName, WorkspaceName};
use ibisdale_settings::{CheckedSettings, SettingsSnapshot, SettingsSource};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 11;
const CASES: u32 = 300;
const DEFAULT_STEPS: u64 = 20;
const DEFAULT_RATE: &str = "10";

/// Sections above two programs, each list from the top down.
const LINEAGES: [[&str; 5]; 2] = [
    [
        "/",
        "/workspaces",
        "/workspaces/a",
        "/workspaces/a/programs",
        "/workspaces/a/programs/p",
    ],
    [
        "/",
        "/workspaces",
        "/workspaces/b",
        "/workspaces/b/programs",
        "/workspaces/b/programs/p",
    ],
];
/// Sections that must exist in each generated file.
const REQUIRED: [&str; 4] = [
    "/workspaces/a",
    "/workspaces/a/programs/p",
    "/workspaces/b",
    "/workspaces/b/programs/p",
];
const WORKSPACE_DEPTH: usize = 3;

#[derive(Clone, Debug)]
struct WrittenSection {
    path: &'static str,
    steps: Option<u64>,
    rate: Option<u64>,
}

fn any_section(path: &'static str) -> impl Strategy<Value = WrittenSection> {
    let steps = prop::option::of(1..=100_u64);
    let rate = prop::option::of(1..5_000_u64);
    (steps, rate).prop_map(move |(steps, rate)| WrittenSection { path, steps, rate })
}

fn any_sections() -> impl Strategy<Value = Vec<WrittenSection>> {
    let mut paths: Vec<&'static str> = LINEAGES.concat();
    paths.sort_unstable();
    paths.dedup();
    let sections: Vec<_> = paths.into_iter().map(any_section).collect();
    sections.prop_shuffle()
}

fn render(sections: &[WrittenSection]) -> String {
    let mut text = String::from("; a comment\n");
    for section in sections {
        let is_empty = section.steps.is_none() && section.rate.is_none();
        if is_empty && !REQUIRED.contains(&section.path) {
            continue;
        }
        writeln!(text, "[{}]", section.path).unwrap();
        if let Some(steps) = section.steps {
            writeln!(text, "  steps={steps}  ").unwrap();
        }
        if let Some(rate) = section.rate {
            writeln!(text, "rate = {}.{:03}\n", rate / 1_000, rate % 1_000).unwrap();
        }
    }
    text
}

/// Walks from the top down and keeps the last value that is set.
fn oracle<T: Copy>(
    sections: &[WrittenSection],
    lineage: &[&str],
    value: impl Fn(&WrittenSection) -> Option<T>,
) -> Option<T> {
    let mut held = None;
    for path in lineage {
        for section in sections.iter().filter(|section| section.path == *path) {
            held = value(section).or(held);
        }
    }
    held
}

fn check_lineage(snapshot: &SettingsSnapshot, sections: &[WrittenSection], lineage: &[&str; 5]) {
    let workspace_name = lineage[2].rsplit('/').next().unwrap().to_owned();
    let workspace_name = WorkspaceName::new(workspace_name).unwrap();
    let workspace = snapshot.workspace(&workspace_name).unwrap();
    let program = snapshot
        .program(&workspace_name, &ProgramName::new("p").unwrap())
        .unwrap();
    let held = [
        (
            &lineage[..WORKSPACE_DEPTH],
            workspace.limits,
            workspace.rate_limit,
        ),
        (&lineage[..], program.limits, program.rate_limit),
    ];
    for (lineage, limits, rate_limit) in held {
        let steps = oracle(sections, lineage, |section| section.steps);
        assert_eq!(limits.steps.default, steps.unwrap_or(DEFAULT_STEPS));
        match oracle(sections, lineage, |section| section.rate) {
            Some(rate) => assert_eq!(rate_limit.rate.as_thousandths(), rate),
            None => assert_eq!(rate_limit.rate.to_string(), DEFAULT_RATE),
        }
    }
}

fn without_lines(source: &SettingsSource) -> Vec<(String, Vec<(String, String)>)> {
    let sections = source.sections().iter();
    sections
        .map(|section| {
            let entries = section.entries.iter();
            let entries = entries.map(|entry| (entry.key.clone(), entry.value.clone()));
            (section.path.to_string(), entries.collect())
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn inherited_values_equal_a_naive_walk(sections in any_sections()) {
        let checked = CheckedSettings::parse("settings.ini", &render(&sections)).unwrap();
        let snapshot = checked.snapshot(1);
        for lineage in &LINEAGES {
            check_lineage(&snapshot, &sections, lineage);
        }
    }

    #[test]
    fn formatted_text_reads_back_the_same(sections in any_sections()) {
        let checked = CheckedSettings::parse("settings.ini", &render(&sections)).unwrap();
        let text = checked.source().format();
        let again = CheckedSettings::parse("settings.ini", &text).unwrap();
        prop_assert_eq!(without_lines(checked.source()), without_lines(again.source()));
        prop_assert_eq!(text, again.source().format());
    }

    #[test]
    fn any_text_is_answered(text in "[\\[\\]/=; \n\ra-z.:0-9é\0-]{0,60}") {
        let _ = CheckedSettings::parse("settings.ini", &text);
    }
}
