//! The types of a snapshot.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use ibisdale_core::{ModelName, ProgramName, RouteName, ServiceName, WorkspaceName};

use crate::snapshot::key_index::{KeyIndex, KeyMatch, WithdrawnKey};
use crate::snapshot::limits::{ProgramLimits, RateLimit};
use crate::table::FixedDecimal;

/// The models and services that may be called.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AccessList {
    /// Models.
    pub models: Vec<ModelName>,
    /// Services.
    pub services: Vec<ServiceName>,
}

impl AccessList {
    /// Tells whether the model may be called.
    #[must_use]
    pub fn has_model(&self, model: &ModelName) -> bool {
        self.models.contains(model)
    }

    /// Tells whether the service may be called.
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
    /// The rate of this program's requests, within the workspace's.
    pub rate_limit: RateLimit,
    /// The program's limits.
    pub limits: ProgramLimits,
    /// What the program may call.
    pub access: Arc<AccessList>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceSettings {
    /// The workspace's name.
    pub name: WorkspaceName,
    /// The rate of the workspace's requests across all VMs.
    pub rate_limit: RateLimit,
    /// The share of a busy engine, relative to other workspaces.
    pub weight: FixedDecimal,
    /// Copies of each history beside the owner's.
    pub history_copies: u64,
    /// The limits of programs that have none of their own.
    pub limits: ProgramLimits,
    /// What the workspace may call.
    pub access: Arc<AccessList>,
    /// Ordered by name.
    pub(crate) programs: Vec<ProgramSettings>,
}

impl WorkspaceSettings {
    /// Returns a program that the workspace may run.
    #[must_use]
    pub fn program(&self, name: &ProgramName) -> Option<&ProgramSettings> {
        let found = self
            .programs
            .binary_search_by(|program| program.name.cmp(name));
        found.ok().map(|index| &self.programs[index])
    }

    /// Iterates over the programs that the workspace may run, by name.
    pub fn programs(&self) -> impl Iterator<Item = &ProgramSettings> {
        self.programs.iter()
    }
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSettings {
    /// The model's name.
    pub name: ModelName,
    /// The group of the VM list that holds the replicas.
    pub vm_group: String,
    /// The file with the credential for the engines.
    pub credential_file: Option<PathBuf>,
    /// Whether the engines refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// The longest context, in tokens.
    pub context_tokens: u64,
    /// Whether the engines can resume a stream.
    pub resumes_streams: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The service's name.
    pub name: ServiceName,
    /// The group of the VM list that holds the replicas.
    pub vm_group: String,
    /// The file with the credential for the service.
    pub credential_file: Option<PathBuf>,
    /// Ordered by name.
    pub(crate) routes: Vec<RouteSettings>,
}

impl ServiceSettings {
    /// Returns a route of the service.
    #[must_use]
    pub fn route(&self, name: &RouteName) -> Option<&RouteSettings> {
        let found = self.routes.binary_search_by(|route| route.name.cmp(name));
        found.ok().map(|index| &self.routes[index])
    }

    /// Iterates over the service's routes, by name.
    pub fn routes(&self) -> impl Iterator<Item = &RouteSettings> {
        self.routes.iter()
    }
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSettings {
    /// The route's name.
    pub name: RouteName,
    /// The HTTP method.
    pub method: Method,
    /// The path at the upstream.
    pub path: String,
    /// Whether a call may be repeated.
    pub is_idempotent: bool,
    /// Whether the route may be called without a key.
    pub is_open: bool,
    /// The time in which the upstream must answer.
    pub timeout: Duration,
}

/// What waiting calls are ordered for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SchedulingProfile {
    /// The worst-served workspace.
    #[default]
    Fairness,
    /// The latency of whole programs.
    Latency,
}

/// How waiting calls are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingSettings {
    /// The profile, which decides weights that are not set.
    pub profile: SchedulingProfile,
    /// The weight of what a workspace was served less than its share.
    pub fairness_weight: Option<FixedDecimal>,
    /// The weight of the service a program has had.
    pub progress_weight: Option<FixedDecimal>,
    /// The weight of the time left to a program's deadline.
    pub deadline_weight: Option<FixedDecimal>,
    /// The weight of a cached prefix in the choice of a replica.
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

/// The settings of one revision; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct SettingsSnapshot(pub(crate) Arc<SnapshotData>);

impl SettingsSnapshot {
    /// Creates the settings of a fleet where none were applied: revision 0,
    /// nothing in it.
    #[must_use]
    pub fn empty() -> Self {
        Self::default()
    }

    /// Returns the revision, which rises with each accepted change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.0.revision
    }

    /// Tells which workspace a caller's key is for.
    ///
    /// The cost grows with the logarithm of the number of keys.
    #[must_use]
    pub fn authenticate(&self, key: &[u8]) -> KeyMatch {
        self.0.keys.find(key)
    }

    /// Returns the keys that were in force in `earlier` and are not any more.
    #[must_use]
    pub fn withdrawn_since(&self, earlier: &Self) -> Vec<WithdrawnKey> {
        earlier.0.keys.withdrawn_in(&self.0.keys)
    }

    /// Returns how waiting calls are ordered.
    #[must_use]
    pub fn scheduling(&self) -> SchedulingSettings {
        self.0.scheduling
    }

    /// Returns a workspace.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Arc<WorkspaceSettings>> {
        self.0.workspaces.get(name)
    }

    /// Returns a program that a workspace may run.
    #[must_use]
    pub fn program(
        &self,
        workspace: &WorkspaceName,
        program: &ProgramName,
    ) -> Option<&ProgramSettings> {
        self.workspace(workspace)?.program(program)
    }

    /// Returns a model.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&Arc<ModelSettings>> {
        self.0.models.get(name)
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSettings>> {
        self.0.services.get(name)
    }

    /// Returns a route of a service.
    #[must_use]
    pub fn route(&self, service: &ServiceName, route: &RouteName) -> Option<&RouteSettings> {
        self.service(service)?.route(route)
    }

    /// Iterates over all workspaces, in no order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceSettings>> {
        self.0.workspaces.values()
    }

    /// Iterates over all models, in no order.
    pub fn models(&self) -> impl Iterator<Item = &Arc<ModelSettings>> {
        self.0.models.values()
    }

    /// Iterates over all services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSettings>> {
        self.0.services.values()
    }
}
