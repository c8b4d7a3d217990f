//! Tests of effective values with their origin, differences between revisions,
//! and edits of keys.

use ibisdale_core::{KeyName, WorkspaceName};
use ibisdale_settings::{
    CheckedSettings, EditError, KeyHash, KeyMatch, SettingsDifference, grant_key, withdraw_key,
};
use rstest::rstest;

const TEXT: &str = "\
; a comment
[/]
burst = 40
[/models/small]
vm_group = engines
[/workspaces]
models = small
[/workspaces/kermesse]
rate = 2.5
[/workspaces/kermesse/programs/planner]
steps = 30
";

fn checked(text: &str) -> CheckedSettings {
    CheckedSettings::parse("settings.ini", text).unwrap()
}

fn render_values(text: &str, path: &str) -> String {
    let values = checked(text).effective_values(path).unwrap();
    let lines: Vec<String> = values
        .iter()
        .map(|value| format!("[{}] {value}", value.section))
        .collect();
    lines.join("\n")
}

fn workspace() -> WorkspaceName {
    WorkspaceName::new("kermesse").unwrap()
}

fn key() -> KeyName {
    KeyName::new("app").unwrap()
}

#[test]
fn effective_values_include_their_origin() {
    insta::assert_snapshot!(render_values(TEXT, "/workspaces/kermesse/programs/planner"), @r##"
    [/workspaces/kermesse/programs/planner] rate = 2.5 requests/s  (from [/workspaces/kermesse], line 9)
    [/workspaces/kermesse/programs/planner] burst = 40 requests  (from [/], line 3)
    [/workspaces/kermesse/programs/planner] models = small  (from [/workspaces], line 7)
    [/workspaces/kermesse/programs/planner] services =   (default)
    [/workspaces/kermesse/programs/planner] deadline_ms = 60000 ms  (default)
    [/workspaces/kermesse/programs/planner] max_deadline_ms = 3600000 ms  (default)
    [/workspaces/kermesse/programs/planner] tokens = 20000 tokens  (default)
    [/workspaces/kermesse/programs/planner] max_tokens = 200000 tokens  (default)
    [/workspaces/kermesse/programs/planner] paid_actions = 0 paid actions  (default)
    [/workspaces/kermesse/programs/planner] max_paid_actions = 10 paid actions  (default)
    [/workspaces/kermesse/programs/planner] steps = 30 steps  (from [/workspaces/kermesse/programs/planner], line 11)
    [/workspaces/kermesse/programs/planner] max_steps = 100 steps  (default)
    [/workspaces/kermesse/programs/planner] wall_clock_ms = 300000 ms  (default)
    [/workspaces/kermesse/programs/planner] max_wall_clock_ms = 3600000 ms  (default)
    "##);
}

#[test]
fn effective_values_of_an_absent_section_are_defaults() {
    let text = render_values(TEXT, "/models/large");
    assert!(text.contains("checks_fencing = no  (default)"), "{text}");
    assert!(checked(TEXT).effective_values("/model/large").is_err());
}

#[test]
fn default_limits_adjust_to_configured_limits() {
    let text = render_values(
        "[/workspaces/a]\nmax_tokens = 5\nsteps = 500\n",
        "/workspaces/a",
    );
    assert!(text.contains("] tokens = 5 tokens  (default)"), "{text}");
    assert!(
        text.contains("] max_steps = 500 steps  (default)"),
        "{text}"
    );
}

#[test]
fn difference_lists_changes_by_section() {
    let after = "\
[/models/small]
vm_group = others
[/workspaces/kermesse]
rate = 2.5
burst = 50
[/workspaces]
models = small
[/workspaces/norrfrost]
";
    let difference = SettingsDifference::between(checked(TEXT).tree(), checked(after).tree());
    insta::assert_snapshot!(difference, @r##"
    - [/]
    - [/] burst = 40
    ~ [/models/small] vm_group = engines -> others
    + [/workspaces/kermesse] burst = 50
    - [/workspaces/kermesse/programs/planner]
    - [/workspaces/kermesse/programs/planner] steps = 30
    + [/workspaces/norrfrost]
    "##);
}

#[test]
fn difference_ignores_order_and_comments() {
    let other = checked(TEXT).tree().format();
    let difference = SettingsDifference::between(checked(TEXT).tree(), checked(&other).tree());
    assert!(difference.is_empty());
}

#[rstest]
#[case::plain(TEXT.to_owned())]
#[case::no_final_newline(TEXT.trim_end().to_owned())]
#[case::crlf_line_ends(TEXT.replace('\n', "\r\n"))]
fn granted_keys_authenticate_until_withdrawn(#[case] text: String) {
    let hash = KeyHash::of(b"secret");
    let granted = grant_key(&text, &workspace(), &key(), &hash).unwrap();
    assert!(granted.starts_with(&text));
    let found = checked(&granted).snapshot(1).authenticate(b"secret");
    assert_eq!(
        found,
        KeyMatch::Granted {
            workspace: workspace(),
            key: key()
        }
    );

    let withdrawn = withdraw_key(&granted, &workspace(), &key()).unwrap();
    let found = checked(&withdrawn).snapshot(2).authenticate(b"secret");
    assert_eq!(found, KeyMatch::Withdrawn);
    let again = withdraw_key(&withdrawn, &workspace(), &key()).unwrap();
    assert_eq!(again, withdrawn);
}

#[test]
fn withdraw_key_replaces_an_existing_withdrawn_line() {
    let hash = KeyHash::of(b"secret");
    let text = format!("{TEXT}[/workspaces/kermesse/keys/app]\nwithdrawn = no\nhash = {hash}");
    let text = withdraw_key(&text, &workspace(), &key()).unwrap();
    assert!(
        text.ends_with(&format!("withdrawn = yes\nhash = {hash}")),
        "{text}"
    );
}

#[test]
fn edits_reject_duplicate_and_unknown_keys_and_workspaces() {
    let hash = KeyHash::of(b"secret");
    let (workspace, key) = (workspace(), key());
    let text = grant_key(TEXT, &workspace, &key, &hash).unwrap();
    let same_name = grant_key(&text, &workspace, &key, &KeyHash::of(b"other"));
    assert!(matches!(same_name, Err(EditError::KeyExists { .. })));
    let same_hash = grant_key(&text, &workspace, &KeyName::new("web").unwrap(), &hash);
    assert!(matches!(same_hash, Err(EditError::Findings { .. })));
    let absent = WorkspaceName::new("absent").unwrap();
    let unknown = grant_key(TEXT, &absent, &key, &hash);
    assert!(matches!(unknown, Err(EditError::UnknownWorkspace { .. })));
    let unknown = withdraw_key(TEXT, &workspace, &key);
    assert!(matches!(unknown, Err(EditError::UnknownKey { .. })));
}
