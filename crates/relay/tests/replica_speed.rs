//! Choice of replicas whose speeds differ, compared with a choice that knows no speeds.

use std::collections::BTreeMap;

use bytes::Bytes;
use ibisdale_relay::decide::{
    AttemptOutcome, EventPace, InFlightCount, LimitStatement, LimitTable, PlacementInput,
    ReplicaInfo, ReplicaKey, ReplicaLoad, ReplicaTable, SpeedReport, choose_replicas,
    read_momentary_factor, rendezvous_weight, rounds_per_pass,
};
use rstest::rstest;

const REPLICAS: u16 = 36;
const SLOTS: u32 = 16;
const STEP_MS: u64 = 10;
const ROUND_MS: u64 = 250;
/// Peers that a VM sends to in a round.
const ROUND_PEERS: usize = 64;
/// Usual time of an event, in microseconds.
const EVENT_US: f64 = 20_000.0;
const EVENTS: f64 = 20.0;
/// Usual time to read a prompt that the replica does not have, in milliseconds.
const PROMPT_MS: f64 = 100.0;
const TARGET_MS: u64 = 600;
const PAUSE_MS: u64 = 200;
const END_MS: u64 = 9_000;
/// Time from which results count; the speeds are learned before.
const COUNTED_MS: u64 = 4_000;

fn table() -> ReplicaTable {
    let mut table = ReplicaTable::default();
    let infos = (0..REPLICAS).map(|index| ReplicaInfo {
        id: Bytes::from(format!("replica-{index}")),
        started_ms: 1,
        service: Bytes::from_static(b"model"),
        address: ([127, 0, 0, 1], 1_000 + index).into(),
        domain: Bytes::from_static(b"east"),
        software_version: Bytes::from_static(b"v1"),
        slots: SLOTS,
        is_draining: false,
        cold_left_ms: 0,
    });
    table.replace(infos.collect());
    table
}

fn input(affinity: Option<u64>, random: u64) -> PlacementInput<'static> {
    PlacementInput {
        service: b"model",
        affinity,
        domain: b"west",
        random,
        ..PlacementInput::default()
    }
}

fn choose(table: &ReplicaTable, input: &PlacementInput<'_>, now_ms: u64) -> ReplicaKey {
    let choice = choose_replicas(table, &LimitTable::default(), input, now_ms);
    choice.open.unwrap()
}

fn index(table: &ReplicaTable, key: ReplicaKey) -> usize {
    usize::from(table.get_info(key).unwrap().address.port() - 1_000)
}

