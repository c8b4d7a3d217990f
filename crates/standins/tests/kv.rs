//! The key-value stand-in keeps to the published calls.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request};
use ibisdale_net::{ClientConnection, ConnectOptions, TrafficExecutor, full_body, read_limited};
use ibisdale_standins::KvServer;
use rstest::rstest;

const BODY_MAX_BYTES: usize = 4 * 1_024 * 1_024;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn call(
    address: SocketAddr,
    executor: &TrafficExecutor,
    path: &str,
    body: String,
) -> (u16, String) {
    let options = ConnectOptions::new();
    let mut connection = ClientConnection::open(address, executor, options)
        .await
        .expect("the stand-in is open");
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "kv")
        .body(full_body(body))
        .expect("the request is well formed");
    let response = connection.send(request).await.expect("an answer");
    let status = response.status().as_u16();
    let body = read_limited(response.into_body(), BODY_MAX_BYTES)
        .await
        .expect("a whole body");
    let text = String::from_utf8_lossy(&body).trim_end().to_owned();
    (status, text)
}

fn run(calls: &[(&str, String)]) -> Vec<String> {
    let executor: TrafficExecutor = Arc::new(async_executor::Executor::new());
    smol::block_on(executor.run(async {
        let server = KvServer::start(loopback(), &executor).expect("a free port");
        let mut answers = Vec::new();
        for (path, body) in calls {
            let (status, text) = call(server.get_address(), &executor, path, body.clone()).await;
            answers.push(format!("{status} {text}"));
        }
        server.close().await;
        answers
    }))
}

#[test]
fn writes_raise_revisions_and_versions() {
    let answers = run(&[
        ("/v3/kv/put", r#"{"key":"YQ==","value":"MQ=="}"#.into()),
        ("/v3/kv/put", r#"{"key":"YQ==","value":"Mg=="}"#.into()),
        ("/v3/kv/range", r#"{"key":"YQ=="}"#.into()),
        ("/v3/kv/range", r#"{"key":"YQ==","revision":"2"}"#.into()),
    ]);
    insta::assert_snapshot!(answers.join("\n"), @r#"
    200 {"header":{"revision":"2"}}
    200 {"header":{"revision":"3"}}
    200 {"header":{"revision":"3"},"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"3","version":"2","value":"Mg==","lease":"0"}],"more":false,"count":"1"}
    200 {"header":{"revision":"3"},"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"2","version":"1","value":"MQ==","lease":"0"}],"more":false,"count":"1"}
    "#);
}

#[test]
fn transaction_runs_one_branch() {
    let create = r#"{"compare":[{"target":"CREATE","key":"YQ==","create_revision":"0"}],
        "success":[{"request_put":{"key":"YQ==","value":"MQ=="}}],
        "failure":[{"request_range":{"key":"YQ=="}}]}"#;
    let answers = run(&[("/v3/kv/txn", create.into()), ("/v3/kv/txn", create.into())]);
    insta::assert_snapshot!(answers.join("\n"), @r#"
    200 {"header":{"revision":"2"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"0"}}}]}
    200 {"header":{"revision":"2"},"succeeded":false,"responses":[{"response_range":{"header":{"revision":"2"},"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"2","version":"1","value":"MQ==","lease":"0"}],"more":false,"count":"1"}}]}
    "#);
}

#[test]
fn lease_ends_with_its_keys() {
    let answers = run(&[
        ("/v3/lease/grant", r#"{"TTL":"60","ID":"7"}"#.into()),
        (
            "/v3/kv/put",
            r#"{"key":"YQ==","value":"MQ==","lease":"7"}"#.into(),
        ),
        ("/v3/lease/keepalive", r#"{"ID":"7"}"#.into()),
        ("/v3/lease/revoke", r#"{"ID":"7"}"#.into()),
        ("/v3/kv/range", r#"{"key":"YQ=="}"#.into()),
        ("/v3/lease/keepalive", r#"{"ID":"7"}"#.into()),
    ]);
    insta::assert_snapshot!(answers.join("\n"), @r#"
    200 {"header":{"revision":"1"},"ID":"7","TTL":"60"}
    200 {"header":{"revision":"2"}}
    200 {"result":{"header":{"revision":"2"},"ID":"7","TTL":"60"}}
    200 {"header":{"revision":"3"}}
    200 {"header":{"revision":"3"},"kvs":[],"more":false,"count":"0"}
    200 {"result":{"header":{"revision":"3"},"ID":"7","TTL":"0"}}
    "#);
}

#[rstest]
#[case::empty_key("/v3/kv/put", r#"{"value":"MQ=="}"#)]
#[case::not_base64("/v3/kv/put", r#"{"key":"*"}"#)]
#[case::missing_lease("/v3/kv/put", r#"{"key":"YQ==","lease":"9"}"#)]
#[case::future_revision("/v3/kv/range", r#"{"key":"YQ==","revision":"9"}"#)]
#[case::doubled_key(
    "/v3/kv/txn",
    r#"{"success":[{"request_put":{"key":"YQ=="}},{"request_put":{"key":"YQ=="}}]}"#
)]
#[case::empty_operation("/v3/kv/txn", r#"{"success":[{}]}"#)]
#[case::unknown_call("/v3/kv/other", "{}")]
fn bad_calls_are_refused_without_effect(#[case] path: &str, #[case] body: &str) {
    let answers = run(&[
        (path, body.to_owned()),
        (
            "/v3/kv/range",
            r#"{"key":"AA==","range_end":"AA=="}"#.into(),
        ),
    ]);
    assert!(answers[0].starts_with('4'), "{}", answers[0]);
    assert_eq!(
        answers[1],
        r#"200 {"header":{"revision":"1"},"kvs":[],"more":false,"count":"0"}"#
    );
}

#[test]
fn value_over_a_megabyte_is_refused() {
    let value = "A".repeat(4 * (1_024 * 1_024 / 3 + 1));
    let body = format!(r#"{{"key":"YQ==","value":"{value}"}}"#);
    let answers = run(&[("/v3/kv/put", body)]);
    insta::assert_snapshot!(answers.join("\n"), @r#"400 {"code":3,"message":"etcdserver: request is too large"}"#);
}
