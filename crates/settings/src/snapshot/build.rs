//! Builds a snapshot from a checked file.

use std::collections::HashMap;
use std::sync::Arc;

use http::Method;
use ibisdale_core::{KeyName, ModelName, ProgramName, RouteName, ServiceName, WorkspaceName};

use crate::check::check_tree;
use crate::finding::SettingsFindings;
use crate::reader::SectionReader;
use crate::snapshot::key_index::KeyRecord;
use crate::snapshot::limits::{ProgramLimits, RateLimit};
use crate::snapshot::types::{
    AccessList, ModelSettings, ProgramSettings, RouteSettings, SchedulingProfile,
    SchedulingSettings, ServiceSettings, SettingsSnapshot, SnapshotData, WorkspaceSettings,
};
use crate::table::FixedDecimal;
use crate::tree::{SectionKind, SettingsSchema, SettingsTree, TreeSection};

const SCHEDULING_PATH: &str = "/scheduling";

/// The operators' settings after a check of the whole file.
#[derive(Clone, Debug)]
pub struct CheckedSettings {
    tree: SettingsTree,
}

impl CheckedSettings {
    /// Parses and checks the operators' settings; `file` is their name in
    /// findings.
    ///
    /// # Errors
    ///
    /// Returns all findings of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsFindings> {
        let tree = check_tree(file, text, SettingsSchema::Fleet)?;
        Ok(Self { tree })
    }

    /// Returns the settings as written, without inheritance and defaults.
    #[must_use]
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Resolves inheritance and defaults into typed settings with the given
    /// revision number.
    #[must_use]
    pub fn snapshot(&self, revision: u64) -> SettingsSnapshot {
        let mut builder = SnapshotBuilder::default();
        builder.data.revision = revision;
        builder.data.scheduling = read_scheduling(self.reader(SCHEDULING_PATH));
        // Owners are added before the sections they own, since the file may list
        // sections in any order.
        for section in self.tree.sections() {
            self.add_owner_section(&mut builder, section);
        }
        for section in self.tree.sections() {
            self.add_owned_section(&mut builder, section);
        }
        builder.finish()
    }

    fn reader<'a>(&'a self, path: &'a str) -> SectionReader<'a> {
        SectionReader::new(&self.tree, SettingsSchema::Fleet, path)
    }

    fn add_owner_section(&self, builder: &mut SnapshotBuilder, section: &TreeSection) {
        let reader = self.reader(section.path.as_str());
        let name = section.path.last_segment().to_owned();
        match section.kind {
            SectionKind::Model => add_model(builder, name, reader),
            SectionKind::Service => add_service(builder, name, reader),
            SectionKind::Workspace => add_workspace(builder, name, reader),
            _ => {}
        }
    }

    fn add_owned_section(&self, builder: &mut SnapshotBuilder, section: &TreeSection) {
        let reader = self.reader(section.path.as_str());
        let name = section.path.last_segment().to_owned();
        let owner = section.path.as_str().split('/').nth(2).unwrap_or_default();
        match section.kind {
            SectionKind::Route => add_route(builder, owner, name, reader),
            SectionKind::Key => add_key(builder, owner, name, reader),
            SectionKind::Program => add_program(builder, owner, name, reader),
            _ => {}
        }
    }
}

/// Builds the data of a snapshot.
#[derive(Debug, Default)]
struct SnapshotBuilder {
    data: SnapshotData,
    /// Distinct access lists, shared to save memory: most workspaces use one of
    /// a few.
    access_lists: HashMap<AccessList, Arc<AccessList>>,
}

impl SnapshotBuilder {
    fn read_access_list(&mut self, reader: SectionReader<'_>) -> Arc<AccessList> {
        let models = reader.names("models").into_iter();
        let services = reader.names("services").into_iter();
        let access = AccessList {
            models: models
                .filter_map(|name| ModelName::new(name).ok())
                .collect(),
            services: services
                .filter_map(|name| ServiceName::new(name).ok())
                .collect(),
        };
        let shared = self.access_lists.entry(access);
        let shared = shared.or_insert_with_key(|access| Arc::new(access.clone()));
        Arc::clone(shared)
    }

    fn finish(mut self) -> SettingsSnapshot {
        for workspace in self.data.workspaces.values_mut() {
            let programs = &mut Arc::make_mut(workspace).programs;
            programs.sort_by(|one, other| one.name.cmp(&other.name));
            programs.shrink_to_fit();
        }
        for service in self.data.services.values_mut() {
            let routes = &mut Arc::make_mut(service).routes;
            routes.sort_by(|one, other| one.name.cmp(&other.name));
            routes.shrink_to_fit();
        }
        self.data.keys.sort();
        SettingsSnapshot(Arc::new(self.data))
    }
}

