//! A daemon within the test's process, on stand-ins.

mod bed;

use std::time::Duration;

use http::{Method, StatusCode};
use ibisdale_daemon::{DaemonOptions, RunningDaemon};
use ibisdale_settings::DaemonSettings;

#[allow(unused_imports, reason = "no test uses all of it")]
pub(crate) use bed::{
    Answer, Caller, KERMESSE_KEY, NORRFROST_KEY, TestBed, WITHDRAWN_KEY, wait_until,
};
use bed::{OPERATOR_KEY, any_address, apply_request, settings_text};

impl TestBed {
    /// Starts a daemon without settings.
    pub(crate) fn start_bare_daemon(&self) -> RunningDaemon {
        let text = format!(
            "[/daemon]\nname = a\nfailure_domain = a\nregion = r\n\
             entry_address = 127.0.0.1:1\nfleet_address = 127.0.0.1:2\n\
             operator_address = 127.0.0.1:3\noperator_key_hash = {}\ntraffic_threads = 2\n\
             [/platform]\nkey_value_endpoints = {}\nvm_list_address = {}\n",
            ibisdale_settings::KeyHash::of(OPERATOR_KEY.as_bytes()),
            self.kv.get_address(),
            self.vms.get_address(),
        );
        let mut settings = DaemonSettings::parse("daemon.ini", &text).expect("a sound file");
        settings.entry_address = any_address();
        settings.fleet_address = any_address();
        settings.operator_address = any_address();
        settings.data_folder = Some(self.folder().join("a"));
        let options = DaemonOptions::new(settings)
            .address_keep(Duration::ZERO)
            .claim_interval(Duration::from_millis(2));
        let daemon = RunningDaemon::start(options).expect("the daemon starts");
        wait_until("the daemon can take programs", || daemon.is_ready());
        daemon
    }

    /// Starts a daemon and applies the test settings.
    pub(crate) fn start_daemon(&self) -> RunningDaemon {
        let daemon = self.start_bare_daemon();
        let operator = self.operator(&daemon);
        let headers = [("if-match", "\"0\"")];
        let path = "/admin/v1/settings";
        let answer = operator.send(
            Method::PUT,
            path,
            &headers,
            &apply_request(&settings_text()),
        );
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        daemon
    }

    /// Returns an operator of a daemon.
    pub(crate) fn operator(&self, daemon: &RunningDaemon) -> Caller<'_> {
        Caller {
            bed: self,
            address: daemon.get_operator_address(),
            key: OPERATOR_KEY,
        }
    }
}
