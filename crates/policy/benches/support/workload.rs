//! Generates programs with turns, tool pauses and sub-agents from a seed.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::engine::EngineSpec;
use super::event::MICROS_PER_SECOND;
use super::fault::FaultKind;
use super::scenario::{Deployment, Scenario, WORKSPACE_LOAD_SHARES};

/// Number of turns after which a looping program is stopped.
const LOOP_TURNS: usize = 40;
/// Duration of a tool call that hangs.
const HANGING_TOOL_US: u64 = 40 * MICROS_PER_SECOND;
/// Number of programs sampled to estimate the mean work of a program.
const CALIBRATION_PROGRAMS: usize = 2_000;

/// A model call and the tool pause that follows it.
#[derive(Clone, Debug)]
pub(crate) struct TurnPlan {
    pub(crate) new_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) pause_us: u64,
    /// Sub-agents that run after the call, as indices into `Workload::agents`.
    pub(crate) children: Vec<usize>,
}

/// Turns of a program's root agent or of a sub-agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentPlan {
    pub(crate) program: usize,
    pub(crate) parent: Option<usize>,
    pub(crate) turns: Vec<TurnPlan>,
}

/// A generated program, which is the same under every policy.
#[derive(Clone, Debug)]
pub(crate) struct ProgramPlan {
    pub(crate) workspace: usize,
    pub(crate) arrival_us: u64,
    /// Root agent, as an index into `Workload::agents`.
    pub(crate) root: usize,
    /// Latency of the program alone on idle engines with all prefixes cached.
    pub(crate) ideal_us: u64,
    /// Engine time that the program takes in full batches with all prefixes cached.
    pub(crate) work_us: f64,
}

/// All programs and agents of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workload {
    pub(crate) programs: Vec<ProgramPlan>,
    pub(crate) agents: Vec<AgentPlan>,
}

/// Returns the length of the system prompt that the programs of a workspace share.
pub(crate) fn system_prompt_tokens(workspace: usize) -> u32 {
    800 + 150 * workspace as u32
}

impl Workload {
    pub(crate) fn generate(scenario: &Scenario) -> Self {
        let rate = programs_per_second(scenario);
        let mut builder = WorkloadBuilder::new(scenario, scenario.seed);
        for (workspace, share) in WORKSPACE_LOAD_SHARES.iter().enumerate() {
            builder.add_arrivals(workspace, rate * share);
        }
        builder.workload
    }
}

/// Returns the program arrival rate that gives the load of the scenario.
fn programs_per_second(scenario: &Scenario) -> f64 {
    let mut builder = WorkloadBuilder::new(scenario, scenario.seed + 1);
    for _ in 0..CALIBRATION_PROGRAMS {
        let workspace = builder.draw_workspace();
        builder.add_program(workspace, 0);
    }
    let work_us: f64 = builder
        .workload
        .programs
        .iter()
        .map(|plan| plan.work_us)
        .sum();
    let work_seconds = work_us / CALIBRATION_PROGRAMS as f64 / MICROS_PER_SECOND as f64;
    scenario.load * scenario.replicas as f64 / work_seconds
}

struct WorkloadBuilder<'a> {
    scenario: &'a Scenario,
    random: Pcg64Mcg,
    workload: Workload,
}

