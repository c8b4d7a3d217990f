//! The engine's prefix cache, and what its reports and events say of it.

mod support;

use std::time::Duration;

use ibisdale_standins::EngineOptions;
use ibisdale_upstreams::{CacheEvent, CacheEventKind, EventGap, SessionReport};
use rstest::rstest;
use support::{TestEngine, call, long_prompt, run_test, session};

/// Describes events by kind, the session's number and tokens.
fn describe(events: &[CacheEvent]) -> Vec<String> {
    events
        .iter()
        .map(|event| {
            let session = event.session.trim_start_matches('0');
            format!(
                "{} {:?} {session} {}",
                event.number, event.kind, event.tokens
            )
        })
        .collect()
}

#[test]
fn a_later_turn_finds_the_earlier_ones_cached() {
    run_test(|executor| async move {
        let engine = TestEngine::start(&executor, EngineOptions::new());
        let prompt = long_prompt(1, 100);
        let first = engine.chat(call(1, &[&prompt])).await.unwrap();
        let messages = [prompt.as_str(), &first.text, "and then?"];
        let second = engine.chat(call(1, &messages)).await.unwrap();
        assert_eq!((first.prompt, first.cached), (101, 0));
        // Whole blocks of 16 of the first turn's prompt and answer.
        let held = first.prompt + 1 + first.completion;
        assert_eq!(second.cached, held / 16 * 16);
        assert!(second.cached < second.prompt);
    });
}

#[test]
fn sessions_share_a_common_prefix() {
    run_test(|executor| async move {
        let engine = TestEngine::start(&executor, EngineOptions::new());
        let shared = long_prompt(1, 100);
        engine.chat(call(1, &[&shared])).await.unwrap();
        let outcome = engine
            .chat(call(2, &[&shared, "ok", "more"]))
            .await
            .unwrap();
        assert_eq!(outcome.cached, 96);
        let other = engine.chat(call(3, &[&long_prompt(3, 100)])).await.unwrap();
        assert_eq!(other.cached, 0);
    });
}

#[test]
fn evicts_the_session_used_the_longest_ago() {
    run_test(|executor| async move {
        let engine = TestEngine::start(&executor, EngineOptions::new().cache_tokens(512));
        for number in [1, 2, 1, 3] {
            let prompt = long_prompt(number, 150);
            engine.chat(call(number, &[&prompt])).await.unwrap();
        }
        let held = engine.sessions.list().await.unwrap();
        let held: Vec<_> = held.iter().filter_map(SessionReport::get_program).collect();
        assert_eq!(held, [session(1), session(3)]);
        assert_eq!(engine.server.get_counters().evictions, 1);
        let batch = engine.reports.read_cache_events(0).await.unwrap();
        let removed: Vec<_> = batch
            .events
            .iter()
            .filter(|event| event.kind == CacheEventKind::Removed)
            .collect();
        assert_eq!(removed.len(), 1);
        assert_eq!(removed[0].get_program(), Some(session(2)));
    });
}

#[test]
fn refuses_a_prompt_that_can_never_fit() {
    run_test(|executor| async move {
        let engine = TestEngine::start(&executor, EngineOptions::new().cache_tokens(64));
        let error = engine.chat(call(1, &[&long_prompt(1, 100)])).await;
        let error = error.unwrap_err();
        assert_eq!(error.get_status().unwrap().as_u16(), 413);
        engine.chat(call(2, &["hello"])).await.unwrap();
    });
}

#[test]
fn keeps_the_prompt_of_a_cancelled_call() {
    run_test(|executor| async move {
        let options = EngineOptions::new().token_delay(Duration::from_millis(200));
        let engine = TestEngine::start(&executor, options);
        let prompt = long_prompt(1, 100);
        let mut stream = engine.chats.chat(call(1, &[&prompt])).await.unwrap();
        stream.next().await.unwrap().unwrap();
        stream.close();
        support::wait_until(|| engine.server.get_counters().cancelled == 1).await;
        let outcome = engine.chat(call(1, &[&prompt])).await.unwrap();
        assert_eq!(outcome.cached, 96);
    });
}

#[rstest]
#[case::none_lost(0, 0)]
#[case::each_third_lost(3, 1)]
fn events_can_be_lost(#[case] interval: u64, #[case] gaps: usize) {
    run_test(|executor| async move {
        let options = EngineOptions::new().event_loss_interval(interval);
        let engine = TestEngine::start(&executor, options);
        for number in 1..=4 {
            engine.chat(call(number, &["hello"])).await.unwrap();
        }
        let batch = engine.reports.read_cache_events(0).await.unwrap();
        assert_eq!(batch.last, 4);
        assert_eq!(batch.gaps.len(), gaps);
        assert_eq!(describe(&batch.events).len(), 4 - gaps);
        if gaps > 0 {
            let gap = EventGap {
                after: 2,
                before: 4,
            };
            assert_eq!(batch.gaps, [gap]);
        }
        let rest = engine.reports.read_cache_events(batch.last).await.unwrap();
        assert!(rest.events.is_empty() && rest.gaps.is_empty());
        let restarted = engine.reports.read_cache_events(99).await.unwrap();
        assert!(restarted.is_numbering_restarted);
    });
}

#[test]
fn events_tell_what_is_held() {
    run_test(|executor| async move {
        let engine = TestEngine::start(&executor, EngineOptions::new());
        engine.chat(call(1, &["hello"])).await.unwrap();
        engine.sessions.release(session(1), 0).await.unwrap();
        let batch = engine.reports.read_cache_events(0).await.unwrap();
        insta::assert_debug_snapshot!(describe(&batch.events), @r#"
        [
            "1 Stored 1 14",
            "2 Removed 1 14",
        ]
        "#);
    });
}

#[test]
fn events_and_reports_come_late() {
    run_test(|executor| async move {
        let options = EngineOptions::new()
            .event_delay(Duration::from_hours(1))
            .load_lag(Duration::from_hours(1));
        let engine = TestEngine::start(&executor, options);
        engine.chat(call(1, &["hello"])).await.unwrap();
        let batch = engine.reports.read_cache_events(0).await.unwrap();
        assert!(batch.events.is_empty());
        let load = engine.reports.read_load().await.unwrap();
        assert_eq!(load.held_tokens, 0);
        assert_eq!(engine.sessions.list().await.unwrap().len(), 1);
    });
}

#[test]
fn reports_tell_the_load() {
    run_test(|executor| async move {
        let options = EngineOptions::new()
            .batch_max(2)
            .cache_tokens(1_024)
            .token_delay(Duration::from_hours(1));
        let engine = TestEngine::start(&executor, options);
        let mut streams = Vec::new();
        for number in 0..3 {
            streams.push(engine.chats.chat(call(number, &["hello"])).await.unwrap());
        }
        let load = loop {
            let load = engine.reports.read_load().await.unwrap();
            if load.running + load.waiting == 3 && load.running > 0 {
                break load;
            }
        };
        assert!(load.running <= 2 && load.held_tokens > 0);
        assert_eq!((load.capacity, load.capacity_tokens), (2, 1_024));
    });
}
