//! Hashes on which all VMs agree.

use std::hash::{DefaultHasher, Hasher};

/// Hashes bytes; equal on all VMs that run the same build.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}

/// Ranks `node` for `key` by highest random weight; the greatest rank wins.
#[must_use]
pub fn rendezvous_rank(key: u64, node: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(key);
    hasher.write_u64(node);
    hasher.finish()
}
