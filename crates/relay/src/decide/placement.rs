//! Replica selection for requests.
//!
//! Replicas that are model engines cache prompt prefixes, so each program has a
//! preferred replica, chosen by rendezvous hashing. Requests spill over to the next
//! replica in rank order if the load of the preferred one exceeds the mean by more than
//! a margin. This load counts the in-flight requests of all VMs: in a large fleet a VM
//! rarely gets a response from a given replica, so load reports in responses alone do
//! not show which replicas are busy.
//!
//! Requests without affinity go to the less loaded of two random replicas (power of two
//! choices), if possible in this VM's failure domain. This keeps queues short even though
//! the load caused by other VMs is taken only from the load reports in responses.
//!
//! Whether a replica that names a limit or is cold has room is known only to a home of the service (see
//! `limits`), so those that would be preferred to the chosen one are returned apart.

use super::cold::ColdTable;
use super::limits::LimitTable;
use super::replicas::{ReplicaKey, ReplicaState, ReplicaTable};
use ibisdale_core::rendezvous_weight;

/// Load above the mean at which requests spill over, as a fraction of the replica's
/// slots.
const SPILLOVER_MARGIN_SHARE: f64 = 0.15;
/// Minimum load above the mean at which requests spill over, in requests.
const SPILLOVER_MARGIN_MIN: f64 = 2.0;

/// Inputs to the choice of a replica.
#[derive(Clone, Debug, Default)]
pub struct PlacementInput<'a> {
    /// Service that handles the request.
    pub service: &'a [u8],
    /// Software version that the replica must have: that of the replica that began the
    /// stream, if the request continues one.
    pub software_version: Option<&'a [u8]>,
    /// Hash of the affinity key; `None` if the request has no affinity.
    pub affinity: Option<u64>,
    /// Failure domain of this VM.
    pub domain: &'a [u8],
    /// Replicas that must not be chosen.
    pub excluded: &'a [ReplicaKey],
    /// Cold replicas, which are limited like those that name a limit.
    pub cold: Option<&'a ColdTable>,
    /// Random number for spillover and for sampling two replicas.
    pub random: u64,
}

/// Replicas chosen for a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementChoice {
    /// Replicas that name a limit or are cold and are preferred to `open`, the best one first; they get the
    /// request only if a home grants it.
    pub limited: Vec<ReplicaKey>,
    /// Replica that has no limit; `None` if none is eligible.
    pub open: Option<ReplicaKey>,
}

/// Chooses the replicas for a request.
///
/// Ejected replicas are chosen only if all others are excluded, leaving or of another
/// software version.
#[must_use]
pub fn choose_replicas(
    table: &ReplicaTable,
    limits: &LimitTable,
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> PlacementChoice {
    let keys = table.service_replicas(input.service).iter().copied();
    let eligible: Vec<(ReplicaKey, &ReplicaState)> = keys
        .filter(|key| !input.excluded.contains(key))
        .filter_map(|key| Some((key, table.state(key)?)))
        .filter(|(_, state)| state.accepts(input.software_version))
        .collect();
    let usable: Vec<_> = eligible
        .iter()
        .filter(|(_, state)| !state.is_ejected(now_ms))
        .copied()
        .collect();
    let candidates = if usable.is_empty() { eligible } else { usable };
    let (limited, open): (Vec<_>, Vec<_>) = candidates.iter().copied().partition(|(_, state)| {
        let is_cold = |cold: &ColdTable| cold.limit(state.start, now_ms).is_some();
        limits.limit(state.start).is_some() || input.cold.is_some_and(is_cold)
    });
    if limited.is_empty() {
        return PlacementChoice {
            limited: Vec::new(),
            open: choose_open(&open, input, now_ms),
        };
    }
    if let Some(affinity) = input.affinity {
        prefer_by_affinity(&limited, &open, affinity, input, now_ms)
    } else {
        prefer_less_loaded(&candidates, &limited, &open, input, now_ms)
    }
}

type Candidate<'a> = (ReplicaKey, &'a ReplicaState);

