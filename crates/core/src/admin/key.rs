//! Responses to granting and withdrawing workspace keys.

use serde::{Deserialize, Serialize};

use crate::{KeyName, WorkspaceName};

/// Response to granting a key; the only response that contains the key itself.
#[derive(Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct KeyGrantReply {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Name of the key.
    pub key: KeyName,
    /// The secret key; omitted from the `Debug` output.
    pub secret: String,
    /// The settings revision that contains the hash of the key.
    pub revision: u64,
}

impl std::fmt::Debug for KeyGrantReply {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("KeyGrantReply")
            .field("workspace", &self.workspace)
            .field("key", &self.key)
            .field("revision", &self.revision)
            .finish_non_exhaustive()
    }
}

/// Response to withdrawing a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct KeyWithdrawReply {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Name of the key.
    pub key: KeyName,
    /// The new settings revision, in which the key is withdrawn.
    pub revision: u64,
}
