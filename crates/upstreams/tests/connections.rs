//! Connection reuse, resending, cancellation and deadlines.

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use http::Method;
use ibisdale_standins::{
    EngineOptions, EngineServer, PromptMessage, ScriptEnd, ScriptedServer, ServiceFault,
    ServiceOptions, ServiceServer, compose_answer,
};
use ibisdale_upstreams::{
    ChatCall, EngineClient, PoolOptions, ServiceCall, ServiceClient, UpstreamErrorKind,
    UpstreamPool,
};
use rstest::rstest;
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use support::{
    chat_body, complete_chat, describe, loopback_address, open_pool, read_text, run_test, session,
    wait_until,
};

const REPLY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

fn booking(number: u32) -> ServiceCall {
    let body = format!(r#"{{"request_id": "booking-{number}"}}"#);
    ServiceCall::new(Method::POST, "/bookings").body(body)
}

#[rstest]
#[case::not_idempotent(false, 3)]
#[case::idempotent(true, 1)]
fn reuses_connections_only_for_idempotent_calls(
    #[case] is_idempotent: bool,
    #[case] connections: usize,
) {
    run_test(|executor| async move {
        let service = ServiceServer::start(loopback_address(), &executor, ServiceOptions::new());
        let service = service.unwrap();
        let pool = open_pool(service.get_address(), &executor);
        let client = ServiceClient::new(pool.clone());
        for number in 0..3 {
            let call = booking(number).idempotent(is_idempotent);
            client.call(call).await.unwrap();
        }
        assert_eq!(pool.get_idle_count(), connections);
    });
}

#[test]
fn replaces_a_connection_that_was_closed_while_idle() {
    run_test(|executor| async move {
        let server = ScriptedServer::start(loopback_address(), &executor, REPLY, ScriptEnd::Close);
        let server = server.unwrap();
        let client = ServiceClient::new(open_pool(server.get_address(), &executor));
        for _ in 0..3 {
            let call = ServiceCall::new(Method::GET, "/badges/1").idempotent(true);
            client.call(call).await.unwrap();
        }
        assert_eq!(server.get_connections(), 3);
    });
}

#[test]
fn discards_idle_connections_after_a_stall() {
    run_test(|executor| async move {
        let server = ScriptedServer::start(loopback_address(), &executor, REPLY, ScriptEnd::Hold);
        let server = server.unwrap();
        let options = PoolOptions::new()
            .read_timeout(Duration::from_hours(1))
            .resend_timeout(Duration::from_millis(50));
        let pool = UpstreamPool::new(server.get_address(), executor, options);
        let client = ServiceClient::new(pool.clone());
        for _ in 0..3 {
            client.call(booking(1)).await.unwrap();
        }
        assert_eq!(pool.get_idle_count(), 3);
        let call = ServiceCall::new(Method::GET, "/badges/1").idempotent(true);
        client.call(call).await.unwrap();
        // The other idle connections were discarded along with the stalled one.
        assert_eq!((server.get_connections(), pool.get_idle_count()), (4, 1));
    });
}

#[test]
fn reports_not_run_if_nothing_was_sent() {
    run_test(|executor| async move {
        let listener = TcpListener::bind(loopback_address()).unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let client = ServiceClient::new(open_pool(address, &executor));
        let error = client.call(booking(1)).await.unwrap_err();
        assert_eq!(describe(&error), "connect NotRun");
        let now = Instant::now();
        let error = client.call(booking(1).deadline(now)).await.unwrap_err();
        assert_eq!(describe(&error), "deadline_exceeded NotRun");
    });
}

/// Responds to one request, then closes the connection after a second request
/// arrives on it. Then responds with `last` on a second connection or, without
/// `last`, stops listening.
async fn break_second_request(listener: Async<TcpListener>, last: Option<&str>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 4_096];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    stream.write_all(REPLY.as_bytes()).await.unwrap();
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    let Some(last) = last else {
        return;
    };
    drop(stream);
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    stream.write_all(last.as_bytes()).await.unwrap();
}

