//! Random faults and operators against a simple oracle: a revision has one text
//! for ever, daemons never go back, and what was accepted stays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::FutureExt;
use ibisdale_daemon::{FeedError, FeedOptions, FeedTask, SettingsFeed};
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvCallKind, KvClient, KvOptions};
use ibisdale_standins::{KvServer, OutageKind};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smol::Timer;

const SEED: u64 = 5;
const CASES: u32 = 24;
const STEPS: usize = 24;
const DAEMONS: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_millis(60);
const APPLY_TIMEOUT: Duration = Duration::from_millis(200);
const CONFIRM_INTERVAL: Duration = Duration::from_millis(40);
const ANSWER_DELAY: Duration = Duration::from_millis(8);
/// Time after which daemons that do not agree count as stuck.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);
const POLL: Duration = Duration::from_millis(1);
/// Size of a chunk. A chunk of the usual 512 KiB takes 40 ms of processor time in an
/// unoptimized build, most of [`CALL_TIMEOUT`], and more than that on a busy machine.
const CHUNK_BYTES: usize = 4_096;
/// Text that does not fit into one chunk, nor into two.
const LARGE: usize = 10_000;

#[derive(Clone, Debug)]
enum FuzzStep {
    /// A daemon applies settings made from the revision it has, or an older one.
    Apply {
        daemon: usize,
        is_stale: bool,
        is_large: bool,
    },
    /// The next answers to transactions are lost once the apply has read the
    /// head; another daemon may apply meanwhile.
    ApplyLosing {
        daemon: usize,
        answers: u32,
        rival: Option<usize>,
    },
    /// Two daemons apply at once.
    Race {
        first: usize,
        second: usize,
    },
    LoseAnswers(u32),
    Lag(i64),
    Silence,
    StartOutage(bool),
    EndOutage,
    Compact,
    /// A daemon starts anew and hears its peers' revision.
    Restart(usize),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = FuzzStep> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        6 => (daemon.clone(), prop::bool::weighted(0.2), prop::bool::weighted(0.1)).prop_map(
            |(daemon, is_stale, is_large)| FuzzStep::Apply { daemon, is_stale, is_large }
        ),
        4 => (daemon.clone(), 1..3_u32, prop::option::of(daemon.clone())).prop_map(
            |(daemon, answers, rival)| FuzzStep::ApplyLosing { daemon, answers, rival }
        ),
        3 => (daemon.clone(), daemon.clone())
            .prop_map(|(first, second)| FuzzStep::Race { first, second }),
        2 => (1..4_u32).prop_map(FuzzStep::LoseAnswers),
        1 => (0..20_i64).prop_map(FuzzStep::Lag),
        1 => Just(FuzzStep::Silence),
        1 => any::<bool>().prop_map(FuzzStep::StartOutage),
        2 => Just(FuzzStep::EndOutage),
        1 => Just(FuzzStep::Compact),
        2 => daemon.prop_map(FuzzStep::Restart),
        2 => (0..40_u64).prop_map(FuzzStep::Wait),
    ]
}

/// What an apply reported.
#[derive(Clone, Copy, Debug)]
enum ApplyOutcome {
    Accepted(u64),
    Refused,
    Unknown,
}

/// What must hold, kept as plainly as possible.
#[derive(Debug, Default)]
struct FuzzOracle {
    /// The one text that each revision was seen with.
    texts: BTreeMap<u64, Bytes>,
    /// Revisions that were reported as accepted.
    accepted: u64,
    /// Texts that were said to be not in force, now or later.
    refused: Vec<Bytes>,
    /// The highest revision that each daemon had.
    reached: [u64; DAEMONS],
}

impl FuzzOracle {
    fn see(&mut self, revision: u64, text: &Bytes) {
        let known = self.texts.entry(revision).or_insert_with(|| text.clone());
        assert!(known == text, "revision {revision} has two texts");
    }

    fn note(&mut self, outcome: ApplyOutcome, text: &Bytes) {
        match outcome {
            ApplyOutcome::Accepted(revision) => {
                self.see(revision, text);
                self.accepted = self.accepted.max(revision);
            }
            ApplyOutcome::Refused => self.refused.push(text.clone()),
            ApplyOutcome::Unknown => {}
        }
    }

    fn check_refused(&self) {
        for (revision, text) in &self.texts {
            assert!(
                !self.refused.contains(text),
                "revision {revision} was refused"
            );
        }
    }

