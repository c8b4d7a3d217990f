//! Tests that the reference page matches the key table and that the defaults are valid.

use std::fs;

use ibisdale_settings::{SettingsSchema, key_specs, render_reference};

const PAGE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/operate/settings.md"
);

#[test]
fn page_matches_key_table() {
    let page = fs::read_to_string(PAGE).unwrap();
    assert_eq!(
        page,
        render_reference(),
        "regenerate it: cargo run -p ibisdale-settings --example reference > docs/operate/settings.md"
    );
}

#[test]
fn defaults_are_valid_and_absent_for_required_keys() {
    for schema in [SettingsSchema::Fleet, SettingsSchema::Daemon] {
        for spec in key_specs(schema) {
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
