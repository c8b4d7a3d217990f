//! Settings are accepted once, reach every daemon and never go back, whatever
//! becomes of the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::zip;
use ibisdale_core::{KeyName, WorkspaceName};
use ibisdale_daemon::{AppliedSettings, FeedError, FeedOptions, FeedTask, SettingsFeed};
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvCallKind, KvClient, KvOptions, KvPut};
use ibisdale_settings::store::HEAD_KEY;
use ibisdale_settings::{KeyHash, KeyMatch, grant_key};
use ibisdale_standins::{KvServer, OutageKind};
use rstest::rstest;
use smol::Timer;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_DELAY: Duration = Duration::from_millis(100);
const POLL: Duration = Duration::from_millis(1);
const SMALL: usize = 0;
/// More than two chunks.
const LARGE: usize = 1_200_000;

struct TestFleet {
    server: KvServer,
    executor: TrafficExecutor,
}

impl TestFleet {
    fn client(&self) -> KvClient {
        let options = KvOptions::new()
            .endpoint(self.server.get_address())
            .call_timeout(CALL_TIMEOUT);
        KvClient::new(options, &self.executor)
    }

    fn daemon(&self) -> (SettingsFeed, FeedTask) {
        let options = FeedOptions::new()
            .confirm_interval(CONFIRM_INTERVAL)
            .apply_timeout(APPLY_TIMEOUT)
            .kept_revisions(3);
        SettingsFeed::start(self.client(), options, &self.executor)
    }
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(TestFleet) -> F) {
    let executor: TrafficExecutor = Arc::new(async_executor::Executor::new());
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = KvServer::start(address, &executor).expect("a free port");
    let fleet = TestFleet {
        server,
        executor: TrafficExecutor::clone(&executor),
    };
    smol::block_on(executor.run(test(fleet)));
}

/// Settings with one rate, and so many bytes of comment.
fn settings(rate: u32, padding: usize) -> Bytes {
    let mut text = format!("[/workspaces/a]\nrate = {rate}\n");
    let line = format!(";{}\n", "-".repeat(98));
    text.push_str(&line.repeat(padding / line.len()));
    text.into()
}

fn rate(feed: &SettingsFeed) -> String {
    let name = WorkspaceName::new("a").unwrap();
    let snapshot = feed.get_snapshot();
    let workspace = snapshot.workspace(&name);
    workspace.map_or_else(
        || "none".to_owned(),
        |found| found.rate_limit.rate.to_string(),
    )
}

async fn reach(feed: &SettingsFeed, revision: u64) {
    while feed.get_snapshot().revision() < revision {
        Timer::after(POLL).await;
    }
    assert_eq!(feed.get_snapshot().revision(), revision);
}

async fn apply(
    feed: &SettingsFeed,
    rate: u32,
    expected: u64,
) -> Result<AppliedSettings, FeedError> {
    feed.apply(settings(rate, SMALL), expected, "anna", "")
        .await
}

#[rstest]
#[case::in_one_chunk(SMALL)]
#[case::in_several_chunks(LARGE)]
fn accepted_settings_reach_every_daemon(#[case] padding: usize) {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        let (two, _two) = fleet.daemon();
        let news = two.subscribe();
        let text = settings(7, padding);
        let applied = one.apply(text.clone(), 0, "anna", "first").await.unwrap();
        assert_eq!(applied.revision, 1);
        assert_eq!(rate(&one), "7");
        assert_eq!(news.recv().await.unwrap().revision(), 1);
        assert_eq!(two.get_text().text, text);
        let (late, _late) = fleet.daemon();
        reach(&late, 1).await;
        assert_eq!(rate(&late), "7");
        let record = late.get_text().record.unwrap();
        assert_eq!(
            (record.author.as_str(), record.note.as_str()),
            ("anna", "first")
        );
    });
}

