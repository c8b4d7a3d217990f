//! The reference page and the defaults follow from the table of keys.

use std::fs;

use ibisdale_settings::{SettingsGrammar, known_keys, render_reference};

const PAGE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/operate/settings.md"
);

#[test]
fn page_equals_the_table() {
    let page = fs::read_to_string(PAGE).unwrap();
    assert_eq!(
        page,
        render_reference(),
        "write it anew: cargo run -p ibisdale-settings --example reference > docs/operate/settings.md"
    );
}

#[test]
fn defaults_are_values_of_their_kind() {
    for grammar in [SettingsGrammar::Operators, SettingsGrammar::Daemon] {
        for spec in known_keys(grammar) {
            if let Some(default) = spec.default {
                assert_eq!(spec.kind.check(default), Ok(()), "{}", spec.name);
            }
            assert!(
                !(spec.is_required && spec.default.is_some()),
                "{}",
                spec.name
            );
        }
    }
}
