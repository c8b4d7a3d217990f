//! The client against a service with faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{
    KvCallKind, KvChange, KvClient, KvCompare, KvOptions, KvPut, KvRevision, KvTxn, LeaseId,
    LeaseStatus, WatchNotice,
};
use ibisdale_standins::{KvServer, OutageKind};
use rstest::rstest;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn options(server: &KvServer) -> KvOptions {
    KvOptions::new()
        .endpoint(server.get_address())
        .call_timeout(CALL_TIMEOUT)
        .page_max_keys(2)
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(KvServer, KvClient, TrafficExecutor) -> F) {
    let executor: TrafficExecutor = Arc::new(async_executor::Executor::new());
    let server = KvServer::start(loopback(), &executor).expect("a free port");
    let client = KvClient::new(options(&server), &executor);
    smol::block_on(executor.run(test(server, client, TrafficExecutor::clone(&executor))));
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn describe(change: &KvChange) -> String {
    match change {
        KvChange::Put(entry) => {
            format!(
                "{}={}@{}",
                text(&entry.key),
                text(&entry.value),
                entry.mod_revision.get()
            )
        }
        KvChange::Delete { key, revision } => format!("-{}@{}", text(key), revision.get()),
    }
}

fn describe_notice(notice: &WatchNotice) -> String {
    match notice {
        WatchNotice::Changes { changes, .. } => {
            changes.iter().map(describe).collect::<Vec<_>>().join(" ")
        }
        WatchNotice::Interrupted => "interrupted".to_owned(),
        WatchNotice::Resumed => "resumed".to_owned(),
        WatchNotice::Gap { oldest } => format!("gap to {}", oldest.get()),
    }
}

#[test]
fn pages_of_a_prefix_show_one_revision() {
    run(|server, client, _| async move {
        for key in ["/a/1", "/a/2", "/a/3", "/a/4", "/a/5", "/b/1"] {
            client.put(KvPut::new(key, "v")).await.expect("a write");
        }
        let snapshot = client.get_prefix("/a/").await.expect("a read");
        let keys: Vec<String> = snapshot
            .entries
            .iter()
            .map(|entry| text(&entry.key))
            .collect();
        assert_eq!(keys, ["/a/1", "/a/2", "/a/3", "/a/4", "/a/5"]);
        assert_eq!(snapshot.revision, KvRevision::new(7));
        assert_eq!(client.get_counts().get(KvCallKind::Range), 3);
        assert_eq!(client.get_counts(), server.get_counts());
        server.close().await;
    });
}

#[test]
fn transaction_applies_once_and_then_reports_what_is_there() {
    run(|server, client, _| async move {
        let create = || {
            KvTxn::new()
                .when(KvCompare::absent("k"))
                .put(KvPut::new("k", "v"))
                .otherwise_get("k")
        };
        let first = client.txn(create()).await.expect("an answer");
        let second = client.txn(create()).await.expect("an answer");
        assert!(first.is_applied && !second.is_applied);
        assert_eq!(second.entries[0].mod_revision, first.revision);
        server.close().await;
    });
}

#[test]
fn lease_that_ended_is_told_apart_from_a_renewal() {
    run(|server, client, _| async move {
        let ttl = Duration::from_secs(30);
        let id = LeaseId::new(42);
        let grant = client.grant_lease(ttl, Some(id)).await.expect("a lease");
        client
            .put(KvPut::new("k", "v").lease(grant.id))
            .await
            .expect("a write");
        let renewed = client.keep_lease(id).await.expect("an answer");
        assert_eq!(renewed, LeaseStatus::Renewed { ttl });
        let repeated = client.grant_lease(ttl, Some(id)).await;
        assert!(repeated.expect_err("a refusal").is_refused());
        server.expire_lease(id.get());
        let ended = client.keep_lease(id).await.expect("an answer");
        assert_eq!(ended, LeaseStatus::Ended);
        let snapshot = client.get("k").await.expect("a read");
        assert!(snapshot.entries.is_empty());
        server.close().await;
    });
}

#[test]
fn lost_answer_after_effect_is_unknown_and_not_repeated() {
    run(|server, client, _| async move {
        server.lose_answers(Some(KvCallKind::Put), 1);
        let error = client
            .put(KvPut::new("k", "v"))
            .await
            .expect_err("no answer");
        assert!(!error.is_not_applied(), "{error}");
        assert_eq!(server.get_counts().get(KvCallKind::Put), 1);
        let entry = client.get("k").await.expect("a read").into_entry();
        assert_eq!(entry.expect("the write took effect").version, 1);
        server.close().await;
    });
}

#[test]
fn read_is_repeated_after_a_lost_answer() {
    run(|server, client, _| async move {
        server.lose_answers(Some(KvCallKind::Range), 1);
        let snapshot = client.get("k").await.expect("the second attempt");
        assert!(snapshot.entries.is_empty());
        assert_eq!(server.get_counts().get(KvCallKind::Range), 2);
        server.close().await;
    });
}

#[rstest]
#[case::refused(OutageKind::Refused, true)]
#[case::silent(OutageKind::Silent, false)]
fn outage_is_not_applied_only_where_nothing_was_sent(
    #[case] kind: OutageKind,
    #[case] is_not_applied: bool,
) {
    run(|mut server, client, _| async move {
        server.start_outage(kind).await;
        let error = client
            .put(KvPut::new("k", "v"))
            .await
            .expect_err("an outage");
        assert_eq!(error.is_not_applied(), is_not_applied, "{error}");
        server.end_outage().await;
        client.put(KvPut::new("k", "v")).await.expect("a write");
        server.close().await;
    });
}

#[test]
fn silent_connection_is_replaced() {
    run(|server, client, _| async move {
        client.put(KvPut::new("k", "v")).await.expect("a write");
        server.silence_connections();
        let entry = client.get("k").await.expect("on a new connection");
        assert!(entry.into_entry().is_some());
        server.silence_connections();
        let error = client.put(KvPut::new("k", "w")).await.expect_err("silence");
        assert!(!error.is_not_applied());
        client
            .put(KvPut::new("k", "x"))
            .await
            .expect("on a new connection");
        server.close().await;
    });
}

#[test]
fn slow_write_is_unknown_and_may_still_take_effect() {
    run(|server, client, _| async move {
        server.set_delay(CALL_TIMEOUT * 2);
        let error = client
            .put(KvPut::new("k", "v"))
            .await
            .expect_err("too slow");
        assert!(!error.is_not_applied());
        server.close().await;
    });
}

#[test]
fn second_endpoint_takes_over() {
    run(|server, _, executor| async move {
        let gone = KvServer::start(loopback(), &executor).expect("a free port");
        let options = KvOptions::new()
            .endpoint(gone.get_address())
            .endpoint(server.get_address())
            .call_timeout(CALL_TIMEOUT);
        gone.close().await;
        let client = KvClient::new(options, &executor);
        client
            .put(KvPut::new("k", "v"))
            .await
            .expect("at the second");
        assert_eq!(server.get_counts().total(), 1);
        server.close().await;
    });
}

#[test]
fn lagging_read_shows_its_revision() {
    run(|server, client, _| async move {
        client.put(KvPut::new("k", "old")).await.expect("a write");
        let revision = client.put(KvPut::new("k", "new")).await.expect("a write");
        server.set_read_lag(1);
        let snapshot = client.get("k").await.expect("a read");
        assert!(snapshot.revision < revision);
        assert_eq!(text(&snapshot.entries[0].value), "old");
        server.close().await;
    });
}

#[test]
fn watch_resumes_without_a_gap() {
    run(|mut server, client, executor| async move {
        client.put(KvPut::new("/w/1", "a")).await.expect("a write");
        let watch = client.watch_prefix("/w/", KvRevision::new(2));
        let mut seen = vec![watch.next().await];
        server.start_outage(OutageKind::Refused).await;
        seen.push(watch.next().await);
        server.end_outage().await;
        let writer = KvClient::new(options(&server), &executor);
        writer.put(KvPut::new("/w/2", "b")).await.expect("a write");
        writer.delete("/w/1").await.expect("a deletion");
        writer.put(KvPut::new("/x", "c")).await.expect("a write");
        seen.push(watch.next().await);
        let mut changes = Vec::new();
        while changes.len() < 2 {
            let Some(WatchNotice::Changes { changes: more, .. }) = watch.next().await else {
                panic!("the watch goes on");
            };
            changes.extend(more.iter().map(describe));
        }
        let seen: Vec<String> = seen.iter().flatten().map(describe_notice).collect();
        insta::assert_snapshot!(seen.join("\n"), @r"
        /w/1=a@2
        interrupted
        resumed
        ");
        insta::assert_snapshot!(changes.join("\n"), @r"
        /w/2=b@3
        -/w/1@4
        ");
        server.close().await;
    });
}

#[test]
fn watch_on_a_silent_connection_is_renewed() {
    run(|server, _, executor| async move {
        let renewal = Duration::from_millis(100);
        let client = KvClient::new(options(&server).watch_renewal(renewal), &executor);
        let watch = client.watch_prefix("/w/", KvRevision::new(2));
        client.put(KvPut::new("/w/1", "a")).await.expect("a write");
        let first = watch.next().await.expect("a change");
        server.silence_connections();
        let writer = KvClient::new(options(&server), &executor);
        writer.put(KvPut::new("/w/2", "b")).await.expect("a write");
        let second = watch.next().await.expect("a change");
        assert_eq!(describe_notice(&first), "/w/1=a@2");
        assert_eq!(describe_notice(&second), "/w/2=b@3");
        server.close().await;
    });
}

#[test]
fn watch_reports_a_gap_and_ends() {
    run(|server, client, _| async move {
        for value in ["a", "b", "c"] {
            client
                .put(KvPut::new("/w/1", value))
                .await
                .expect("a write");
        }
        server.compact();
        let watch = client.watch_prefix("/w/", KvRevision::new(2));
        let oldest = KvRevision::new(4);
        assert_eq!(watch.next().await, Some(WatchNotice::Gap { oldest }));
        assert_eq!(watch.next().await, None);
        server.close().await;
    });
}
