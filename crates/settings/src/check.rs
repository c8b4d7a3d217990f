//! Validates a settings file and reports all findings together.

use std::collections::HashMap;
use std::sync::Arc;

use ibisdale_core::admin::FindingKind;

use crate::finding::{FindingList, SettingsFindings};
use crate::reader::find_entry;
use crate::table::{
    KeySpec, SettingValue, ValueError, ValueKind, find_key_spec, key_specs, split_list,
};
use crate::tree::{
    InheritanceChain, SectionKind, SettingsSchema, SettingsTree, TreeEntry, TreeSection, parent_of,
    parse_tree,
};

/// Keys of each program limit: the default and the maximum that a program may request.
pub(crate) const LIMIT_KEYS: [(&str, &str); 5] = [
    ("deadline_ms", "max_deadline_ms"),
    ("tokens", "max_tokens"),
    ("paid_actions", "max_paid_actions"),
    ("steps", "max_steps"),
    ("wall_clock_ms", "max_wall_clock_ms"),
];

/// Sections that a daemon's settings file must contain.
const DAEMON_SECTIONS: [&str; 2] = ["/daemon", "/platform"];

const FIRST_LINE: u32 = 1;

/// Parses and validates a settings file.
///
/// # Errors
///
/// Returns all findings if there are any.
pub(crate) fn check_tree(
    file: &str,
    text: &str,
    schema: SettingsSchema,
) -> Result<SettingsTree, SettingsFindings> {
    let file: Arc<str> = file.into();
    let mut findings = FindingList::new(Arc::clone(&file));
    let tree = parse_tree(text, schema, &mut findings, file);
    let mut checker = TreeChecker {
        tree: &tree,
        schema,
        findings,
        key_hashes: HashMap::new(),
    };
    checker.check_sections();
    checker.findings.into_result()?;
    Ok(tree)
}

struct TreeChecker<'a> {
    tree: &'a SettingsTree,
    schema: SettingsSchema,
    findings: FindingList,
    /// Path and line of the most recent use of each key hash, by the text of the hash.
    key_hashes: HashMap<String, (&'a str, u32)>,
}

impl<'a> TreeChecker<'a> {
    fn check_sections(&mut self) {
        for section in self.tree.sections() {
            for entry in &section.entries {
                self.check_entry(section, entry);
            }
            self.check_required(section);
            self.check_owner(section);
            if matches!(section.kind, SectionKind::Workspace | SectionKind::Program) {
                self.check_limits(section);
            }
        }
        if self.schema == SettingsSchema::Daemon {
            self.check_daemon_sections();
        }
    }

    fn check_daemon_sections(&mut self) {
        for path in DAEMON_SECTIONS {
            if self.tree.section(path).is_none() {
                let message = format!("required section [{path}] is missing");
                self.findings.add(FIRST_LINE, FindingKind::Missing, message);
            }
        }
    }

    fn check_entry(&mut self, section: &'a TreeSection, entry: &'a TreeEntry) {
        let Some(spec) = find_key_spec(self.schema, &entry.key) else {
            let message = self.unknown_key_message(&entry.key);
            self.findings
                .add(entry.line, FindingKind::UnknownKey, message);
            return;
        };
        if !spec.is_allowed_in(section.kind) {
            let message = format!(
                "key '{}' is not allowed in {}; it applies to {}",
                entry.key,
                section.kind.pattern(),
                describe_sections(spec),
            );
            self.findings
                .add(entry.line, FindingKind::UnknownKey, message);
            return;
        }
        if let ValueKind::References(kind) = spec.kind {
            self.check_references(kind, entry);
        }
        match spec.kind.parse(&entry.value) {
            Ok(SettingValue::KeyHash(hash)) => {
                self.check_duplicate_hash(hash.to_string(), section, entry);
            }
            Ok(_) => {}
            Err(error) => {
                let message = format!("{} = '{}': {error}", entry.key, entry.value);
                self.findings
                    .add(entry.line, value_finding_kind(&error), message);
            }
        }
    }

    fn unknown_key_message(&self, key: &str) -> String {
        let suggestion = key_specs(self.schema)
            .iter()
            .find(|spec| is_similar(spec.name, key));
        match suggestion {
            Some(spec) => format!("unknown key '{key}'; did you mean '{}'?", spec.name),
            None => format!("unknown key '{key}'"),
        }
    }

