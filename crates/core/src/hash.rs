//! Hash functions with the same results on all VMs that run the same build.

use std::hash::{DefaultHasher, Hasher};

/// Hashes bytes; the result is the same on all VMs that run the same build.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}

/// Returns the rendezvous hash (highest random weight) of `node` for `key`; the node with
/// the highest weight is preferred.
#[must_use]
pub fn rendezvous_weight(key: u64, node: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(key);
    hasher.write_u64(node);
    hasher.finish()
}
