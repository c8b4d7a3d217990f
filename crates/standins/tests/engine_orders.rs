//! Orders to the engine: sessions, models, roles, fencing and resumption.

mod support;

use std::time::Duration;

use bytes::Bytes;
use ibisdale_standins::{EngineFault, EngineOptions, EngineRole as StandInRole};
use ibisdale_upstreams::{ChatEvent, EngineRole, ModelSpec};
use rstest::rstest;
use support::{TestEngine, call, far_deadline, long_prompt, read_content, run_test, session};

#[test]
fn release_frees_the_session_once() {
    run_test(|executor| async move {
        let engine = TestEngine::start(&executor, EngineOptions::new());
        engine.chat(call(1, &["hello"])).await.unwrap();
        assert!(
            engine
                .sessions
                .release(session(1), 3)
                .await
                .unwrap()
                .released
        );
        assert!(
            !engine
                .sessions
                .release(session(1), 3)
                .await
                .unwrap()
                .released
        );
        assert!(engine.server.get_sessions().is_empty());
    });
}

#[test]
fn release_ends_a_running_call() {
    run_test(|executor| async move {
        let options = EngineOptions::new().token_delay(Duration::from_millis(200));
        let engine = TestEngine::start(&executor, options);
        let mut stream = engine.chats.chat(call(1, &["hello"])).await.unwrap();
        stream.next().await.unwrap().unwrap();
        engine.sessions.release(session(1), 0).await.unwrap();
        let error = loop {
            match stream.next().await.unwrap() {
                Ok(event) => assert!(!matches!(event, ChatEvent::Done { .. })),
                Err(error) => break error,
            }
        };
        assert_eq!(error.get_kind().as_str(), "truncated");
        assert!(engine.server.get_sessions().is_empty());
    });
}

#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
fn fencing_numbers_are_checked_or_ignored(#[case] is_checked: bool) {
    run_test(|executor| async move {
        let options = EngineOptions::new().checks_fencing(is_checked);
        let engine = TestEngine::start(&executor, options);
        engine
            .chat(call(1, &["hello"]).fencing_number(5))
            .await
            .unwrap();
        let chat = engine.chat(call(1, &["hello"]).fencing_number(4)).await;
        let release = engine.sessions.release(session(1), 4).await;
        let order = ModelSpec::new("small").adapter("legal").version("v2");
        let deadline = far_deadline();
        let reply = engine.orders.load_model(&order, 8, deadline).await.unwrap();
        assert_eq!(reply.models, ["small:legal:v2"]);
        let unload = engine.orders.unload_model(&order, 7, deadline).await;
        let results = [chat.is_err(), release.is_err(), unload.is_err()];
        assert_eq!(results, [is_checked; 3]);
        if let Err(error) = unload {
            assert_eq!(error.get_status().unwrap().as_u16(), 409);
        }
        // The number seen stays, so that a reader learns of the later order.
        let reply = engine.orders.load_model(&order, 8, deadline).await.unwrap();
        assert_eq!(reply.fencing_number, 8);
    });
}

#[test]
fn serves_the_models_loaded() {
    run_test(|executor| async move {
        let options = EngineOptions::new()
            .model("large")
            .load_model_delay(Duration::from_millis(5));
        let engine = TestEngine::start(&executor, options);
        let error = engine.chat(call(1, &["hello"])).await.unwrap_err();
        assert_eq!(error.get_status().unwrap().as_u16(), 404);
        let order = ModelSpec::new("small");
        let deadline = far_deadline();
        engine.orders.load_model(&order, 1, deadline).await.unwrap();
        engine.chat(call(1, &["hello"])).await.unwrap();
        assert_eq!(engine.server.get_models(), ["large", "small"]);
    });
}

#[test]
fn an_order_overtaken_while_it_is_carried_out_has_no_effect() {
    run_test(|executor| async move {
        let options = EngineOptions::new().load_model_delay(Duration::from_secs(1));
        let engine = TestEngine::start(&executor, options);
        let orders = engine.orders.clone();
        let slow = executor.spawn(async move {
            let order = ModelSpec::new("old");
            orders.load_model(&order, 1, far_deadline()).await
        });
        let role = EngineRole::Decode;
        while engine.server.get_role() != StandInRole::Decode {
            smol::Timer::after(Duration::from_millis(20)).await;
            engine
                .orders
                .change_role(role, 2, far_deadline())
                .await
                .unwrap();
        }
        assert!(slow.await.is_err());
        assert!(engine.server.get_models().is_empty());
    });
}

#[test]
fn a_prefill_engine_hands_its_cache_to_a_decode_engine() {
    run_test(|executor| async move {
        let first = TestEngine::start(&executor, EngineOptions::new());
        let second = TestEngine::start(&executor, EngineOptions::new());
        let prefill = EngineRole::Prefill;
        let deadline = far_deadline();
        first
            .orders
            .change_role(prefill, 1, deadline)
            .await
            .unwrap();
        let prompt = long_prompt(1, 100);
        let outcome = first.chat(call(1, &[&prompt])).await.unwrap();
        assert_eq!(outcome.completion, 1);
        let export = first.sessions.export(session(1), 1).await.unwrap();
        let reply = second.sessions.import(session(1), 1, export.clone());
        assert!(reply.await.unwrap().imported);
        let outcome = second
            .chat(call(1, &[&prompt]).fencing_number(1))
            .await
            .unwrap();
        assert_eq!(outcome.cached, 96);
        let stale = second.sessions.import(session(1), 0, export).await;
        assert_eq!(stale.unwrap_err().get_status().unwrap().as_u16(), 409);
    });
}

#[test]
fn import_refuses_what_is_no_export_and_what_has_no_room() {
    run_test(|executor| async move {
        let large = TestEngine::start(&executor, EngineOptions::new());
        let small = TestEngine::start(&executor, EngineOptions::new().cache_tokens(32));
        large.chat(call(1, &[&long_prompt(1, 100)])).await.unwrap();
        let export = large.sessions.export(session(1), 0).await.unwrap();
        let unknown = large.sessions.export(session(2), 0).await;
        let garbage = small
            .sessions
            .import(session(1), 0, Bytes::from("{}"))
            .await;
        let foreign = small.sessions.import(session(2), 0, export.clone()).await;
        let full = small.sessions.import(session(1), 0, export).await;
        let statuses = [
            unknown.unwrap_err(),
            garbage.unwrap_err(),
            foreign.unwrap_err(),
            full.unwrap_err(),
        ]
        .map(|error| error.get_status().unwrap().as_u16());
        assert_eq!(statuses, [404, 400, 400, 507]);
    });
}

#[test]
fn a_cut_stream_is_resumed_without_loss_or_repetition() {
    run_test(|executor| async move {
        let engine = TestEngine::start(&executor, EngineOptions::new());
        let whole = engine.chat(call(1, &["hello"])).await.unwrap();
        engine.server.set_fault(EngineFault::CloseAfter(3));
        let mut stream = engine.chats.chat(call(2, &["hello"])).await.unwrap();
        let mut text = String::new();
        let mut received = 0;
        while let Some(Ok(ChatEvent::Delta(chunk))) = stream.next().await {
            text.push_str(&read_content(&chunk));
            received += 1;
        }
        assert_eq!(received, 3);
        engine.server.set_fault(EngineFault::None);
        let rest = call(2, &["hello"]).resume_from(received);
        let rest = engine.chat(rest).await.unwrap();
        assert_eq!(text + &rest.text, whole.text);
        assert_eq!(rest.completion, whole.completion - u64::from(received));
        assert_eq!(engine.server.get_counters().resumed, 1);
    });
}
