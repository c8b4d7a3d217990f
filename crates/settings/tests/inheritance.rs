//! Tests that sections inherit values from their parents, and that formatting and parsing
//! a file again preserves its content.

use std::fmt::Write;

use ibisdale_core::{ProgramName, WorkspaceName};
use ibisdale_settings::{CheckedSettings, SettingsSnapshot, SettingsTree};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 11;
const CASES: u32 = 300;
const DEFAULT_STEPS: u64 = 20;
const DEFAULT_RATE: &str = "10";

/// Paths from the root to two programs.
const CHAINS: [[&str; 5]; 2] = [
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
/// Sections that every generated file must contain.
const REQUIRED: [&str; 4] = [
    "/workspaces/a",
    "/workspaces/a/programs/p",
    "/workspaces/b",
    "/workspaces/b/programs/p",
];
const WORKSPACE_DEPTH: usize = 3;

#[derive(Clone, Debug)]
struct GeneratedSection {
    path: &'static str,
    steps: Option<u64>,
    rate: Option<u64>,
}

fn any_section(path: &'static str) -> impl Strategy<Value = GeneratedSection> {
    let steps = prop::option::of(1..=100_u64);
    let rate = prop::option::of(1..5_000_u64);
    (steps, rate).prop_map(move |(steps, rate)| GeneratedSection { path, steps, rate })
}

fn any_sections() -> impl Strategy<Value = Vec<GeneratedSection>> {
    let mut paths: Vec<&'static str> = CHAINS.concat();
    paths.sort_unstable();
    paths.dedup();
    let sections: Vec<_> = paths.into_iter().map(any_section).collect();
    sections.prop_shuffle()
}

fn render(sections: &[GeneratedSection]) -> String {
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

/// Searches from the root down and returns the last value that is set.
fn expected_value<T: Copy>(
    sections: &[GeneratedSection],
    chain: &[&str],
    value: impl Fn(&GeneratedSection) -> Option<T>,
) -> Option<T> {
    let mut expected = None;
    for path in chain {
        for section in sections.iter().filter(|section| section.path == *path) {
            expected = value(section).or(expected);
        }
    }
    expected
}

fn check_chain(snapshot: &SettingsSnapshot, sections: &[GeneratedSection], chain: &[&str; 5]) {
    let workspace_name = chain[2].rsplit('/').next().unwrap().to_owned();
    let workspace_name = WorkspaceName::new(workspace_name).unwrap();
    let workspace = snapshot.workspace(&workspace_name).unwrap();
    let program = snapshot
        .program(&workspace_name, &ProgramName::new("p").unwrap())
        .unwrap();
    let actual = [
        (
            &chain[..WORKSPACE_DEPTH],
            workspace.limits,
            workspace.rate_limit,
        ),
        (&chain[..], program.limits, program.rate_limit),
    ];
    for (chain, limits, rate_limit) in actual {
        let steps = expected_value(sections, chain, |section| section.steps);
        assert_eq!(limits.steps.default, steps.unwrap_or(DEFAULT_STEPS));
        match expected_value(sections, chain, |section| section.rate) {
            Some(rate) => assert_eq!(rate_limit.rate.as_thousandths(), rate),
            None => assert_eq!(rate_limit.rate.to_string(), DEFAULT_RATE),
        }
    }
}

fn without_line_numbers(tree: &SettingsTree) -> Vec<(String, Vec<(String, String)>)> {
    let sections = tree.sections().iter();
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
    fn inherited_values_match_top_down_search(sections in any_sections()) {
        let checked = CheckedSettings::parse("settings.ini", &render(&sections)).unwrap();
        let snapshot = checked.snapshot(1);
        for chain in &CHAINS {
            check_chain(&snapshot, &sections, chain);
        }
    }

    #[test]
    fn formatted_text_parses_to_the_same_tree(sections in any_sections()) {
        let checked = CheckedSettings::parse("settings.ini", &render(&sections)).unwrap();
        let text = checked.tree().format();
        let reparsed = CheckedSettings::parse("settings.ini", &text).unwrap();
        prop_assert_eq!(without_line_numbers(checked.tree()), without_line_numbers(reparsed.tree()));
        prop_assert_eq!(text, reparsed.tree().format());
    }

    #[test]
    fn arbitrary_input_does_not_panic(text in "[\\[\\]/=; \n\ra-z.:0-9é\0-]{0,60}") {
        let _ = CheckedSettings::parse("settings.ini", &text);
    }
}
