//! Chat calls to engines with and without faults.

mod support;

use ibisdale_standins::{
    EngineFault, EngineOptions, EngineServer, PromptMessage, ScriptEnd, compose_answer,
};
use ibisdale_upstreams::{ChatCall, ChatEvent, EngineClient, UpstreamPool};
use rstest::rstest;
use support::{
    chat_body, complete_chat, describe, loopback_address, open_pool, options_for_outcome,
    read_text, run_test, scripted_engine, session, wait_until,
};

#[test]
fn streams_the_complete_response() {
    run_test(|executor| async move {
        let engine =
            EngineServer::start(loopback_address(), &executor, EngineOptions::new()).unwrap();
        let client = EngineClient::new(open_pool(engine.get_address(), &executor));
        let text = complete_chat(&client, "Which hall is next?").await.unwrap();
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
        let engine =
            EngineServer::start(loopback_address(), &executor, EngineOptions::new()).unwrap();
        let client = EngineClient::new(open_pool(engine.get_address(), &executor));
        let call = ChatCall::new(chat_body("one two three"), session(1));
        let mut stream = client.chat(call).await.unwrap();
        let mut other_events = Vec::new();
        while let Some(event) = stream.next().await {
            match event.unwrap() {
                ChatEvent::Delta(_) => {}
                event => other_events.push(event),
            }
        }
        insta::assert_debug_snapshot!(other_events, @r#"
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
#[case::complete_body_without_done(EngineFault::EndWithoutDone(3), "truncated Ran")]
#[case::garbage(EngineFault::GarbageAfter(2), "garbage Ran")]
#[case::silent(EngineFault::StallAfter(2), "stalled Ran")]
#[case::refusal(EngineFault::Refuse, "refused NotRun")]
fn reports_incomplete_responses_as_errors(#[case] fault: EngineFault, #[case] expected: &str) {
    run_test(|executor| async move {
        let options = EngineOptions::new().fault(fault);
        let engine = EngineServer::start(loopback_address(), &executor, options).unwrap();
        let pool = UpstreamPool::new(
            engine.get_address(),
            executor,
            options_for_outcome(expected),
        );
        let client = EngineClient::new(pool);
        let error = complete_chat(&client, "Which hall is next?")
            .await
            .unwrap_err();
        assert_eq!(describe(&error), expected, "{error}");
        engine.set_fault(EngineFault::None);
        complete_chat(&client, "Again?").await.unwrap();
    });
}

#[test]
fn sends_only_its_own_headers() {
    run_test(|executor| async move {
        let (server, client) = scripted_engine(&executor, "HTTP/1.1 ", ScriptEnd::Close);
        let call = ChatCall::new("{}", session(1))
            .priority(-3)
            .fencing_number(7)
            .resume_from(2)
            .traceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01");
        client.chat(call).await.unwrap_err();
        let received = String::from_utf8(server.get_received().concat()).unwrap();
        let received = received.replace(&server.get_address().to_string(), "ADDRESS");
        insta::assert_snapshot!(received.replace('\r', ""), @r#"
        POST /v1/chat/completions HTTP/1.1
        content-type: application/json
        accept: text/event-stream
        session-id: 00000000000000000000000000000001
        priority: -3
        fencing-number: 7
        resume-from: 2
        traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01
        host: ADDRESS
        content-length: 2

        {}
        "#);
    });
}

#[rstest]
#[case::no_resumed_from_header("", "garbage Unknown")]
#[case::another_token("resumed-from: 2\r\n", "garbage Unknown")]
#[case::requested_token("resumed-from: 3\r\n", "truncated Unknown")]
fn rejects_streams_that_start_at_another_token(#[case] header: &str, #[case] expected: &str) {
    let script = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{header}content-length: 0\r\n\r\n"
    );
    run_test(|executor| async move {
        let (_server, client) = scripted_engine(&executor, &script, ScriptEnd::Close);
        let call = ChatCall::new("{}", session(1)).resume_from(3);
        let error = match client.chat(call).await {
            Ok(stream) => read_text(stream).await.unwrap_err(),
            Err(error) => error,
        };
        assert_eq!(describe(&error), expected);
    });
}

#[rstest]
#[case::dropped(false)]
#[case::closed(true)]
fn cancels_at_the_engine(#[case] is_closed: bool) {
    run_test(|executor| async move {
        let options = EngineOptions::new().fault(EngineFault::StallAfter(1));
        let engine = EngineServer::start(loopback_address(), &executor, options).unwrap();
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
