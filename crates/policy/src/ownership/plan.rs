//! Which daemon is to own which slot.
//!
//! Every daemon computes the same plan from the same records, so that no
//! messages are needed to agree on it; where the records differ for a moment,
//! the guarded writes decide.

use ibisdale_core::{DaemonName, SlotId};

/// A live daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanDaemon {
    /// Its name.
    pub name: DaemonName,
    /// Set when it takes no slots and gives up those it has.
    pub is_draining: bool,
}

/// Who owns a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanOwner {
    /// The live daemon with this index.
    Daemon(usize),
    /// Nobody, so that it is to be taken.
    Nobody,
    /// Unreadable, so that it is left alone.
    Fixed,
}

/// A slot that is to change hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotMove {
    /// The slot.
    pub slot: SlotId,
    /// Index of its live owner, or nothing when it has none.
    pub from: Option<usize>,
    /// Index of the daemon that is to take it.
    pub to: usize,
}

/// A daemon keeps this part of its share, as a divisor, beyond it without
/// giving slots up.
const SLACK_DIVISOR: usize = 16;

/// Plans the moves; `daemons` are sorted by name and `owners` is by slot number.
#[must_use]
pub fn plan_moves(daemons: &[PlanDaemon], owners: &[PlanOwner]) -> Vec<SlotMove> {
    let mut shares = Shares::new(daemons, owners);
    let mut moves = Vec::new();
    for (slot, owner) in SlotId::all().zip(owners) {
        if *owner == PlanOwner::Nobody
            && let Some(to) = shares.take(slot)
        {
            let from = None;
            moves.push(SlotMove { slot, from, to });
        }
    }
    for (slot, owner) in SlotId::all().zip(owners) {
        let PlanOwner::Daemon(from) = *owner else {
            continue;
        };
        if shares.is_over(from)
            && let Some(to) = shares.take(slot)
        {
            shares.counts[from] -= 1;
            let from = Some(from);
            moves.push(SlotMove { slot, from, to });
        }
    }
    moves
}

struct Shares {
    seeds: Vec<u64>,
    quotas: Vec<usize>,
    slacks: Vec<usize>,
    counts: Vec<usize>,
}

impl Shares {
    fn new(daemons: &[PlanDaemon], owners: &[PlanOwner]) -> Self {
        let takers = daemons.iter().filter(|daemon| !daemon.is_draining).count();
        let mut quotas = Vec::new();
        let mut rank = 0;
        for daemon in daemons {
            if daemon.is_draining {
                quotas.push(0);
                continue;
            }
            let extra = usize::from(rank < owners.len() % takers);
            quotas.push(owners.len() / takers + extra);
            rank += 1;
        }
        let mut counts = vec![0; daemons.len()];
        for owner in owners {
            if let PlanOwner::Daemon(index) = owner {
                counts[*index] += 1;
            }
        }
        Self {
            seeds: daemons.iter().map(|daemon| seed_of(&daemon.name)).collect(),
            slacks: quotas.iter().map(|quota| quota / SLACK_DIVISOR).collect(),
            quotas,
            counts,
        }
    }

    fn is_over(&self, index: usize) -> bool {
        self.counts[index] > self.quotas[index] + self.slacks[index]
    }

    /// Gives the slot to the first daemon in the slot's order that has room.
    fn take(&mut self, slot: SlotId) -> Option<usize> {
        let to = (0..self.counts.len())
            .filter(|index| self.counts[*index] < self.quotas[*index])
            .max_by_key(|index| mix(self.seeds[*index] ^ u64::from(slot.get())))?;
        self.counts[to] += 1;
        Some(to)
    }
}

/// Returns a number that depends on all bytes of a name, the same everywhere.
pub(crate) fn seed_of(name: &DaemonName) -> u64 {
    name.as_bytes()
        .iter()
        .fold(0, |hash, byte| mix(hash ^ u64::from(*byte)))
}

/// Spreads a number over 64 bits (the finaliser of `SplitMix64`).
pub(crate) fn mix(number: u64) -> u64 {
    let mut hash = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
