//! Keys of workspaces.

use serde::{Deserialize, Serialize};

use crate::{KeyName, WorkspaceName};

/// Answer to a grant; the only place where the key itself is shown.
#[derive(Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct KeyGrantReply {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The key's name.
    pub key: KeyName,
    /// The key itself.
    pub secret: String,
    /// The revision that holds the key's hash.
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

/// Answer to a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct KeyWithdrawReply {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The key's name.
    pub key: KeyName,
    /// The revision from which the key is withdrawn.
    pub revision: u64,
}
