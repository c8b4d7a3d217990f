//! Refusals of the admin API.

use serde::{Deserialize, Serialize};

use crate::admin::change::SettingChange;
use crate::admin::finding::SettingsFinding;
use crate::{RequestId, RequestRefusal};

/// A refusal with the identifier of the refused request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RefusalDetail {
    /// The refusal, whose fields are serialized alongside `request_id`.
    #[serde(flatten)]
    pub refusal: RequestRefusal,
    /// Identifier of the refused request.
    pub request_id: RequestId,
}

/// Conflict with a settings revision that was applied in the meantime.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsConflict {
    /// The revision that the refused settings were based on.
    pub expected: u64,
    /// The current revision.
    pub current: u64,
    /// Author of the current revision.
    pub author: String,
    /// Changes from the expected to the current revision; empty if the expected
    /// revision is no longer stored.
    pub difference: Vec<SettingChange>,
}

/// Response body of a refused admin request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct AdminRefusal {
    /// The refusal and the request identifier.
    pub error: RefusalDetail,
    /// Errors in the settings.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<SettingsFinding>,
    /// The conflict with another revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<SettingsConflict>,
}
