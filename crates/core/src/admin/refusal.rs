//! Refusals of the operators' interface.

use serde::{Deserialize, Serialize};

use crate::admin::change::SettingChange;
use crate::admin::finding::SettingsFinding;
use crate::{RequestId, RequestRefusal};

/// A refusal with the request that it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RefusalDetail {
    /// The refusal.
    #[serde(flatten)]
    pub refusal: RequestRefusal,
    /// The request.
    pub request_id: RequestId,
}

/// Says that another revision was applied meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsConflict {
    /// The revision that the refused settings were made from.
    pub expected: u64,
    /// The revision in force.
    pub current: u64,
    /// Who applied the revision in force.
    pub author: String,
    /// What changed between the two; empty when the expected revision is no
    /// longer kept.
    pub difference: Vec<SettingChange>,
}

/// Body of a refusal to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct AdminRefusal {
    /// The refusal.
    pub error: RefusalDetail,
    /// What is wrong in the settings.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<SettingsFinding>,
    /// The conflict with another revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<SettingsConflict>,
}
