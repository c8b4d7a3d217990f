//! How a daemon sends calls, under the policy or a baseline.

use std::time::Duration;

use ibisdale_core::RunState;
use ibisdale_policy::{
    AdmissionRequest, AttemptReport, CallKey, CallOutcome, CallReport, CallRequest, FailureKind,
    FairQueue, QueueSettings, QueuedCall, RefusalReason, RetryDecision, RoutingDecision,
    RoutingRequest, choose_replica,
};

use super::World;
use crate::support::client::ProgramState;
use crate::support::daemon::PolicyKind;
use crate::support::engine::EngineCall;
use crate::support::event::{EventKind, MICROS_PER_MILLI};

use super::{LEAVING_GRACE_US, NETWORK_US};

/// Tokens that an answer is expected to have.
const EXPECTED_OUTPUT_TOKENS: u32 = 120;
/// Time that a call is expected to take once it starts.
const EXPECTED_SERVICE: Duration = Duration::from_secs(3);
/// Attempts that a baseline makes.
const BASELINE_ATTEMPTS: u32 = 4;
const BASELINE_BACKOFF_US: u64 = 100 * MICROS_PER_MILLI;
/// Time after which callers come back from a refusal that names none.
const COME_BACK_MS: u64 = 1_000;

/// A waiting call and the replica chosen for it.
struct SendableCall {
    call: usize,
    request: RoutingRequest,
    decision: RoutingDecision,
}

/// What a look at the waiting calls found.
#[derive(Default)]
struct PumpVerdict {
    sendable: Option<SendableCall>,
    hopeless: Vec<CallKey>,
    retry_after: Option<Duration>,
}

