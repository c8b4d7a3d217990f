//! Event loop that simulates programs, daemons and engines in virtual time.

use ibisdale_core::TimeStamp;
use ibisdale_policy::{PolicyProfile, SessionId, SharedPrefix};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::daemon::{DaemonState, PolicyKind};
use super::engine::Engine;
use super::event::{EventKind, EventQueue, MICROS_PER_MILLI, MICROS_PER_SECOND, time_stamp};
use super::measure::{RunCounters, RunMetrics, count_second, is_over_rate};
use super::runs::{AgentRun, CallRun, MAX_REFUSALS, ProgramRun, ProgramState};
use super::scenario::{Scenario, WORKSPACE_LOAD_SHARES};
use super::workload::{Workload, system_prompt_tokens};

mod dispatch;
mod engines;
mod faults;

/// Time from the end of the arrivals to the end of the run.
const DRAIN_SECONDS: u64 = 120;
const REPORT_INTERVAL_US: u64 = MICROS_PER_SECOND;
const REPORT_LAG_US: u64 = 300 * MICROS_PER_MILLI;
const CACHE_EVENT_LAG_US: std::ops::Range<u64> = 200 * MICROS_PER_MILLI..1_500 * MICROS_PER_MILLI;
/// One-way network delay between daemon and engine.
const NETWORK_US: u64 = 1_500;
/// Delay until the VM list shows that a replica is leaving or live again.
const VM_LIST_LAG_US: u64 = 2 * MICROS_PER_SECOND;
/// Delay until the VM list shows that a replica is dead.
const DEATH_LAG_US: u64 = 5 * MICROS_PER_SECOND;
/// Time after which a leaving replica must receive no new calls.
const LEAVING_GRACE_US: u64 = 3 * MICROS_PER_SECOND;
/// A program's deadline is ten times its ideal latency plus this after its arrival.
const DEADLINE_SLACK_US: u64 = 60 * MICROS_PER_SECOND;
/// Lowest session identifier of agents; lower ones are the system prompts of workspaces.
const FIRST_AGENT_SESSION: u64 = 1_000;

/// Simulates a scenario under a policy.
pub(crate) fn run_scenario(
    scenario: &Scenario,
    kind: PolicyKind,
    profile: &PolicyProfile,
) -> RunMetrics {
    let workload = Workload::generate(scenario);
    let mut world = World::new(scenario, &workload, kind, profile);
    world.run();
    for engine in &world.engines {
        world.counters.wasted_tokens += engine.wasted_tokens;
        world.counters.computed_tokens += engine.computed_tokens;
    }
    RunMetrics::collect(scenario, &workload, &world.programs, &world.counters)
}

