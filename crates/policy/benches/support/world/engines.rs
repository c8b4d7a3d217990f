//! Engine events: arriving calls, steps, load reports and cache events.

use ibisdale_policy::{CallOutcome, LoadReport, SessionId};
use rand::Rng;

use super::{
    CACHE_EVENT_LAG_US, NETWORK_US, REPORT_INTERVAL_US, REPORT_LAG_US, World, agent_of_session,
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
            self.schedule(NETWORK_US, event);
            return;
        }
        let input = self.engine_call(call, attempt);
        self.engines[replica].enqueue(input);
        if !self.engines[replica].is_stepping {
            self.begin_step(replica);
        }
    }

    pub(super) fn begin_step(&mut self, replica: usize) {
        let mut outcome = StepOutcome::default();
        let step_us = self.engines[replica].begin_step(&mut outcome);
        self.engines[replica].is_stepping = step_us.is_some();
        if let Some(step_us) = step_us {
            let epoch = self.engines[replica].epoch;
            self.schedule(step_us, EventKind::StepEnds { replica, epoch });
        }
        self.publish_cache_events(replica, &outcome);
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
            self.schedule(NETWORK_US, event);
        }
        for completed in &outcome.completed {
            self.calls[completed.call].cached_tokens = completed.cached_tokens;
            let event = EventKind::CallEnds {
                call: completed.call,
                attempt: completed.attempt,
                outcome: CallOutcome::Succeeded,
            };
            self.schedule(NETWORK_US, event);
        }
        self.publish_cache_events(replica, &outcome);
        self.begin_step(replica);
    }

    pub(super) fn publish_cache_events(&mut self, replica: usize, outcome: &StepOutcome) {
        if self.kind != PolicyKind::Ibisdale {
            return;
        }
        for completed in &outcome.completed {
            self.publish_cache_event(replica, completed.session, completed.context_tokens, false);
        }
        for session in &outcome.evicted {
            self.publish_cache_event(replica, *session, 0, true);
        }
    }

    /// Sends a cache event to the daemons whose calls can use the session: that of the
    /// agent's program, or all of them for a system prompt.
    pub(super) fn publish_cache_event(
        &mut self,
        replica: usize,
        session: SessionId,
        tokens: u32,
        is_eviction: bool,
    ) {
        let owner = agent_of_session(session)
            .map(|agent| self.programs[self.workload.agents[agent].program].daemon);
        let daemons = owner.map_or(0..self.daemons.len(), |owner| owner..owner + 1);
        for daemon in daemons {
            let delay_us = self.random.random_range(CACHE_EVENT_LAG_US) + self.extra_lag_us;
            if self.random.random_bool(self.scenario.lost_event_fraction) {
                if self.random.random_bool(0.5) {
                    self.schedule(delay_us, EventKind::CacheGap { daemon, replica });
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
            self.schedule(delay_us, event);
        }
    }

    pub(super) fn report_due(&mut self, replica: usize) {
        self.schedule(REPORT_INTERVAL_US, EventKind::ReportDue { replica });
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
        let delay_us = REPORT_LAG_US + self.extra_lag_us;
        self.schedule(delay_us, EventKind::ReportArrives { replica, report });
    }

    pub(super) fn report_arrives(&mut self, replica: usize, report: LoadReport) {
        for daemon in 0..self.daemons.len() {
            let state = &mut self.daemons[daemon];
            state
                .replica_set
                .record_load(state.replica_keys[replica], report);
            self.dispatch_queued(daemon);
        }
    }
}
