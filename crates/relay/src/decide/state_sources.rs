//! From which VM a VM fetches a newer version of some state.
//!
//! Load: a change that all VMs fetch at once from the few that have it, some of which serve nobody:
//! they stand still, are cut off, or are busy with others.

use std::net::SocketAddrV4;

/// Maximum number of sources that are remembered; enough that some serve if most do not.
const SOURCES_MAX: usize = 16;

/// A VM that has a version of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StateSource {
    address: SocketAddrV4,
    version: u64,
    /// Number of times that the version was fetched from it, or is being fetched.
    tries: u32,
}

/// VMs that have named a newer version than the one in force, the latest one last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceQueue {
    sources: Vec<StateSource>,
}

impl SourceQueue {
    /// Records that a VM has a version; of too many VMs, the one that was tried most and named it
    /// first is forgotten.
    pub fn offer(&mut self, address: SocketAddrV4, version: u64) {
        let known = self
            .sources
            .iter()
            .position(|known| known.address == address);
        let known = known.map(|index| self.sources.remove(index));
        let tries = known.filter(|known| known.version == version);
        self.sources.push(StateSource {
            address,
            version,
            tries: tries.map_or(0, |known| known.tries),
        });
        if self.sources.len() > SOURCES_MAX {
            let most = self.sources.iter().map(|known| known.tries).max();
            let index = self
                .sources
                .iter()
                .position(|known| Some(known.tries) == most);
            self.sources.remove(index.unwrap_or(0));
        }
    }

    /// Returns whether a VM has a newer version than `in_force`.
    #[must_use]
    pub fn has_newer(&self, in_force: u64) -> bool {
        self.sources.iter().any(|known| known.version > in_force)
    }

    /// Takes the VM to fetch a newer version than `in_force` from: the one that was tried least, and
    /// of these the one that has named the newest version last. `None` if none is left that was tried
    /// less than `tries_max` times.
    pub fn take(&mut self, in_force: u64, tries_max: u32) -> Option<(SocketAddrV4, u64)> {
        self.sources.retain(|known| known.version > in_force);
        let left = self.sources.iter_mut();
        let left = left.filter(|known| known.tries < tries_max);
        let next = left
            .enumerate()
            .max_by_key(|(index, known)| (std::cmp::Reverse(known.tries), known.version, *index));
        next.map(|(_, source)| {
            source.tries += 1;
            (source.address, source.version)
        })
    }
}
