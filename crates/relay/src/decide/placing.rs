//! Choice of the replica that a request is sent to.
//!
//! Model engines keep the prompts that they have read, so the calls of a program
//! go to the replica that rendezvous hashing gives its identifier, unless that
//! replica has clearly more to do than the others, by what all VMs have sent: in a
//! large fleet a VM rarely gets an answer of a replica. Plain services get the less
//! loaded of two replicas drawn at random, which keeps queues short although
//! each VM knows the load of the others' requests only from the last answers.

use super::hash::rendezvous_rank;
use super::replicas::{ReplicaKey, ReplicaState, ReplicaTable};

/// Requests above the mean that a replica may have before work moves on, as a
/// share of its slots.
const SPILL_SHARE: f64 = 0.15;
/// Requests above the mean that are always allowed.
const SPILL_MIN: f64 = 2.0;

/// What the choice of a replica depends on.
#[derive(Clone, Debug, Default)]
pub struct PlacingRequest<'a> {
    /// Service that the request is for.
    pub service: &'a [u8],
    /// Hash of what the request should stay together with.
    pub affinity: Option<u64>,
    /// Failure domain of this VM.
    pub domain: &'a [u8],
    /// Replicas that are not to be chosen.
    pub excluded: &'a [ReplicaKey],
    /// A random number.
    pub draw: u64,
}

/// Chooses a replica; `None` when none is usable.
#[must_use]
pub fn choose_replica(
    table: &ReplicaTable,
    request: &PlacingRequest<'_>,
    now_ms: u64,
) -> Option<ReplicaKey> {
    let keys = table.get_service(request.service).iter().copied();
    let usable: Vec<(ReplicaKey, &ReplicaState)> = keys
        .filter(|key| !request.excluded.contains(key))
        .filter_map(|key| Some((key, table.state(key)?)))
        .filter(|(_, state)| !state.fact.is_draining)
        .collect();
    let rested: Vec<_> = usable
        .iter()
        .filter(|(_, state)| state.is_usable(now_ms))
        .copied()
        .collect();
    let candidates = if rested.is_empty() { usable } else { rested };
    match request.affinity {
        Some(affinity) => choose_by_affinity(&candidates, affinity, request.draw, now_ms),
        None => choose_of_two(&candidates, request, now_ms),
    }
}

fn choose_by_affinity(
    candidates: &[(ReplicaKey, &ReplicaState)],
    affinity: u64,
    draw: u64,
    now_ms: u64,
) -> Option<ReplicaKey> {
    let count = candidates.len();
    let total: u32 = candidates
        .iter()
        .map(|(_, state)| state.fleet_flights(now_ms))
        .sum();
    #[expect(clippy::cast_precision_loss, reason = "a few thousand replicas")]
    let mean = f64::from(total) / count.max(1) as f64;
    let mut ranked: Vec<_> = candidates.to_vec();
    ranked.sort_by_key(|(_, state)| std::cmp::Reverse(rendezvous_rank(affinity, state.hash)));
    // The news of the other VMs' requests are some hundred ms old: where all VMs left
    // a full replica at once, it would be empty and the next one full.
    let has_room = |state: &ReplicaState, draw: u64| {
        let spill = (f64::from(state.slots()) * SPILL_SHARE).max(SPILL_MIN);
        if f64::from(state.estimate(now_ms)) > mean + spill {
            return false;
        }
        let load = f64::from(state.fleet_flights(now_ms));
        #[expect(clippy::cast_precision_loss, reason = "of 16 bits")]
        let chance = (draw & 0xFFFF) as f64 / 65_536.0;
        load * chance <= mean + spill
    };
    let roomy = ranked.iter().enumerate().find(|(place, (_, state))| {
        let draw = rendezvous_rank(draw, *place as u64);
        has_room(state, draw)
    });
    let roomy = roomy.map(|(_, found)| found);
    roomy.or(ranked.first()).map(|(key, _)| *key)
}

fn choose_of_two(
    candidates: &[(ReplicaKey, &ReplicaState)],
    request: &PlacingRequest<'_>,
    now_ms: u64,
) -> Option<ReplicaKey> {
    if candidates.is_empty() {
        return None;
    }
    // A near replica with a free slot saves the way between failure domains.
    let near: Vec<_> = candidates
        .iter()
        .filter(|(_, state)| state.fact.domain == request.domain)
        .filter(|(_, state)| 2 * state.estimate(now_ms) < state.slots())
        .copied()
        .collect();
    let pool = if near.len() >= 2 { &near } else { candidates };
    let size = pool.len() as u64;
    let pick = |draw: u64| pool[usize::try_from(draw % size).unwrap_or(0)];
    let (first, second) = (pick(request.draw), pick(request.draw >> 32));
    let fill = |state: &ReplicaState| f64::from(state.estimate(now_ms)) / f64::from(state.slots());
    let is_second = fill(second.1) < fill(first.1);
    Some(if is_second { second.0 } else { first.0 })
}
