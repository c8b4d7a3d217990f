//! Format of log lines. This file has a single test because a process can
//! install only one global logger.

use std::fs;

use ibisdale_telemetry::{LogOptions, LogOutput, record_event};

#[test]
fn writes_one_line_per_enabled_record_and_rejects_second_install() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let options = LogOptions::new().output(LogOutput::File(path.clone()));
    options.clone().apply().unwrap();
    record_event!(SettingsInForce, revision = 12);
    record_event!(StartFailed, error = "first line\nsecond \"line\"");
    record_event!(
        RequestRefused,
        request = "r",
        code = "c",
        run_state = "not_run"
    );
    log::warn!("plain record\nwith two lines");
    assert!(options.apply().is_err());

    let text = fs::read_to_string(path).unwrap();
    let lines: Vec<&str> = text
        .lines()
        .map(|line| line.split_once(' ').unwrap().1)
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    INFO  1101 settings_in_force: A settings revision took effect. revision=12
    ERROR 1004 start_failed: The daemon failed to start. error="first line\nsecond \"line\""
    WARN  - log_lines: plain record\nwith two lines
    "#);
}
