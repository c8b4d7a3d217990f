//! Typed, immutable settings built from a checked file.

mod build;
mod key_index;
mod limits;
mod types;

pub use build::CheckedSettings;
pub use key_index::{DeactivatedKey, KeyMatch};
pub use limits::{ProgramLimit, ProgramLimits, RateLimit};
pub use types::{
    AccessList, ModelSettings, ProgramSettings, RouteSettings, SchedulingProfile,
    SchedulingSettings, ServiceSettings, SettingsSnapshot, WorkspaceSettings,
};
