//! The event loop: programs, daemons and engines in virtual time.

use ibisdale_core::TimeStamp;
use ibisdale_policy::{
    FlightOutcome, LoadReport, PolicyProfile, PrefixClaim, ReplicaStatus, SessionId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::client::{AgentRun, COME_BACKS_MAX, CallRun, ProgramRun, ProgramState};
use super::daemon::{DaemonState, PolicyKind};
use super::engine::{EnginePool, StepOutcome};
use super::event::{EventKind, EventQueue, MICROS_PER_MILLI, MICROS_PER_SECOND, stamp};
use super::fault::FaultKind;
use super::measure::{RunCounters, RunMeasure, count_second, is_over_rate};
use super::scenario::{Scenario, WORKSPACE_PARTS};
use super::workload::{Workload, shared_tokens};

mod dispatch;

/// Time after the last arrival at which a run ends.
const DRAIN_SECONDS: u64 = 120;
const REPORT_INTERVAL_US: u64 = MICROS_PER_SECOND;
const REPORT_LAG_US: u64 = 300 * MICROS_PER_MILLI;
const CACHE_EVENT_LAG_US: std::ops::Range<u64> = 200 * MICROS_PER_MILLI..1_500 * MICROS_PER_MILLI;
/// One way between daemon and engine.
const NETWORK_US: u64 = 1_500;
/// Time until the list of VMs shows that a replica leaves or is back.
const LIST_LAG_US: u64 = 2 * MICROS_PER_SECOND;
/// Time until the list of VMs shows that a replica is dead.
const DEATH_LAG_US: u64 = 5 * MICROS_PER_SECOND;
/// Time after which a leaving replica must get nothing new.
const LEAVING_GRACE_US: u64 = 3 * MICROS_PER_SECOND;
/// Time in which a program is wanted, beside ten times its own.
const DEADLINE_SLACK_US: u64 = 60 * MICROS_PER_SECOND;
/// First session that belongs to an agent; those below are system prompts.
const AGENT_SESSIONS: u64 = 1_000;

/// Runs a scenario under a policy.
pub(crate) fn run_scenario(
    scenario: &Scenario,
    kind: PolicyKind,
    profile: &PolicyProfile,
) -> RunMeasure {
    let workload = Workload::generate(scenario);
    let mut world = World::new(scenario, &workload, kind, profile);
    world.run();
    for engine in &world.engines {
        world.counters.wasted_tokens += engine.wasted_tokens;
        world.counters.computed_tokens += engine.computed_tokens;
    }
    RunMeasure::collect(scenario, &workload, &world.programs, &world.counters)
}

struct World<'a> {
    scenario: &'a Scenario,
    workload: &'a Workload,
    kind: PolicyKind,
    profile: &'a PolicyProfile,
    events: EventQueue,
    now_us: u64,
    random: Pcg64Mcg,
    engines: Vec<EnginePool>,
    leaving_since_us: Vec<Option<u64>>,
    daemons: Vec<DaemonState>,
    programs: Vec<ProgramRun>,
    agents: Vec<AgentRun>,
    calls: Vec<CallRun>,
    is_prompt_warm: Vec<bool>,
    late_us: u64,
    counters: RunCounters,
}

