//! Dispatch of calls by a daemon, under the policy or a baseline.

use std::time::Duration;

use ibisdale_core::RunState;
use ibisdale_policy::{
    AdmissionRequest, AttemptReport, CallKey, CallOutcome, CallReport, CallRequest, FailureKind,
    FairQueue, QueueSettings, QueuedCall, RefusalReason, RetryDecision, RoutingDecision,
    RoutingRequest, choose_replica,
};

use super::World;
use crate::support::daemon::PolicyKind;
use crate::support::engine::EngineCall;
use crate::support::event::{EventKind, MICROS_PER_MILLI};
use crate::support::runs::ProgramState;

use super::{LEAVING_GRACE_US, NETWORK_US};

/// Output tokens assumed for a call when it is queued.
const EXPECTED_OUTPUT_TOKENS: u32 = 120;
/// Service time assumed for a call at admission.
const EXPECTED_SERVICE: Duration = Duration::from_secs(3);
/// Number of attempts of a baseline before the call counts as refused.
const BASELINE_ATTEMPTS: u32 = 4;
const BASELINE_BACKOFF_US: u64 = 100 * MICROS_PER_MILLI;
/// Delay before the caller retries after a refusal that states none.
const REFUSAL_RETRY_MS: u64 = 1_000;

/// A queued call and the replica chosen for it.
struct RoutedCall {
    call: usize,
    request: RoutingRequest,
    decision: RoutingDecision,
}

/// Result of a search for a queued call that can be sent.
#[derive(Default)]
struct QueueScan {
    routed: Option<RoutedCall>,
    /// Calls that can't meet their deadline.
    infeasible: Vec<CallKey>,
    /// Shortest retry delay among the other calls that got no replica.
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

