//! Validated names and attempt keys chosen by operators and callers.

use std::fmt;
use std::str;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 128;

/// Reason why a name or an attempt key is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum NameError {
    /// The name is empty.
    #[snafu(display("the name is empty"))]
    Empty,
    /// The name is longer than [`NAME_MAX_BYTES`].
    #[snafu(display("the name has {length} bytes, at most {NAME_MAX_BYTES} are allowed"))]
    TooLong {
        /// Length of the rejected name, in bytes.
        length: usize,
    },
    /// The name contains a character other than an ASCII letter, an ASCII digit,
    /// `-`, `_`, `.` or `:`.
    #[snafu(display("the name may hold letters, digits, '-', '_', '.' and ':' only"))]
    InvalidCharacter,
}

fn validate_name(name: &[u8]) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong { length: name.len() });
    }
    if name
        .iter()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(byte))
    {
        return Ok(());
    }
    Err(NameError::InvalidCharacter)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Bytes);

        impl $name {
            /// Creates a name from its bytes.
            ///
            /// # Errors
            ///
            /// Returns an error if the name is empty, longer than [`NAME_MAX_BYTES`] or
            /// contains a character other than an ASCII letter, an ASCII digit, `-`,
            /// `_`, `.` or `:`.
            pub fn new(name: impl Into<Bytes>) -> Result<Self, NameError> {
                let name = name.into();
                validate_name(&name)?;
                Ok(Self(name))
            }

            /// Returns the bytes of the name, which are ASCII.
            #[must_use]
            pub fn as_bytes(&self) -> &[u8] {
                &self.0
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                str::from_utf8(&self.0).unwrap_or_default()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(self.as_str())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.as_str())
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(name: String) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }
    };
}

name_type!(
    /// Name of a workspace.
    WorkspaceName
);
name_type!(
    /// Name of a model served by inference engines.
    ModelName
);
name_type!(
    /// Name of a plain (non-model) service called by programs.
    ServiceName
);
name_type!(
    /// Name of a route of a plain service.
    RouteName
);
name_type!(
    /// Name under which the settings declare a program of a workspace.
    ProgramName
);
name_type!(
    /// Name of a workspace key, as opposed to the secret key itself.
    KeyName
);
name_type!(
    /// Name of a daemon, unique in its fleet and stable across restarts.
    DaemonName
);
name_type!(
    /// Idempotency key of an attempt at a step. The caller chooses it and sends it
    /// again when it repeats the request for the same attempt.
    AttemptKey
);
