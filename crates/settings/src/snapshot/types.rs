//! The types that make up a settings snapshot.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use ibisdale_core::{ModelName, ProgramName, RouteName, ServiceName, WorkspaceName};

use crate::snapshot::key_index::{DeactivatedKey, KeyIndex, KeyMatch};
use crate::snapshot::limits::{ProgramLimits, RateLimit};
use crate::table::FixedDecimal;

/// The models and services that a workspace or program may call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AccessList {
    /// The permitted models.
    pub models: Vec<ModelName>,
    /// The permitted services.
    pub services: Vec<ServiceName>,
}

impl AccessList {
    /// Returns whether the model may be called.
    #[must_use]
    pub fn has_model(&self, model: &ModelName) -> bool {
        self.models.contains(model)
    }

    /// Returns whether the service may be called.
    #[must_use]
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }
}

/// A program that a workspace may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramSettings {
    /// The program's name.
    pub name: ProgramName,
    /// The rate limit of this program's starts, which also count towards the
    /// workspace's limit.
    pub rate_limit: RateLimit,
    /// The default and largest limits of the program's runs.
    pub limits: ProgramLimits,
    /// The models and services that the program may call.
    pub access: Arc<AccessList>,
}

/// The settings of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceSettings {
    /// The workspace's name.
    pub name: WorkspaceName,
    /// The rate limit of the workspace's requests, summed over all VMs.
    pub rate_limit: RateLimit,
    /// The workspace's share of a saturated engine, relative to other workspaces.
    pub weight: FixedDecimal,
    /// The number of copies of each program's history, not counting that of the
    /// daemon that runs the program.
    pub history_copies: u64,
    /// The limits of programs that do not set their own.
    pub limits: ProgramLimits,
    /// The models and services that the workspace may call.
    pub access: Arc<AccessList>,
    /// Sorted by name for binary search.
    pub(crate) programs: Vec<ProgramSettings>,
}

impl WorkspaceSettings {
    /// Returns the program with this name, if the workspace may run it.
    #[must_use]
    pub fn program(&self, name: &ProgramName) -> Option<&ProgramSettings> {
        let found = self
            .programs
            .binary_search_by(|program| program.name.cmp(name));
        found.ok().map(|index| &self.programs[index])
    }

    /// Iterates over the programs that the workspace may run, sorted by name.
    pub fn programs(&self) -> impl Iterator<Item = &ProgramSettings> {
        self.programs.iter()
    }
}

/// The settings of a model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSettings {
    /// The model's name.
    pub name: ModelName,
    /// The group in the VM list with the model's replicas.
    pub vm_group: String,
    /// The file with the credential that is sent to the engines.
    pub credential_file: Option<PathBuf>,
    /// Whether the engines reject commands with an outdated fencing number.
    pub checks_fencing: bool,
    /// The maximum context length, in tokens.
    pub context_tokens: u64,
    /// Whether the engines can resume an interrupted stream.
    pub resumes_streams: bool,
}

/// The settings of an HTTP service that is not a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The service's name.
    pub name: ServiceName,
    /// The group in the VM list with the service's replicas.
    pub vm_group: String,
    /// The file with the credential that is sent to the service.
    pub credential_file: Option<PathBuf>,
    /// Sorted by name for binary search.
    pub(crate) routes: Vec<RouteSettings>,
}

impl ServiceSettings {
    /// Returns the service's route with this name.
    #[must_use]
    pub fn route(&self, name: &RouteName) -> Option<&RouteSettings> {
        let found = self.routes.binary_search_by(|route| route.name.cmp(name));
        found.ok().map(|index| &self.routes[index])
    }

    /// Iterates over the service's routes, sorted by name.
    pub fn routes(&self) -> impl Iterator<Item = &RouteSettings> {
        self.routes.iter()
    }
}

