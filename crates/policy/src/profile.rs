//! Predefined scheduling profiles.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::admission::AdmissionSettings;
use crate::queue::QueueSettings;
use crate::retry::{RetryBudgetSettings, RetryPolicy};
use crate::routing::RoutingSettings;

/// Error returned for an unknown profile name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("unknown profile {name:?}; expected \"fairness\" or \"latency\""))]
pub struct ProfileError {
    /// The unknown name.
    pub name: String,
}

/// Settings of all scheduling decisions.
///
/// ```
/// use ibisdale_policy::PolicyProfile;
///
/// let profile: PolicyProfile = "latency".parse()?;
/// assert_eq!(profile, PolicyProfile::latency());
/// # Ok::<(), ibisdale_policy::ProfileError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct PolicyProfile {
    /// Replica selection.
    pub routing: RoutingSettings,
    /// Order of waiting calls.
    pub queue: QueueSettings,
    /// Admission control.
    pub admission: AdmissionSettings,
    /// Retries after a failed attempt.
    pub retry: RetryPolicy,
    /// Refill rates and capacity of the retry budgets.
    pub budget: RetryBudgetSettings,
}

impl PolicyProfile {
    /// Returns the default profile; compared with [`latency`](Self::latency), tokens
    /// already served delay a program's calls less and admission is stricter.
    #[must_use]
    pub fn fairness() -> Self {
        Self::default()
    }

    /// Returns the profile that favours low program latency and few refusals.
    #[must_use]
    pub fn latency() -> Self {
        let mut profile = Self::default();
        profile.queue.attained_ms_per_kilotoken = 400.0;
        profile.admission.wait_margin = 0.5;
        profile
    }
}

impl FromStr for PolicyProfile {
    type Err = ProfileError;

    fn from_str(name: &str) -> Result<Self, ProfileError> {
        match name {
            "fairness" => Ok(Self::fairness()),
            "latency" => Ok(Self::latency()),
            _ => Err(ProfileError {
                name: name.to_owned(),
            }),
        }
    }
}
