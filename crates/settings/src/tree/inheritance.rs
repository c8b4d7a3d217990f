//! Inheritance of values from parent sections.

use crate::tree::path::parent_of;
use crate::tree::settings_tree::{SettingsTree, TreeEntry, TreeSection};

/// Number of sections from the root to the deepest section, both included.
const MAX_DEPTH: usize = 5;

/// A section and its ancestors, nearest first; `None` for each one that the file does not
/// contain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InheritanceChain<'a> {
    sections: [Option<&'a TreeSection>; MAX_DEPTH],
}

impl<'a> InheritanceChain<'a> {
    pub(crate) fn new(tree: &'a SettingsTree, path: &str) -> Self {
        let mut sections = [None; MAX_DEPTH];
        let mut current = Some(path);
        for section in &mut sections {
            let Some(path) = current else {
                break;
            };
            *section = tree.section(path);
            current = parent_of(path);
        }
        Self { sections }
    }

    /// Finds the entry set in the section itself.
    pub(crate) fn find_own(&self, key: &str) -> Option<(&'a TreeSection, &'a TreeEntry)> {
        let section = self.sections[0]?;
        section.get(key).map(|entry| (section, entry))
    }

    /// Finds the entry in effect at the section: its own, or that of the nearest ancestor.
    pub(crate) fn find_inherited(&self, key: &str) -> Option<(&'a TreeSection, &'a TreeEntry)> {
        let mut sections = self.sections.iter().flatten();
        sections.find_map(|section| section.get(key).map(|entry| (*section, entry)))
    }
}
