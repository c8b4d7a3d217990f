//! The engine's batch: shared steps, priorities, prefill, limits.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ibisdale_standins::EngineOptions;
use ibisdale_upstreams::UpstreamErrorKind;
use support::{TestEngine, call, long_prompt, read_outcome, run_test, wait_until};

#[test]
fn calls_share_steps() {
    run_test(|executor| async move {
        let options = EngineOptions::new().token_delay(Duration::from_millis(5));
        let engine = TestEngine::start(&executor, options);
        let streams: Vec<_> = (0..8)
            .map(|number| {
                let chats = engine.chats.clone();
                executor.spawn(async move {
                    let stream = chats.chat(call(number, &["hello"])).await.unwrap();
                    read_outcome(stream).await.unwrap()
                })
            })
            .collect();
        let mut longest = 0;
        for stream in streams {
            longest = longest.max(stream.await.completion);
        }
        let counters = engine.server.get_counters();
        assert!(counters.steps >= longest);
        assert!(counters.steps < counters.completion_tokens);
    });
}

#[test]
fn a_step_costs_by_its_tokens() {
    run_test(|executor| async move {
        let options = EngineOptions::new().prefill_max(64);
        let engine = TestEngine::start(&executor, options);
        let outcome = engine.chat(call(1, &[&long_prompt(1, 255)])).await.unwrap();
        // 256 prompt tokens take four steps, and each generated token one.
        let steps = engine.server.get_counters().steps;
        assert_eq!((outcome.prompt, steps), (256, 4 + outcome.completion));
    });
}

#[test]
fn higher_priorities_go_first() {
    run_test(|executor| async move {
        let options = EngineOptions::new()
            .batch_max(1)
            .token_delay(Duration::from_millis(20));
        let engine = TestEngine::start(&executor, options);
        let order = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = Vec::new();
        for (number, priority) in [(0, 0), (1, -5), (2, 0), (3, 7)] {
            let chats = engine.chats.clone();
            let order = Arc::clone(&order);
            tasks.push(executor.spawn(async move {
                let call = call(number, &["hello"]).priority(priority);
                read_outcome(chats.chat(call).await.unwrap()).await.unwrap();
                order.lock().unwrap().push(number);
            }));
            wait_until(|| engine.server.get_counters().chats > number).await;
        }
        for task in tasks {
            task.await;
        }
        assert_eq!(*order.lock().unwrap(), [0, 3, 2, 1]);
    });
}

#[test]
fn refuses_calls_beyond_its_queue() {
    run_test(|executor| async move {
        let options = EngineOptions::new()
            .batch_max(1)
            .queue_max(1)
            .token_delay(Duration::from_hours(1));
        let engine = TestEngine::start(&executor, options);
        let first = engine.chats.chat(call(1, &["hello"])).await.unwrap();
        wait_until(|| engine.server.get_counters().chats == 1).await;
        // The first call leaves the queue with the engine's next step.
        let second = loop {
            match engine.chats.chat(call(2, &["hello"])).await {
                Ok(stream) => break stream,
                Err(_) => smol::future::yield_now().await,
            }
        };
        let error = engine.chats.chat(call(3, &["hello"])).await.unwrap_err();
        assert_eq!(error.get_kind(), UpstreamErrorKind::Refused);
        assert_eq!(error.get_retry_after(), Some(Duration::from_secs(1)));
        drop((first, second));
        wait_until(|| engine.server.get_counters().cancelled == 2).await;
    });
}

#[test]
fn takes_no_calls_while_leaving() {
    run_test(|executor| async move {
        let engine = TestEngine::start(&executor, EngineOptions::new());
        engine.server.set_leaving(true);
        let error = engine.chat(call(1, &["hello"])).await.unwrap_err();
        assert_eq!(error.get_kind(), UpstreamErrorKind::Refused);
        assert!(engine.reports.read_load().await.unwrap().is_leaving);
        engine.server.set_leaving(false);
        engine.chat(call(1, &["hello"])).await.unwrap();
    });
}
