//! Assignment of slots to daemons.
//!
//! Every daemon computes the same plan from the same records, so agreeing on it
//! takes no messages. While daemons see different records, the conditions of
//! their writes decide which of them gets a slot.

use ibisdale_core::{DaemonName, SlotId};

/// A live daemon, as input to the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanDaemon {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Whether the daemon takes no slots and releases those it owns.
    pub is_draining: bool,
}

/// The current owner of a slot, as input to the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanOwner {
    /// Owned by the live daemon with this index.
    Daemon(usize),
    /// Without a live owner; to be taken by a daemon.
    Unowned,
    /// The slot's record was deleted or can't be parsed. The slot is not moved, since
    /// taking it would lose its epoch.
    Unreadable,
}

/// A planned change of a slot's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotMove {
    /// Slot to move.
    pub slot: SlotId,
    /// Index of the current owner; `None` if the slot has no live owner.
    pub from: Option<usize>,
    /// Index of the daemon that takes the slot.
    pub to: usize,
}

/// A daemon releases slots only above its quota plus 1/16 of it, so that small
/// imbalances move no slots.
const SLACK_DIVISOR: usize = 16;

/// Returns the moves that give each daemon its quota of the slots, slots without a
/// live owner first.
///
/// `daemons` must be sorted by name, and `owners` is indexed by slot number.
#[must_use]
pub fn plan_moves(daemons: &[PlanDaemon], owners: &[PlanOwner]) -> Vec<SlotMove> {
    let mut quota_use = QuotaUse::new(daemons, owners);
    let mut moves = Vec::new();
    for (slot, owner) in SlotId::all().zip(owners) {
        if *owner == PlanOwner::Unowned
            && let Some(to) = quota_use.assign(slot)
        {
            let from = None;
            moves.push(SlotMove { slot, from, to });
        }
    }
    for (slot, owner) in SlotId::all().zip(owners) {
        let PlanOwner::Daemon(from) = *owner else {
            continue;
        };
        if quota_use.exceeds_quota_and_slack(from)
            && let Some(to) = quota_use.assign(slot)
        {
            quota_use.counts[from] -= 1;
            let from = Some(from);
            moves.push(SlotMove { slot, from, to });
        }
    }
    moves
}

/// Quotas and slot counts, indexed like the daemons.
struct QuotaUse {
    name_hashes: Vec<u64>,
    quotas: Vec<usize>,
    slacks: Vec<usize>,
    counts: Vec<usize>,
}

impl QuotaUse {
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
            name_hashes: daemons
                .iter()
                .map(|daemon| hash_name(&daemon.name))
                .collect(),
            slacks: quotas.iter().map(|quota| quota / SLACK_DIVISOR).collect(),
            quotas,
            counts,
        }
    }

    fn exceeds_quota_and_slack(&self, index: usize) -> bool {
        self.counts[index] > self.quotas[index] + self.slacks[index]
    }

    /// Assigns a slot by rendezvous hashing among the daemons below their quota.
    fn assign(&mut self, slot: SlotId) -> Option<usize> {
        let to = (0..self.counts.len())
            .filter(|index| self.counts[*index] < self.quotas[*index])
            .max_by_key(|index| mix64(self.name_hashes[*index] ^ u64::from(slot.get())))?;
        self.counts[to] += 1;
        Some(to)
    }
}

/// Hashes a daemon name. All daemons must compute the same value.
pub(crate) fn hash_name(name: &DaemonName) -> u64 {
    name.as_bytes()
        .iter()
        .fold(0, |hash, byte| mix64(hash ^ u64::from(*byte)))
}

/// Hashes a 64-bit integer with the `SplitMix64` finalizer.
pub(crate) fn mix64(number: u64) -> u64 {
    let mut hash = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