fn add_model(builder: &mut SnapshotBuilder, name: String, reader: SectionReader<'_>) {
    let Ok(name) = ModelName::new(name) else {
        return;
    };
    let model = ModelSettings {
        name: name.clone(),
        vm_group: read_vm_group("models", name.as_str(), reader),
        credential_file: reader.file_path("credential_file"),
        checks_fencing: reader.flag("checks_fencing"),
        context_tokens: reader.integer("context_tokens"),
        resumes_streams: reader.flag("resumes_streams"),
    };
    builder.data.models.insert(name, Arc::new(model));
}

fn add_service(builder: &mut SnapshotBuilder, name: String, reader: SectionReader<'_>) {
    let Ok(name) = ServiceName::new(name) else {
        return;
    };
    let service = ServiceSettings {
        name: name.clone(),
        vm_group: read_vm_group("services", name.as_str(), reader),
        credential_file: reader.file_path("credential_file"),
        routes: Vec::new(),
    };
    builder.data.services.insert(name, Arc::new(service));
}

fn add_route(
    builder: &mut SnapshotBuilder,
    service: &str,
    name: String,
    reader: SectionReader<'_>,
) {
    let names = (ServiceName::new(service.to_owned()), RouteName::new(name));
    let (Ok(service), Ok(name)) = names else {
        return;
    };
    let method = reader.text("method").unwrap_or_default();
    let route = RouteSettings {
        name,
        method: Method::from_bytes(method.as_bytes()).unwrap_or(Method::POST),
        path: reader.text("path").unwrap_or_default(),
        is_idempotent: reader.flag("idempotent"),
        is_open: reader.flag("open"),
        timeout: reader.millis("timeout_ms"),
    };
    if let Some(service) = builder.data.services.get_mut(&service) {
        Arc::make_mut(service).routes.push(route);
    }
}

fn add_workspace(builder: &mut SnapshotBuilder, name: String, reader: SectionReader<'_>) {
    let Ok(name) = WorkspaceName::new(name) else {
        return;
    };
    let workspace = WorkspaceSettings {
        name: name.clone(),
        rate_limit: read_rate_limit(reader),
        weight: reader.decimal("weight").unwrap_or_default(),
        history_copies: reader.integer("history_copies"),
        limits: read_limits(reader),
        access: builder.read_access_list(reader),
        programs: Vec::new(),
    };
    builder.data.workspaces.insert(name, Arc::new(workspace));
}

fn add_program(
    builder: &mut SnapshotBuilder,
    workspace: &str,
    name: String,
    reader: SectionReader<'_>,
) {
    let names = (
        WorkspaceName::new(workspace.to_owned()),
        ProgramName::new(name),
    );
    let (Ok(workspace), Ok(name)) = names else {
        return;
    };
    let program = ProgramSettings {
        name,
        rate_limit: read_rate_limit(reader),
        limits: read_limits(reader),
        access: builder.read_access_list(reader),
    };
    if let Some(workspace) = builder.data.workspaces.get_mut(&workspace) {
        Arc::make_mut(workspace).programs.push(program);
    }
}

fn add_key(
    builder: &mut SnapshotBuilder,
    workspace: &str,
    name: String,
    reader: SectionReader<'_>,
) {
    let names = (WorkspaceName::new(workspace.to_owned()), KeyName::new(name));
    let (Ok(workspace), Ok(key)) = names else {
        return;
    };
    let Some(hash) = reader.key_hash("hash") else {
        return;
    };
    builder.data.keys.insert(KeyRecord {
        hash,
        workspace,
        key,
        is_withdrawn: reader.flag("withdrawn"),
    });
}

fn read_vm_group(prefix: &str, name: &str, reader: SectionReader<'_>) -> String {
    reader
        .text("vm_group")
        .unwrap_or_else(|| format!("{prefix}/{name}"))
}

fn read_scheduling(reader: SectionReader<'_>) -> SchedulingSettings {
    let profile = match reader.text("profile").as_deref() {
        Some("latency") => SchedulingProfile::Latency,
        _ => SchedulingProfile::Fairness,
    };
    SchedulingSettings {
        profile,
        fairness_weight: reader.decimal("fairness_weight"),
        progress_weight: reader.decimal("progress_weight"),
        deadline_weight: reader.decimal("deadline_weight"),
        cache_weight: reader.decimal("cache_weight"),
    }
}

fn read_rate_limit(reader: SectionReader<'_>) -> RateLimit {
    let rate: Option<FixedDecimal> = reader.decimal("rate");
    RateLimit {
        rate: rate.unwrap_or_default(),
        burst: reader.integer("burst"),
    }
}

fn read_limits(reader: SectionReader<'_>) -> ProgramLimits {
    ProgramLimits {
        deadline_ms: reader.program_limit("deadline_ms", "max_deadline_ms"),
        tokens: reader.program_limit("tokens", "max_tokens"),
        paid_actions: reader.program_limit("paid_actions", "max_paid_actions"),
        steps: reader.program_limit("steps", "max_steps"),
        wall_clock_ms: reader.program_limit("wall_clock_ms", "max_wall_clock_ms"),
    }
}
