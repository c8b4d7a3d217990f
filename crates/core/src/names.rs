//! Names that operators and callers choose.

use std::fmt;
use std::str;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest name, in bytes.
pub const NAME_MAX_BYTES: usize = 128;

/// Tells why a name is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum NameError {
    /// The name has no characters.
    #[snafu(display("the name is empty"))]
    Empty,
    /// The name is longer than [`NAME_MAX_BYTES`].
    #[snafu(display("the name has {length} bytes, at most {NAME_MAX_BYTES} are allowed"))]
    TooLong {
        /// Length of the rejected name, in bytes.
        length: usize,
    },
    /// The name has a character outside letters, digits, `-`, `_`, `.` and `:`.
    #[snafu(display("the name may hold letters, digits, '-', '_', '.' and ':' only"))]
    Character,
}

fn check_name(name: &[u8]) -> Result<(), NameError> {
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
    Err(NameError::Character)
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
            /// Fails when the name is empty, too long or has other characters
            /// than ASCII letters, digits, `-`, `_`, `.` and `:`.
            pub fn new(name: impl Into<Bytes>) -> Result<Self, NameError> {
                let name = name.into();
                check_name(&name)?;
                Ok(Self(name))
            }

            /// Returns the name's bytes, which are ASCII.
            #[must_use]
            pub fn as_bytes(&self) -> &[u8] {
                &self.0
            }

            /// Returns the name as text.
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
    /// Names a workspace.
    WorkspaceName
);
name_type!(
    /// Names a model that engines serve.
    ModelName
);
name_type!(
    /// Names a plain service that programs call.
    ServiceName
);
name_type!(
    /// Names a route of a plain service.
    RouteName
);
name_type!(
    /// Names a program that a workspace may run.
    ProgramName
);
name_type!(
    /// Names a key of a workspace; not the key itself.
    KeyName
);
name_type!(
    /// Names a daemon; unique in its fleet and kept over restarts.
    DaemonName
);
name_type!(
    /// Identifies one attempt at a step; chosen by the caller and repeated when
    /// the caller asks again for the same attempt.
    AttemptKey
);
