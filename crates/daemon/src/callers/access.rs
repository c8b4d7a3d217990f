//! Who asks, and what they may use.

use std::sync::Arc;

use http::HeaderMap;
use ibisdale_core::{KeyName, ModelName, ProgramName, RefusalCode, RequestRefusal, WorkspaceName};
use ibisdale_entry::bearer_key;
use ibisdale_settings::{
    KeyMatch, ModelSettings, ProgramSettings, SettingsSnapshot, WorkspaceSettings,
};

use crate::context::DaemonContext;

/// Least share of a workspace.
const WEIGHT_MIN: f64 = 0.001;

/// The workspace and the key that a request came with.
#[derive(Clone, Debug)]
pub(crate) struct CallerIdentity {
    pub(crate) workspace: WorkspaceName,
    /// Absent on a forwarded request, whose key stays at the entry daemon.
    pub(crate) key: Option<KeyName>,
}

fn unknown_key(message: &str) -> RequestRefusal {
    RequestRefusal::new(RefusalCode::UnknownKey, message)
}

/// Finds the workspace of a request's key.
pub(crate) fn authenticate(
    settings: &SettingsSnapshot,
    headers: &HeaderMap,
) -> Result<CallerIdentity, RequestRefusal> {
    let key = bearer_key(headers)?.ok_or_else(|| unknown_key("no key was given"))?;
    match settings.authenticate(&key) {
        KeyMatch::Granted { workspace, key } => Ok(CallerIdentity {
            workspace,
            key: Some(key),
        }),
        KeyMatch::Withdrawn => Err(RequestRefusal::new(
            RefusalCode::WithdrawnKey,
            "the key has been withdrawn",
        )),
        KeyMatch::Unknown => Err(unknown_key("the key is not granted")),
    }
}

fn not_allowed(message: String) -> RequestRefusal {
    RequestRefusal::new(RefusalCode::NotAllowed, message)
}

/// Returns the settings of a workspace.
pub(crate) fn workspace_settings<'a>(
    settings: &'a SettingsSnapshot,
    name: &WorkspaceName,
) -> Result<&'a Arc<WorkspaceSettings>, RequestRefusal> {
    let missing = || not_allowed(format!("workspace {name} does not exist any more"));
    settings.workspace(name).ok_or_else(missing)
}

/// Returns the settings of a program that the workspace may run.
pub(crate) fn program_settings<'a>(
    workspace: &'a WorkspaceSettings,
    name: &ProgramName,
) -> Result<&'a ProgramSettings, RequestRefusal> {
    let missing = || {
        let workspace = &workspace.name;
        not_allowed(format!(
            "workspace {workspace} declares no program named {name}"
        ))
    };
    workspace.program(name).ok_or_else(missing)
}

/// Returns the settings of a model that the workspace may use.
pub(crate) fn model_settings<'a>(
    settings: &'a SettingsSnapshot,
    workspace: &WorkspaceSettings,
    name: &str,
) -> Result<&'a Arc<ModelSettings>, RequestRefusal> {
    let unknown = || {
        let message = format!("there is no model named '{name}'");
        RequestRefusal::new(RefusalCode::UnknownModel, message)
    };
    let name = ModelName::new(name.as_bytes().to_vec()).map_err(|_| unknown())?;
    let model = settings.model(&name).ok_or_else(unknown)?;
    if workspace.access.has_model(&name) {
        return Ok(model);
    }
    Err(not_allowed(format!(
        "workspace {} may not use model {name}",
        workspace.name
    )))
}

/// Returns the share of the upstreams that a workspace has: its rate, times the
/// weight that the settings give it.
pub(crate) fn upstream_weight(context: &DaemonContext, name: &WorkspaceName) -> f64 {
    let settings = context.settings();
    let share =
        |found: &Arc<WorkspaceSettings>| found.rate_limit.rate.as_f64() * found.weight.as_f64();
    settings
        .workspace(name)
        .map_or(WEIGHT_MIN, share)
        .max(WEIGHT_MIN)
}
