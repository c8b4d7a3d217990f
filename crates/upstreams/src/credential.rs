//! Credential that authenticates the client to an upstream.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use http::HeaderValue;
use snafu::{ResultExt, Snafu};

/// Maximum size of a credential, in bytes.
const CREDENTIAL_MAX_BYTES: usize = 8 * 1_024;

/// Error while reading a credential file.
#[derive(Debug)]
#[derive(Snafu)]
pub enum CredentialError {
    /// The file cannot be read.
    #[snafu(display("cannot read the credential file {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is empty, too large, or contains anything but visible ASCII.
    #[snafu(display(
        "the credential file {} must hold one line of visible ASCII, \
         at most {CREDENTIAL_MAX_BYTES} bytes",
        path.display()
    ))]
    InvalidContent {
        /// The file.
        path: PathBuf,
    },
}

/// A bearer credential, whose value never appears in logs or debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct UpstreamCredential {
    value: HeaderValue,
}

impl UpstreamCredential {
    /// Reads the credential from a file with a single line.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or its content is not a valid credential.
    pub fn read(path: &Path) -> Result<Self, CredentialError> {
        let text = fs::read(path).context(ReadSnafu { path })?;
        let text = text.trim_ascii();
        let is_visible = text.iter().all(u8::is_ascii_graphic);
        if text.is_empty() || text.len() > CREDENTIAL_MAX_BYTES || !is_visible {
            return InvalidContentSnafu { path }.fail();
        }
        let value = [b"Bearer ", text].concat();
        let Ok(mut value) = HeaderValue::from_bytes(&value) else {
            return InvalidContentSnafu { path }.fail();
        };
        value.set_sensitive(true);
        Ok(Self { value })
    }

    /// Returns the value of the `Authorization` header.
    pub(crate) fn to_header(&self) -> HeaderValue {
        self.value.clone()
    }
}

impl fmt::Debug for UpstreamCredential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("UpstreamCredential(…)")
    }
}
