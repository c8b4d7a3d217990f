//! Chat calls to an engine that works, and to one that fails.

mod support;

use ibisdale_standins::{EngineFault, EngineOptions, EngineServer, PromptMessage, compose_answer};
use ibisdale_upstreams::{ChatCall, ChatEvent, EngineClient, UpstreamPool};
use rstest::rstest;
use support::{
    any_address, chat_body, chat_whole, describe, open_pool, options_for, run_test, session,
    wait_until,
};

#[test]
fn streams_the_whole_answer() {
    run_test(|executor| async move {
        let engine = EngineServer::start(any_address(), &executor, EngineOptions::new()).unwrap();
        let client = EngineClient::new(open_pool(engine.get_address(), &executor));
        let text = chat_whole(&client, "Which hall is next?").await.unwrap();
        let prompt = [PromptMessage::new("user", "Which hall is next?")];
        assert_eq!(text, compose_answer("small", &prompt, 256));
        wait_until(|| engine.get_counters().finished == 1).await;
        insta::assert_debug_snapshot!(engine.get_counters().cancelled, @"0");
        engine.close().await;
    });
}

#[test]
fn reports_usage_and_finish_reason() {
    run_test(|executor| async move {
        let engine = EngineServer::start(any_address(), &executor, EngineOptions::new()).unwrap();
        let client = EngineClient::new(open_pool(engine.get_address(), &executor));
        let call = ChatCall::new(chat_body("one two three"), session(1));
        let mut stream = client.chat(call).await.unwrap();
        let mut ends = Vec::new();
        while let Some(event) = stream.next().await {
            match event.unwrap() {
                ChatEvent::Delta(_) => {}
                event => ends.push(event),
            }
        }
        insta::assert_debug_snapshot!(ends, @r#"
        [
            Usage {
                prompt: 4,
                cached: 0,
                completion: 12,
            },
            Done {
                finish_reason: Some(
                    "stop",
                ),
            },
        ]
        "#);
    });
}

#[rstest]
#[case::before_the_answer(EngineFault::CloseBeforeAnswer, "exchange Unknown")]
#[case::before_the_first_token(EngineFault::CloseAfter(0), "truncated Unknown")]
#[case::in_the_stream(EngineFault::CloseAfter(3), "truncated Ran")]
#[case::whole_without_done(EngineFault::EndWithoutDone(3), "truncated Ran")]
#[case::garbage(EngineFault::GarbageAfter(2), "garbage Ran")]
#[case::silent(EngineFault::StallAfter(2), "stalled Ran")]
#[case::refusal(EngineFault::Refuse, "refused NotRun")]
fn never_passes_a_cut_answer_as_whole(#[case] fault: EngineFault, #[case] expected: &str) {
    run_test(|executor| async move {
        let options = EngineOptions::new().fault(fault);
        let engine = EngineServer::start(any_address(), &executor, options).unwrap();
        let pool = UpstreamPool::new(engine.get_address(), executor, options_for(expected));
        let client = EngineClient::new(pool);
        let error = chat_whole(&client, "Which hall is next?")
            .await
            .unwrap_err();
        assert_eq!(describe(&error), expected, "{error}");
        engine.set_fault(EngineFault::None);
        chat_whole(&client, "Again?").await.unwrap();
    });
}

#[rstest]
#[case::dropped(false)]
#[case::closed(true)]
fn cancels_at_the_engine(#[case] is_closed: bool) {
    run_test(|executor| async move {
        let options = EngineOptions::new().fault(EngineFault::StallAfter(1));
        let engine = EngineServer::start(any_address(), &executor, options).unwrap();
        let client = EngineClient::new(open_pool(engine.get_address(), &executor));
        let call = ChatCall::new(chat_body("Which hall is next?"), session(1));
        let mut stream = client.chat(call).await.unwrap();
        stream.next().await.unwrap().unwrap();
        assert_eq!(engine.get_counters().cancelled, 0);
        if is_closed {
            stream.close();
        } else {
            drop(stream);
        }
        wait_until(|| engine.get_counters().cancelled == 1).await;
    });
}
