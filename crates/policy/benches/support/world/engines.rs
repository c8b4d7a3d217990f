//! Engines: calls that arrive, steps, and what they publish.

use ibisdale_policy::{CallOutcome, LoadReport, SessionId};
use rand::Rng;

use super::{
    CACHE_EVENT_LAG_US, NETWORK_US, REPORT_INTERVAL_US, REPORT_LAG_US, World, session_agent,
};
use crate::support::daemon::PolicyKind;
use crate::support::engine::StepOutcome;
use crate::support::event::EventKind;

impl World<'_> {
    pub(super) fn call_arrives(&mut self, call: usize, attempt: u32) {
        let Some(replica) = self.calls[call].replica else {
            return;
        };
        if self.engines[replica].is_dead {
            let event = EventKind::CallEnds {
                call,
                attempt,
                outcome: CallOutcome::Unreachable,
            };
            self.after(NETWORK_US, event);
            return;
        }
        let input = self.engine_call(call, attempt);
        self.engines[replica].accept(input);
        if !self.engines[replica].is_stepping {
            self.begin_step(replica);
        }
    }

    pub(super) fn begin_step(&mut self, replica: usize) {
        let mut outcome = StepOutcome::default();
        let micros = self.engines[replica].begin_step(&mut outcome);
        self.engines[replica].is_stepping = micros.is_some();
        if let Some(micros) = micros {
            let epoch = self.engines[replica].epoch;
            self.after(micros, EventKind::StepEnds { replica, epoch });
        }
        self.publish(replica, &outcome);
    }

    pub(super) fn step_ends(&mut self, replica: usize, epoch: u64) {
        if self.engines[replica].epoch != epoch {
            return;
        }
        let mut outcome = StepOutcome::default();
        self.engines[replica].end_step(&mut outcome);
        for (call, attempt) in &outcome.first_tokens {
            let event = EventKind::FirstToken {
                call: *call,
                attempt: *attempt,
            };
            self.after(NETWORK_US, event);
        }
        for ended in &outcome.ended {
            self.calls[ended.call].cached_tokens = ended.cached_tokens;
            let event = EventKind::CallEnds {
                call: ended.call,
                attempt: ended.attempt,
                outcome: CallOutcome::Succeeded,
            };
            self.after(NETWORK_US, event);
        }
        self.publish(replica, &outcome);
        self.begin_step(replica);
    }

    pub(super) fn publish(&mut self, replica: usize, outcome: &StepOutcome) {
        if self.kind != PolicyKind::Ibisdale {
            return;
        }
        for ended in &outcome.ended {
            self.publish_session(replica, ended.session, ended.context_tokens, false);
        }
        for session in &outcome.evicted {
            self.publish_session(replica, *session, 0, true);
        }
    }

    /// Sends a cache event to the daemons that may ask for the session.
    pub(super) fn publish_session(
        &mut self,
        replica: usize,
        session: SessionId,
        tokens: u32,
        is_eviction: bool,
    ) {
        let owner = session_agent(session)
            .map(|agent| self.programs[self.workload.agents[agent].program].daemon);
        let daemons = owner.map_or(0..self.daemons.len(), |owner| owner..owner + 1);
        for daemon in daemons {
            let delay_us = self.random.random_range(CACHE_EVENT_LAG_US) + self.late_us;
            if self.random.random_bool(self.scenario.lost_events) {
                if self.random.random_bool(0.5) {
                    self.after(delay_us, EventKind::CacheGap { daemon, replica });
                }
                continue;
            }
            let event = EventKind::CacheEvent {
                daemon,
                replica,
                session,
                tokens,
                at: self.now(),
                is_eviction,
            };
            self.after(delay_us, event);
        }
    }

    pub(super) fn report_due(&mut self, replica: usize) {
        self.after(REPORT_INTERVAL_US, EventKind::ReportDue { replica });
        let engine = &self.engines[replica];
        if engine.is_dead {
            return;
        }
        let report = LoadReport {
            queue_length: engine.queue_length(),
            running: engine.running(),
            kv_use_permille: engine.kv_use_permille(),
            at: self.now(),
        };
        let delay_us = REPORT_LAG_US + self.late_us;
        self.after(delay_us, EventKind::ReportArrives { replica, report });
    }

    pub(super) fn report_arrives(&mut self, replica: usize, report: LoadReport) {
        for daemon in 0..self.daemons.len() {
            let state = &mut self.daemons[daemon];
            state.set.record_load(state.keys[replica], report);
            self.pump(daemon);
        }
    }
}
