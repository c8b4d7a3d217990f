//! Ready sets of weights.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::admission::AdmissionLimits;
use crate::queue::QueueWeights;
use crate::retry::{BudgetLimits, RetryPolicy};
use crate::routing::RoutingWeights;

/// Says that a profile name is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("there is no profile {name:?}; there are \"fairness\" and \"latency\""))]
pub struct ProfileError {
    /// The rejected name.
    pub name: String,
}

/// All weights of the decisions.
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
    /// Choice of a replica.
    pub routing: RoutingWeights,
    /// Order among waiting calls.
    pub queue: QueueWeights,
    /// Early refusal.
    pub admission: AdmissionLimits,
    /// Further attempts.
    pub retry: RetryPolicy,
    /// Bounds of the retry budgets.
    pub budget: BudgetLimits,
}

impl PolicyProfile {
    /// Returns the weights that favour the worst-served workspace.
    #[must_use]
    pub fn fairness() -> Self {
        Self::default()
    }

    /// Returns the weights that favour program latency and few refusals.
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
