//! The settings tree as written in a file: sections, keys and their line numbers.

mod inheritance;
mod kind;
mod path;
mod source;

pub use kind::{SectionKind, SettingsSchema};
pub use path::{PathError, SectionPath};
pub use source::{SettingsSource, SourceEntry, SourceSection};

pub(crate) use inheritance::InheritanceChain;
pub(crate) use path::parent_of;
pub(crate) use source::parse_source;
