//! Tests that each key identifies its workspace, even with many workspaces.

use std::fmt::Write;

use ibisdale_settings::{CheckedSettings, KeyHash, KeyMatch, SecretKey, SettingsSnapshot};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const SEED: u64 = 7;
const WORKSPACES: usize = 15_000;

fn settings_with_keys(workspaces: usize) -> (SettingsSnapshot, Vec<SecretKey>) {
    let mut random = Pcg64::seed_from_u64(SEED);
    let mut text = String::new();
    let mut keys = Vec::new();
    for number in 0..workspaces {
        let key = SecretKey::generate(&mut random);
        writeln!(
            text,
            "[/workspaces/w{number}/keys/app]\nhash = {}",
            key.hash()
        )
        .unwrap();
        writeln!(text, "[/workspaces/w{number}]").unwrap();
        keys.push(key);
    }
    let snapshot = CheckedSettings::parse("settings.ini", &text)
        .unwrap()
        .snapshot(3);
    (snapshot, keys)
}

#[test]
fn each_key_identifies_its_workspace() {
    let (snapshot, keys) = settings_with_keys(WORKSPACES);
    for (number, key) in keys.iter().enumerate() {
        let KeyMatch::Granted { workspace, key } = snapshot.authenticate(key.expose().as_bytes())
        else {
            panic!("key {number} does not authenticate");
        };
        assert_eq!(workspace.as_str(), format!("w{number}"));
        assert_eq!(key.as_str(), "app");
        assert!(snapshot.workspace(&workspace).is_some());
    }
}

/// A truncated key, a key in another case and the hash itself, which the settings
/// contain, must not match.
#[test]
fn altered_keys_and_hashes_are_unknown() {
    let (snapshot, keys) = settings_with_keys(2);
    let known = keys[0].expose();
    let hash = keys[0].hash().to_string();
    for key in [
        "",
        "ibk-",
        &known[..known.len() - 1],
        &known.to_uppercase(),
        &hash,
    ] {
        assert_eq!(snapshot.authenticate(key.as_bytes()), KeyMatch::Unknown);
    }
}

/// A key can be withdrawn by its own section or by a value that it inherits from
/// its workspace.
#[test]
fn withdrawn_keys_are_reported_as_withdrawn() {
    let (one, two) = (KeyHash::of(b"one"), KeyHash::of(b"two"));
    let text = format!(
        "[/workspaces/a]\n[/workspaces/a/keys/x]\nhash = {one}\nwithdrawn = yes\n\
         [/workspaces/b]\nwithdrawn = yes\n[/workspaces/b/keys/x]\nhash = {two}\n"
    );
    let snapshot = CheckedSettings::parse("settings.ini", &text)
        .unwrap()
        .snapshot(1);
    assert_eq!(snapshot.authenticate(b"one"), KeyMatch::Withdrawn);
    assert_eq!(snapshot.authenticate(b"two"), KeyMatch::Withdrawn);
}

#[test]
fn debug_output_hides_secret_keys() {
    let key = SecretKey::generate(&mut Pcg64::seed_from_u64(SEED));
    assert_eq!(format!("{key:?}"), "SecretKey(..)");
}
