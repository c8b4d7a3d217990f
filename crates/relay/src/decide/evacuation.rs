//! Failure domains that operators have evacuated, whose replicas get no new requests.
//!
//! Load: at most 256 names, which change when an operator writes or removes a key. Every state
//! message of a peer carries them, about four a second from each of up to 360 VMs; a report that
//! is not newer than the table costs one comparison.

use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum length of a domain's name, in bytes.
const DOMAIN_NAME_MAX_BYTES: usize = 200;
/// Maximum number of evacuated domains.
const DOMAINS_MAX: usize = 256;
/// Maximum length of all names together, in bytes; every state message carries them and has to
/// fit into a datagram.
const DOMAIN_NAMES_MAX_BYTES: usize = 8_192;

/// Evacuated domains as a VM knows them, for other VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EvacuationReport {
    /// Revision of the key-value store that the domains are known as of; 0 if unknown.
    pub revision: u64,
    /// Names of the evacuated domains.
    pub domains: BTreeSet<Bytes>,
}

/// Domains whose evacuation began or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that are evacuated now and were not before.
    pub began: Vec<Bytes>,
    /// Domains that were evacuated before and are not any more.
    pub ended: Vec<Bytes>,
}

impl EvacuationChange {
    /// Returns whether no evacuation began or ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.began.is_empty() && self.ended.is_empty()
    }
}

/// Names under the operators' key prefix, as far as they are used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainSelection {
    /// Domains that are evacuated.
    pub accepted: BTreeSet<Bytes>,
    /// Names that are ignored since they are empty, too long or too many.
    pub ignored: BTreeSet<Bytes>,
}

impl DomainSelection {
    /// Selects the names that are used; of too many names, the first ones in byte order, so that
    /// all readers select the same.
    #[must_use]
    pub fn new(domains: BTreeSet<Bytes>) -> Self {
        let mut selection = Self::default();
        let mut total_bytes = 0;
        for domain in domains {
            let is_valid = (1..=DOMAIN_NAME_MAX_BYTES).contains(&domain.len());
            let has_room = selection.accepted.len() < DOMAINS_MAX
                && total_bytes + domain.len() <= DOMAIN_NAMES_MAX_BYTES;
            if is_valid && has_room {
                total_bytes += domain.len();
                selection.accepted.insert(domain);
            } else {
                selection.ignored.insert(domain);
            }
        }
        selection
    }
}

/// Evacuated domains that a VM knows of, with the revision that they are known as of.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    report: EvacuationReport,
}

impl EvacuationTable {
    /// Replaces the evacuated domains and returns the difference; an older or equal revision
    /// changes nothing.
    pub fn apply(&mut self, domains: BTreeSet<Bytes>, revision: u64) -> EvacuationChange {
        if revision <= self.report.revision {
            return EvacuationChange::default();
        }
        let previous = std::mem::replace(&mut self.report.domains, domains);
        self.report.revision = revision;
        let current = &self.report.domains;
        EvacuationChange {
            began: current.difference(&previous).cloned().collect(),
            ended: previous.difference(current).cloned().collect(),
        }
    }

    /// Returns whether a domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &[u8]) -> bool {
        self.report.domains.contains(domain)
    }

    /// Returns what this VM knows, for other VMs.
    #[must_use]
    pub fn report(&self) -> &EvacuationReport {
        &self.report
    }
}
