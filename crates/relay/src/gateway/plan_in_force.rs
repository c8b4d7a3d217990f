//! The configuration in force at this VM, and what it hears of newer ones.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ibisdale_telemetry::record_event;

use super::boot_time::BootTime;
use super::caller_request::millis;
use super::cold::set_cold_rules;
use super::state::{Gateway, lossy_string};
use crate::decide::hash_bytes;
use crate::plan::DeploymentPlan;

impl Gateway {
    /// Returns the configuration in force, if there is one.
    #[must_use]
    pub fn plan(&self) -> Option<Rc<DeploymentPlan>> {
        let plan = self.state.plan.borrow();
        self.state.has_plan.get().then(|| Rc::clone(&plan))
    }

    /// Applies a configuration if it is newer than the one in force.
    pub fn apply_plan(&self, plan: DeploymentPlan, revision: u64, source: &str) {
        let in_force = self.state.plan.borrow().get_version();
        let version = plan.get_version();
        if self.state.has_plan.get() && version <= in_force {
            if version < in_force {
                record_event!(
                    PlanIgnored,
                    version = version,
                    in_force = in_force,
                    source = source
                );
            }
            return;
        }
        let mut spans = self.state.spans.borrow_mut();
        spans.replace(plan.get_memory_spans(), self.now_ms());
        let remembered = spans.effective(self.now_ms());
        drop(spans);
        let mut knowledge = self.state.plan_knowledge.borrow_mut();
        let outdated_at = knowledge.record_in_force(version);
        drop(knowledge);
        let now = BootTime::now().since_boot();
        record_event!(
            PlanInForce,
            version = version,
            revision = revision,
            source = source,
            routes = plan.get_routes().len(),
            workspaces = plan.get_workspaces().len(),
            resume_ms = remembered.resume_ms,
            retention_ms = remembered.retention_ms,
            outdated_ms = outdated_at.map_or(0, |at| millis(now.saturating_sub(at))),
        );
        for workspace in plan.get_workspaces() {
            record_event!(
                WorkspaceRate,
                workspace = lossy_string(&workspace.name),
                version = version,
                rate_per_s = workspace.rate_per_s,
                burst = workspace.burst,
                keys = workspace.keys.len(),
            );
        }
        if !self.state.quota.borrow().knows_fleet() {
            self.start_quota_round();
        }
        let workspaces = plan.get_workspaces().iter();
        let rates = workspaces.map(|workspace| {
            (
                hash_bytes(&workspace.name),
                workspace.rate_per_s,
                workspace.burst,
            )
        });
        self.state
            .quota
            .borrow_mut()
            .set_rates(rates, self.now_ms());
        set_cold_rules(self, &plan);
        *self.state.plan.borrow_mut() = Rc::new(plan);
        self.state.has_plan.set(true);
        self.state.plan_revision.set(revision);
    }

    /// Returns the time for which a newer version than the one in force is known.
    pub(crate) fn plan_outdated_for(&self) -> Duration {
        let outdated_at = self.state.plan_knowledge.borrow().outdated_at();
        let now = BootTime::now().since_boot();
        outdated_at.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Returns whether the configuration is recent enough to prove that an unknown key or
    /// route does not exist.
    pub(crate) fn is_plan_current(&self) -> bool {
        let max_age = self.state.options.plan_max_age;
        let now = BootTime::now().since_boot();
        self.state.plan_knowledge.borrow().is_current(max_age, now)
    }

    /// Returns whether requests must not be served, since other VMs have had a newer configuration
    /// for too long.
    pub(crate) fn is_plan_outdated(&self) -> bool {
        let max_time = self.state.options.plan_outdated_max;
        let now = BootTime::now().since_boot();
        let knowledge = self.state.plan_knowledge.borrow();
        knowledge.is_outdated(max_time, now)
    }

    /// Returns the time since the configuration in force was known to be the newest.
    pub(crate) fn plan_age(&self) -> Option<Duration> {
        let confirmed_at = self.state.plan_knowledge.borrow().confirmed_at();
        confirmed_at.map(|at| BootTime::now().since_boot().saturating_sub(at))
    }
}

/// Records the version of the configuration that another VM has in force, and the time since it was
/// known there to be the newest.
pub(crate) fn record_heard_plan(
    gateway: &Gateway,
    (version, age_ms): (u64, Option<u64>),
    sender: SocketAddrV4,
) {
    let now = BootTime::now();
    let confirmed_at = age_ms.map(|age_ms| now.before(Duration::from_millis(age_ms)));
    let confirmed_at = confirmed_at.map(BootTime::since_boot);
    let in_force = gateway.plan().map_or(0, |plan| plan.get_version());
    let mut knowledge = gateway.state.plan_knowledge.borrow_mut();
    if knowledge.record_report(version, confirmed_at, now.since_boot()) {
        record_event!(
            PlanHeard,
            version = version,
            in_force = in_force,
            from = sender
        );
    }
}