impl World<'_> {
    fn program_of(&self, call: usize) -> usize {
        self.workload.agents[self.calls[call].agent].program
    }

    fn workspace_of(&self, call: usize) -> usize {
        self.workload.programs[self.program_of(call)].workspace
    }

    fn daemon_of(&self, call: usize) -> usize {
        self.programs[self.program_of(call)].daemon
    }

    /// Hands a call that is ready, or ready again, to its daemon.
    pub(super) fn submit(&mut self, call: usize) {
        if self.programs[self.program_of(call)].state != ProgramState::Running {
            return;
        }
        let daemon = self.daemon_of(call);
        match self.kind {
            PolicyKind::Ibisdale => self.enqueue(call),
            PolicyKind::Fifo => {
                self.daemons[daemon].baseline.fifo.push_back(call);
                self.pump(daemon);
            }
            _ => {
                self.send_baseline(call);
            }
        }
    }

    fn enqueue(&mut self, call: usize) {
        let now = self.now();
        let program = self.program_of(call);
        let workspace = self.workspace_of(call);
        let daemon = self.daemon_of(call);
        let run = &self.programs[program];
        let state = &mut self.daemons[daemon];
        if self.calls[call].attempt == 0 {
            state.workspace_budgets[workspace].deposit(now);
            state.upstream_budget.deposit(now);
        }
        let share = state.shares[workspace];
        let admission = AdmissionRequest {
            workspace: share,
            expected_service_time: EXPECTED_SERVICE,
            deadline: Some(run.deadline),
        };
        if let Err(refusal) = state.gate.admit(&state.queue, &admission, now) {
            self.refused(call, refusal.retry_after.as_millis() as u64);
            return;
        }
        let new_tokens = self.calls[call].prompt_tokens - self.calls[call].reusable_tokens;
        let expected_tokens = new_tokens + EXPECTED_OUTPUT_TOKENS;
        self.calls[call].expected_tokens = expected_tokens;
        let request = CallRequest::new(share)
            .expected_tokens(expected_tokens)
            .attained_tokens(run.attained_tokens)
            .latest_start(run.deadline);
        match state.queue.push(request, now) {
            Ok(outcome) => {
                state.waiting.insert(outcome.call, call);
                self.calls[call].waiting = Some(outcome.call);
                let evicted = outcome
                    .evicted
                    .and_then(|evicted| state.waiting.remove(&evicted));
                if let Some(evicted) = evicted {
                    self.refused(evicted, COME_BACK_MS);
                }
            }
            Err(_) => self.refused(call, COME_BACK_MS),
        }
        self.pump(daemon);
    }

    /// Sends the calls whose turn has come.
    pub(super) fn pump(&mut self, daemon: usize) {
        if self.kind == PolicyKind::Fifo {
            self.pump_fifo(daemon);
            return;
        }
        if self.kind != PolicyKind::Ibisdale {
            return;
        }
        loop {
            let mut verdict = PumpVerdict::default();
            let popped = self.pop_sendable(daemon, &mut verdict);
            for call in verdict.hopeless {
                self.drop_hopeless(daemon, call);
            }
            let (Some(popped), Some(sendable)) = (popped, verdict.sendable) else {
                if let Some(delay) = verdict.retry_after {
                    let delay_us = delay.as_micros() as u64;
                    self.pump_later(daemon, delay_us.max(MICROS_PER_MILLI));
                }
                return;
            };
            self.send_chosen(daemon, popped, &sendable);
        }
    }

    /// Takes the first waiting call for which a replica is chosen.
    fn pop_sendable(&mut self, daemon: usize, verdict: &mut PumpVerdict) -> Option<QueuedCall> {
        let now = self.now();
        let mut queue = std::mem::replace(
            &mut self.daemons[daemon].queue,
            FairQueue::new(QueueSettings::default()),
        );
        let mut random = self.random.clone();
        let popped = queue.pop_first(now, |popped| {
            let call = self.daemons[daemon].waiting[&popped.call];
            let request = self.choice_request(call).over_share(popped.is_over_share);
            match choose_replica(&self.daemons[daemon].set, &request, now, &mut random) {
                Ok(decision) => {
                    verdict.sendable = Some(SendableCall {
                        call,
                        request,
                        decision,
                    });
                    true
                }
                Err(refusal) if refusal.reason == RefusalReason::DeadlineTooClose => {
                    verdict.hopeless.push(popped.call);
                    false
                }
                Err(refusal) => {
                    let known = verdict.retry_after.unwrap_or(refusal.retry_after);
                    verdict.retry_after = Some(known.min(refusal.retry_after));
                    false
                }
            }
        });
        self.random = random;
        self.daemons[daemon].queue = queue;
        popped
    }

    fn drop_hopeless(&mut self, daemon: usize, key: CallKey) {
        let state = &mut self.daemons[daemon];
        state.queue.cancel(key);
        if let Some(call) = state.waiting.remove(&key) {
            self.refused(call, COME_BACK_MS);
        }
    }

    fn pump_later(&mut self, daemon: usize, delay_us: u64) {
        let due_us = self.now_us + delay_us;
        if self.daemons[daemon].pump_due_us <= due_us {
            return;
        }
        self.daemons[daemon].pump_due_us = due_us;
        self.after(delay_us, EventKind::PumpDue { daemon });
    }

    fn choice_request(&self, call: usize) -> RoutingRequest {
        let run = &self.calls[call];
        let state = &self.daemons[self.daemon_of(call)];
        let mut request = RoutingRequest::new()
            .prompt_tokens(run.prompt_tokens)
            .domain(state.domain)
            .first_token_deadline(self.programs[self.program_of(call)].deadline);
        for claim in &run.claims {
            request = request.shared_prefix(*claim);
        }
        if let Some(failed) = run.failed_at {
            request = request.avoid(state.keys[failed]);
        }
        request
    }

    fn send_chosen(&mut self, daemon: usize, head: QueuedCall, sendable: &SendableCall) {
        let now = self.now();
        let SendableCall {
            call,
            request,
            decision,
        } = sendable;
        let call = *call;
        let state = &mut self.daemons[daemon];
        state.waiting.remove(&head.call);
        let is_saturated = !state.queue.is_empty();
        state
            .gate
            .record_served(head.request.get_expected_tokens(), is_saturated, now);
        let flight = state.set.begin_call(request, decision, now);
        let replica = state.keys.iter().position(|key| *key == decision.replica);
        self.calls[call].flight = Some(flight);
        self.calls[call].waiting = None;
        self.send(call, replica.unwrap_or_default());
    }

    fn send_baseline(&mut self, call: usize) -> bool {
        let daemon = self.daemon_of(call);
        let program = self.program_of(call);
        let baseline = &mut self.daemons[daemon].baseline;
        match baseline.choose(self.kind, program, &mut self.random) {
            Some(replica) => {
                baseline.own_flights[replica] += 1;
                self.send(call, replica);
                true
            }
            None if self.kind == PolicyKind::Fifo => false,
            None => {
                self.refused(call, COME_BACK_MS);
                true
            }
        }
    }

    fn pump_fifo(&mut self, daemon: usize) {
        while let Some(call) = self.daemons[daemon].baseline.fifo.front().copied() {
            if !self.send_baseline(call) {
                return;
            }
            self.daemons[daemon].baseline.fifo.pop_front();
        }
    }

    fn send(&mut self, call: usize, replica: usize) {
        let is_leaving = self.leaving_since_us[replica]
            .is_some_and(|since_us| self.now_us > since_us + LEAVING_GRACE_US);
        self.counters.calls_to_leaving += u64::from(is_leaving);
        self.counters.attempts += 1;
        let run = &mut self.calls[call];
        run.attempt += 1;
        run.replica = Some(replica);
        let attempt = run.attempt;
        self.after(NETWORK_US, EventKind::CallArrives { call, attempt });
    }

    pub(super) fn engine_call(&self, call: usize, attempt: u32) -> EngineCall {
        let run = &self.calls[call];
        EngineCall {
            call,
            attempt,
            claims: run.claims.clone(),
            prompt_tokens: run.prompt_tokens,
            output_tokens: run.output_tokens,
            reusable_tokens: run.reusable_tokens,
            priority: 0,
        }
    }

    pub(super) fn first_token(&mut self, call: usize, attempt: u32) {
        let now = self.now();
        let daemon = self.daemon_of(call);
        if self.calls[call].attempt == attempt
            && let Some(flight) = self.calls[call].flight
        {
            self.daemons[daemon].set.record_first_token(flight, now);
        }
    }

    pub(super) fn call_ends(&mut self, call: usize, attempt: u32, outcome: CallOutcome) {
        if self.calls[call].attempt != attempt {
            return;
        }
        let daemon = self.daemon_of(call);
        if self.kind == PolicyKind::Ibisdale {
            self.finish_flight(call, outcome);
        } else if let Some(replica) = self.calls[call].replica {
            self.daemons[daemon].baseline.own_flights[replica] -= 1;
        }
        if outcome == CallOutcome::Succeeded {
            self.settle(call);
            self.turn_answered(call);
        } else {
            self.calls[call].failed_at = self.calls[call].replica;
            self.attempt_failed(call);
        }
        self.pump(daemon);
    }

    fn finish_flight(&mut self, call: usize, outcome: CallOutcome) {
        let now = self.now();
        let daemon = self.daemon_of(call);
        let run = &mut self.calls[call];
        let Some(flight) = run.flight.take() else {
            return;
        };
        let report = if outcome == CallOutcome::Succeeded {
            CallReport::new(outcome)
                .cached_tokens(run.cached_tokens)
                .context_tokens(run.prompt_tokens + run.output_tokens)
        } else {
            CallReport::new(outcome)
        };
        self.daemons[daemon].set.finish_call(flight, report, now);
    }

    /// Charges what a call really used.
    fn settle(&mut self, call: usize) {
        let program = self.program_of(call);
        let workspace = self.workspace_of(call);
        let daemon = self.daemon_of(call);
        let run = &self.calls[call];
        let used = run.prompt_tokens - run.cached_tokens + run.output_tokens;
        self.programs[program].attained_tokens += u64::from(used);
        if self.kind == PolicyKind::Ibisdale {
            let state = &mut self.daemons[daemon];
            let share = state.shares[workspace];
            let surplus = f64::from(used) - f64::from(run.expected_tokens);
            state.queue.charge(share, surplus);
        }
    }

    fn attempt_failed(&mut self, call: usize) {
        let attempts = self.calls[call].attempt;
        if self.kind != PolicyKind::Ibisdale {
            if attempts.is_multiple_of(BASELINE_ATTEMPTS) {
                self.refused(call, COME_BACK_MS);
            } else {
                self.after(BASELINE_BACKOFF_US, EventKind::RetryDue { call });
            }
            return;
        }
        let now = self.now();
        let workspace = self.workspace_of(call);
        let daemon = self.daemon_of(call);
        let report = AttemptReport {
            failure: FailureKind::Upstream,
            run_state: RunState::Unknown,
            is_idempotent: true,
            has_response_started: false,
            attempts,
            retry_after: None,
            deadline: Some(self.programs[self.program_of(call)].deadline),
        };
        let state = &mut self.daemons[daemon];
        let decision = self.profile.retry.decide(
            &report,
            &mut state.workspace_budgets[workspace],
            &mut state.upstream_budget,
            now,
            &mut self.random,
        );
        match decision {
            RetryDecision::Retry(delay) => {
                self.after(delay.as_micros() as u64, EventKind::RetryDue { call });
            }
            RetryDecision::Stop(_) => self.refused(call, COME_BACK_MS),
        }
    }
}
