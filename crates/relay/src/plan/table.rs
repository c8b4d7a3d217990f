//! The complete configuration and its lookup indexes.

use std::collections::HashMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::limits::TrafficLimits;
use super::memory_spans::MemorySpans;
use super::route::{ExecutionSemantics, RouteRule};
use super::service::ServiceSpec;
use super::workspace::WorkspaceSpec;

/// Minimum program retention, in milliseconds; keeps programs with requests in
/// flight if the routes set a shorter retention or none.
const RETENTION_MIN_MS: u64 = 30_000;

/// A version of the gateway configuration; log events and metrics call it the plan.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct DeploymentPlan {
    version: u64,
    limits: TrafficLimits,
    routes: Vec<RouteRule>,
    services: Vec<ServiceSpec>,
    workspaces: Option<Vec<WorkspaceSpec>>,
    #[serde(skip)]
    routes_by_host: HashMap<Bytes, Vec<usize>>,
    #[serde(skip)]
    workspaces_by_key: HashMap<Bytes, usize>,
}

impl DeploymentPlan {
    /// Creates a plan; `workspaces` is `None` if requests need no key.
    #[must_use]
    pub fn new(
        version: u64,
        limits: TrafficLimits,
        routes: Vec<RouteRule>,
        services: Vec<ServiceSpec>,
        workspaces: Option<Vec<WorkspaceSpec>>,
    ) -> Self {
        let plan = Self {
            version,
            limits,
            routes,
            services,
            workspaces,
            ..Self::default()
        };
        plan.with_indexes()
    }

    /// Builds the lookup indexes, which are not serialized; call it after deserializing.
    #[must_use]
    pub fn with_indexes(mut self) -> Self {
        self.routes_by_host.clear();
        self.workspaces_by_key.clear();
        for (index, route) in self.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            let routes = self.routes_by_host.entry(host.into()).or_default();
            routes.push(index);
        }
        for routes in self.routes_by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(self.routes[*index].path_prefix.len()));
        }
        for (index, workspace) in self.workspaces.iter().flatten().enumerate() {
            for key in &workspace.keys {
                self.workspaces_by_key.insert(key.clone(), index);
            }
        }
        self
    }

    /// Returns the version number; newer versions have greater numbers.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on client requests and connections.
    #[must_use]
    pub fn get_limits(&self) -> TrafficLimits {
        self.limits
    }

    /// Returns all routes.
    #[must_use]
    pub fn get_routes(&self) -> &[RouteRule] {
        &self.routes
    }

    /// Returns whether the system keeps the turns of any route.
    #[must_use]
    pub fn keeps_turns(&self) -> bool {
        self.routes.iter().any(|route| route.keeps_turns)
    }

    /// Returns the longest program retention of all routes, in milliseconds, but at least
    /// the minimum.
    #[must_use]
    pub fn get_retention_ms(&self) -> u64 {
        let retentions = self.routes.iter().map(|route| route.retention_ms);
        retentions.max().unwrap_or_default().max(RETENTION_MIN_MS)
    }

    /// Returns the longest time from the first event of a stream to the last attempt to take
    /// it up, in milliseconds: twice the longest time limit of the routes whose streams can
    /// be resumed, since an attempt that takes a stream up may break off as well.
    #[must_use]
    pub fn get_resume_window_ms(&self) -> u64 {
        let routes = self.routes.iter();
        let resumable = routes.filter(|route| route.kind == ExecutionSemantics::StreamResumable);
        2 * resumable.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    /// Returns the times for which streams and programs that began under this version are
    /// remembered.
    #[must_use]
    pub fn get_memory_spans(&self) -> MemorySpans {
        let requests = self.routes.iter().map(|route| route.timeout_ms);
        MemorySpans {
            resume_ms: self.get_resume_window_ms(),
            retention_ms: self.get_retention_ms(),
            request_ms: requests.max().unwrap_or_default(),
        }
    }

    /// Returns all workspaces.
    #[must_use]
    pub fn get_workspaces(&self) -> &[WorkspaceSpec] {
        self.workspaces.as_deref().unwrap_or_default()
    }

    /// Returns whether requests need a key, except on open routes.
    #[must_use]
    pub fn requires_key(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Finds the route of a host with the longest matching path prefix.
    #[must_use]
    pub fn find_route(&self, host: &[u8], path: &[u8]) -> Option<&RouteRule> {
        let host = match host.iter().rposition(|byte| *byte == b':') {
            Some(colon) => &host[..colon],
            None => host,
        };
        let routes = self
            .routes_by_host
            .get(host.to_ascii_lowercase().as_slice())?;
        let mut routes = routes.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Finds the workspace that a key belongs to.
    #[must_use]
    pub fn find_workspace(&self, key: &[u8]) -> Option<&WorkspaceSpec> {
        let index = self.workspaces_by_key.get(key)?;
        self.workspaces.as_ref()?.get(*index)
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn find_service(&self, name: &[u8]) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns all services.
    #[must_use]
    pub fn get_services(&self) -> &[ServiceSpec] {
        &self.services
    }
}