#[rstest]
#[case::gone(None, "connect Unknown")]
#[case::refuses(
    Some("HTTP/1.1 503 Busy\r\nrun-state: not_run\r\ncontent-length: 0\r\n\r\n"),
    "503 Unknown"
)]
#[case::answers(Some(REPLY), "200 Ran")]
fn a_resend_never_proves_that_the_first_copy_did_not_run(
    #[case] last: Option<&'static str>,
    #[case] expected: &str,
) {
    run_test(|executor| async move {
        let listener = Async::<TcpListener>::bind(loopback_address()).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let peer = executor.spawn(break_second_request(listener, last));
        let client = ServiceClient::new(open_pool(address, &executor));
        let call = || ServiceCall::new(Method::GET, "/badges/1").idempotent(true);
        client.call(call()).await.unwrap();
        let result = match client.call(call()).await {
            Ok(reply) => format!(
                "{} {:?}",
                reply.get_status().as_u16(),
                reply.get_run_state()
            ),
            Err(error) => describe(&error),
        };
        peer.await;
        assert_eq!(result, expected);
    });
}

#[test]
fn a_late_response_never_reaches_the_next_call() {
    run_test(|executor| async move {
        let late = ServiceFault::AnswerLate(Duration::from_millis(500));
        let options = ServiceOptions::new().fault(late);
        let service = ServiceServer::start(loopback_address(), &executor, options).unwrap();
        let client = ServiceClient::new(open_pool(service.get_address(), &executor));
        let deadline = Instant::now() + Duration::from_millis(200);
        let call = booking(1).idempotent(true).deadline(deadline);
        let error = client.call(call).await.unwrap_err();
        assert_eq!(error.get_kind(), UpstreamErrorKind::DeadlineExceeded);
        let reply = client.call(booking(2).idempotent(true)).await.unwrap();
        let body = String::from_utf8(reply.get_body().to_vec()).unwrap();
        assert!(body.contains("booking-2"), "{body}");
    });
}

#[test]
fn concurrent_calls_receive_their_own_responses() {
    run_test(|executor| async move {
        let options = EngineOptions::new().token_delay(Duration::from_millis(1));
        let engine = EngineServer::start(loopback_address(), &executor, options).unwrap();
        let client = EngineClient::new(open_pool(engine.get_address(), &executor));
        for round in 0..3 {
            let tasks: Vec<_> = (0..12)
                .map(|number| {
                    let client = client.clone();
                    let prompt = format!("Question {number} of round {round}");
                    executor.spawn(async move {
                        let call = ChatCall::new(chat_body(&prompt), session(number));
                        let text = read_text(client.chat(call).await.unwrap()).await.unwrap();
                        let messages = [PromptMessage::new("user", prompt)];
                        assert_eq!(text, compose_answer("small", &messages, 256));
                    })
                })
                .collect();
            for task in tasks {
                task.await;
            }
        }
        assert_eq!(engine.get_counters().chats, 36);
    });
}

#[test]
fn a_call_dropped_before_its_response_is_cancelled() {
    run_test(|executor| async move {
        let options = EngineOptions::new().token_delay(Duration::from_hours(1));
        let engine = EngineServer::start(loopback_address(), &executor, options).unwrap();
        let options = PoolOptions::new();
        let pool = UpstreamPool::new(engine.get_address(), executor.clone(), options);
        let client = EngineClient::new(pool);
        let give_up = async {
            wait_until(|| engine.get_counters().running == 1).await;
            None
        };
        let call = async { Some(complete_chat(&client, "Which hall is next?").await) };
        assert!(call.or(give_up).await.is_none());
        wait_until(|| engine.get_counters().cancelled == 1).await;
    });
}

#[test]
fn a_stream_fails_when_its_deadline_passes() {
    run_test(|executor| async move {
        let options = EngineOptions::new().token_delay(Duration::from_hours(1));
        let engine = EngineServer::start(loopback_address(), &executor, options).unwrap();
        let client = EngineClient::new(open_pool(engine.get_address(), &executor));
        let deadline = Instant::now() + Duration::from_millis(200);
        let call = ChatCall::new(chat_body("Which hall is next?"), session(1));
        let error = match client.chat(call.deadline(deadline)).await {
            Ok(stream) => read_text(stream).await.unwrap_err(),
            Err(error) => error,
        };
        assert_eq!(error.get_kind(), UpstreamErrorKind::DeadlineExceeded);
        wait_until(|| engine.get_counters().running == 0).await;
        assert_eq!(engine.get_counters().finished, 0);
    });
}
