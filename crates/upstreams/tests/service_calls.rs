//! Service calls: faults of the service, header filtering and credentials.

mod support;

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use ibisdale_standins::{ScriptEnd, ScriptedServer, ServiceFault, ServiceOptions, ServiceServer};
use ibisdale_upstreams::{
    PoolOptions, ServiceCall, ServiceClient, UpstreamCredential, UpstreamPool,
};
use rstest::rstest;
use support::{describe, loopback_address, open_pool, options_for_outcome, run_test};

fn booking() -> ServiceCall {
    ServiceCall::new(Method::POST, "/bookings").body(r#"{"request_id": "booking-1"}"#)
}

#[rstest]
#[case::none(ServiceFault::None, "200 Ran", 1)]
#[case::late(ServiceFault::AnswerLate(Duration::from_millis(50)), "200 Ran", 1)]
#[case::garbage(ServiceFault::Garbage, "200 Ran", 1)]
#[case::refused(ServiceFault::Refuse, "503 NotRun", 0)]
#[case::closed_before_answer(ServiceFault::CloseBeforeAnswer, "exchange Unknown", 0)]
#[case::closed_in_body(ServiceFault::CloseInBody, "truncated Unknown", 1)]
#[case::lost_answer(ServiceFault::LoseAnswer, "exchange Unknown", 1)]
#[case::hangs(ServiceFault::Hang, "stalled Unknown", 0)]
fn sends_a_call_that_is_not_idempotent_once(
    #[case] fault: ServiceFault,
    #[case] expected: &str,
    #[case] executions: u64,
) {
    run_test(|executor| async move {
        let options = ServiceOptions::new().fault(fault);
        let service = ServiceServer::start(loopback_address(), &executor, options).unwrap();
        let pool = UpstreamPool::new(
            service.get_address(),
            executor,
            options_for_outcome(expected),
        );
        let client = ServiceClient::new(pool);
        let result = match client.call(booking()).await {
            Ok(reply) => format!(
                "{} {:?}",
                reply.get_status().as_u16(),
                reply.get_run_state()
            ),
            Err(error) => describe(&error),
        };
        assert_eq!(result, expected);
        let counters = service.get_counters();
        assert_eq!(counters.get_executions("booking-1"), executions);
        assert_eq!(counters.requests, 1);
    });
}

/// Returns headers of a caller, most of which must not be forwarded.
fn caller_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("authorization", "Bearer caller-key"),
        ("proxy-authorization", "Basic caller-key"),
        ("cookie", "key=caller-key"),
        ("x-api-key", "caller-key"),
        ("api-key", "caller-key"),
        ("x-auth-token", "caller-key"),
        ("x-anything", "caller-key"),
        ("host", "caller-key"),
        ("connection", "x-api-key"),
        ("te", "trailers"),
        ("upgrade", "caller-key"),
        ("transfer-encoding", "chunked"),
        ("content-length", "7"),
        ("forwarded", "for=caller-key"),
        ("accept-language", "nl"),
        ("content-type", "application/json"),
        ("idempotency-key", "attempt-1"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn forwards_and_returns_only_allowed_headers() {
    run_test(|executor| async move {
        let reply =
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nset-cookie: a=b\r\netag: \"1\"\r\n\r\n";
        let server = ScriptedServer::start(loopback_address(), &executor, reply, ScriptEnd::Hold);
        let server = server.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("credential");
        std::fs::write(&path, "own-credential\n").unwrap();
        let credential = UpstreamCredential::read(&path).unwrap();
        let client = ServiceClient::new(open_pool(server.get_address(), &executor));
        let call = booking()
            .headers(&caller_headers())
            .traceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
            .credential(credential);
        let reply = client.call(call).await.unwrap();
        let received = String::from_utf8(server.get_received().concat()).unwrap();
        let received = received.replace(&server.get_address().to_string(), "ADDRESS");
        insta::assert_snapshot!(received.replace('\r', ""), @r#"
        POST /bookings HTTP/1.1
        accept-language: nl
        content-type: application/json
        idempotency-key: attempt-1
        traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01
        host: ADDRESS
        authorization: Bearer own-credential
        content-length: 27

        {"request_id": "booking-1"}
        "#);
        insta::assert_debug_snapshot!(reply.get_headers(), @r#"
        {
            "etag": "\"1\"",
        }
        "#);
    });
}

#[rstest]
#[case::json("{}", Some("content-type: application/json"))]
#[case::no_body("", None)]
fn sets_the_content_type_of_a_json_body(#[case] body: &str, #[case] expected: Option<&str>) {
    let body = body.to_owned();
    run_test(|executor| async move {
        let reply = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        let server = ScriptedServer::start(loopback_address(), &executor, reply, ScriptEnd::Hold);
        let server = server.unwrap();
        let client = ServiceClient::new(open_pool(server.get_address(), &executor));
        let call = ServiceCall::new(Method::POST, "/bookings").body(body);
        client.call(call).await.unwrap();
        let received = String::from_utf8(server.get_received().concat()).unwrap();
        let found = received.lines().find(|line| line.contains("content-type"));
        assert_eq!(found, expected);
    });
}

#[test]
fn only_the_configured_credential_reaches_the_upstream() {
    run_test(|executor| async move {
        let options = ServiceOptions::new().credential("own-credential");
        let service = ServiceServer::start(loopback_address(), &executor, options).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("credential");
        std::fs::write(&path, "own-credential").unwrap();
        let credential = UpstreamCredential::read(&path).unwrap();
        let client = ServiceClient::new(open_pool(service.get_address(), &executor));
        let call = booking().headers(&caller_headers()).credential(credential);
        let reply = client.call(call).await.unwrap();
        assert_eq!(reply.get_status().as_u16(), 200);
        assert_eq!(service.get_counters().foreign_keys, 0);
    });
}

#[rstest]
#[case::empty("")]
#[case::two_lines("one\ntwo")]
#[case::not_ascii("clé")]
fn rejects_malformed_credential_files_and_redacts_valid_ones(#[case] text: &str) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("credential");
    std::fs::write(&path, text).unwrap();
    assert!(UpstreamCredential::read(&path).is_err());
    std::fs::write(&path, "own-credential").unwrap();
    let credential = UpstreamCredential::read(&path).unwrap();
    assert!(!format!("{credential:?}").contains("own"));
}

#[rstest]
#[case::other_host("http://127.0.0.1:1/bookings")]
#[case::no_slash("bookings")]
#[case::line_end("/bookings\r\nx-api-key: caller-key")]
#[case::empty("")]
fn rejects_malformed_paths(#[case] path: &str) {
    let path = path.to_owned();
    run_test(|executor| async move {
        let service = ServiceServer::start(loopback_address(), &executor, ServiceOptions::new());
        let service = service.unwrap();
        let client = ServiceClient::new(open_pool(service.get_address(), &executor));
        let error = client.call(ServiceCall::new(Method::POST, path)).await;
        assert_eq!(describe(&error.unwrap_err()), "invalid_call NotRun");
        assert_eq!(service.get_counters().requests, 0);
    });
}

#[test]
fn rejects_responses_over_the_size_limit() {
    run_test(|executor| async move {
        let service = ServiceServer::start(loopback_address(), &executor, ServiceOptions::new());
        let service = service.unwrap();
        let options = PoolOptions::new().response_max_bytes(10);
        let pool = UpstreamPool::new(service.get_address(), executor.clone(), options);
        let client = ServiceClient::new(pool);
        let error = client.call(booking()).await.unwrap_err();
        assert_eq!(describe(&error), "too_large Unknown");
    });
}