#[rstest]
#[case::in_one_chunk(SMALL)]
#[case::in_several_chunks(LARGE)]
fn of_two_racing_operators_one_wins(#[case] padding: usize) {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        let (two, _two) = fleet.daemon();
        apply(&one, 5, 0).await.unwrap();
        let (first, second) = zip(
            one.apply(settings(6, padding), 1, "anna", ""),
            two.apply(settings(7, padding), 1, "bert", ""),
        )
        .await;
        let (winner, loser, rates) = match (first, second) {
            (Ok(applied), Err(error)) => (applied, error, ("anna", "6")),
            (Err(error), Ok(applied)) => (applied, error, ("bert", "7")),
            other => panic!("not one winner: {other:?}"),
        };
        assert_eq!(winner.revision, 2);
        let FeedError::Conflict { conflict } = loser else {
            panic!("no conflict: {loser:?}");
        };
        assert_eq!((conflict.expected, conflict.current), (1, 2));
        assert_eq!(conflict.author, rates.0);
        let changes: Vec<String> = conflict
            .difference
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(
            changes,
            [format!("~ [/workspaces/a] rate = 5 -> {}", rates.1)]
        );
        for feed in [&one, &two] {
            reach(feed, 2).await;
            assert_eq!(rate(feed), rates.1);
        }
        let chunks = fleet
            .client()
            .get_prefix("/ibisdale/settings/revisions/")
            .await;
        let kept = 1 + if padding == SMALL { 1 } else { 3 };
        assert_eq!(chunks.unwrap().entries.len(), kept, "the loser left chunks");
    });
}

/// The swap takes effect, but its answer is lost; meanwhile another operator
/// applies the next revision.
#[rstest]
#[case::alone(false)]
#[case::superseded(true)]
fn a_lost_answer_is_settled(#[case] is_superseded: bool) {
    run(async |fleet| {
        let (one, follow) = fleet.daemon();
        // Nothing but the apply makes transactions while the answer is lost.
        follow.close().await;
        let options = FeedOptions::new().confirm_interval(APPLY_TIMEOUT);
        let (two, _two) = SettingsFeed::start(fleet.client(), options, &fleet.executor);
        while two.get_confirmed_age().is_none() {
            Timer::after(POLL).await;
        }
        fleet.server.set_delay(ANSWER_DELAY);
        let chunks = 3;
        let swapped_at = fleet.server.get_revision() + chunks + 1;
        let lose = async {
            while fleet.server.get_revision() + 1 < swapped_at {
                Timer::after(POLL).await;
            }
            fleet.server.lose_answers(Some(KvCallKind::Txn), 1);
            if is_superseded {
                fleet.server.set_delay(Duration::ZERO);
                while fleet.server.get_revision() < swapped_at {
                    Timer::after(POLL).await;
                }
                apply(&two, 8, 1).await.unwrap();
            }
        };
        let (result, ()) = zip(one.apply(settings(7, LARGE), 0, "anna", ""), lose).await;
        assert_eq!(result.unwrap().revision, 1);
        let revision = if is_superseded { 2 } else { 1 };
        reach(&two, revision).await;
    });
}

/// The swap takes effect, its answer is lost, and the service stays away.
#[test]
fn what_cannot_be_settled_is_said_to_be_unknown() {
    run(async |mut fleet| {
        let options = FeedOptions::new().apply_timeout(2 * ANSWER_DELAY);
        let (one, follow) = SettingsFeed::start(fleet.client(), options, &fleet.executor);
        follow.close().await;
        assert_eq!(fleet.server.get_counts().total(), 0);
        let before = fleet.server.get_revision();
        fleet.server.set_delay(ANSWER_DELAY);
        let apply = fleet.executor.spawn(async move { apply(&one, 5, 0).await });
        // The read of the head is under way; the swap comes next.
        while fleet.server.get_counts().get(KvCallKind::Txn) == 0 {
            Timer::after(POLL).await;
        }
        fleet.server.lose_answers(Some(KvCallKind::Txn), 1);
        while fleet.server.get_revision() == before {
            Timer::after(POLL).await;
        }
        fleet.server.start_outage(OutageKind::Silent).await;
        let error = apply.await.unwrap_err();
        assert!(
            matches!(error, FeedError::OutcomeUnknown { revision: 1, .. }),
            "{error:?}"
        );
        fleet.server.end_outage().await;
        let (two, _two) = fleet.daemon();
        reach(&two, 1).await;
    });
}