impl<'a> World<'a> {
    fn new(
        scenario: &'a Scenario,
        workload: &'a Workload,
        kind: PolicyKind,
        profile: &'a PolicyProfile,
    ) -> Self {
        let mut events = EventQueue::default();
        for (program, plan) in workload.programs.iter().enumerate() {
            events.push(plan.arrival_us, EventKind::ProgramArrives { program });
        }
        for (fault, entry) in scenario.faults.iter().enumerate() {
            events.push(
                entry.from * MICROS_PER_SECOND,
                EventKind::FaultBegins { fault },
            );
            events.push(
                entry.until * MICROS_PER_SECOND,
                EventKind::FaultEnds { fault },
            );
        }
        for replica in 0..scenario.replicas {
            let offset = REPORT_INTERVAL_US * replica as u64 / scenario.replicas as u64;
            events.push(offset, EventKind::ReportDue { replica });
        }
        let programs = workload
            .programs
            .iter()
            .enumerate()
            .map(|(program, plan)| ProgramRun {
                daemon: program % scenario.daemons,
                attained_tokens: 0,
                come_backs: 0,
                state: ProgramState::Running,
                deadline: stamp(plan.arrival_us + 10 * plan.ideal_us + DEADLINE_SLACK_US),
            })
            .collect();
        Self {
            scenario,
            workload,
            kind,
            profile,
            events,
            now_us: 0,
            random: Pcg64Mcg::seed_from_u64(scenario.seed + 2),
            engines: vec![EnginePool::new(scenario.engine.clone()); scenario.replicas],
            leaving_since_us: vec![None; scenario.replicas],
            daemons: (0..scenario.daemons)
                .map(|daemon| DaemonState::new(scenario, profile, daemon))
                .collect(),
            programs,
            agents: vec![AgentRun::default(); workload.agents.len()],
            calls: Vec::new(),
            is_prompt_warm: vec![false; WORKSPACE_PARTS.len()],
            late_us: 0,
            counters: RunCounters::default(),
        }
    }

    fn run(&mut self) {
        let end_us = (self.scenario.seconds + DRAIN_SECONDS) * MICROS_PER_SECOND;
        while let Some((at_us, kind)) = self.events.pop() {
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            self.apply(kind);
        }
    }

    fn now(&self) -> TimeStamp {
        stamp(self.now_us)
    }

    fn after(&mut self, delay_us: u64, kind: EventKind) {
        self.events.push(self.now_us + delay_us, kind);
    }

    fn apply(&mut self, kind: EventKind) {
        match kind {
            EventKind::ProgramArrives { program } => self.program_arrives(program),
            EventKind::TurnReady { agent } => self.turn_ready(agent),
            EventKind::CallArrives { call, attempt } => self.call_arrives(call, attempt),
            EventKind::StepEnds { replica, epoch } => self.step_ends(replica, epoch),
            EventKind::FirstToken { call, attempt } => self.first_token(call, attempt),
            EventKind::CallEnds {
                call,
                attempt,
                outcome,
            } => self.call_ends(call, attempt, outcome),
            EventKind::RetryDue { call } => self.submit(call),
            EventKind::ReportDue { replica } => self.report_due(replica),
            EventKind::ReportArrives { replica, report } => self.report_arrives(replica, report),
            EventKind::CacheEvent {
                daemon,
                replica,
                session,
                tokens,
                at,
                is_eviction,
            } => {
                let state = &mut self.daemons[daemon];
                let key = state.keys[replica];
                if is_eviction {
                    state.set.record_evicted(key, session, tokens, at);
                } else {
                    state.set.record_cached(key, session, tokens, at);
                }
            }
            EventKind::CacheGap { daemon, replica } => {
                let now = self.now();
                let state = &mut self.daemons[daemon];
                state.set.record_cache_gap(state.keys[replica], now);
            }
            EventKind::PumpDue { daemon } => {
                self.daemons[daemon].pump_due_us = u64::MAX;
                self.pump(daemon);
            }
            EventKind::FaultBegins { fault } => self.fault_begins(fault),
            EventKind::FaultEnds { fault } => self.fault_ends(fault),
            EventKind::StatusKnown { replica, is_live } => self.status_known(replica, is_live),
        }
    }

    fn program_arrives(&mut self, program: usize) {
        let plan = &self.workload.programs[program];
        self.agents[plan.root].context_tokens = shared_tokens(plan.workspace);
        self.turn_ready(plan.root);
    }

