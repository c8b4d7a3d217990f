//! Programs generated from a seed: several turns, tool pauses and sub-agents.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::engine::EngineModel;
use super::event::MICROS_PER_SECOND;
use super::fault::FaultKind;
use super::scenario::{Deployment, Scenario, WORKSPACE_PARTS};

/// Turns after which a looping program is stopped.
const LOOP_TURNS: usize = 40;
/// Time that a hanging tool takes.
const HANGING_TOOL_US: u64 = 40 * MICROS_PER_SECOND;
/// Programs that the mean work of a program is taken from.
const CALIBRATION_PROGRAMS: usize = 2_000;

/// One model call and the pause that follows it.
#[derive(Clone, Debug)]
pub(crate) struct TurnPlan {
    pub(crate) new_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) pause_us: u64,
    /// Sub-agents that run after the call, by position among the agents.
    pub(crate) children: Vec<usize>,
}

/// The calls of a program or sub-agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentPlan {
    pub(crate) program: usize,
    pub(crate) parent: Option<usize>,
    pub(crate) turns: Vec<TurnPlan>,
}

/// A program as it will run, whatever the policy.
#[derive(Clone, Debug)]
pub(crate) struct ProgramPlan {
    pub(crate) workspace: usize,
    pub(crate) arrival_us: u64,
    pub(crate) root: usize,
    /// Latency of the program alone on idle engines with all prefixes cached.
    pub(crate) ideal_us: u64,
    /// Work on the engines with all prefixes cached.
    pub(crate) work_us: f64,
}

/// All programs of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workload {
    pub(crate) programs: Vec<ProgramPlan>,
    pub(crate) agents: Vec<AgentPlan>,
}

/// Length of the system prompt of a workspace's programs, in tokens.
pub(crate) fn shared_tokens(workspace: usize) -> u32 {
    800 + 150 * workspace as u32
}

impl Workload {
    pub(crate) fn generate(scenario: &Scenario) -> Self {
        let rate = programs_per_second(scenario);
        let mut builder = WorkloadBuilder::new(scenario, scenario.seed);
        for (workspace, part) in WORKSPACE_PARTS.iter().enumerate() {
            builder.add_arrivals(workspace, rate * part);
        }
        builder.load
    }
}

/// Returns the rate at which programs bring the wanted load.
fn programs_per_second(scenario: &Scenario) -> f64 {
    let mut builder = WorkloadBuilder::new(scenario, scenario.seed + 1);
    for _ in 0..CALIBRATION_PROGRAMS {
        let workspace = builder.draw_workspace();
        builder.add_program(workspace, 0);
    }
    let work_us: f64 = builder.load.programs.iter().map(|plan| plan.work_us).sum();
    let work_seconds = work_us / CALIBRATION_PROGRAMS as f64 / MICROS_PER_SECOND as f64;
    scenario.load * scenario.replicas as f64 / work_seconds
}

struct WorkloadBuilder<'a> {
    scenario: &'a Scenario,
    random: Pcg64Mcg,
    load: Workload,
}

impl<'a> WorkloadBuilder<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        Self {
            scenario,
            random: Pcg64Mcg::seed_from_u64(seed),
            load: Workload::default(),
        }
    }

    fn draw_workspace(&mut self) -> usize {
        let mut left: f64 = self.random.random();
        for (workspace, part) in WORKSPACE_PARTS.iter().enumerate() {
            left -= part;
            if left < 0.0 {
                return workspace;
            }
        }
        WORKSPACE_PARTS.len() - 1
    }

    /// Draws Poisson arrivals of a workspace over the run.
    fn add_arrivals(&mut self, workspace: usize, rate: f64) {
        // Each workspace has its own stream, so that another's overload does
        // not change the programs of this one.
        self.random = Pcg64Mcg::seed_from_u64(self.scenario.seed + 10 + workspace as u64);
        let mut second = 0.0;
        loop {
            let factor = self.rate_factor(workspace, second);
            second += self.exponential(1.0) / (rate * factor);
            if second >= self.scenario.seconds as f64 {
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
        let program = self.load.programs.len();
        let turns = self.draw_turn_count();
        let root = self.add_agent(program, None, turns);
        let engine = &self.scenario.engine;
        let ideal_us = ideal_us(&self.load.agents, root, engine);
        let work_us = work_us(&self.load.agents, root, engine);
        self.load.programs.push(ProgramPlan {
            workspace,
            arrival_us,
            root,
            ideal_us,
            work_us,
        });
    }

    fn draw_turn_count(&mut self) -> usize {
        if self.random.random_bool(self.scenario.looping_programs) {
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
        let agent = self.load.agents.len();
        self.load.agents.push(AgentPlan {
            program,
            parent,
            turns: Vec::new(),
        });
        for _ in 0..turns {
            let turn = self.draw_turn(program, parent, agent);
            self.load.agents[agent].turns.push(turn);
        }
        agent
    }

    fn draw_turn(&mut self, program: usize, parent: Option<usize>, agent: usize) -> TurnPlan {
        let new_tokens = 40 + self.exponential(260.0).min(3_000.0) as u32;
        let output_tokens = 20 + self.exponential(100.0).min(800.0) as u32;
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
        if self.random.random_bool(self.scenario.hanging_tools) {
            return HANGING_TOOL_US;
        }
        (self.exponential(0.8) * MICROS_PER_SECOND as f64) as u64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        -uniform.ln() * mean
    }
}

fn ideal_us(agents: &[AgentPlan], agent: usize, engine: &EngineModel) -> u64 {
    let turns = &agents[agent].turns;
    let mut total = 0;
    for (index, turn) in turns.iter().enumerate() {
        total += engine.alone_us(turn.new_tokens, turn.output_tokens);
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

fn work_us(agents: &[AgentPlan], agent: usize, engine: &EngineModel) -> f64 {
    let turns = agents[agent].turns.iter();
    turns
        .map(|turn| {
            let children = turn.children.iter();
            let below: f64 = children.map(|child| work_us(agents, *child, engine)).sum();
            below + engine.batched_us(turn.new_tokens, turn.output_tokens)
        })
        .sum()
}
