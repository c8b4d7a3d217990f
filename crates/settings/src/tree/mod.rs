//! The settings tree as written in a file: sections, keys and their line numbers.

mod inheritance;
mod kind;
mod path;
mod settings_tree;

pub use kind::{SectionKind, SettingsSchema};
pub use path::{PathError, SectionPath};
pub use settings_tree::{SettingsTree, TreeEntry, TreeSection};

pub(crate) use inheritance::InheritanceChain;
pub(crate) use path::parent_of;
pub(crate) use settings_tree::parse_tree;