    fn turn_ready(&mut self, agent: usize) {
        let plan = &self.workload.agents[agent];
        if self.programs[plan.program].state != ProgramState::Running {
            return;
        }
        let workspace = self.workload.programs[plan.program].workspace;
        let run = &self.agents[agent];
        let turn = &plan.turns[run.turn];
        let is_first = run.turn == 0;
        let own_tokens = if is_first { 0 } else { run.context_tokens };
        let mut claims = vec![PrefixClaim {
            session: agent_session(agent),
            tokens: own_tokens,
        }];
        if let Some(parent) = plan.parent {
            claims.push(PrefixClaim {
                session: agent_session(parent),
                tokens: run.inherited_tokens,
            });
        }
        claims.push(PrefixClaim {
            session: SessionId::new(workspace as u64),
            tokens: shared_tokens(workspace),
        });
        let is_new = is_first && plan.parent.is_none();
        let reusable_tokens = if is_new && !self.is_prompt_warm[workspace] {
            0
        } else {
            run.context_tokens
        };
        self.calls.push(CallRun {
            agent,
            prompt_tokens: run.context_tokens + turn.new_tokens,
            output_tokens: turn.output_tokens,
            reusable_tokens,
            claims,
            attempt: 0,
            replica: None,
            flight: None,
            waiting: None,
            expected_tokens: 0,
            cached_tokens: 0,
            failed_at: None,
        });
        self.counters.calls += 1;
        let call = self.calls.len() - 1;
        self.submit(call);
    }

    /// Goes on with an agent after a call was answered.
    fn turn_answered(&mut self, call: usize) {
        let CallRun {
            agent,
            prompt_tokens,
            output_tokens,
            ..
        } = self.calls[call];
        let plan = &self.workload.agents[agent];
        let workspace = self.workload.programs[plan.program].workspace;
        self.is_prompt_warm[workspace] = true;
        count_second(&mut self.counters.answered_by_second, self.now_us);
        let run = &mut self.agents[agent];
        run.context_tokens = prompt_tokens + output_tokens;
        let context_tokens = run.context_tokens;
        let turn = &plan.turns[run.turn];
        run.turn += 1;
        run.pending_children = turn.children.len();
        if turn.children.is_empty() {
            self.turn_done(agent);
            return;
        }
        for child in &turn.children {
            self.agents[*child].context_tokens = context_tokens;
            self.agents[*child].inherited_tokens = context_tokens;
            self.turn_ready(*child);
        }
    }

    fn turn_done(&mut self, agent: usize) {
        let plan = &self.workload.agents[agent];
        let turn = self.agents[agent].turn;
        if turn < plan.turns.len() {
            let pause_us = plan.turns[turn - 1].pause_us;
            self.after(pause_us, EventKind::TurnReady { agent });
            return;
        }
        let Some(parent) = plan.parent else {
            self.programs[plan.program].state = ProgramState::Finished { at_us: self.now_us };
            return;
        };
        self.agents[parent].pending_children -= 1;
        if self.agents[parent].pending_children == 0 {
            self.turn_done(parent);
        }
    }

    /// Lets the caller of a refused call come back, or gives its program up.
    fn refused(&mut self, call: usize, retry_after_ms: u64) {
        let agent = self.calls[call].agent;
        let program = self.workload.agents[agent].program;
        let workspace = self.workload.programs[program].workspace;
        if is_over_rate(self.scenario, workspace) {
            self.counters.rightful_refusals += 1;
        } else {
            self.counters.wrongful_refusals += 1;
        }
        self.programs[program].come_backs += 1;
        if self.programs[program].come_backs > COME_BACKS_MAX {
            self.programs[program].state = ProgramState::Failed;
            return;
        }
        let jitter_ms = self.random.random_range(0..=retry_after_ms / 4);
        let delay_us = (retry_after_ms + jitter_ms) * MICROS_PER_MILLI;
        self.after(delay_us, EventKind::RetryDue { call });
    }

