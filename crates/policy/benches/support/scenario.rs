//! Size, load and faults of a simulated run.

use ibisdale_policy::PolicyProfile;

use super::engine::EngineSpec;
use super::fault::ScheduledFault;

/// A simulated deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// 7 daemons and 20 replicas, with the fairness profile.
    Kermesse,
    /// 6 daemons and 10 replicas, with the latency profile.
    Norrfrost,
}

impl Deployment {
    pub(crate) fn profile(self) -> PolicyProfile {
        match self {
            Self::Kermesse => PolicyProfile::fairness(),
            Self::Norrfrost => PolicyProfile::latency(),
        }
    }
}

/// Configuration of a run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) deployment: Deployment,
    pub(crate) daemons: usize,
    pub(crate) replicas: usize,
    pub(crate) domains: usize,
    pub(crate) engine: EngineSpec,
    /// Offered work as a fraction of the work that the engines can do when every
    /// prefix is cached.
    pub(crate) load: f64,
    /// Time during which programs arrive.
    pub(crate) arrival_seconds: u64,
    pub(crate) seed: u64,
    pub(crate) faults: Vec<ScheduledFault>,
    /// Fraction of the tool calls that hang.
    pub(crate) hanging_tool_fraction: f64,
    /// Fraction of the programs that loop until their turn limit.
    pub(crate) looping_program_fraction: f64,
    /// Fraction of the cache events that are lost.
    pub(crate) lost_event_fraction: f64,
}

/// Share of each workspace in the load, which is also its weight in the queue.
pub(crate) const WORKSPACE_LOAD_SHARES: [f64; 8] = [0.34, 0.24, 0.16, 0.10, 0.06, 0.05, 0.03, 0.02];

impl Scenario {
    pub(crate) fn new(name: &'static str, deployment: Deployment) -> Self {
        let (daemons, replicas, domains) = match deployment {
            Deployment::Kermesse => (7, 20, 4),
            Deployment::Norrfrost => (6, 10, 3),
        };
        Self {
            name,
            deployment,
            daemons,
            replicas,
            domains,
            engine: EngineSpec::default(),
            load: 0.7,
            arrival_seconds: 180,
            seed: 20_261_203,
            faults: Vec::new(),
            hanging_tool_fraction: 0.0,
            looping_program_fraction: 0.0,
            lost_event_fraction: 0.02,
        }
    }

    pub(crate) fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    pub(crate) fn arrival_seconds(mut self, arrival_seconds: u64) -> Self {
        self.arrival_seconds = arrival_seconds;
        self
    }

    pub(crate) fn fault(mut self, fault: ScheduledFault) -> Self {
        self.faults.push(fault);
        self
    }

    pub(crate) fn lost_event_fraction(mut self, fraction: f64) -> Self {
        self.lost_event_fraction = fraction;
        self
    }

    pub(crate) fn misbehaving_programs(
        mut self,
        hanging_tool_fraction: f64,
        looping_program_fraction: f64,
    ) -> Self {
        self.hanging_tool_fraction = hanging_tool_fraction;
        self.looping_program_fraction = looping_program_fraction;
        self
    }
}
