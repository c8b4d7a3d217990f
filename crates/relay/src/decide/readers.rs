//! Selection of the VMs that watch the key-value service on behalf of the fleet.
//!
//! Each change completes every watch, and each watch is a billed call, so if every VM
//! watched, the number of calls would be proportional to the number of VMs times the
//! number of changes. Only a few VMs, the readers, watch; the others get changes from
//! them and start to watch when the readers lose contact with the service. A reader that the
//! service refuses reports it, and the next VM in the order replaces it.

use super::member_facts::VmKey;
use ibisdale_core::{hash_bytes, rendezvous_weight};

/// Number of readers; exceeds the number of VMs expected to fail, or to have their calls
/// refused by the service, at the same time.
const READER_COUNT: usize = 3;
/// Time since the last successful call to the service after which other VMs take over, in
/// milliseconds; a reader's watch returns at least once a second.
const TAKEOVER_DELAY_MS: u64 = 1_600;
/// Additional delay per rank, in milliseconds; gives the VMs with smaller ranks,
/// which go first, time to take over and to announce it to the others.
const TAKEOVER_STAGGER_MS: u64 = 60;
/// Number of ranks after the readers beyond which the delay no longer grows; VMs of higher
/// ranks take over together.
const TAKEOVER_STAGGER_MAX_RANKS: u64 = 10;
/// Number of ranks, those of the readers included, that replace readers which report that they
/// are refused. The limit keeps an outage for all VMs from making each of them call the
/// service at once; if the service refuses half of the VMs, one fleet in 65,536 exceeds it.
const REPLACEMENT_RANKS: usize = 16;

/// Time since the last successful call of any VM to the service after which it counts as
/// unavailable, in milliseconds; longer than the time after which other VMs take over as readers,
/// so that some of them have tried.
const UNAVAILABLE_AFTER_MS: u64 = 2_000;
/// Time between two attempts of a substitute for each VM of the fleet, in milliseconds; with it,
/// all substitutes together call the service 40 times per second.
const SUBSTITUTE_RETRY_MS_PER_VM: u64 = 25;
/// Maximum time between two attempts of a substitute, in milliseconds.
const SUBSTITUTE_RETRY_MAX_MS: u64 = 4_000;

/// Returns whether the service is taken to answer no VM, so that only readers call it.
///
/// The service bills refused calls too, and each VM retries on behalf of each program.
/// `contact_age_ms` is as for [`is_reader`].
#[must_use]
pub fn is_unavailable(contact_age_ms: Option<u64>) -> bool {
    contact_age_ms.is_some_and(|age_ms| age_ms > UNAVAILABLE_AFTER_MS)
}

/// Returns the time between two attempts of a VM that is a [`ReaderRole::Substitute`] in a fleet
/// of `vms` VMs, in milliseconds.
#[must_use]
pub fn substitute_retry_ms(vms: usize) -> u64 {
    (vms as u64 * SUBSTITUTE_RETRY_MS_PER_VM).min(SUBSTITUTE_RETRY_MAX_MS)
}

/// Returns the number of `others` that precede `vm` in the order of rendezvous weights.
#[must_use]
pub fn reader_rank(vm: VmKey, others: impl Iterator<Item = VmKey>) -> usize {
    let key = hash_bytes(b"reader");
    let own_weight = rendezvous_weight(key, vm);
    others
        .filter(|other| rendezvous_weight(key, *other) > own_weight)
        .count()
}

/// Returns whether the VM of the given rank watches the service itself.
///
/// `contact_age_ms` is the time since the last successful call of any VM to the service;
/// `None` if there was none.
#[must_use]
pub fn is_reader(rank: usize, contact_age_ms: Option<u64>) -> bool {
    if rank < READER_COUNT {
        return true;
    }
    let later_ranks = (rank - READER_COUNT) as u64;
    let delay_ms =
        TAKEOVER_DELAY_MS + TAKEOVER_STAGGER_MS * later_ranks.min(TAKEOVER_STAGGER_MAX_RANKS);
    contact_age_ms.is_none_or(|age_ms| age_ms > delay_ms)
}

/// A VM that may watch the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderCandidate {
    /// The VM.
    pub vm: VmKey,
    /// Whether the VM reports that the service refuses its calls or does not answer them.
    pub is_store_lost: bool,
}

/// Reason for which a VM watches the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It is one of the first VMs.
    First,
    /// It replaces one of the first VMs, which the service refuses.
    Replacement,
    /// No VM has had contact with the service for some time.
    Substitute,
}

/// Ranks of a VM among the live VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderRanks {
    all: usize,
    /// Rank among the VMs that are not refused; `None` if the VM is refused.
    served: Option<usize>,
}

impl ReaderRanks {
    /// Determines the ranks of `own` among itself and `others`.
    #[must_use]
    pub fn new(
        own: ReaderCandidate,
        others: impl Iterator<Item = ReaderCandidate> + Clone,
    ) -> Self {
        let all = reader_rank(own.vm, others.clone().map(|other| other.vm));
        let served = others.filter(|other| !other.is_store_lost);
        Self {
            all,
            served: (!own.is_store_lost).then(|| reader_rank(own.vm, served.map(|vm| vm.vm))),
        }
    }

    /// Returns whether the role of other VMs depends on whether the service refuses this one.
    #[must_use]
    pub fn concerns_others(self) -> bool {
        self.all < REPLACEMENT_RANKS
    }

    /// Returns the role of the VM; `None` if it does not watch the service.
    ///
    /// The first VMs go on to watch while they are refused, since they have to detect when the
    /// refusals end. `contact_age_ms` is as for [`is_reader`].
    #[must_use]
    pub fn role(self, contact_age_ms: Option<u64>) -> Option<ReaderRole> {
        let is_replacement =
            self.concerns_others() && self.served.is_some_and(|served| served < READER_COUNT);
        if self.all < READER_COUNT {
            return Some(ReaderRole::First);
        }
        if is_replacement {
            return Some(ReaderRole::Replacement);
        }
        is_reader(self.all, contact_age_ms).then_some(ReaderRole::Substitute)
    }
}
