//! Commands that need no daemon, and the examples.

mod support;

use std::fs;

use ibisdale_settings::{CheckedSettings, DaemonSettings, KeyHash, KeyMatch};
use rstest::rstest;
use support::{example, ibisdale, transcript};

fn read(name: &str) -> String {
    fs::read_to_string(example(name)).unwrap()
}

#[test]
fn check_lists_all_findings() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("broken.ini");
    fs::write(
        &path,
        "[/workspaces/a]\nrate = fast\n[/models]\nburst = 1\n",
    )
    .unwrap();
    let path = path.display().to_string();
    let text = transcript(&ibisdale(&["check", &path])).replace(&path, "broken.ini");
    insta::assert_snapshot!(text, @r##"
    exit 1
    broken.ini:2: rate = 'fast': expected a number with at most three decimal places
    broken.ini:4: key 'burst' is not allowed in /models; it applies to /workspaces/NAME, /workspaces/NAME/programs/NAME
    --- errors
    "##);
    let text = transcript(&ibisdale(&["check", &path, "--format", "json"]));
    insta::assert_snapshot!(text.replace(&path, "broken.ini"), @r##"
    exit 1
    {
      "findings": [
        {
          "place": {
            "file": "broken.ini",
            "line": 2
          },
          "kind": "bad_value",
          "message": "rate = 'fast': expected a number with at most three decimal places"
        },
        {
          "place": {
            "file": "broken.ini",
            "line": 4
          },
          "kind": "unknown_key",
          "message": "key 'burst' is not allowed in /models; it applies to /workspaces/NAME, /workspaces/NAME/programs/NAME"
        }
      ]
    }
    --- errors
    "##);
}

#[test]
fn check_of_a_missing_file_exits_with_7() {
    let output = ibisdale(&["check", "no-such-file.ini"]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 7
    --- errors
    ibisdale: cannot read no-such-file.ini: No such file or directory (os error 2)
    "##);
}

#[test]
fn diff_compares_two_files() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("changed.ini");
    fs::write(
        &path,
        read("settings.ini").replace("rate = 12.5", "rate = 15"),
    )
    .unwrap();
    let path = path.display().to_string();
    let settings = example("settings.ini");
    let output = ibisdale(&["diff", &path, "--against", &settings]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 1
    ~ [/workspaces/norrfrost] rate = 12.5 -> 15
    --- errors
    "##);
    let output = ibisdale(&["diff", &settings, "--against", &settings]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 0
    no differences
    --- errors
    "##);
}

#[test]
fn show_tells_where_values_come_from() {
    let settings = example("settings.ini");
    let path = "/workspaces/kermesse/programs/guide";
    insta::assert_snapshot!(transcript(&ibisdale(&["show", path, "--file", &settings])), @r##"
    exit 0
    [/workspaces/kermesse/programs/guide]
    rate = 20 requests/s  (from [/workspaces/kermesse/programs/guide], line 65)
    burst = 20 requests  (from [/workspaces/kermesse/programs/guide], line 66)
    models = small  (from [/workspaces/kermesse], line 51)
    services = orders  (from [/workspaces], line 44)
    deadline_ms = 60000 ms  (from [/], line 7)
    max_deadline_ms = 3600000 ms  (default)
    tokens = 5000 tokens  (from [/workspaces/kermesse/programs/guide], line 67)
    max_tokens = 200000 tokens  (default)
    paid_actions = 0 paid actions  (default)
    max_paid_actions = 10 paid actions  (default)
    steps = 20 steps  (from [/], line 8)
    max_steps = 100 steps  (default)
    wall_clock_ms = 300000 ms  (default)
    max_wall_clock_ms = 3600000 ms  (default)
    --- errors
    "##);
    let output = ibisdale(&["show", "/nowhere", "--file", &settings]);
    insta::assert_snapshot!(transcript(&output), @r##"
    exit 2
    --- errors
    ibisdale: unknown section '/nowhere'
    "##);
}

#[test]
fn a_new_key_goes_with_its_hash() {
    let output = ibisdale(&["key", "new", "--format", "json"]);
    let key: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let hash = KeyHash::of(key["secret"].as_str().unwrap().as_bytes());
    assert_eq!(key["hash"], hash.to_string());
}

#[test]
fn example_settings_are_sound() {
    let snapshot = CheckedSettings::parse("settings.ini", &read("settings.ini"))
        .unwrap()
        .snapshot(1);
    for (file, name) in [
        ("keys/kermesse.key", "kermesse"),
        ("keys/norrfrost.key", "norrfrost"),
    ] {
        let found = snapshot.authenticate(read(file).trim().as_bytes());
        let KeyMatch::Granted { workspace, .. } = found else {
            panic!("{file} is not granted: {found:?}");
        };
        assert_eq!(workspace.as_str(), name);
    }
}

#[rstest]
#[case("daemon-a.ini", "a", "north")]
#[case("daemon-b.ini", "b", "south")]
#[case("daemon-c.ini", "c", "south")]
fn example_daemons_are_sound(#[case] file: &str, #[case] name: &str, #[case] domain: &str) {
    let settings = DaemonSettings::parse(file, &read(file)).unwrap();
    assert_eq!(settings.name.as_str(), name);
    assert_eq!(settings.failure_domain, domain);
    let key = read("keys/operator.key");
    assert_eq!(
        settings.operator_key_hash,
        KeyHash::of(key.trim().as_bytes())
    );
}

/// The file is read before anything is sent, so that only the address fails.
#[test]
fn example_program_is_read() {
    let (program, key) = (example("program.json"), example("keys/kermesse.key"));
    let args = [
        "run",
        &program,
        "--entry",
        "127.0.0.1:1",
        "--key-file",
        &key,
    ];
    assert_eq!(ibisdale(&args).status.code(), Some(5));
    let broken = example("settings.ini");
    let args = ["run", &broken, "--entry", "127.0.0.1:1", "--key-file", &key];
    assert_eq!(ibisdale(&args).status.code(), Some(1));
}