    fn call_arrives(&mut self, call: usize, attempt: u32) {
        let Some(replica) = self.calls[call].replica else {
            return;
        };
        if self.engines[replica].is_dead {
            let event = EventKind::CallEnds {
                call,
                attempt,
                outcome: FlightOutcome::Unreachable,
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

    fn begin_step(&mut self, replica: usize) {
        let mut outcome = StepOutcome::default();
        let micros = self.engines[replica].begin_step(&mut outcome);
        self.engines[replica].is_stepping = micros.is_some();
        if let Some(micros) = micros {
            let epoch = self.engines[replica].epoch;
            self.after(micros, EventKind::StepEnds { replica, epoch });
        }
        self.publish(replica, &outcome);
    }

    fn step_ends(&mut self, replica: usize, epoch: u64) {
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
                outcome: FlightOutcome::Succeeded,
            };
            self.after(NETWORK_US, event);
        }
        self.publish(replica, &outcome);
        self.begin_step(replica);
    }

    fn publish(&mut self, replica: usize, outcome: &StepOutcome) {
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
    fn publish_session(
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

    fn report_due(&mut self, replica: usize) {
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

    fn report_arrives(&mut self, replica: usize, report: LoadReport) {
        for daemon in 0..self.daemons.len() {
            let state = &mut self.daemons[daemon];
            state.set.record_load(state.keys[replica], report);
            self.pump(daemon);
        }
    }

    fn fault_begins(&mut self, fault: usize) {
        match self.scenario.faults[fault].kind {
            FaultKind::SlowReplica { replica, factor } => {
                self.engines[replica].slow_factor = factor;
            }
            FaultKind::DeadReplica { replica } => self.kill(replica, DEATH_LAG_US),
            FaultKind::Outage => {
                for replica in 0..self.engines.len() {
                    self.kill(replica, DEATH_LAG_US);
                }
            }
            FaultKind::LeavingReplica { replica } => {
                self.leaving_since_us[replica] = Some(self.now_us);
                let event = EventKind::StatusKnown {
                    replica,
                    is_live: false,
                };
                self.after(LIST_LAG_US, event);
            }
            FaultKind::BusyWorkspace { .. } => {}
            FaultKind::LateReports { millis } => self.late_us = millis * MICROS_PER_MILLI,
        }
    }

    fn fault_ends(&mut self, fault: usize) {
        match self.scenario.faults[fault].kind {
            FaultKind::SlowReplica { replica, .. } => self.engines[replica].slow_factor = 1.0,
            FaultKind::DeadReplica { replica } => self.revive(replica),
            FaultKind::Outage => {
                for replica in 0..self.engines.len() {
                    self.revive(replica);
                }
            }
            FaultKind::LeavingReplica { replica } => {
                self.kill(replica, LIST_LAG_US);
                self.leaving_since_us[replica] = None;
                self.revive(replica);
            }
            FaultKind::BusyWorkspace { .. } => {}
            FaultKind::LateReports { .. } => self.late_us = 0,
        }
    }

    fn kill(&mut self, replica: usize, lag_us: u64) {
        for (call, attempt) in self.engines[replica].kill() {
            let event = EventKind::CallEnds {
                call,
                attempt,
                outcome: FlightOutcome::Failed,
            };
            self.after(NETWORK_US, event);
        }
        let event = EventKind::StatusKnown {
            replica,
            is_live: false,
        };
        self.after(lag_us, event);
    }

    fn revive(&mut self, replica: usize) {
        self.engines[replica].is_dead = false;
        let event = EventKind::StatusKnown {
            replica,
            is_live: true,
        };
        self.after(LIST_LAG_US, event);
    }

    fn status_known(&mut self, replica: usize, is_live: bool) {
        let status = if is_live {
            ReplicaStatus::Live
        } else {
            ReplicaStatus::Leaving
        };
        for daemon in 0..self.daemons.len() {
            let state = &mut self.daemons[daemon];
            state.baseline.is_live[replica] = is_live;
            state.set.set_status(state.keys[replica], status);
            self.pump(daemon);
        }
    }
}

fn agent_session(agent: usize) -> SessionId {
    SessionId::new(AGENT_SESSIONS + agent as u64)
}

fn session_agent(session: SessionId) -> Option<usize> {
    let number = session.get().checked_sub(AGENT_SESSIONS)?;
    Some(number as usize)
}
