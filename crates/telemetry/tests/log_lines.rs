//! The log's lines. One test only: a process has one log.

use std::fs;

use ibisdale_telemetry::{LogOptions, LogTarget, record_event};

#[test]
fn writes_one_line_an_event() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let options = LogOptions::new().target(LogTarget::File(path.clone()));
    options.clone().apply().unwrap();
    record_event!(SettingsInForce, revision = 12);
    record_event!(StartFailed, error = "first line\nsecond \"line\"");
    record_event!(
        RequestRefused,
        request = "r",
        code = "c",
        run_state = "not_run"
    );
    log::warn!("no event,\nbut a record");
    assert!(options.apply().is_err());

    let text = fs::read_to_string(path).unwrap();
    let lines: Vec<&str> = text
        .lines()
        .map(|line| line.split_once(' ').unwrap().1)
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    INFO  1101 settings_in_force: A settings revision is in force. revision=12
    ERROR 1004 start_failed: The daemon can't start. error="first line\nsecond \"line\""
    WARN  - log_lines: no event,\nbut a record
    "#);
}
