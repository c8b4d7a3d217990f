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
//! Replicas of known speed (see `replica_speed`) are preferred by more programs the faster they
//! are, and of two random ones the one with the shorter expected time is chosen. Where all speeds
//! are equal, the choice is the same as without them.
//!
//! Whether a replica that names a limit or is cold has room is known only to a home of the
//! service (see `limits`), so those that would be preferred to the chosen one are returned apart.

use std::cmp::Reverse;

use super::cold::ColdTable;
use super::limits::LimitTable;
use super::replica_speed::SpeedTable;
use super::replicas::{ReplicaKey, ReplicaState, ReplicaTable};
use ibisdale_core::rendezvous_weight;

/// Load above the mean at which requests spill over, as a fraction of the replica's
/// slots.
const SPILLOVER_MARGIN_SHARE: f64 = 0.15;
/// Minimum load above the mean at which requests spill over, in requests.
const SPILLOVER_MARGIN_MIN: f64 = 2.0;
/// Load up to which fast replicas may exceed the usual limit, as a fraction of their slots; the
/// rest is room for requests that the counts of other VMs do not contain yet.
const FAST_LOAD_SHARE: f64 = 0.6;
/// One in this many requests without affinity ignores the speeds, so that the recovery of a slow
/// replica is observed.
const SPEED_IGNORED_ONE_IN: u64 = 16;

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
    /// Replicas that name a limit or are cold and are preferred to `open`, the best one first; they
    /// get the request only if a home grants it.
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
            open: choose_open(&table.speeds, &open, input, now_ms),
        };
    }
    if let Some(affinity) = input.affinity {
        prefer_by_affinity(&table.speeds, (&limited, &open), affinity, input, now_ms)
    } else {
        prefer_less_loaded(&table.speeds, &candidates, (&limited, &open), input, now_ms)
    }
}

type Candidate<'a> = (ReplicaKey, &'a ReplicaState);