/// The settings of a route of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSettings {
    /// The route's name.
    pub name: RouteName,
    /// The HTTP method.
    pub method: Method,
    /// The URL path at the upstream.
    pub path: String,
    /// Whether calls may be retried; if not, they are paid actions.
    pub is_idempotent: bool,
    /// Whether the route may be called without a key.
    pub is_open: bool,
    /// The time limit of a call, including its wait in the queue.
    pub timeout: Duration,
}

/// The objective by which queued calls are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SchedulingProfile {
    /// Max-min fairness between workspaces.
    #[default]
    Fairness,
    /// Low latency of whole programs.
    Latency,
}

/// The settings for ordering queued calls and choosing replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingSettings {
    /// The profile, which determines the weights that are not set.
    pub profile: SchedulingProfile,
    /// The weight of a workspace's service deficit relative to its share.
    pub fairness_weight: Option<FixedDecimal>,
    /// The weight of a program's attained service.
    pub progress_weight: Option<FixedDecimal>,
    /// The weight of the time left until a program's deadline.
    pub deadline_weight: Option<FixedDecimal>,
    /// The weight of a cached prefix when a replica is chosen.
    pub cache_weight: Option<FixedDecimal>,
}

#[derive(Debug, Default)]
pub(crate) struct SnapshotData {
    pub(crate) revision: u64,
    pub(crate) scheduling: SchedulingSettings,
    pub(crate) models: HashMap<ModelName, Arc<ModelSettings>>,
    pub(crate) services: HashMap<ServiceName, Arc<ServiceSettings>>,
    pub(crate) workspaces: HashMap<WorkspaceName, Arc<WorkspaceSettings>>,
    pub(crate) keys: KeyIndex,
}

/// The settings of one revision; clones share the data.
#[derive(Clone, Debug, Default)]
pub struct SettingsSnapshot(pub(crate) Arc<SnapshotData>);

impl SettingsSnapshot {
    /// Creates empty settings, used before the first revision is applied:
    /// revision 0, without workspaces, models and services.
    #[must_use]
    pub fn empty() -> Self {
        Self::default()
    }

    /// Returns the revision number, which increases with each accepted change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.0.revision
    }

    /// Looks up the workspace that a caller's key belongs to.
    ///
    /// Takes time logarithmic in the number of keys.
    #[must_use]
    pub fn authenticate(&self, key: &[u8]) -> KeyMatch {
        self.0.keys.find(key)
    }

    /// Returns the keys that were active in `earlier` and no longer are, since
    /// they were withdrawn, removed or moved to another workspace.
    #[must_use]
    pub fn deactivated_since(&self, earlier: &Self) -> Vec<DeactivatedKey> {
        earlier.0.keys.deactivated_in(&self.0.keys)
    }

    /// Returns the settings for ordering queued calls and choosing replicas.
    #[must_use]
    pub fn scheduling(&self) -> SchedulingSettings {
        self.0.scheduling
    }

    /// Returns the workspace with this name.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Arc<WorkspaceSettings>> {
        self.0.workspaces.get(name)
    }

    /// Returns a program by its name and workspace, if the workspace may run it.
    #[must_use]
    pub fn program(
        &self,
        workspace: &WorkspaceName,
        program: &ProgramName,
    ) -> Option<&ProgramSettings> {
        self.workspace(workspace)?.program(program)
    }

    /// Returns the model with this name.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&Arc<ModelSettings>> {
        self.0.models.get(name)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSettings>> {
        self.0.services.get(name)
    }

    /// Returns a route by its name and service.
    #[must_use]
    pub fn route(&self, service: &ServiceName, route: &RouteName) -> Option<&RouteSettings> {
        self.service(service)?.route(route)
    }

    /// Iterates over all workspaces, in arbitrary order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceSettings>> {
        self.0.workspaces.values()
    }

    /// Iterates over all models, in arbitrary order.
    pub fn models(&self) -> impl Iterator<Item = &Arc<ModelSettings>> {
        self.0.models.values()
    }

    /// Iterates over all services, in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSettings>> {
        self.0.services.values()
    }
}
