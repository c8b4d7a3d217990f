//! Metrics of the configuration.

use std::time::Duration;

use prometheus::{Gauge, Registry};

use super::metrics::register_gauge;

/// Metrics of the configuration in force and of what keeps it up to date.
#[derive(Debug)]
pub(super) struct PlanMetrics {
    feed_age_seconds: Gauge,
    version: Gauge,
    outdated_seconds: Gauge,
    task_delay_seconds: Gauge,
}

impl PlanMetrics {
    pub(super) fn register(registry: &Registry) -> Self {
        Self {
            feed_age_seconds: register_gauge(
                registry,
                "ibisdale_gateway_feed_age_seconds",
                "Time since the key-value service last confirmed the configuration to any VM; -1 if never.",
            ),
            version: register_gauge(
                registry,
                "ibisdale_gateway_plan_version",
                "Version of the configuration in force.",
            ),
            outdated_seconds: register_gauge(
                registry,
                "ibisdale_gateway_plan_outdated_seconds",
                "Time for which a newer version of the configuration than the one in force is known.",
            ),
            task_delay_seconds: register_gauge(
                registry,
                "ibisdale_gateway_task_delay_seconds",
                "Delay with which the latest gossip round began.",
            ),
        }
    }

    pub(super) fn set_task_delay(&self, delay: Duration) {
        self.task_delay_seconds.set(delay.as_secs_f64());
    }

    /// Sets the version in force, the age of its confirmation and the time for which a newer one is
    /// known.
    #[expect(clippy::cast_precision_loss, reason = "versions are small")]
    pub(super) fn set_version(&self, version: u64, feed_age: Option<Duration>, outdated: Duration) {
        self.version.set(version as f64);
        self.feed_age_seconds
            .set(feed_age.map_or(-1.0, |age| age.as_secs_f64()));
        self.outdated_seconds.set(outdated.as_secs_f64());
    }
}
