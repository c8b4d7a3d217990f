//! Time that one decision takes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use hdrhistogram::Histogram;
use ibisdale_core::TimeStamp;
use ibisdale_policy::{
    LoadReport, ReplicaSet, ReplicaSpec, RoutingRequest, RoutingSettings, SessionId, SharedPrefix,
    choose_replica,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SIZES: [u32; 2] = [20, 4_600];
const DECISIONS: usize = 200_000;
const SESSIONS: u64 = 10_000;
/// Longest time that is told apart, in nanoseconds.
const TIME_MAX_NS: u64 = 1_000_000_000;
const SEED: u64 = 20_261_203;

/// Time of a decision among so many replicas.
pub(crate) struct TimingResult {
    pub(crate) replicas: u32,
    pub(crate) mean_ns: f64,
    pub(crate) p99_ns: u64,
}

/// Measures decisions at each size.
pub(crate) fn measure() -> Vec<TimingResult> {
    SIZES.map(measure_size).into()
}

fn measure_size(replicas: u32) -> TimingResult {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let set = filled_set(replicas, &mut random);
    let now = TimeStamp::from_millis(1_000);
    let mut histogram =
        Histogram::<u64>::new_with_max(TIME_MAX_NS, 3).expect("the bounds are supported");
    for _ in 0..DECISIONS {
        let session = SessionId::new(random.random_range(0..SESSIONS));
        let claim = SharedPrefix {
            session,
            tokens: 3_000,
        };
        let request = RoutingRequest::new()
            .prompt_tokens(3_300)
            .shared_prefix(claim);
        let start = Instant::now();
        let chosen = choose_replica(&set, &request, now, &mut random);
        let elapsed = start.elapsed();
        std::hint::black_box(&chosen).as_ref().ok();
        histogram.saturating_record(u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX));
    }
    TimingResult {
        replicas,
        mean_ns: histogram.mean(),
        p99_ns: histogram.value_at_quantile(0.99),
    }
}

fn filled_set(replicas: u32, random: &mut Pcg64Mcg) -> ReplicaSet {
    let mut set = ReplicaSet::new(RoutingSettings::default());
    let domain = set.domain_key(b"a");
    let at = TimeStamp::from_millis(900);
    let mut keys = Vec::new();
    for _ in 0..replicas {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let key = set.insert(ReplicaSpec::new(address, domain));
        let report = LoadReport {
            queue_length: random.random_range(0..2),
            running: random.random_range(0..36),
            kv_use_permille: 500,
            at,
        };
        set.record_load(key, report);
        keys.push(key);
    }
    for session in 0..SESSIONS {
        let key = keys[random.random_range(0..keys.len())];
        set.record_cached(key, SessionId::new(session), 3_000, at);
    }
    set
}
