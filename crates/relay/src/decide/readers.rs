//! Which VMs follow the key-value service for all.
//!
//! Load answered: each change wakes every watch, and each watch is a priced call,
//! so that calls grow with VMs times changes. A few VMs watch; the others get what
//! has changed from them, and watch themselves when the readers fall silent.

use super::hash::{rendezvous_rank, stable_hash};
use super::members::VmKey;

/// VMs that follow the service; more than may be turned away or die together on
/// an ordinary day.
const READERS: usize = 3;
/// Age of the readers' last contact after which another VM takes over, in
/// milliseconds; a reader has contact at least once a second.
const PATIENCE_MS: u64 = 1_600;
/// Further patience of each VM after the one before, in milliseconds; the first
/// that takes over is heard by the others meanwhile.
const PATIENCE_STEP_MS: u64 = 60;
/// Most VMs that wait for each other.
const PATIENCE_STEPS: u64 = 10;

/// Returns how many VMs come before `own` as readers.
#[must_use]
pub fn reader_rank(own: VmKey, others: impl Iterator<Item = VmKey>) -> usize {
    let key = stable_hash(b"reader");
    let own_rank = rendezvous_rank(key, own);
    others
        .filter(|other| rendezvous_rank(key, *other) > own_rank)
        .count()
}

/// Tells whether a VM follows the service itself.
///
/// `contact_age_ms` is the age of the last contact of any VM with the service;
/// `None` where there was none.
#[must_use]
pub fn is_reader(rank: usize, contact_age_ms: Option<u64>) -> bool {
    if rank < READERS {
        return true;
    }
    let steps = (rank - READERS) as u64;
    let patience = PATIENCE_MS + PATIENCE_STEP_MS * steps.min(PATIENCE_STEPS);
    contact_age_ms.is_none_or(|age_ms| age_ms > patience)
}
