//! Specification of a key: its sections, value kind, unit and default.

use crate::table::daemon_keys::DAEMON_KEYS;
use crate::table::fleet_keys::FLEET_KEYS;
use crate::table::value::FixedDecimal;
use crate::tree::{SectionKind, SettingsSchema};

/// The kind of a value and, for numbers, its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// A whole number.
    Integer {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A number with up to three decimal places.
    Decimal {
        /// Smallest value.
        min: FixedDecimal,
        /// Largest value.
        max: FixedDecimal,
    },
    /// `yes` or `no`.
    Flag,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
    /// A name: letters, digits, `-`, `_`, `.` and `:`.
    Name,
    /// Names joined by `/`.
    GroupName,
    /// Comma-separated names of existing sections of this kind.
    References(SectionKind),
    /// `blake3:` followed by 64 hexadecimal digits.
    KeyHash,
    /// The path of a file or directory.
    FilePath,
    /// The path of a URL, starting with `/`.
    UrlPath,
    /// An IP address and a port.
    Address,
    /// Comma-separated IP addresses with ports.
    Addresses,
}

/// The unit of a number. Each variant is documented by its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueUnit {
    /// No unit.
    None,
    /// `ms`
    Millis,
    /// `requests`
    Requests,
    /// `requests/s`
    RequestsPerSecond,
    /// `tokens`
    Tokens,
    /// `paid actions`
    PaidActions,
    /// `steps`
    Steps,
    /// `copies`
    Copies,
    /// `threads`
    Threads,
    /// `MB`
    Megabytes,
    /// `descriptors`
    Descriptors,
}

impl ValueUnit {
    /// Returns the unit as shown to operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "",
            Self::Millis => "ms",
            Self::Requests => "requests",
            Self::RequestsPerSecond => "requests/s",
            Self::Tokens => "tokens",
            Self::PaidActions => "paid actions",
            Self::Steps => "steps",
            Self::Copies => "copies",
            Self::Threads => "threads",
            Self::Megabytes => "MB",
            Self::Descriptors => "descriptors",
        }
    }
}

/// Specification of a key.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    /// The key's name.
    pub name: &'static str,
    /// The kinds of sections that the value applies to.
    pub sections: &'static [SectionKind],
    /// Whether the value may be inherited from a parent section.
    pub is_inherited: bool,
    /// The kind of the value.
    pub kind: ValueKind,
    /// The unit of the value.
    pub unit: ValueUnit,
    /// The value used if none is set.
    pub default: Option<&'static str>,
    /// Whether every section that the key applies to must have a value.
    pub is_required: bool,
    /// Description for the reference page.
    pub doc: &'static str,
}

impl KeySpec {
    /// Returns whether the value applies to sections of this kind.
    #[must_use]
    pub fn applies_to(&self, section: SectionKind) -> bool {
        self.sections.contains(&section)
    }

    /// Returns whether the key may be set in sections of this kind, either directly or for
    /// descendants to inherit.
    #[must_use]
    pub fn is_allowed_in(&self, section: SectionKind) -> bool {
        self.applies_to(section)
            || (self.is_inherited && self.sections.iter().any(|kind| kind.is_within(section)))
    }
}

/// Returns the specifications of all keys of a schema.
#[must_use]
pub const fn key_specs(schema: SettingsSchema) -> &'static [KeySpec] {
    match schema {
        SettingsSchema::Fleet => FLEET_KEYS,
        SettingsSchema::Daemon => DAEMON_KEYS,
    }
}

/// Finds the specification of a key by its name.
#[must_use]
pub fn find_key_spec(schema: SettingsSchema, name: &str) -> Option<&'static KeySpec> {
    key_specs(schema).iter().find(|spec| spec.name == name)
}

pub(crate) const fn integer(min: u64, max: u64) -> ValueKind {
    ValueKind::Integer { min, max }
}

pub(crate) const fn decimal(min_thousandths: u64, max_thousandths: u64) -> ValueKind {
    ValueKind::Decimal {
        min: FixedDecimal::from_thousandths(min_thousandths),
        max: FixedDecimal::from_thousandths(max_thousandths),
    }
}

/// Creates the specification of a key that is inherited, optional and has neither
/// unit nor default.
pub(crate) const fn key(
    name: &'static str,
    sections: &'static [SectionKind],
    kind: ValueKind,
    doc: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        sections,
        is_inherited: true,
        kind,
        unit: ValueUnit::None,
        default: None,
        is_required: false,
        doc,
    }
}

impl KeySpec {
    pub(crate) const fn default(mut self, text: &'static str) -> Self {
        self.default = Some(text);
        self
    }

    pub(crate) const fn unit(mut self, unit: ValueUnit) -> Self {
        self.unit = unit;
        self
    }

    pub(crate) const fn required(mut self) -> Self {
        self.is_required = true;
        self
    }

    pub(crate) const fn not_inherited(mut self) -> Self {
        self.is_inherited = false;
        self
    }
}
