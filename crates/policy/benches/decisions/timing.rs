//! Measures the time of routing decisions.

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

const REPLICA_COUNTS: [u32; 2] = [20, 4_600];
const DECISIONS: usize = 200_000;
const SESSIONS: u64 = 10_000;
/// Largest time that the histogram records; longer ones count as this.
const TIME_MAX_NS: u64 = 1_000_000_000;
const SEED: u64 = 20_261_203;

/// Time of a routing decision among `replicas` replicas.
pub(crate) struct TimingResult {
    pub(crate) replicas: u32,
    pub(crate) mean_ns: f64,
    pub(crate) p99_ns: u64,
}

/// Measures the decisions for each number of replicas.
pub(crate) fn measure_all() -> Vec<TimingResult> {
    REPLICA_COUNTS.map(time_decisions).into()
}

fn time_decisions(replicas: u32) -> TimingResult {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let set = populated_set(replicas, &mut random);
    let now = TimeStamp::from_millis(1_000);
    let mut histogram =
        Histogram::<u64>::new_with_max(TIME_MAX_NS, 3).expect("the histogram bounds are valid");
    for _ in 0..DECISIONS {
        let session = SessionId::new(random.random_range(0..SESSIONS));
        let prefix = SharedPrefix {
            session,
            tokens: 3_000,
        };
        let request = RoutingRequest::new()
            .prompt_tokens(3_300)
            .shared_prefix(prefix);
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

fn populated_set(replicas: u32, random: &mut Pcg64Mcg) -> ReplicaSet {
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