    fn check_references(&mut self, kind: SectionKind, entry: &TreeEntry) {
        // Invalid names are reported when the value is parsed.
        let is_valid_name = |name: &&str| ValueKind::Name.check(name).is_ok();
        for name in split_list(&entry.value).filter(is_valid_name) {
            let path = kind.pattern().replacen("NAME", name, 1);
            if self.tree.section(&path).is_none() {
                let message = format!(
                    "'{}' refers to '{name}', but section [{path}] does not exist",
                    entry.key
                );
                self.findings
                    .add(entry.line, FindingKind::MissingReference, message);
            }
        }
    }

    fn check_duplicate_hash(&mut self, hash: String, section: &'a TreeSection, entry: &TreeEntry) {
        let place = (section.path.as_str(), entry.line);
        if let Some((path, line)) = self.key_hashes.insert(hash, place) {
            let message = format!("duplicate key hash, also used in [{path}], line {line}");
            self.findings
                .add(entry.line, FindingKind::Duplicate, message);
        }
    }

    fn check_required(&mut self, section: &TreeSection) {
        let chain = InheritanceChain::new(self.tree, section.path.as_str());
        for spec in key_specs(self.schema) {
            if !spec.is_required || !spec.applies_to(section.kind) {
                continue;
            }
            if find_entry(&chain, spec).is_none() {
                let message = format!(
                    "required key '{}' is missing in [{}]",
                    spec.name, section.path
                );
                self.findings
                    .add(section.line, FindingKind::Missing, message);
            }
        }
    }

    /// Reports a key, program or route whose workspace or service has no section.
    fn check_owner(&mut self, section: &TreeSection) {
        if !matches!(
            section.kind,
            SectionKind::Key | SectionKind::Program | SectionKind::Route
        ) {
            return;
        }
        let owner = owner_path(section.path.as_str());
        if self.tree.section(owner).is_none() {
            let message = format!(
                "section [{}] requires section [{owner}], which does not exist",
                section.path
            );
            self.findings
                .add(section.line, FindingKind::MissingReference, message);
        }
    }

    fn check_limits(&mut self, section: &TreeSection) {
        let chain = InheritanceChain::new(self.tree, section.path.as_str());
        for (default_key, max_key) in LIMIT_KEYS {
            let default = chain.find_inherited(default_key);
            let max = chain.find_inherited(max_key);
            if let (Some((_, default)), Some((_, max))) = (default, max) {
                self.check_limit(default, max);
            }
        }
    }

    fn check_limit(&mut self, default: &TreeEntry, max: &TreeEntry) {
        let numbers = (default.value.parse::<u64>(), max.value.parse::<u64>());
        let (Ok(default_number), Ok(max_number)) = numbers else {
            // An invalid number is reported by `check_entry`.
            return;
        };
        if default_number <= max_number {
            return;
        }
        let message = format!(
            "{} = {default_number} (line {}) exceeds {} = {max_number} (line {})",
            default.key, default.line, max.key, max.line,
        );
        let line = default.line.max(max.line);
        self.findings.add(line, FindingKind::Range, message);
    }
}

/// Returns the path of the workspace or service that a key, program or route belongs
/// to, which is two segments up.
fn owner_path(path: &str) -> &str {
    let parent = parent_of(path).unwrap_or(path);
    parent_of(parent).unwrap_or(parent)
}

fn value_finding_kind(error: &ValueError) -> FindingKind {
    match error {
        ValueError::Name { .. } => FindingKind::BadName,
        ValueError::Range { .. } => FindingKind::Range,
        ValueError::Repeated { .. } => FindingKind::Duplicate,
        _ => FindingKind::BadValue,
    }
}

fn describe_sections(spec: &KeySpec) -> String {
    let patterns: Vec<&str> = spec.sections.iter().map(|kind| kind.pattern()).collect();
    patterns.join(", ")
}

/// Returns whether `key` differs from `known` only in case, in dashes or spaces instead
/// of underscores, or in one missing or additional trailing character.
fn is_similar(known: &str, key: &str) -> bool {
    let key = key.to_ascii_lowercase().replace(['-', ' '], "_");
    let is_prefix = known.starts_with(&key) || key.starts_with(known);
    key == known || (is_prefix && key.len().abs_diff(known.len()) == 1)
}
