//! Replica selection for requests.
//!
//! Model engines cache prompt prefixes, so rendezvous hashing maps a program to the
//! same replica for all of its requests. Requests spill over to the next replica in
//! rank order if the preferred one is clearly busier than the mean. The load counts
//! the in-flight requests of all VMs: in a large fleet a VM rarely gets a response
//! from a given replica, so load reports in responses alone do not show which
//! replicas are busy.
//!
//! Requests without affinity go to the less loaded of two random replicas. This
//! keeps queues short even though a VM learns the load caused by other VMs only from
//! the last responses.

use super::hash::rendezvous_rank;
use super::replicas::{ReplicaKey, ReplicaState, ReplicaTable};

/// Load above the mean at which requests spill over, as a fraction of the replica's
/// slots.
const SPILLOVER_MARGIN_SHARE: f64 = 0.15;
/// Minimum load above the mean at which requests spill over, in requests.
const SPILLOVER_MARGIN_MIN: f64 = 2.0;

/// Inputs to the choice of a replica.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// Service that handles the request.
    pub service: &'a [u8],
    /// Affinity hash; requests with equal hashes prefer the same replica.
    pub affinity: Option<u64>,
    /// Failure domain of this VM.
    pub domain: &'a [u8],
    /// Replicas that must not be chosen.
    pub excluded: &'a [ReplicaKey],
    /// Random number that the choice is based on.
    pub random: u64,
}

/// Chooses a replica; returns `None` if none is eligible.
///
/// Ejected replicas are chosen only if all others are excluded or draining.
#[must_use]
pub fn choose_replica(
    table: &ReplicaTable,
    request: &PlacementRequest<'_>,
    now_ms: u64,
) -> Option<ReplicaKey> {
    let keys = table.get_service(request.service).iter().copied();
    let eligible: Vec<(ReplicaKey, &ReplicaState)> = keys
        .filter(|key| !request.excluded.contains(key))
        .filter_map(|key| Some((key, table.state(key)?)))
        .filter(|(_, state)| !state.info.is_draining)
        .collect();
    let available: Vec<_> = eligible
        .iter()
        .filter(|(_, state)| state.is_usable(now_ms))
        .copied()
        .collect();
    let candidates = if available.is_empty() {
        eligible
    } else {
        available
    };
    match request.affinity {
        Some(affinity) => choose_by_affinity(&candidates, affinity, request.random, now_ms),
        None => choose_less_loaded_of_two(&candidates, request, now_ms),
    }
}

fn choose_by_affinity(
    candidates: &[(ReplicaKey, &ReplicaState)],
    affinity: u64,
    random: u64,
    now_ms: u64,
) -> Option<ReplicaKey> {
    let replica_count = candidates.len();
    let total_load: u32 = candidates
        .iter()
        .map(|(_, state)| state.fleet_load(now_ms))
        .sum();
    #[expect(clippy::cast_precision_loss, reason = "a few thousand replicas")]
    let mean_load = f64::from(total_load) / replica_count.max(1) as f64;
    let mut ranked: Vec<_> = candidates.to_vec();
    ranked.sort_by_key(|(_, state)| std::cmp::Reverse(rendezvous_rank(affinity, state.hash)));
    // The counts of other VMs are several hundred milliseconds old. If every VM left a
    // busy replica at once, it would become idle and the next one overloaded, so the
    // probability of skipping a replica grows with its excess load instead. A recent
    // load report above the limit rules the replica out.
    let accepts_request = |state: &ReplicaState, random: u64| {
        let margin = (f64::from(state.slots()) * SPILLOVER_MARGIN_SHARE).max(SPILLOVER_MARGIN_MIN);
        if f64::from(state.estimated_load(now_ms)) > mean_load + margin {
            return false;
        }
        let load = f64::from(state.fleet_load(now_ms));
        #[expect(clippy::cast_precision_loss, reason = "16 bits are exact in an f64")]
        let sample = (random & 0xFFFF) as f64 / 65_536.0;
        load * sample <= mean_load + margin
    };
    let accepting = ranked.iter().enumerate().find(|(rank, (_, state))| {
        let random = rendezvous_rank(random, *rank as u64);
        accepts_request(state, random)
    });
    let accepting = accepting.map(|(_, found)| found);
    accepting.or(ranked.first()).map(|(key, _)| *key)
}

fn choose_less_loaded_of_two(
    candidates: &[(ReplicaKey, &ReplicaState)],
    request: &PlacementRequest<'_>,
    now_ms: u64,
) -> Option<ReplicaKey> {
    if candidates.is_empty() {
        return None;
    }
    // A local replica below half its slots avoids the latency between failure domains.
    let local: Vec<_> = candidates
        .iter()
        .filter(|(_, state)| state.info.domain == request.domain)
        .filter(|(_, state)| 2 * state.estimated_load(now_ms) < state.slots())
        .copied()
        .collect();
    let pool = if local.len() >= 2 { &local } else { candidates };
    let size = pool.len() as u64;
    let pick = |random: u64| pool[usize::try_from(random % size).unwrap_or(0)];
    let (first, second) = (pick(request.random), pick(request.random >> 32));
    let utilization =
        |state: &ReplicaState| f64::from(state.estimated_load(now_ms)) / f64::from(state.slots());
    let is_second = utilization(second.1) < utilization(first.1);
    Some(if is_second { second.0 } else { first.0 })
}
