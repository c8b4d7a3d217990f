//! Selection of the VMs that watch the key-value service on behalf of the fleet.
//!
//! Each change completes every watch, and each watch is a billed call, so if every VM
//! watched, the number of calls would be proportional to the number of VMs times the
//! number of changes. Only a few VMs, the readers, watch; the others get changes from
//! them and start to watch when the readers lose contact with the service.

use super::members::VmKey;
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
