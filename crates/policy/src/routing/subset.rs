//! Subsetting: which replicas a daemon watches and may send calls to.

use std::hash::Hasher;

/// Returns the positions of the `size` replicas that a daemon watches.
///
/// Uses rendezvous hashing: adding or removing a replica replaces at most one member
/// of the subset, and the size does not grow with the fleet. Combine with
/// [`required_watchers`], which ensures that every replica is watched by some daemons.
#[must_use]
pub fn watched_replicas(daemon: &[u8], replicas: &[&[u8]], size: usize) -> Vec<usize> {
    highest_scores(replicas, size, |replica| score(daemon, replica))
}

/// Returns the positions of the `size` daemons that watch a replica in addition to
/// their own subset.
#[must_use]
pub fn required_watchers(replica: &[u8], daemons: &[&[u8]], size: usize) -> Vec<usize> {
    highest_scores(daemons, size, |daemon| score(daemon, replica))
}

fn highest_scores(names: &[&[u8]], size: usize, score: impl Fn(&[u8]) -> u64) -> Vec<usize> {
    let mut scored: Vec<(u64, usize)> = names
        .iter()
        .enumerate()
        .map(|(position, name)| (score(name), position))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    let mut positions: Vec<usize> = scored
        .into_iter()
        .take(size)
        .map(|(_, position)| position)
        .collect();
    positions.sort_unstable();
    positions
}

/// Returns the hash of a pair, which is the same on all daemons.
fn score(daemon: &[u8], replica: &[u8]) -> u64 {
    let mut hasher = FnvHasher::new();
    hasher.write(daemon);
    hasher.write(&[0]);
    hasher.write(replica);
    hasher.finish()
}

/// FNV-1a with a finalizer, so that names that differ in one digit are spread evenly.
struct FnvHasher(u64);

impl FnvHasher {
    const fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for FnvHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
