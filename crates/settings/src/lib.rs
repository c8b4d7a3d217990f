//! Settings files in INI format: parsing, validation and typed snapshots.
//!
//! Sections are paths, and a section inherits the values of its parent sections unless it
//! overrides them:
//!
//! ```
//! use ibisdale_settings::CheckedSettings;
//!
//! let text = "
//! [/workspaces]
//! rate = 5
//! [/workspaces/kermesse]
//! [/workspaces/norrfrost]
//! rate = 7.5
//! ";
//! let snapshot = CheckedSettings::parse("settings.ini", text)?.snapshot(1);
//! let rate = |name: &'static str| {
//!     let name = ibisdale_core::WorkspaceName::new(name).ok()?;
//!     Some(snapshot.workspace(&name)?.rate_limit.rate.to_string())
//! };
//! assert_eq!(rate("kermesse").as_deref(), Some("5"));
//! assert_eq!(rate("norrfrost").as_deref(), Some("7.5"));
//! # Ok::<(), ibisdale_settings::SettingsFindings>(())
//! ```
//!
//! The crate performs no I/O: callers pass in the text, random numbers and revisions.

mod check;
mod daemon_file;
mod difference;
mod edit;
mod effective_values;
mod finding;
mod key_hash;
mod reader;
mod snapshot;
pub mod store;
mod table;
mod tree;

pub use daemon_file::DaemonSettings;
pub use difference::SettingsDifference;
pub use edit::{EditError, grant_key, withdraw_key};
pub use effective_values::{EffectiveValue, ValueOrigin};
pub use finding::SettingsFindings;
pub use ibisdale_core::admin::{FindingKind, SettingChange, SettingsFinding, SourcePlace};
pub use key_hash::{KeyHash, SecretKey};
pub use snapshot::{
    AccessList, CheckedSettings, DeactivatedKey, KeyMatch, ModelSettings, ProgramLimit,
    ProgramLimits, ProgramSettings, RateLimit, RouteSettings, SchedulingProfile,
    SchedulingSettings, ServiceSettings, SettingsSnapshot, WorkspaceSettings,
};
pub use table::{
    FixedDecimal, KeySpec, ValueError, ValueKind, ValueUnit, find_key_spec, key_specs,
    render_reference,
};
pub use tree::{
    PathError, SectionKind, SectionPath, SettingsSchema, SettingsTree, TreeEntry, TreeSection,
};