    fn observe(&mut self, feeds: &[(SettingsFeed, FeedTask)]) {
        for (reached, (feed, _)) in self.reached.iter_mut().zip(feeds) {
            let revision = feed.get_snapshot().revision();
            assert!(revision >= *reached, "{revision} came after {reached}");
            *reached = revision;
        }
        for (feed, _) in feeds {
            let text = feed.get_text();
            if text.revision > 0 {
                self.see(text.revision, &text.text);
            }
        }
    }
}

struct FuzzFleet {
    server: KvServer,
    executor: TrafficExecutor,
    feeds: Vec<(SettingsFeed, FeedTask)>,
    oracle: FuzzOracle,
    is_out: bool,
    applies: u32,
}

impl FuzzFleet {
    fn start(executor: &TrafficExecutor) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = KvServer::start(address, executor).expect("a free port");
        let mut fleet = Self {
            server,
            executor: TrafficExecutor::clone(executor),
            feeds: Vec::new(),
            oracle: FuzzOracle::default(),
            is_out: false,
            applies: 0,
        };
        fleet.feeds = (0..DAEMONS).map(|_| fleet.start_feed()).collect();
        fleet
    }

    fn start_feed(&self) -> (SettingsFeed, FeedTask) {
        let client = KvOptions::new()
            .endpoint(self.server.get_address())
            .call_timeout(CALL_TIMEOUT);
        let options = FeedOptions::new()
            .confirm_interval(CONFIRM_INTERVAL)
            .apply_timeout(APPLY_TIMEOUT)
            .chunk_bytes(CHUNK_BYTES)
            .kept_revisions(1_000);
        let client = KvClient::new(client, &self.executor);
        SettingsFeed::start(client, options, &self.executor)
    }

    /// Returns a text that no other apply has.
    fn new_text(&mut self, is_large: bool) -> Bytes {
        self.applies += 1;
        let padding = if is_large { LARGE } else { 0 };
        let comment = "-".repeat(padding);
        format!("[/workspaces/a]\nburst = {}\n;{comment}\n", self.applies).into()
    }

    async fn apply(feed: &SettingsFeed, expected: u64, text: &Bytes) -> ApplyOutcome {
        match feed.apply(text.clone(), expected, "anna", "").await {
            Ok(applied) => {
                assert_eq!(applied.revision, expected + 1);
                ApplyOutcome::Accepted(applied.revision)
            }
            Err(FeedError::Conflict { conflict }) => {
                assert_ne!(conflict.current, expected);
                ApplyOutcome::Refused
            }
            Err(FeedError::Unavailable { .. }) => ApplyOutcome::Refused,
            Err(FeedError::OutcomeUnknown { .. }) => ApplyOutcome::Unknown,
            Err(error) => panic!("{error:?}"),
        }
    }

    async fn run_apply(&mut self, daemon: usize, is_stale: bool, is_large: bool) {
        let text = self.new_text(is_large);
        let feed = &self.feeds[daemon].0;
        let revision = feed.get_snapshot().revision();
        let expected = revision.saturating_sub(u64::from(is_stale));
        let outcome = Self::apply(feed, expected, &text).await;
        self.oracle.note(outcome, &text);
    }

    async fn run_losing(&mut self, daemon: usize, answers: u32, rival: Option<usize>) {
        let texts = [self.new_text(false), self.new_text(false)];
        let feed = &self.feeds[daemon].0;
        let server = &self.server;
        let expected = feed.get_snapshot().revision();
        let transactions = || server.get_counts().get(KvCallKind::Txn);
        let before = (transactions(), server.get_revision());
        server.set_delay(ANSWER_DELAY);
        let interfere = async {
            while transactions() == before.0 {
                Timer::after(POLL).await;
            }
            server.lose_answers(Some(KvCallKind::Txn), answers);
            while server.get_revision() == before.1 {
                Timer::after(POLL).await;
            }
            server.set_delay(Duration::ZERO);
            let Some(rival) = rival else {
                return ApplyOutcome::Unknown;
            };
            Self::apply(&self.feeds[rival].0, expected + 1, &texts[1]).await
        };
        // In an outage no transaction arrives.
        let interfere = interfere.or(async {
            Timer::after(2 * APPLY_TIMEOUT).await;
            ApplyOutcome::Unknown
        });
        let apply = Self::apply(feed, expected, &texts[0]);
        let (one, other) = futures_lite::future::zip(apply, interfere).await;
        self.server.set_delay(Duration::ZERO);
        self.oracle.note(one, &texts[0]);
        self.oracle.note(other, &texts[1]);
    }

    async fn run_race(&mut self, first: usize, second: usize) {
        let texts = [self.new_text(false), self.new_text(false)];
        let feeds = [&self.feeds[first].0, &self.feeds[second].0];
        let expected = feeds.map(|feed| feed.get_snapshot().revision());
        let (one, other) = futures_lite::future::zip(
            Self::apply(feeds[0], expected[0], &texts[0]),
            Self::apply(feeds[1], expected[1], &texts[1]),
        )
        .await;
        self.oracle.note(one, &texts[0]);
        self.oracle.note(other, &texts[1]);
    }

    async fn restart(&mut self, daemon: usize) {
        let (feed, task) = self.start_feed();
        let (_, old) = std::mem::replace(&mut self.feeds[daemon], (feed, task));
        old.close().await;
        self.oracle.reached[daemon] = 0;
        let highest = self.oracle.reached.iter().copied().max().unwrap_or(0);
        self.feeds[daemon].0.require_revision(highest);
    }

    async fn run(&mut self, step: &FuzzStep) {
        match *step {
            FuzzStep::Apply {
                daemon,
                is_stale,
                is_large,
            } => self.run_apply(daemon, is_stale, is_large).await,
            FuzzStep::ApplyLosing {
                daemon,
                answers,
                rival,
            } => self.run_losing(daemon, answers, rival).await,
            FuzzStep::Race { first, second } => self.run_race(first, second).await,
            FuzzStep::LoseAnswers(count) => self.server.lose_answers(None, count),
            FuzzStep::Lag(revisions) => self.server.set_read_lag(revisions),
            FuzzStep::Silence => self.server.silence_connections(),
            FuzzStep::Compact => self.server.compact(),
            FuzzStep::Restart(daemon) => self.restart(daemon).await,
            FuzzStep::Wait(millis) => {
                Timer::after(Duration::from_millis(millis)).await;
            }
            FuzzStep::StartOutage(is_silent) => self.start_outage(is_silent).await,
            FuzzStep::EndOutage => self.end_outage().await,
        }
        self.oracle.observe(&self.feeds);
    }

    async fn start_outage(&mut self, is_silent: bool) {
        if !self.is_out {
            self.is_out = true;
            let kind = if is_silent {
                OutageKind::Silent
            } else {
                OutageKind::Refused
            };
            self.server.start_outage(kind).await;
        }
    }

    async fn end_outage(&mut self) {
        if self.is_out {
            self.is_out = false;
            self.server.end_outage().await;
        }
    }

    /// Returns the revision and the last error of each daemon.
    fn standing(&self) -> Vec<(u64, Option<String>)> {
        let feeds = self.oracle.reached.iter().zip(&self.feeds);
        feeds
            .map(|(revision, (feed, _))| (*revision, feed.get_last_error()))
            .collect()
    }

    /// Ends all faults; every daemon must reach the newest revision.
    async fn settle(&mut self) {
        self.end_outage().await;
        self.server.lose_answers(None, 0);
        self.server.set_read_lag(0);
        let started = Instant::now();
        loop {
            assert!(
                started.elapsed() < SETTLE_TIMEOUT,
                "the daemons do not agree: {:?}",
                self.standing()
            );
            self.oracle.observe(&self.feeds);
            let [one, others @ ..] = &self.oracle.reached;
            let is_settled = others.iter().all(|other| other == one)
                && self
                    .feeds
                    .iter()
                    .all(|(feed, _)| feed.get_last_error().is_none())
                && *one >= self.oracle.accepted;
            if is_settled {
                break;
            }
            Timer::after(POLL).await;
        }
        let feed = &self.feeds[0].0;
        let history = until_available(async || feed.list_revisions().await).await;
        for summary in history {
            let revision = summary.revision;
            let text = until_available(async || feed.read_revision(revision).await).await;
            self.oracle.see(revision, &text.text);
        }
        self.oracle.check_refused();
    }
}

/// Reads again while calls take longer than their short limit.
async fn until_available<T>(read: impl AsyncFn() -> Result<T, FeedError>) -> T {
    loop {
        match read().await {
            Ok(found) => return found,
            Err(FeedError::Unavailable { .. }) => {}
            Err(error) => panic!("a kept revision is not whole: {error:?}"),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 50,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_settings_stay_under_faults(steps in prop::collection::vec(any_step(), 1..STEPS)) {
        let executor: TrafficExecutor = Arc::new(async_executor::Executor::new());
        smol::block_on(executor.run(async {
            let mut fleet = FuzzFleet::start(&executor);
            for step in &steps {
                fleet.run(step).await;
            }
            fleet.settle().await;
        }));
    }
}