#[rstest]
#[case(OutageKind::Refused)]
#[case(OutageKind::Silent)]
fn an_outage_changes_nothing_and_ends(#[case] kind: OutageKind) {
    run(async |mut fleet| {
        let (one, _one) = fleet.daemon();
        apply(&one, 5, 0).await.unwrap();
        while one.get_confirmed_age().is_none() {
            Timer::after(POLL).await;
        }
        fleet.server.start_outage(kind).await;
        let error = apply(&one, 6, 1).await.unwrap_err();
        assert!(matches!(error, FeedError::Unavailable { .. }), "{error:?}");
        let before = one.get_confirmed_age().unwrap();
        while one.get_last_error().is_none() {
            Timer::after(POLL).await;
        }
        assert!(
            one.get_confirmed_age().unwrap() > before,
            "confirmed in an outage"
        );
        assert_eq!(
            (one.get_snapshot().revision(), rate(&one)),
            (1, "5".to_owned())
        );
        fleet.server.end_outage().await;
        apply(&one, 6, 1).await.unwrap();
        let (two, _two) = fleet.daemon();
        reach(&two, 2).await;
        while one.get_confirmed_age().unwrap() > CONFIRM_INTERVAL {
            Timer::after(POLL).await;
        }
    });
}

#[test]
fn silent_connections_are_replaced() {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        apply(&one, 5, 0).await.unwrap();
        let (two, _two) = fleet.daemon();
        reach(&two, 1).await;
        fleet.server.silence_connections();
        let (three, _three) = fleet.daemon();
        apply(&three, 6, 1).await.unwrap();
        reach(&two, 2).await;
        reach(&one, 2).await;
    });
}

#[test]
fn lagging_reads_hide_nothing() {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        apply(&one, 5, 0).await.unwrap();
        apply(&one, 6, 1).await.unwrap();
        fleet.server.set_read_lag(i64::MAX / 2);
        let (two, _two) = fleet.daemon();
        reach(&two, 2).await;
        assert_eq!(rate(&two), "6");
        apply(&two, 7, 2).await.unwrap();
        reach(&one, 3).await;
    });
}

/// The head goes back, as after a restore from a copy of the service's data.
#[test]
fn a_lower_revision_is_never_taken() {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        apply(&one, 5, 0).await.unwrap();
        let client = fleet.client();
        let first = client.get(HEAD_KEY).await.unwrap().into_entry().unwrap();
        apply(&one, 6, 1).await.unwrap();
        let (two, _two) = fleet.daemon();
        reach(&two, 2).await;
        client.put(KvPut::new(HEAD_KEY, first.value)).await.unwrap();
        let age = two.get_confirmed_age();
        let (restarted, _restarted) = fleet.daemon();
        restarted.require_revision(2);
        for _ in 0..5 {
            Timer::after(CONFIRM_INTERVAL).await;
        }
        assert_eq!(
            (two.get_snapshot().revision(), rate(&two)),
            (2, "6".to_owned())
        );
        assert!(
            two.get_confirmed_age() > age,
            "a lower head confirmed the revision"
        );
        assert_eq!(restarted.get_snapshot().revision(), 0);
        let text = two.get_text().text;
        assert!(restarted.take_from_peer(2, text).await.unwrap());
        assert_eq!(rate(&restarted), "6");
        assert!(
            !restarted
                .take_from_peer(1, settings(5, SMALL))
                .await
                .unwrap()
        );
        assert_eq!(rate(&restarted), "6");
    });
}

#[test]
fn a_deleted_head_changes_nothing() {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        apply(&one, 5, 0).await.unwrap();
        fleet.client().delete(HEAD_KEY).await.unwrap();
        while one.get_last_error().is_none() {
            Timer::after(POLL).await;
        }
        assert_eq!(
            (one.get_snapshot().revision(), rate(&one)),
            (1, "5".to_owned())
        );
    });
}

