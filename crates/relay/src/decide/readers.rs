//! Selection of the VMs that watch the key-value service on behalf of the fleet.
//!
//! Each change wakes every watch, and each watch is a billed call, so if every VM
//! watched, the number of calls would grow with VMs times changes. Only a few VMs,
//! the readers, watch; the others get changes from them and start to watch when the
//! readers lose contact.

use super::hash::{rendezvous_rank, stable_hash};
use super::members::VmKey;

/// Number of readers; more than the VMs that are expected to be refused by the
/// service or to fail at the same time.
const READER_COUNT: usize = 3;
/// Age of the last contact with the service after which other VMs take over, in
/// milliseconds; a reader has contact at least once a second.
const TAKEOVER_DELAY_MS: u64 = 1_600;
/// Additional delay per rank, in milliseconds; gives the VMs of lower ranks time to
/// take over and to tell the others.
const TAKEOVER_STAGGER_MS: u64 = 60;
/// Maximum number of additional delays; VMs of higher ranks take over together.
const TAKEOVER_STAGGER_MAX_STEPS: u64 = 10;

/// Returns the number of VMs that precede `own` in the order of readers.
#[must_use]
pub fn reader_rank(own: VmKey, others: impl Iterator<Item = VmKey>) -> usize {
    let key = stable_hash(b"reader");
    let own_rank = rendezvous_rank(key, own);
    others
        .filter(|other| rendezvous_rank(key, *other) > own_rank)
        .count()
}

/// Returns whether the VM of the given rank watches the service itself.
///
/// `contact_age_ms` is the age of the last contact of any VM with the service;
/// `None` if there was none.
#[must_use]
pub fn is_reader(rank: usize, contact_age_ms: Option<u64>) -> bool {
    if rank < READER_COUNT {
        return true;
    }
    let steps = (rank - READER_COUNT) as u64;
    let delay_ms = TAKEOVER_DELAY_MS + TAKEOVER_STAGGER_MS * steps.min(TAKEOVER_STAGGER_MAX_STEPS);
    contact_age_ms.is_none_or(|age_ms| age_ms > delay_ms)
}
