//! Tests that the errors in a file are reported together, with their lines.

use ibisdale_settings::{CheckedSettings, DaemonSettings, FindingKind};
use rstest::rstest;

const INVALID_SETTINGS: &str = "\
rate = 1
[workspaces]
[/workspace/kermesse]
rate = not checked
[/workspaces/kermesse]
rate = fast
burst = 0
Burst = 3
models = small, ghost, small
services = ghost
tokens = 500
max_tokens = 400
nonsense
[/workspaces/kermesse]
[/workspaces/two words]
[/workspaces/norrfrost/keys/app]
[/workspaces/norrfrost/keys/web]
hash = blake3:12
[/models/small]
idempotent = yes
rate = 5
[/services/orders]
vm_group = orders
vm_group = others
[/services/orders/routes/book]
path = book
method = FETCH
open = maybe
timeout_ms = 99999999999999999999999
[/models/small
";

#[test]
fn reports_all_findings_with_their_lines() {
    let findings = CheckedSettings::parse("settings.ini", INVALID_SETTINGS).unwrap_err();
    insta::assert_snapshot!(findings, @r##"
    settings.ini:1: key 'rate' appears before the first [SECTION]
    settings.ini:2: section 'workspaces' does not start with '/'
    settings.ini:3: unknown section '/workspace/kermesse'
    settings.ini:6: rate = 'fast': expected a number with at most three decimal places
    settings.ini:7: burst = '0': expected a number from 1 to 1000000
    settings.ini:8: unknown key 'Burst'; did you mean 'burst'?
    settings.ini:9: models = 'small, ghost, small': 'small' is listed more than once
    settings.ini:9: 'models' refers to 'ghost', but section [/models/ghost] does not exist
    settings.ini:10: 'services' refers to 'ghost', but section [/services/ghost] does not exist
    settings.ini:12: tokens = 500 (line 11) exceeds max_tokens = 400 (line 12)
    settings.ini:13: expected [SECTION], KEY = VALUE or a comment, found 'nonsense'
    settings.ini:14: duplicate section '/workspaces/kermesse', first defined on line 5
    settings.ini:15: invalid name 'two words' in section '/workspaces/two words': the name may hold letters, digits, '-', '_', '.' and ':' only
    settings.ini:16: required key 'hash' is missing in [/workspaces/norrfrost/keys/app]
    settings.ini:16: section [/workspaces/norrfrost/keys/app] requires section [/workspaces/norrfrost], which does not exist
    settings.ini:17: section [/workspaces/norrfrost/keys/web] requires section [/workspaces/norrfrost], which does not exist
    settings.ini:18: hash = 'blake3:12': expected 'blake3:' followed by 64 hexadecimal digits
    settings.ini:20: key 'idempotent' is not allowed in /models/NAME; it applies to /services/NAME/routes/NAME
    settings.ini:21: key 'rate' is not allowed in /models/NAME; it applies to /workspaces/NAME, /workspaces/NAME/programs/NAME
    settings.ini:24: duplicate key 'vm_group', first set on line 23
    settings.ini:26: path = 'book': expected a URL path that starts with '/' and contains only visible ASCII characters except '?' and '#'
    settings.ini:27: method = 'FETCH': expected one of GET, POST, PUT, PATCH, DELETE
    settings.ini:28: open = 'maybe': expected 'yes' or 'no'
    settings.ini:29: timeout_ms = '99999999999999999999999': expected a number from 1 to 86400000
    settings.ini:30: expected [SECTION], KEY = VALUE or a comment, found '[/models/small'
    "##);
}

#[test]
fn reports_findings_of_the_file_before_those_of_addresses() {
    let text = "\
[/daemon]
name = a b
failure_domain = north
entry_address = localhost:7101
fleet_address = 127.0.0.1:7301
operator_address = 127.0.0.1:7301
traffic_threads = 0
[/log]
log_level = loud
[/workspaces/kermesse]
";
    let findings = DaemonSettings::parse("daemon.ini", text).unwrap_err();
    insta::assert_snapshot!(findings, @r##"
    daemon.ini:1: required key 'operator_key_hash' is missing in [/daemon]
    daemon.ini:1: required section [/platform] is missing
    daemon.ini:2: name = 'a b': the name may hold letters, digits, '-', '_', '.' and ':' only
    daemon.ini:4: entry_address = 'localhost:7101': expected an IP address and nonzero port, such as 127.0.0.1:7101
    daemon.ini:7: traffic_threads = '0': expected a number from 1 to 1024
    daemon.ini:9: log_level = 'loud': expected one of error, warn, info, debug, trace
    daemon.ini:10: unknown section '/workspaces/kermesse'
    "##);
}

#[rstest]
#[case::two_keys_with_one_hash("two_keys_with_one_hash", FindingKind::Duplicate)]
#[case::maximum_below_inherited_default("maximum_below_inherited_default", FindingKind::Range)]
#[case::too_many_decimals("too_many_decimals", FindingKind::BadValue)]
#[case::misplaced_hash("misplaced_hash", FindingKind::UnknownKey)]
fn classifies_findings(#[case] name: &str, #[case] kind: FindingKind) {
    let hash = format!("blake3:{}", "ab".repeat(32));
    let text = match name {
        "two_keys_with_one_hash" => format!(
            "[/workspaces/a]\n[/workspaces/b]\n\
             [/workspaces/a/keys/x]\nhash = {hash}\n[/workspaces/b/keys/x]\nhash = {hash}\n"
        ),
        "maximum_below_inherited_default" => {
            "[/]\nsteps = 50\n[/workspaces/a]\nmax_steps = 40\n".to_owned()
        }
        "too_many_decimals" => "[/]\nrate = 1.2345\n".to_owned(),
        _ => format!("[/workspaces/a]\nhash = {hash}\n"),
    };
    let findings = CheckedSettings::parse("settings.ini", &text).unwrap_err();
    let kinds: Vec<FindingKind> = findings.as_slice().iter().map(|found| found.kind).collect();
    assert_eq!(kinds, [kind], "{findings}");
}

#[rstest]
#[case::empty("")]
#[case::only_brackets("[")]
#[case::only_equals("[/]\n=")]
#[case::carriage_returns("[/]\r\n\r\r= =\r")]
#[case::nul("[/]\n\0 = \0\n")]
#[case::not_ascii("[/wörkspaces/é]\nräte = ü\n")]
fn unusual_input_does_not_panic_or_pass_as_daemon_file(#[case] text: &str) {
    let _ = CheckedSettings::parse("settings.ini", text);
    let findings = DaemonSettings::parse("daemon.ini", text).unwrap_err();
    assert!(!findings.as_slice().is_empty());
}
