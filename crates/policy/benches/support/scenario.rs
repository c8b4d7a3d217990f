//! Sizes, load and faults of a run.

use ibisdale_policy::PolicyProfile;

use super::engine::EngineModel;
use super::fault::FaultEntry;

/// The two deployments that the policy is measured on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deployment {
    Kermesse,
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

/// One run of the pool.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) deployment: Deployment,
    pub(crate) daemons: usize,
    pub(crate) replicas: usize,
    pub(crate) domains: usize,
    pub(crate) engine: EngineModel,
    /// Work offered over the work that the engines can do when every prefix is
    /// found cached.
    pub(crate) load: f64,
    /// Time during which programs arrive, in seconds.
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    pub(crate) faults: Vec<FaultEntry>,
    /// Part of the tool calls that hang.
    pub(crate) hanging_tools: f64,
    /// Part of the programs that loop until their step limit.
    pub(crate) looping_programs: f64,
    /// Part of the cache events that are lost.
    pub(crate) lost_events: f64,
}

/// Parts of the load that the workspaces bring.
pub(crate) const WORKSPACE_PARTS: [f64; 8] = [0.34, 0.24, 0.16, 0.10, 0.06, 0.05, 0.03, 0.02];

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
            engine: EngineModel::default(),
            load: 0.7,
            seconds: 180,
            seed: 20_261_203,
            faults: Vec::new(),
            hanging_tools: 0.0,
            looping_programs: 0.0,
            lost_events: 0.02,
        }
    }

    pub(crate) fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    pub(crate) fn seconds(mut self, seconds: u64) -> Self {
        self.seconds = seconds;
        self
    }

    pub(crate) fn fault(mut self, fault: FaultEntry) -> Self {
        self.faults.push(fault);
        self
    }

    pub(crate) fn lost_events(mut self, part: f64) -> Self {
        self.lost_events = part;
        self
    }

    pub(crate) fn misbehaving_programs(mut self, hanging: f64, looping: f64) -> Self {
        self.hanging_tools = hanging;
        self.looping_programs = looping;
        self
    }
}