#[test]
fn peers_confirm_the_same_revision_only() {
    run(async |mut fleet| {
        let (one, _one) = fleet.daemon();
        apply(&one, 5, 0).await.unwrap();
        fleet.server.start_outage(OutageKind::Refused).await;
        while one.get_last_error().is_none() {
            Timer::after(POLL).await;
        }
        let age = one.get_confirmed_age().unwrap();
        one.confirm_by_peer(2, Duration::ZERO);
        assert!(one.get_confirmed_age().unwrap() >= age);
        one.confirm_by_peer(1, Duration::ZERO);
        assert!(one.get_confirmed_age().unwrap() < age);
    });
}

#[test]
fn unsound_settings_are_not_written() {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        let text = Bytes::from_static(b"[/]\nrate = fast\nburst = 0\n");
        let error = one.apply(text, 0, "anna", "").await.unwrap_err();
        let FeedError::Findings { findings } = error else {
            panic!("no findings: {error:?}");
        };
        assert_eq!(findings.as_slice().len(), 2);
        assert_eq!(fleet.server.get_revision(), 1, "something was written");
    });
}

#[test]
fn only_so_many_revisions_are_kept_and_rollback_goes_forward() {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        for number in 0..5 {
            apply(&one, 10 + number, number.into()).await.unwrap();
        }
        let kept = one.list_revisions().await.unwrap();
        let kept: Vec<u64> = kept.iter().map(|summary| summary.revision).collect();
        assert_eq!(kept, [5, 4, 3]);
        let entries = fleet
            .client()
            .get_prefix("/ibisdale/settings/")
            .await
            .unwrap()
            .entries;
        assert_eq!(entries.len(), 1 + 2 * kept.len());
        assert_eq!(one.rollback(3, 5, "anna").await.unwrap().revision, 6);
        assert_eq!(rate(&one), "12");
        let error = one.rollback(1, 6, "anna").await.unwrap_err();
        assert!(
            matches!(error, FeedError::UnknownRevision { revision: 1 }),
            "{error:?}"
        );
    });
}

#[test]
fn keys_granted_at_once_are_all_granted() {
    run(async |fleet| {
        let (one, _one) = fleet.daemon();
        let (two, _two) = fleet.daemon();
        apply(&one, 5, 0).await.unwrap();
        let workspace = WorkspaceName::new("a").unwrap();
        let grant = async |feed: &SettingsFeed, name: &'static str| {
            let (key, hash) = (KeyName::new(name).unwrap(), KeyHash::of(name.as_bytes()));
            let change = |text: &str| grant_key(text, &workspace, &key, &hash);
            feed.edit(change, "anna", name).await.unwrap()
        };
        zip(grant(&one, "first"), grant(&two, "second")).await;
        reach(&one, 3).await;
        for name in ["first", "second"] {
            let found = one.get_snapshot().authenticate(name.as_bytes());
            assert!(
                matches!(found, KeyMatch::Granted { .. }),
                "{name}: {found:?}"
            );
        }
    });
}

/// Counted work: while peers confirm, a daemon makes far fewer calls than one
/// that has no peers.
#[test]
fn confirmations_by_peers_spare_calls() {
    run(async |fleet| {
        let start = || {
            let options = FeedOptions::new().confirm_interval(CONFIRM_INTERVAL);
            let client = fleet.client();
            let (feed, task) = SettingsFeed::start(client.clone(), options, &fleet.executor);
            (client, feed, task)
        };
        let (alone_client, alone, _alone) = start();
        let (spared_client, spared, _spared) = start();
        apply(&alone, 5, 0).await.unwrap();
        reach(&spared, 1).await;
        let calls = |client: &KvClient| client.get_counts().get(KvCallKind::Txn);
        let before = (calls(&alone_client), calls(&spared_client));
        while calls(&alone_client) < before.0 + 10 {
            spared.confirm_by_peer(1, Duration::ZERO);
            Timer::after(POLL).await;
        }
        let made = calls(&spared_client) - before.1;
        assert!(made <= 5, "{made} calls");
    });
}