    /// Submits a new call, or the retry of one, to its daemon.
    pub(super) fn submit(&mut self, call: usize) {
        if self.programs[self.program_of(call)].state != ProgramState::Running {
            return;
        }
        let daemon = self.daemon_of(call);
        match self.kind {
            PolicyKind::Ibisdale => self.enqueue(call),
            PolicyKind::Fifo => {
                self.daemons[daemon].baseline.fifo_queue.push_back(call);
                self.dispatch_queued(daemon);
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
        let workspace_key = state.workspace_keys[workspace];
        let admission_request = AdmissionRequest {
            workspace: workspace_key,
            expected_service_time: EXPECTED_SERVICE,
            deadline: Some(run.deadline),
        };
        if let Err(refusal) = state.admission.admit(&state.queue, &admission_request, now) {
            self.handle_refusal(call, refusal.retry_after.as_millis() as u64);
            return;
        }
        let new_tokens = self.calls[call].prompt_tokens - self.calls[call].reusable_tokens;
        let expected_tokens = new_tokens + EXPECTED_OUTPUT_TOKENS;
        self.calls[call].expected_tokens = expected_tokens;
        let request = CallRequest::new(workspace_key)
            .expected_tokens(expected_tokens)
            .attained_tokens(run.attained_tokens)
            .latest_start(run.deadline);
        match state.queue.push(request, now) {
            Ok(outcome) => {
                state.queued_calls.insert(outcome.call, call);
                self.calls[call].queue_key = Some(outcome.call);
                let evicted = outcome
                    .evicted
                    .and_then(|evicted| state.queued_calls.remove(&evicted));
                if let Some(evicted) = evicted {
                    self.handle_refusal(evicted, REFUSAL_RETRY_MS);
                }
            }
            Err(_) => self.handle_refusal(call, REFUSAL_RETRY_MS),
        }
        self.dispatch_queued(daemon);
    }

    /// Sends queued calls, in queue order, as long as a replica can take one of them.
    pub(super) fn dispatch_queued(&mut self, daemon: usize) {
        if self.kind == PolicyKind::Fifo {
            self.dispatch_fifo(daemon);
            return;
        }
        if self.kind != PolicyKind::Ibisdale {
            return;
        }
        loop {
            let mut scan = QueueScan::default();
            let popped = self.pop_routable(daemon, &mut scan);
            for call in scan.infeasible {
                self.refuse_infeasible(daemon, call);
            }
            let (Some(popped), Some(routed)) = (popped, scan.routed) else {
                if let Some(delay) = scan.retry_after {
                    let delay_us = delay.as_micros() as u64;
                    self.schedule_dispatch(daemon, delay_us.max(MICROS_PER_MILLI));
                }
                return;
            };
            self.send_routed(daemon, popped, &routed);
        }
    }

    /// Removes and returns the first queued call for which a replica is chosen.
    fn pop_routable(&mut self, daemon: usize, scan: &mut QueueScan) -> Option<QueuedCall> {
        let now = self.now();
        let mut queue = std::mem::replace(
            &mut self.daemons[daemon].queue,
            FairQueue::new(QueueSettings::default()),
        );
        let mut random = self.random.clone();
        let popped = queue.pop_first(now, |candidate| {
            let call = self.daemons[daemon].queued_calls[&candidate.call];
            let request = self
                .routing_request(call)
                .over_share(candidate.is_over_share);
            match choose_replica(
                &self.daemons[daemon].replica_set,
                &request,
                now,
                &mut random,
            ) {
                Ok(decision) => {
                    scan.routed = Some(RoutedCall {
                        call,
                        request,
                        decision,
                    });
                    true
                }
                Err(refusal) if refusal.reason == RefusalReason::DeadlineTooClose => {
                    scan.infeasible.push(candidate.call);
                    false
                }
                Err(refusal) => {
                    let shortest = scan.retry_after.unwrap_or(refusal.retry_after);
                    scan.retry_after = Some(shortest.min(refusal.retry_after));
                    false
                }
            }
        });
        self.random = random;
        self.daemons[daemon].queue = queue;
        popped
    }

    /// Refuses a queued call that can't meet its deadline.
    fn refuse_infeasible(&mut self, daemon: usize, key: CallKey) {
        let state = &mut self.daemons[daemon];
        state.queue.cancel(key);
        if let Some(call) = state.queued_calls.remove(&key) {
            self.handle_refusal(call, REFUSAL_RETRY_MS);
        }
    }

    fn schedule_dispatch(&mut self, daemon: usize, delay_us: u64) {
        let due_us = self.now_us + delay_us;
        if self.daemons[daemon].dispatch_due_us <= due_us {
            return;
        }
        self.daemons[daemon].dispatch_due_us = due_us;
        self.schedule(delay_us, EventKind::DispatchDue { daemon });
    }

    fn routing_request(&self, call: usize) -> RoutingRequest {
        let run = &self.calls[call];
        let state = &self.daemons[self.daemon_of(call)];
        let mut request = RoutingRequest::new()
            .prompt_tokens(run.prompt_tokens)
            .domain(state.domain)
            .first_token_deadline(self.programs[self.program_of(call)].deadline);
        for prefix in &run.prefixes {
            request = request.shared_prefix(*prefix);
        }
        if let Some(failed) = run.failed_replica {
            request = request.avoid(state.replica_keys[failed]);
        }
        request
    }

    fn send_routed(&mut self, daemon: usize, popped: QueuedCall, routed: &RoutedCall) {
        let now = self.now();
        let RoutedCall {
            call,
            request,
            decision,
        } = routed;
        let call = *call;
        let state = &mut self.daemons[daemon];
        state.queued_calls.remove(&popped.call);
        let is_saturated = !state.queue.is_empty();
        state
            .admission
            .record_served(popped.request.get_expected_tokens(), is_saturated, now);
        let in_flight_key = state.replica_set.begin_call(request, decision, now);
        let replica = state
            .replica_keys
            .iter()
            .position(|key| *key == decision.replica);
        self.calls[call].in_flight_key = Some(in_flight_key);
        self.calls[call].queue_key = None;
        self.send(call, replica.unwrap_or_default());
    }

    /// Sends a call under a baseline; returns `false` if it has to stay in the queue.
    fn send_baseline(&mut self, call: usize) -> bool {
        let daemon = self.daemon_of(call);
        let program = self.program_of(call);
        let baseline = &mut self.daemons[daemon].baseline;
        match baseline.choose(self.kind, program, &mut self.random) {
            Some(replica) => {
                baseline.in_flight[replica] += 1;
                self.send(call, replica);
                true
            }
            None if self.kind == PolicyKind::Fifo => false,
            None => {
                self.handle_refusal(call, REFUSAL_RETRY_MS);
                true
            }
        }
    }

    fn dispatch_fifo(&mut self, daemon: usize) {
        while let Some(call) = self.daemons[daemon].baseline.fifo_queue.front().copied() {
            if !self.send_baseline(call) {
                return;
            }
            self.daemons[daemon].baseline.fifo_queue.pop_front();
        }
    }

    fn send(&mut self, call: usize, replica: usize) {
        let is_past_grace = self.leaving_since_us[replica]
            .is_some_and(|since_us| self.now_us > since_us + LEAVING_GRACE_US);
        self.counters.attempts_to_leaving += u64::from(is_past_grace);
        self.counters.attempts += 1;
        let run = &mut self.calls[call];
        run.attempt += 1;
        run.replica = Some(replica);
        let attempt = run.attempt;
        self.schedule(NETWORK_US, EventKind::CallArrives { call, attempt });
    }

    pub(super) fn engine_call(&self, call: usize, attempt: u32) -> EngineCall {
        let run = &self.calls[call];
        EngineCall {
            call,
            attempt,
            prefixes: run.prefixes.clone(),
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
            && let Some(in_flight_key) = self.calls[call].in_flight_key
        {
            self.daemons[daemon]
                .replica_set
                .record_first_token(in_flight_key, now);
        }
    }

    pub(super) fn call_ends(&mut self, call: usize, attempt: u32, outcome: CallOutcome) {
        if self.calls[call].attempt != attempt {
            return;
        }
        let daemon = self.daemon_of(call);
        if self.kind == PolicyKind::Ibisdale {
            self.finish_in_flight(call, outcome);
        } else if let Some(replica) = self.calls[call].replica {
            self.daemons[daemon].baseline.in_flight[replica] -= 1;
        }
        if outcome == CallOutcome::Succeeded {
            self.charge_used_tokens(call);
            self.turn_answered(call);
        } else {
            self.calls[call].failed_replica = self.calls[call].replica;
            self.attempt_failed(call);
        }
        self.dispatch_queued(daemon);
    }

    fn finish_in_flight(&mut self, call: usize, outcome: CallOutcome) {
        let now = self.now();
        let daemon = self.daemon_of(call);
        let run = &mut self.calls[call];
        let Some(in_flight_key) = run.in_flight_key.take() else {
            return;
        };
        let report = if outcome == CallOutcome::Succeeded {
            CallReport::new(outcome)
                .cached_tokens(run.cached_tokens)
                .context_tokens(run.prompt_tokens + run.output_tokens)
        } else {
            CallReport::new(outcome)
        };
        self.daemons[daemon]
            .replica_set
            .finish_call(in_flight_key, report, now);
    }

    /// Charges a call's program for the tokens used, and its workspace for their
    /// difference from the expected tokens.
    fn charge_used_tokens(&mut self, call: usize) {
        let program = self.program_of(call);
        let workspace = self.workspace_of(call);
        let daemon = self.daemon_of(call);
        let run = &self.calls[call];
        let used = run.prompt_tokens - run.cached_tokens + run.output_tokens;
        self.programs[program].attained_tokens += u64::from(used);
        if self.kind == PolicyKind::Ibisdale {
            let state = &mut self.daemons[daemon];
            let workspace_key = state.workspace_keys[workspace];
            let correction = f64::from(used) - f64::from(run.expected_tokens);
            state.queue.charge(workspace_key, correction);
        }
    }

    fn attempt_failed(&mut self, call: usize) {
        let attempts = self.calls[call].attempt;
        if self.kind != PolicyKind::Ibisdale {
            if attempts.is_multiple_of(BASELINE_ATTEMPTS) {
                self.handle_refusal(call, REFUSAL_RETRY_MS);
            } else {
                self.schedule(BASELINE_BACKOFF_US, EventKind::RetryDue { call });
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
                self.schedule(delay.as_micros() as u64, EventKind::RetryDue { call });
            }
            RetryDecision::Stop(_) => self.handle_refusal(call, REFUSAL_RETRY_MS),
        }
    }
}