impl<'a> WorkloadBuilder<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        Self {
            scenario,
            random: Pcg64Mcg::seed_from_u64(seed),
            workload: Workload::default(),
        }
    }

    fn draw_workspace(&mut self) -> usize {
        let mut remaining: f64 = self.random.random();
        for (workspace, share) in WORKSPACE_LOAD_SHARES.iter().enumerate() {
            remaining -= share;
            if remaining < 0.0 {
                return workspace;
            }
        }
        WORKSPACE_LOAD_SHARES.len() - 1
    }

    /// Adds programs of a workspace with Poisson arrivals over the run.
    fn add_arrivals(&mut self, workspace: usize, rate: f64) {
        // Each workspace has its own random stream, so that the overload of one
        // workspace does not change the programs of another.
        self.random = Pcg64Mcg::seed_from_u64(self.scenario.seed + 10 + workspace as u64);
        let mut second = 0.0;
        loop {
            let factor = self.rate_factor(workspace, second);
            second += self.draw_exponential(1.0) / (rate * factor);
            if second >= self.scenario.arrival_seconds as f64 {
                return;
            }
            self.add_program(workspace, (second * MICROS_PER_SECOND as f64) as u64);
        }
    }

    fn rate_factor(&self, workspace: usize, second: f64) -> f64 {
        self.scenario
            .faults
            .iter()
            .filter(|fault| fault.is_active(second))
            .find_map(|fault| match fault.kind {
                FaultKind::BusyWorkspace {
                    workspace: busy,
                    factor,
                } if busy == workspace => Some(factor),
                _ => None,
            })
            .unwrap_or(1.0)
    }

    fn add_program(&mut self, workspace: usize, arrival_us: u64) {
        let program = self.workload.programs.len();
        let turns = self.draw_turn_count();
        let root = self.add_agent(program, None, turns);
        let engine = &self.scenario.engine;
        let ideal_us = ideal_us(&self.workload.agents, root, engine);
        let work_us = work_us(&self.workload.agents, root, engine);
        self.workload.programs.push(ProgramPlan {
            workspace,
            arrival_us,
            root,
            ideal_us,
            work_us,
        });
    }

    fn draw_turn_count(&mut self) -> usize {
        if self
            .random
            .random_bool(self.scenario.looping_program_fraction)
        {
            return LOOP_TURNS;
        }
        match self.scenario.deployment {
            Deployment::Kermesse => self.random.random_range(1..=7),
            Deployment::Norrfrost if self.random.random_bool(0.6) => {
                self.random.random_range(1..=2)
            }
            Deployment::Norrfrost => self.random.random_range(5..=12),
        }
    }

    fn add_agent(&mut self, program: usize, parent: Option<usize>, turns: usize) -> usize {
        let agent = self.workload.agents.len();
        self.workload.agents.push(AgentPlan {
            program,
            parent,
            turns: Vec::new(),
        });
        for _ in 0..turns {
            let turn = self.draw_turn(program, parent, agent);
            self.workload.agents[agent].turns.push(turn);
        }
        agent
    }

    fn draw_turn(&mut self, program: usize, parent: Option<usize>, agent: usize) -> TurnPlan {
        let new_tokens = 40 + self.draw_exponential(260.0).min(3_000.0) as u32;
        let output_tokens = 20 + self.draw_exponential(100.0).min(800.0) as u32;
        let pause_us = self.draw_pause();
        let mut children = Vec::new();
        if parent.is_none() && self.random.random_bool(0.12) {
            for _ in 0..self.random.random_range(1..=3) {
                let turns = self.random.random_range(1..=3);
                children.push(self.add_agent(program, Some(agent), turns));
            }
        }
        TurnPlan {
            new_tokens,
            output_tokens,
            pause_us,
            children,
        }
    }

    fn draw_pause(&mut self) -> u64 {
        if self.random.random_bool(self.scenario.hanging_tool_fraction) {
            return HANGING_TOOL_US;
        }
        (self.draw_exponential(0.8) * MICROS_PER_SECOND as f64) as u64
    }

    fn draw_exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        -uniform.ln() * mean
    }
}

fn ideal_us(agents: &[AgentPlan], agent: usize, engine: &EngineSpec) -> u64 {
    let turns = &agents[agent].turns;
    let mut total = 0;
    for (index, turn) in turns.iter().enumerate() {
        total += engine.unbatched_us(turn.new_tokens, turn.output_tokens);
        let children = turn.children.iter();
        total += children
            .map(|child| ideal_us(agents, *child, engine))
            .max()
            .unwrap_or(0);
        if index + 1 < turns.len() {
            total += turn.pause_us;
        }
    }
    total
}

fn work_us(agents: &[AgentPlan], agent: usize, engine: &EngineSpec) -> f64 {
    let turns = agents[agent].turns.iter();
    turns
        .map(|turn| {
            let children = turn.children.iter();
            let children_us: f64 = children.map(|child| work_us(agents, *child, engine)).sum();
            children_us + engine.batched_us(turn.new_tokens, turn.output_tokens)
        })
        .sum()
}