/// Prefers the limited replicas that rank before the one chosen among the others.
fn prefer_by_affinity(
    speeds: &SpeedTable,
    (limited, open): (&[Candidate<'_>], &[Candidate<'_>]),
    affinity: u64,
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> PlacementChoice {
    let chosen = choose_open(speeds, open, input, now_ms);
    let chosen_state = open.iter().find(|(key, _)| Some(*key) == chosen);
    let chosen_rank = chosen_state.map(|(_, state)| AffinityRank::new(speeds, affinity, state));
    let mut preferred: Vec<_> = limited
        .iter()
        .map(|(key, state)| (AffinityRank::new(speeds, affinity, state), (*key, *state)))
        .collect();
    preferred.retain(|(rank, _)| chosen_rank.is_none_or(|chosen| rank.precedes(&chosen)));
    preferred.sort_by(|(first, _), (second, _)| first.compare(second));
    PlacementChoice {
        limited: preferred.into_iter().map(|(_, (key, _))| key).collect(),
        open: chosen,
    }
}

/// Prefers the limited replica that would be chosen if none were limited, and all of them if
/// there is no other one.
fn prefer_less_loaded(
    speeds: &SpeedTable,
    candidates: &[Candidate<'_>],
    (limited, open): (&[Candidate<'_>], &[Candidate<'_>]),
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> PlacementChoice {
    let best = choose_less_loaded_of_two(speeds, candidates, input, now_ms);
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
        open: choose_less_loaded_of_two(speeds, open, input, now_ms),
    }
}

fn choose_open(
    speeds: &SpeedTable,
    open: &[Candidate<'_>],
    input: &PlacementInput<'_>,
    now_ms: u64,
) -> Option<ReplicaKey> {
    match input.affinity {
        Some(affinity) => choose_by_affinity(speeds, open, affinity, input.random, now_ms),
        None => choose_less_loaded_of_two(speeds, open, input, now_ms),
    }
}

/// Rank of a replica for an affinity key in weighted rendezvous hashing.
#[derive(Clone, Copy, Debug)]
struct AffinityRank {
    /// Smaller for better ranks; exponentially distributed, divided by the weight.
    score: f64,
    /// Order of scores that are equal after rounding.
    hash: u64,
}

impl AffinityRank {
    fn new(speeds: &SpeedTable, affinity: u64, state: &ReplicaState) -> Self {
        let hash = rendezvous_weight(affinity, state.hash);
        // Equal weights keep the order of the hashes, since the logarithm is monotonic.
        #[expect(clippy::cast_precision_loss, reason = "ties are broken by the hash")]
        let uniform = (hash as f64 + 0.5) / 2.0_f64.powi(64);
        Self {
            score: -uniform.ln() / speeds.weight(state.start),
            hash,
        }
    }

    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then(Reverse(self.hash).cmp(&Reverse(other.hash)))
    }

    fn precedes(&self, other: &Self) -> bool {
        self.compare(other).is_lt()
    }
}

/// Returns the load up to which a replica gets requests of programs that prefer it.
///
/// The margin scales with the speed. Fast replicas may also exceed the mean in proportion to their
/// speed, but only while they are well below their slots.
fn load_limit(speeds: &SpeedTable, state: &ReplicaState, mean_load: f64) -> f64 {
    let slots = f64::from(state.slots());
    let margin = (slots * SPILLOVER_MARGIN_SHARE).max(SPILLOVER_MARGIN_MIN);
    let usual_limit = mean_load + margin;
    let speed = speeds.speed(state.start);
    let limit_max = usual_limit.max(slots * FAST_LOAD_SHARE);
    ((mean_load + margin) * speed.max(1.0)).min(limit_max)
}

fn choose_by_affinity(
    speeds: &SpeedTable,
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
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|(key, state)| (AffinityRank::new(speeds, affinity, state), (*key, *state)))
        .collect();
    ranked.sort_by(|(first, _), (second, _)| first.compare(second));
    let ranked: Vec<Candidate<'_>> = ranked.into_iter().map(|(_, found)| found).collect();
    // The counts of other VMs are several hundred milliseconds old. If all VMs
    // stopped sending to a busy replica at the same time, it would become idle and the
    // next one overloaded, so the probability of skipping a replica grows with its excess
    // load instead. A replica whose report-based load exceeds the mean by more than the
    // margin is skipped whatever the sample.
    let should_use = |state: &ReplicaState, random: u64| {
        let limit = load_limit(speeds, state, mean_load);
        if f64::from(state.report_based_load(now_ms)) > limit {
            return false;
        }
        let load = f64::from(state.max_load_estimate(now_ms));
        #[expect(clippy::cast_precision_loss, reason = "16 bits are exact in an f64")]
        let sample = (random & 0xFFFF) as f64 / 65_536.0;
        load * sample <= limit
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
    speeds: &SpeedTable,
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
    let is_second_better = is_second_faster(speeds, (first.1, second.1), input.random, now_ms)
        .unwrap_or_else(|| utilization(second.1) < utilization(first.1));
    Some(if is_second_better { second.0 } else { first.0 })
}

/// Returns whether the second of two replicas has the shorter expected time; `None` if their
/// speeds are equal or are ignored for this request.
fn is_second_faster(
    speeds: &SpeedTable,
    (first, second): (&ReplicaState, &ReplicaState),
    random: u64,
    now_ms: u64,
) -> Option<bool> {
    let factor = |state: &ReplicaState| speeds.time_factor(state.start, now_ms);
    let (first_factor, second_factor) = (factor(first), factor(second));
    let are_equal = first_factor.total_cmp(&second_factor).is_eq();
    if are_equal || rendezvous_weight(random, 0).is_multiple_of(SPEED_IGNORED_ONE_IN) {
        return None;
    }
    let load = |state: &ReplicaState| state.max_load_estimate(now_ms);
    let is_full = |state: &ReplicaState| load(state) >= state.slots();
    if is_full(first) != is_full(second) {
        return Some(is_full(first));
    }
    let expected_time = |state: &ReplicaState, factor: f64| {
        factor * (1.0 + f64::from(load(state)) / f64::from(state.slots()))
    };
    Some(expected_time(second, second_factor) < expected_time(first, first_factor))
}