/// State of the simulation.
struct World<'a> {
    scenario: &'a Scenario,
    workload: &'a Workload,
    kind: PolicyKind,
    profile: &'a PolicyProfile,
    events: EventQueue,
    now_us: u64,
    random: Pcg64Mcg,
    engines: Vec<Engine>,
    leaving_since_us: Vec<Option<u64>>,
    daemons: Vec<DaemonState>,
    programs: Vec<ProgramRun>,
    agents: Vec<AgentRun>,
    calls: Vec<CallRun>,
    /// Whether some engine has computed the system prompt, by workspace.
    is_system_prompt_computed: Vec<bool>,
    /// Additional delay of load reports and cache events.
    extra_lag_us: u64,
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
                entry.start_seconds * MICROS_PER_SECOND,
                EventKind::FaultBegins { fault },
            );
            events.push(
                entry.end_seconds * MICROS_PER_SECOND,
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
                refusals: 0,
                state: ProgramState::Running,
                deadline: time_stamp(plan.arrival_us + 10 * plan.ideal_us + DEADLINE_SLACK_US),
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
            engines: vec![Engine::new(scenario.engine.clone()); scenario.replicas],
            leaving_since_us: vec![None; scenario.replicas],
            daemons: (0..scenario.daemons)
                .map(|daemon| DaemonState::new(scenario, profile, daemon))
                .collect(),
            programs,
            agents: vec![AgentRun::default(); workload.agents.len()],
            calls: Vec::new(),
            is_system_prompt_computed: vec![false; WORKSPACE_LOAD_SHARES.len()],
            extra_lag_us: 0,
            counters: RunCounters::default(),
        }
    }

    fn run(&mut self) {
        let end_us = (self.scenario.arrival_seconds + DRAIN_SECONDS) * MICROS_PER_SECOND;
        while let Some((at_us, kind)) = self.events.pop() {
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            self.handle(kind);
        }
    }

    fn now(&self) -> TimeStamp {
        time_stamp(self.now_us)
    }

    fn schedule(&mut self, delay_us: u64, kind: EventKind) {
        self.events.push(self.now_us + delay_us, kind);
    }

    fn handle(&mut self, kind: EventKind) {
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
                let key = state.replica_keys[replica];
                if is_eviction {
                    state.replica_set.record_evicted(key, session, tokens, at);
                } else {
                    state.replica_set.record_cached(key, session, tokens, at);
                }
            }
            EventKind::CacheGap { daemon, replica } => {
                let now = self.now();
                let state = &mut self.daemons[daemon];
                state
                    .replica_set
                    .record_cache_gap(state.replica_keys[replica], now);
            }
            EventKind::DispatchDue { daemon } => {
                self.daemons[daemon].dispatch_due_us = u64::MAX;
                self.dispatch_queued(daemon);
            }
            EventKind::FaultBegins { fault } => self.fault_begins(fault),
            EventKind::FaultEnds { fault } => self.fault_ends(fault),
            EventKind::VmListChanges { replica, is_live } => self.vm_list_changes(replica, is_live),
        }
    }

    fn program_arrives(&mut self, program: usize) {
        let plan = &self.workload.programs[program];
        self.agents[plan.root].context_tokens = system_prompt_tokens(plan.workspace);
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
        let mut prefixes = vec![SharedPrefix {
            session: session_of_agent(agent),
            tokens: own_tokens,
        }];
        if let Some(parent) = plan.parent {
            prefixes.push(SharedPrefix {
                session: session_of_agent(parent),
                tokens: run.inherited_tokens,
            });
        }
        prefixes.push(SharedPrefix {
            session: SessionId::new(workspace as u64),
            tokens: system_prompt_tokens(workspace),
        });
        let is_program_start = is_first && plan.parent.is_none();
        let reusable_tokens = if is_program_start && !self.is_system_prompt_computed[workspace] {
            0
        } else {
            run.context_tokens
        };
        self.calls.push(CallRun {
            agent,
            prompt_tokens: run.context_tokens + turn.new_tokens,
            output_tokens: turn.output_tokens,
            reusable_tokens,
            prefixes,
            attempt: 0,
            replica: None,
            in_flight_key: None,
            queue_key: None,
            expected_tokens: 0,
            cached_tokens: 0,
            failed_replica: None,
        });
        self.counters.calls += 1;
        let call = self.calls.len() - 1;
        self.submit(call);
    }

    /// Continues an agent after one of its calls was answered.
    fn turn_answered(&mut self, call: usize) {
        let CallRun {
            agent,
            prompt_tokens,
            output_tokens,
            ..
        } = self.calls[call];
        let plan = &self.workload.agents[agent];
        let workspace = self.workload.programs[plan.program].workspace;
        self.is_system_prompt_computed[workspace] = true;
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
            self.schedule(pause_us, EventKind::TurnReady { agent });
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

    /// Schedules the retry of a refused call, or fails its program after too many
    /// refusals.
    fn handle_refusal(&mut self, call: usize, retry_after_ms: u64) {
        let agent = self.calls[call].agent;
        let program = self.workload.agents[agent].program;
        let workspace = self.workload.programs[program].workspace;
        if is_over_rate(self.scenario, workspace) {
            self.counters.refusals_over_rate += 1;
        } else {
            self.counters.refusals_within_rate += 1;
        }
        self.programs[program].refusals += 1;
        if self.programs[program].refusals > MAX_REFUSALS {
            self.programs[program].state = ProgramState::Failed;
            return;
        }
        let jitter_ms = self.random.random_range(0..=retry_after_ms / 4);
        let delay_us = (retry_after_ms + jitter_ms) * MICROS_PER_MILLI;
        self.schedule(delay_us, EventKind::RetryDue { call });
    }
}

fn session_of_agent(agent: usize) -> SessionId {
    SessionId::new(FIRST_AGENT_SESSION + agent as u64)
}

fn agent_of_session(session: SessionId) -> Option<usize> {
    let number = session.get().checked_sub(FIRST_AGENT_SESSION)?;
    Some(number as usize)
}
