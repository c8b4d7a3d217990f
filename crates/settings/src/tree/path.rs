//! Section paths.

use std::fmt;

use ibisdale_core::{NameError, WorkspaceName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::tree::kind::{SectionKind, SettingsSchema};

/// Error returned for an invalid section path.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum PathError {
    /// The path does not start with `/`.
    #[snafu(display("section '{path}' does not start with '/'"))]
    Relative {
        /// The rejected path.
        path: String,
    },
    /// The schema has no section with this path.
    #[snafu(display("unknown section '{path}'"))]
    Unknown {
        /// The rejected path.
        path: String,
    },
    /// A name in the path is invalid.
    #[snafu(display("invalid name '{name}' in section '{path}': {source}"))]
    Name {
        /// The rejected path.
        path: String,
        /// The rejected name.
        name: String,
        /// Why the name is invalid.
        source: NameError,
    },
}

/// The path of a section, such as `/workspaces/kermesse`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct SectionPath(String);

impl SectionPath {
    /// Returns the path of the root section, `/`.
    #[must_use]
    pub fn root() -> Self {
        Self("/".to_owned())
    }

    /// Parses a path and determines the kind of its section.
    ///
    /// # Errors
    ///
    /// Fails if the path is relative, is not part of the schema or contains an invalid
    /// name.
    pub fn parse(path: &str, schema: SettingsSchema) -> Result<(Self, SectionKind), PathError> {
        let Some(rest) = path.strip_prefix('/') else {
            return Err(PathError::Relative {
                path: path.to_owned(),
            });
        };
        if rest.is_empty() {
            return Ok((Self::root(), SectionKind::Root));
        }
        let mut kind = SectionKind::Root;
        for segment in rest.split('/') {
            kind = kind
                .child(segment, schema)
                .ok_or_else(|| PathError::Unknown {
                    path: path.to_owned(),
                })?;
            if kind.is_named() {
                check_name(path, segment)?;
            }
        }
        Ok((Self(path.to_owned()), kind))
    }

    /// Returns the path of the child section `segment`.
    #[must_use]
    pub fn join(&self, segment: &str) -> Self {
        if self.0 == "/" {
            return Self(format!("/{segment}"));
        }
        Self(format!("{}/{segment}", self.0))
    }

    /// Returns the path of the parent section.
    #[must_use]
    pub fn parent(&self) -> Option<Self> {
        parent_of(&self.0).map(|parent| Self(parent.to_owned()))
    }

    /// Returns the last segment, which is empty for `/`.
    #[must_use]
    pub fn last_segment(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }

    /// Returns the path as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SectionPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Returns the parent of `path`, or `None` if it has none.
pub(crate) fn parent_of(path: &str) -> Option<&str> {
    if path == "/" {
        return None;
    }
    match path.rfind('/') {
        Some(0) => Some("/"),
        Some(end) => Some(&path[..end]),
        None => None,
    }
}

fn check_name(path: &str, segment: &str) -> Result<(), PathError> {
    // Workspace names follow the same rule as all other names.
    match WorkspaceName::new(segment.to_owned()) {
        Ok(_) => Ok(()),
        Err(source) => Err(PathError::Name {
            path: path.to_owned(),
            name: segment.to_owned(),
            source,
        }),
    }
}
