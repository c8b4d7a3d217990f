//! Evacuated failure domains: changes from the key-value store and from other VMs.

use std::collections::BTreeSet;

use bytes::Bytes;
use ibisdale_telemetry::record_event;

use super::admit::GatewayError;
use super::cold::record_domain_return;
use super::state::{Gateway, lossy_string};
use crate::decide::{DomainSelection, EvacuationReport};

/// `Retry-After` of a request whose service has replicas in evacuated domains only, in
/// milliseconds; an operator ends an evacuation, so an earlier retry rarely succeeds.
const EVACUATED_RETRY_MS: u64 = 1_000;
/// Maximum length of an ignored name in the log, in bytes.
const LOGGED_NAME_MAX_BYTES: usize = 64;

/// Revision and source of a change, for the log.
#[derive(Clone, Copy, Debug)]
struct ChangeOrigin {
    revision: u64,
    source: &'static str,
}

impl Gateway {
    /// Replaces the evacuated failure domains unless the list is older than the one in force,
    /// and notifies all VMs of a change.
    ///
    /// `revision` is that of the key-value store as of which the list is complete.
    pub fn set_evacuated_domains(&self, domains: BTreeSet<Bytes>, revision: u64) {
        let known = self.state.replicas.borrow().evacuations().report().revision;
        if revision <= known {
            return;
        }
        let selection = DomainSelection::new(domains);
        if let Some(first) = selection.ignored.first() {
            record_event!(
                EvacuationIgnored,
                domain = lossy_string(&first[..first.len().min(LOGGED_NAME_MAX_BYTES)]),
                count = selection.ignored.len(),
                revision = revision,
            );
        }
        let report = EvacuationReport {
            revision,
            domains: selection.accepted,
        };
        if apply_report(self, report, "store") {
            self.announce();
        }
    }
}

/// Applies the evacuated domains that another VM knows of if they are newer.
pub(crate) fn merge_evacuations(gateway: &Gateway, report: EvacuationReport) {
    apply_report(gateway, report, "peer");
}

/// Returns the evacuated domains that this VM knows of.
pub(crate) fn evacuation_report(gateway: &Gateway) -> EvacuationReport {
    let replicas = gateway.state.replicas.borrow();
    replicas.evacuations().report().clone()
}

/// Returns the refusal of a request that no replica of `service` takes.
pub(crate) fn refuse_without_replica(gateway: &Gateway, service: &[u8]) -> GatewayError {
    let replicas = gateway.state.replicas.borrow();
    let mut states = replicas.service_states(service).peekable();
    if states.peek().is_none() || !states.all(|state| state.is_evacuated) {
        return GatewayError::unavailable("no replica");
    }
    gateway.state.metrics.count_evacuated_request();
    GatewayError {
        retry_after_ms: Some(EVACUATED_RETRY_MS),
        ..GatewayError::unavailable("all replicas are in evacuated domains")
    }
}

/// Updates the gauges of evacuated domains and of this VM's requests that still run there.
pub(crate) fn update_evacuation_gauges(gateway: &Gateway) {
    let replicas = gateway.state.replicas.borrow();
    let domains = replicas.evacuations().report().domains.len();
    let evacuated = replicas.states().filter(|state| state.is_evacuated);
    let running = evacuated.map(|state| state.in_flight).sum();
    let metrics = &gateway.state.metrics;
    metrics.set_evacuations(domains, running);
}

/// Applies a list of evacuated domains; returns whether any evacuation began or ended.
fn apply_report(gateway: &Gateway, report: EvacuationReport, source: &'static str) -> bool {
    let origin = ChangeOrigin {
        revision: report.revision,
        source,
    };
    let change = {
        let mut replicas = gateway.state.replicas.borrow_mut();
        replicas.apply_evacuations(report.domains, report.revision)
    };
    for domain in &change.began {
        log_change(gateway, domain, true, origin);
    }
    for domain in &change.ended {
        handle_domain_return(gateway, domain, origin);
    }
    !change.is_empty()
}

/// Handles the end of an evacuation, before any request is sent to the domain's replicas.
///
/// Called once for each domain that has returned, whether this VM learned it from the store or
/// from another VM.
fn handle_domain_return(gateway: &Gateway, domain: &Bytes, origin: ChangeOrigin) {
    log_change(gateway, domain, false, origin);
    record_domain_return(gateway, domain);
}

fn log_change(gateway: &Gateway, domain: &Bytes, is_evacuated: bool, origin: ChangeOrigin) {
    let replicas = gateway.state.replicas.borrow();
    let states = replicas.states();
    let in_domain = states.filter(|state| state.info.domain == *domain);
    let (mut count, mut running) = (0_u32, 0_u32);
    for state in in_domain {
        count += 1;
        running += state.in_flight;
    }
    record_event!(
        EvacuationChanged,
        domain = lossy_string(domain),
        evacuated = is_evacuated,
        revision = origin.revision,
        source = origin.source,
        replicas = count,
        running = running,
    );
}
