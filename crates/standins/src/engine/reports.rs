//! Load reports, which lag behind the load.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::options::EngineRole;

/// Reports kept at most.
const REPORTS_KEPT: usize = 4_096;

/// The engine's load at some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct LoadBody {
    pub(crate) number: u64,
    pub(crate) running: u64,
    pub(crate) waiting: u64,
    pub(crate) held_tokens: u64,
    pub(crate) capacity_tokens: u64,
    pub(crate) capacity: u64,
    pub(crate) models: Vec<String>,
    pub(crate) role: EngineRole,
    pub(crate) is_leaving: bool,
}

/// The reports of one engine.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadBody)>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            reports: VecDeque::new(),
        }
    }

    /// Notes the load; its number is set here.
    pub(crate) fn push(&mut self, mut load: LoadBody) {
        let last = self.reports.back().map(|(_, last)| last);
        let number = last.map_or(0, |last| last.number);
        load.number = number;
        if last == Some(&load) {
            return;
        }
        load.number += 1;
        self.reports.push_back((Instant::now(), load));
        if self.reports.len() > REPORTS_KEPT {
            self.reports.pop_front();
        }
    }

    /// Returns the load as it was before the lag.
    pub(crate) fn read(&mut self) -> LoadBody {
        let now = Instant::now();
        let lag = self.lag;
        let is_old = |time: &Instant| *time + lag <= now;
        while self.reports.len() > 1 && is_old(&self.reports[1].0) {
            self.reports.pop_front();
        }
        let first = self.reports.front();
        first.map(|(_, load)| load.clone()).unwrap_or_default()
    }
}
