//! The settings tree as written: sections, keys and their places.

mod kind;
mod lineage;
mod path;
mod source;

pub use kind::{SectionKind, SettingsGrammar};
pub use path::{PathError, SectionPath};
pub use source::{SettingsSource, SourceEntry, SourceSection};

pub(crate) use lineage::SectionLineage;
pub(crate) use path::parent_of;
pub(crate) use source::parse_source;