fn start(table: &ReplicaTable, index: u16) -> u64 {
    let id = format!("replica-{index}");
    let info = table.infos().find(|info| info.id == id).unwrap();
    info.start_key()
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive and small")]
fn whole(value: f64) -> u64 {
    value as u64
}

/// Time of work relative to the usual one by replica, time and running requests, and the part of
/// it that the replica reports.
type WorkTime = fn(usize, u64, u32) -> (f64, f64);

#[derive(Clone, Copy)]
struct Scenario {
    vms: usize,
    programs: u64,
    has_affinity: bool,
    work_time: WorkTime,
}

/// Per mille of the requests, and the percentage of the busiest replica's share of the mean.
#[derive(Debug, PartialEq)]
struct Outcome {
    in_time: u64,
    moved: u64,
    queued: u64,
    busiest_percent: u64,
}

struct Message {
    sender: usize,
    receiver: usize,
    counts: Vec<InFlightCount>,
    speeds: Vec<SpeedReport>,
}

struct Simulation {
    scenario: Scenario,
    knows_speeds: bool,
    vms: Vec<ReplicaTable>,
    running: Vec<u32>,
    ends: BTreeMap<u64, Vec<(usize, ReplicaKey, f64)>>,
    mail: BTreeMap<u64, Vec<Message>>,
    last_replica: Vec<Option<usize>>,
    served: Vec<u64>,
    counts: [u64; 4],
    draws: u64,
}

impl Simulation {
    fn run(scenario: Scenario, knows_speeds: bool) -> Outcome {
        let programs = usize::try_from(scenario.programs).unwrap();
        let mut simulation = Self {
            scenario,
            knows_speeds,
            vms: (0..scenario.vms).map(|_| table()).collect(),
            running: vec![0; REPLICAS.into()],
            ends: BTreeMap::new(),
            mail: BTreeMap::new(),
            last_replica: vec![None; programs],
            served: vec![0; REPLICAS.into()],
            counts: [0; 4],
            draws: 0,
        };
        let mut next_ms: Vec<u64> = (0..scenario.programs)
            .map(|program| 10 + program * 7 % 600)
            .collect();
        for now_ms in (STEP_MS..END_MS).step_by(10) {
            simulation.end_requests(now_ms);
            simulation.deliver(now_ms);
            if now_ms % ROUND_MS < STEP_MS {
                simulation.gossip(now_ms);
            }
            for (program, due_ms) in next_ms.iter_mut().enumerate() {
                if *due_ms <= now_ms {
                    *due_ms = simulation.begin_request(program, now_ms) + PAUSE_MS;
                }
            }
        }
        simulation.outcome()
    }

    fn draw(&mut self, range: u64) -> u64 {
        self.draws += 1;
        rendezvous_weight(17, self.draws) % range
    }

    /// Returns when the request ends.
    fn begin_request(&mut self, program: usize, now_ms: u64) -> u64 {
        let vm = usize::try_from(self.draw(self.scenario.vms as u64)).unwrap();
        let affinity = self.scenario.has_affinity.then_some(program as u64 + 1);
        let random = self.draw(u64::MAX);
        let table = &mut self.vms[vm];
        let key = choose(table, &input(affinity, random), now_ms);
        let replica = index(table, key);
        table.begin_request(key, 0);
        self.running[replica] += 1;
        let running = self.running[replica];
        let load = ReplicaLoad {
            running: running.min(SLOTS),
            waiting: running.saturating_sub(SLOTS),
            slots: SLOTS,
        };
        let (time, reported) = (self.scenario.work_time)(replica, now_ms, running);
        table.record_load(key, load, now_ms);
        if self.knows_speeds {
            let start = table.get_info(key).unwrap().start_key();
            table.speeds.record_factor(start, reported, now_ms);
        }
        let previous = self.last_replica[program].replace(replica);
        let has_prompt = affinity.is_none() || previous == Some(replica);
        let prompt_ms = if has_prompt { 0.0 } else { PROMPT_MS };
        let queue = f64::from(running.max(SLOTS)) / f64::from(SLOTS);
        let elapsed_ms = time * queue * (prompt_ms + EVENTS * EVENT_US / 1_000.0);
        let elapsed_ms = whole(elapsed_ms) / STEP_MS * STEP_MS;
        let end = (vm, key, time * EVENT_US);
        self.ends.entry(now_ms + elapsed_ms).or_default().push(end);
        if now_ms >= COUNTED_MS {
            self.served[replica] += 1;
            self.counts[0] += 1;
            self.counts[1] += u64::from(elapsed_ms <= TARGET_MS);
            self.counts[2] += u64::from(previous.is_some_and(|previous| previous != replica));
            self.counts[3] += u64::from(running > SLOTS);
        }
        now_ms + elapsed_ms
    }

    fn end_requests(&mut self, now_ms: u64) {
        for (vm, key, event_us) in self.ends.remove(&now_ms).unwrap_or_default() {
            let table = &mut self.vms[vm];
            self.running[index(table, key)] -= 1;
            let start = table.get_info(key).unwrap().start_key();
            for _ in 0..4 {
                table.speeds.record_time(start, whole(event_us), now_ms);
            }
            table.finish_request(key, AttemptOutcome::Answered, now_ms);
        }
    }

    /// Sends messages that arrive up to 500 ms later; one in 20 is lost.
    fn gossip(&mut self, now_ms: u64) {
        let vms = self.vms.len();
        let max_age_ms = u64::from(rounds_per_pass(vms - 1)) * ROUND_MS;
        for sender in 0..vms {
            self.vms[sender].update_speeds(now_ms);
            let counts = self.vms[sender].in_flight_counts();
            let speeds = self.vms[sender].speeds.reports(max_age_ms, now_ms);
            let first = usize::try_from(now_ms / ROUND_MS).unwrap() * ROUND_PEERS;
            for step in 0..ROUND_PEERS.min(vms - 1) {
                let receiver = (sender + 1 + (first + step) % (vms - 1)) % vms;
                let arrival_ms = now_ms + STEP_MS * (1 + self.draw(50));
                if self.draw(20) > 0 {
                    self.mail.entry(arrival_ms).or_default().push(Message {
                        sender,
                        receiver,
                        counts: counts.clone(),
                        speeds: speeds.clone(),
                    });
                }
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        for message in self.mail.remove(&now_ms).unwrap_or_default() {
            let table = &mut self.vms[message.receiver];
            table.record_peer_in_flight(message.sender as u64, message.counts, now_ms);
            table.speeds.merge(&message.speeds, now_ms);
        }
    }

    fn outcome(&self) -> Outcome {
        let [total, in_time, moved, queued] = self.counts;
        let busiest = self.served.iter().max().unwrap();
        Outcome {
            in_time: 1_000 * in_time / total,
            moved: 1_000 * moved / total,
            queued: 1_000 * queued / total,
            busiest_percent: 100 * busiest * u64::from(REPLICAS) / total,
        }
    }
}

fn three_speeds(replica: usize, _: u64, _: u32) -> (f64, f64) {
    ([1.0 / 0.6, 1.0, 1.0 / 1.6][replica % 3], 1.0)
}

fn slow_at_half_load(replica: usize, _: u64, running: u32) -> (f64, f64) {
    let is_slow = replica.is_multiple_of(6) && running >= SLOTS / 2;
    (if is_slow { 2.5 } else { 1.0 }, 1.0)
}

fn slow_for_a_time(replica: usize, now_ms: u64, _: u32) -> (f64, f64) {
    let is_slow = replica < 6 && (2_000..6_000).contains(&now_ms);
    (if is_slow { 2.5 } else { 1.0 }, 1.0)
}

fn slow_bursts(replica: usize, now_ms: u64, _: u32) -> (f64, f64) {
    let draw = rendezvous_weight(replica as u64, now_ms / 600) % 100;
    let time = if draw < 15 { 2.5 } else { 1.0 };
    (time, time)
}

fn all_slow(_: usize, now_ms: u64, _: u32) -> (f64, f64) {
    (if now_ms > 2_000 { 1.4 } else { 1.0 }, 1.0)
}

fn equal(_: usize, _: u64, _: u32) -> (f64, f64) {
    (1.0, 1.0)
}

/// Guards against a choice that serves fewer requests in time or fills replicas above their slots
/// more often than one without speeds. The snapshots also show how many programs moved.
#[rstest]
#[case::three_speeds_7("three_speeds_7", 7, 150, true, three_speeds)]
#[case::three_speeds_75("three_speeds_75", 75, 150, true, three_speeds)]
#[case::three_speeds_300("three_speeds_300", 300, 150, true, three_speeds)]
#[case::three_speeds_busy("three_speeds_busy", 75, 500, true, three_speeds)]
#[case::three_speeds_plain("three_speeds_plain", 75, 150, false, three_speeds)]
#[case::slow_at_half_load("slow_at_half_load", 75, 400, true, slow_at_half_load)]
#[case::slow_for_a_time("slow_for_a_time", 75, 150, true, slow_for_a_time)]
#[case::slow_bursts("slow_bursts", 75, 150, true, slow_bursts)]
#[case::slow_bursts_plain("slow_bursts_plain", 75, 150, false, slow_bursts)]
fn speeds_serve_more_requests_in_time(
    #[case] name: &str,
    #[case] vms: usize,
    #[case] programs: u64,
    #[case] has_affinity: bool,
    #[case] work_time: WorkTime,
) {
    let scenario = Scenario {
        vms,
        programs,
        has_affinity,
        work_time,
    };
    let before = Simulation::run(scenario, false);
    let after = Simulation::run(scenario, true);
    insta::assert_snapshot!(name, format!("{before:?}\n{after:?}"));
    assert!(after.in_time >= before.in_time);
    assert!(after.queued <= before.queued);
}

/// Guards against any change of the choice where all replicas are equally fast or slow.
#[rstest]
#[case::equal(75, true, equal)]
#[case::equal_plain(7, false, equal)]
#[case::all_slow(75, true, all_slow)]
#[case::all_slow_plain(75, false, all_slow)]
fn equal_replicas_are_chosen_as_without_speeds(
    #[case] vms: usize,
    #[case] has_affinity: bool,
    #[case] work_time: WorkTime,
) {
    let scenario = Scenario {
        vms,
        programs: 400,
        has_affinity,
        work_time,
    };
    let before = Simulation::run(scenario, false);
    let after = Simulation::run(scenario, true);
    assert_eq!(before, after);
}

/// Guards against an effect of measured times while no replica has sent a fourth number, and of
/// equal speeds after that, for any loads, refusals and limits.
#[rstest]
#[case::no_factor(&[900, 20_000, 70_000], None)]
#[case::equal_speeds(&[20_000], Some(1.0))]
#[case::small_differences(&[18_000, 20_000, 23_000], Some(1.1))]
fn choice_is_the_same_without_different_speeds(
    #[case] times_us: &[u64],
    #[case] factor: Option<f64>,
) {
    for round in 0..200 {
        let mut plain = table();
        let mut limits = LimitTable::default();
        for (position, key) in plain
            .service_replicas(b"model")
            .to_vec()
            .into_iter()
            .enumerate()
        {
            let draw = rendezvous_weight(round, position as u64);
            (0..draw % 12).for_each(|_| plain.begin_request(key, 0));
            if draw.is_multiple_of(9) {
                plain.finish_request(key, AttemptOutcome::Refused, 5_000);
            }
            if round.is_multiple_of(2) && draw.is_multiple_of(5) {
                let start = plain.get_info(key).unwrap().start_key();
                limits.observe(start, LimitStatement::PerSecond(1.0), Some(1), 2);
            }
        }
        let mut timed = plain.clone();
        for (index, now_ms) in (0..REPLICAS).cycle().zip(1_000..5_000) {
            let start = start(&timed, index);
            if let Some(factor) = factor {
                timed.speeds.record_factor(start, factor, now_ms);
            }
            let time_us = times_us[usize::from(index) % times_us.len()];
            timed.speeds.record_time(start, time_us, now_ms);
        }
        assert_eq!(timed.update_speeds(4_000), []);
        assert_eq!(timed.update_speeds(5_000), []);
        for affinity in [None, Some(round)] {
            let input = input(affinity, rendezvous_weight(round, 99));
            assert_eq!(
                choose_replicas(&timed, &limits, &input, 5_001),
                choose_replicas(&plain, &limits, &input, 5_001)
            );
        }
    }
}

/// Returns the steps of replica 0 each second while it takes `time_us` per event and the others
/// take 20 ms, in a table that knows it as fast as the others before.
fn steps_of_first(time_us: impl Fn(u64) -> u64, factor: f64) -> Vec<i8> {
    let mut table = table();
    let starts: Vec<u64> = (0..5).map(|index| start(&table, index)).collect();
    let mut steps = Vec::new();
    for now_ms in (100..12_000).step_by(100) {
        for (index, start) in starts.iter().enumerate() {
            let is_first = index == 0;
            let reported = if is_first { factor } else { 1.0 };
            table.speeds.record_factor(*start, reported, now_ms);
            let event_us = if is_first { time_us(now_ms) } else { 20_000 };
            table.speeds.record_time(*start, event_us, now_ms);
        }
        table.update_speeds(now_ms);
        if now_ms.is_multiple_of(1_000) {
            steps.push(table.speeds.step(starts[0]));
        }
    }
    steps
}

/// Guards against steps that follow small differences, miss a recovery, alternate or believe a
/// wrong factor.
#[test]
fn steps_follow_large_changes_only() {
    let slow = |now_ms| {
        if (3_000..7_000).contains(&now_ms) {
            50_000
        } else {
            20_000
        }
    };
    let alternating = |now_ms| {
        if now_ms / 100 % 2 == 0 {
            14_000
        } else {
            26_000
        }
    };
    insta::assert_compact_debug_snapshot!(
        [
            steps_of_first(slow, 1.0),
            steps_of_first(alternating, 1.0),
            steps_of_first(|_| 16_000, 1.0),
            steps_of_first(|_| 12_500, 1.0),
            steps_of_first(|_| 20_000, 8.0),
        ],
        @"[[0, 0, 0, 0, -2, -2, -2, -2, 0, 0, 0], [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], [0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1], [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]]"
    );
}

/// Guards against a slow replica that gets no requests, so that its recovery is never seen.
#[test]
fn slow_replica_gets_a_small_share() {
    let mut table = table();
    for (index, now_ms) in (0..REPLICAS).cycle().zip(1..4_000) {
        let start = start(&table, index);
        table.speeds.record_factor(start, 1.0, now_ms);
        let time_us = if index == 0 { 60_000 } else { 20_000 };
        table.speeds.record_time(start, time_us, now_ms);
    }
    table.update_speeds(3_000);
    table.update_speeds(4_000);
    let count = |affinity: fn(u64) -> Option<u64>| {
        let randoms = (0..20_000).map(|draw| (affinity(draw), rendezvous_weight(3, draw)));
        let keys =
            randoms.map(|(affinity, random)| choose(&table, &input(affinity, random), 4_000));
        keys.filter(|key| index(&table, *key) == 0).count()
    };
    insta::assert_compact_debug_snapshot!((count(Some), count(|_| None)), @"(125, 41)");
}

#[rstest]
#[case("100", Some(1.0))]
#[case("250.5", Some(2.505))]
#[case("1", Some(0.25))]
#[case("10000", Some(8.0))]
#[case("0", None)]
#[case("10001", None)]
#[case("-100", None)]
#[case("1e2", None)]
#[case("99999999999999999999999999999999999999999999", None)]
#[case("NaN", None)]
#[case("", None)]
fn only_valid_factors_are_read(#[case] text: &str, #[case] factor: Option<f64>) {
    assert_eq!(read_momentary_factor(text), factor);
}

/// Guards against counting the time that events waited for the caller to read.
#[test]
fn time_per_event_excludes_waits_for_the_caller() {
    let mut pace = EventPace::default();
    let mut read = |started_us, ended_us, events| {
        pace.record_read(started_us, ended_us);
        pace.record_events(events)
    };
    let first = read(0, 100_000, 1);
    let next = read(100_010, 120_000, 1);
    let buffered = read(170_000, 170_005, 2);
    let after_buffered = read(170_010, 180_000, 1);
    let after_long_pause = read(9_000_000, 9_020_000, 1);
    let results = [first, next, buffered, after_buffered, after_long_pause];
    assert_eq!(results, [None, Some(20_000), None, Some(20_000), None]);
}
