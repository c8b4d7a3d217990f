//! Parsed content of a settings file.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;

use ibisdale_core::admin::FindingKind;
use ini_core::{Item, Parser};

use crate::finding::FindingList;
use crate::tree::inheritance::InheritanceChain;
use crate::tree::kind::{SectionKind, SettingsSchema};
use crate::tree::path::{PathError, SectionPath};

/// A `KEY = VALUE` entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeEntry {
    /// The key.
    pub key: String,
    /// The value as written, without surrounding whitespace.
    pub value: String,
    /// The line number, starting at 1.
    pub line: u32,
}

/// A section and its entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeSection {
    /// The section's path.
    pub path: SectionPath,
    /// The section's kind.
    pub kind: SectionKind,
    /// The line number of the section's header, starting at 1.
    pub line: u32,
    /// The entries in file order.
    pub entries: Vec<TreeEntry>,
}

impl TreeSection {
    /// Returns the first entry with this key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&TreeEntry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// A parsed settings file.
#[derive(Clone, Debug)]
pub struct SettingsTree {
    file: Arc<str>,
    sections: Vec<TreeSection>,
    index: HashMap<String, usize>,
}

impl SettingsTree {
    fn new(file: Arc<str>) -> Self {
        Self {
            file,
            sections: Vec::new(),
            index: HashMap::new(),
        }
    }

    /// Returns the file's name.
    #[must_use]
    pub fn file(&self) -> &Arc<str> {
        &self.file
    }

    /// Returns the sections in file order.
    #[must_use]
    pub fn sections(&self) -> &[TreeSection] {
        &self.sections
    }

    /// Returns the first section with this path.
    #[must_use]
    pub fn section(&self, path: &str) -> Option<&TreeSection> {
        self.index.get(path).map(|index| &self.sections[*index])
    }

    /// Finds the entry in effect at `path`: the section's own, or that of the nearest
    /// ancestor.
    #[must_use]
    pub fn find_inherited(&self, path: &str, key: &str) -> Option<(&TreeSection, &TreeEntry)> {
        InheritanceChain::new(self, path).find_inherited(key)
    }

    /// Finds the entry set in the section itself.
    #[must_use]
    pub fn find_own(&self, path: &str, key: &str) -> Option<(&TreeSection, &TreeEntry)> {
        let section = self.section(path)?;
        section.get(key).map(|entry| (section, entry))
    }

    /// Formats the settings as INI text, without comments.
    #[must_use]
    pub fn format(&self) -> String {
        let mut text = String::new();
        for (index, section) in self.sections.iter().enumerate() {
            if index > 0 {
                text.push('\n');
            }
            // Writing to a string cannot fail.
            let _ = writeln!(text, "[{}]", section.path);
            for entry in &section.entries {
                let _ = writeln!(text, "{} = {}", entry.key, entry.value);
            }
        }
        text
    }
}

/// Parses INI text. Reports lines that cannot be parsed and duplicates; entries of
/// a rejected section are skipped without a report.
pub(crate) fn parse_tree(
    text: &str,
    schema: SettingsSchema,
    findings: &mut FindingList,
    file: Arc<str>,
) -> SettingsTree {
    let mut builder = TreeBuilder {
        tree: SettingsTree::new(file),
        schema,
        current: CurrentSection::None,
    };
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        let Some(item) = parser.next() else {
            return builder.tree;
        };
        builder.add_item(item, line, findings);
    }
}

/// The section that the following entries belong to.
#[derive(Clone, Copy)]
enum CurrentSection {
    /// No section header has been parsed yet.
    None,
    /// The section header was rejected; the entries below it are ignored.
    Rejected,
    /// The section at this index.
    Section(usize),
}

struct TreeBuilder {
    tree: SettingsTree,
    schema: SettingsSchema,
    current: CurrentSection,
}

impl TreeBuilder {
    fn add_item(&mut self, item: Item<'_>, line: u32, findings: &mut FindingList) {
        match item {
            Item::Section(path) => self.open_section(path, line, findings),
            Item::Property(key, Some(value)) => self.add_entry(key, value, line, findings),
            Item::Property(text, None) | Item::Error(text) => {
                if text.starts_with('[') {
                    self.current = CurrentSection::Rejected;
                }
                let message =
                    format!("expected [SECTION], KEY = VALUE or a comment, found '{text}'");
                findings.add(line, FindingKind::Syntax, message);
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }

    fn open_section(&mut self, path: &str, line: u32, findings: &mut FindingList) {
        self.current = CurrentSection::Rejected;
        let (path, kind) = match SectionPath::parse(path, self.schema) {
            Ok(parsed) => parsed,
            Err(error) => {
                findings.add(line, path_finding_kind(&error), error.to_string());
                return;
            }
        };
        if let Some(first) = self.tree.section(path.as_str()) {
            let message = format!(
                "duplicate section '{path}', first defined on line {}",
                first.line
            );
            findings.add(line, FindingKind::Duplicate, message);
        }
        let index = self.tree.sections.len();
        self.tree
            .index
            .entry(path.as_str().to_owned())
            .or_insert(index);
        self.tree.sections.push(TreeSection {
            path,
            kind,
            line,
            entries: Vec::new(),
        });
        self.current = CurrentSection::Section(index);
    }

    fn add_entry(&mut self, key: &str, value: &str, line: u32, findings: &mut FindingList) {
        let index = match self.current {
            CurrentSection::Section(index) => index,
            CurrentSection::Rejected => return,
            CurrentSection::None => {
                let message = format!("key '{key}' appears before the first [SECTION]");
                findings.add(line, FindingKind::Syntax, message);
                return;
            }
        };
        let section = &mut self.tree.sections[index];
        if let Some(first) = section.get(key) {
            let message = format!("duplicate key '{key}', first set on line {}", first.line);
            findings.add(line, FindingKind::Duplicate, message);
        }
        section.entries.push(TreeEntry {
            key: key.to_owned(),
            value: value.to_owned(),
            line,
        });
    }
}

fn path_finding_kind(error: &PathError) -> FindingKind {
    match error {
        PathError::Relative { .. } | PathError::Unknown { .. } => FindingKind::UnknownSection,
        PathError::Name { .. } => FindingKind::BadName,
    }
}
