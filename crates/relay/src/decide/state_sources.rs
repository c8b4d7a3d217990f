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
    /// Number of times that the version was requested from it.
    tries: u32,
    /// Whether a request has not ended.
    is_asked: bool,
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
        let mut sources = self.sources.iter();
        let known = sources.position(|known| known.address == address);
        let known = known.map(|index| self.sources.remove(index));
        let same = known.filter(|known| known.version == version);
        self.sources.push(StateSource {
            address,
            version,
            tries: same.map_or(0, |known| known.tries),
            is_asked: known.is_some_and(|known| known.is_asked),
        });
        if self.sources.len() > SOURCES_MAX {
            let most = self.sources.iter().map(|known| known.tries).max();
            let mut sources = self.sources.iter();
            let index = sources.position(|known| Some(known.tries) == most);
            self.sources.remove(index.unwrap_or(0));
        }
    }

    /// Returns whether a VM has a newer version than `in_force`.
    #[must_use]
    pub fn has_newer(&self, in_force: u64) -> bool {
        self.sources.iter().any(|known| known.version > in_force)
    }

    /// Takes the VM to request a newer version than `in_force` from, until [`end`](Self::end) is
    /// called with its address: of those that were tried least, the one that `random` selects, so
    /// that VMs which have heard of the same ones do not all ask the same. `None` if all are being
    /// asked, or were `tries_max` times.
    pub fn take(
        &mut self,
        in_force: u64,
        tries_max: u32,
        random: u64,
    ) -> Option<(SocketAddrV4, u64)> {
        self.sources.retain(|known| known.version > in_force);
        let free = self.sources.iter_mut();
        let free = free.filter(|known| !known.is_asked && known.tries < tries_max);
        let mut free: Vec<_> = free.collect();
        let least = free.iter().map(|known| known.tries).min()?;
        free.retain(|known| known.tries == least);
        let index = random % free.len() as u64;
        let source = free.into_iter().nth(usize::try_from(index).unwrap_or(0))?;
        source.tries += 1;
        source.is_asked = true;
        Some((source.address, source.version))
    }

    /// Records that a request to a VM has ended.
    pub fn end(&mut self, address: SocketAddrV4) {
        let mut sources = self.sources.iter_mut();
        if let Some(source) = sources.find(|known| known.address == address) {
            source.is_asked = false;
        }
    }
}