/// Prefers the limited replicas that rank before the one chosen among the others.
fn prefer_by_affinity(
    limited: &[Candidate<'_>],
    open: &[Candidate<'_>],
    affinity: u64,
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> PlacementChoice {
    let weight = |state: &ReplicaState| rendezvous_weight(affinity, state.hash);
    let chosen = choose_open(open, input, now_ms);
    let chosen_state = open.iter().find(|(key, _)| Some(*key) == chosen);
    let chosen_weight = chosen_state.map(|(_, state)| weight(state));
    let mut preferred: Vec<_> = limited.to_vec();
    preferred.retain(|(_, state)| Some(weight(state)) > chosen_weight);
    preferred.sort_by_key(|(_, state)| std::cmp::Reverse(weight(state)));
    PlacementChoice {
        limited: preferred.into_iter().map(|(key, _)| key).collect(),
        open: chosen,
    }
}

/// Prefers the limited replica that would be chosen if none were limited, and all of them if
/// there is no other one.
fn prefer_less_loaded(
    candidates: &[Candidate<'_>],
    limited: &[Candidate<'_>],
    open: &[Candidate<'_>],
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> PlacementChoice {
    let best = choose_less_loaded_of_two(candidates, input, now_ms);
    let mut preferred: Vec<_> = limited.iter().map(|(key, _)| *key).collect();
    let Some(position) = preferred.iter().position(|key| Some(*key) == best) else {
        return PlacementChoice {
            limited: Vec::new(),
            open: best,
        };
    };
    preferred.rotate_left(position);
    if !open.is_empty() {
        preferred.truncate(1);
    }
    PlacementChoice {
        limited: preferred,
        open: choose_less_loaded_of_two(open, input, now_ms),
    }
}

fn choose_open(
    open: &[Candidate<'_>],
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> Option<ReplicaKey> {
    match input.affinity {
        Some(affinity) => choose_by_affinity(open, affinity, input.random, now_ms),
        None => choose_less_loaded_of_two(open, input, now_ms),
    }
}

fn choose_by_affinity(
    candidates: &[Candidate<'_>],
    affinity: u64,
    random: u64,
    now_ms: u64,
) -> Option<ReplicaKey> {
    let replica_count = candidates.len();
    let total_load: u32 = candidates
        .iter()
        .map(|(_, state)| state.max_load_estimate(now_ms))
        .sum();
    #[expect(clippy::cast_precision_loss, reason = "a few thousand replicas")]
    let mean_load = f64::from(total_load) / replica_count.max(1) as f64;
    let mut ranked: Vec<_> = candidates.to_vec();
    ranked.sort_by_key(|(_, state)| std::cmp::Reverse(rendezvous_weight(affinity, state.hash)));
    // The counts of other VMs are several hundred milliseconds old. If all VMs
    // stopped sending to a busy replica at the same time, it would become idle and the
    // next one overloaded, so the probability of skipping a replica grows with its excess
    // load instead. A replica whose report-based load exceeds the mean by more than the
    // margin is skipped whatever the sample.
    let should_use = |state: &ReplicaState, random: u64| {
        let margin = (f64::from(state.slots()) * SPILLOVER_MARGIN_SHARE).max(SPILLOVER_MARGIN_MIN);
        if f64::from(state.report_based_load(now_ms)) > mean_load + margin {
            return false;
        }
        let load = f64::from(state.max_load_estimate(now_ms));
        #[expect(clippy::cast_precision_loss, reason = "16 bits are exact in an f64")]
        let sample = (random & 0xFFFF) as f64 / 65_536.0;
        load * sample <= mean_load + margin
    };
    let chosen = ranked.iter().enumerate().find(|(rank, (_, state))| {
        // The hash serves as a separate random number for each rank.
        let rank_random = rendezvous_weight(random, *rank as u64);
        should_use(state, rank_random)
    });
    let chosen = chosen.map(|(_, found)| found);
    chosen.or(ranked.first()).map(|(key, _)| *key)
}

fn choose_less_loaded_of_two(
    candidates: &[Candidate<'_>],
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> Option<ReplicaKey> {
    if candidates.is_empty() {
        return None;
    }
    // Two or more local replicas below half their slots are preferred, which avoids the
    // latency between failure domains.
    let local: Vec<_> = candidates
        .iter()
        .filter(|(_, state)| state.info.domain == input.domain)
        .filter(|(_, state)| 2 * state.report_based_load(now_ms) < state.slots())
        .copied()
        .collect();
    let pool = if local.len() >= 2 { &local } else { candidates };
    let size = pool.len() as u64;
    let pick = |random: u64| pool[usize::try_from(random % size).unwrap_or(0)];
    let (first, second) = (pick(input.random), pick(input.random >> 32));
    let utilization = |state: &ReplicaState| {
        f64::from(state.report_based_load(now_ms)) / f64::from(state.slots())
    };
    let is_second_less_loaded = utilization(second.1) < utilization(first.1);
    Some(if is_second_less_loaded {
        second.0
    } else {
        first.0
    })
}
