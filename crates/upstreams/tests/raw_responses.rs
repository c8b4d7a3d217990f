//! Responses that violate HTTP or the upstream protocol.

mod support;

use http::Method;
use ibisdale_standins::{ScriptEnd, ScriptedServer};
use ibisdale_upstreams::{
    EngineClient, LoadClient, PoolOptions, ServiceCall, ServiceClient, UpstreamError, UpstreamPool,
};
use rstest::rstest;
use support::{
    complete_chat, describe, loopback_address, open_pool, options_for_outcome, run_test,
    scripted_engine,
};

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const DELTA: &str = r#"data: {"choices":[{"index":0,"delta":{"content":"a"}}]}"#;

/// Encodes text as a chunk of a chunked body.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn stream_of(events: &[&str], ending: &str) -> String {
    let events: Vec<String> = events
        .iter()
        .map(|event| chunk(&format!("{event}\n\n")))
        .collect();
    format!("{STREAM_HEAD}{}{ending}", events.concat())
}

async fn call_service(
    executor: &ibisdale_net::TrafficExecutor,
    script: &str,
    end: ScriptEnd,
    options: PoolOptions,
) -> Result<String, UpstreamError> {
    let script = script.to_owned();
    let server = ScriptedServer::start(loopback_address(), executor, script, end).unwrap();
    let pool = UpstreamPool::new(server.get_address(), executor.clone(), options);
    let client = ServiceClient::new(pool);
    let reply = client.call(ServiceCall::new(Method::POST, "/bookings"));
    let reply = reply.await?;
    let body = String::from_utf8(reply.get_body().to_vec()).unwrap();
    Ok(format!("{} {body}", reply.get_status().as_u16()))
}

#[rstest]
#[case::no_bytes("", ScriptEnd::Close, "exchange Unknown")]
#[case::half_a_head("HTTP/1.1 200 OK\r\ncontent-", ScriptEnd::Close, "exchange Unknown")]
#[case::not_http("nonsense\r\n\r\n", ScriptEnd::Close, "garbage Unknown")]
#[case::without_framing("HTTP/1.1 200 OK\r\n\r\nhalf", ScriptEnd::Close, "garbage Unknown")]
#[case::short_body(
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
    ScriptEnd::Close,
    "truncated Unknown"
)]
#[case::cut_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\nhalf",
    ScriptEnd::Close,
    "truncated Unknown"
)]
#[case::no_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ScriptEnd::Close,
    "truncated Unknown"
)]
#[case::two_lengths(
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nhalf",
    ScriptEnd::Close,
    "garbage Unknown"
)]
#[case::silent("", ScriptEnd::Hold, "stalled Unknown")]
#[case::silent_in_the_body(
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
    ScriptEnd::Hold,
    "stalled Unknown"
)]
fn reports_malformed_responses_as_errors(
    #[case] script: &str,
    #[case] end: ScriptEnd,
    #[case] expected: &str,
) {
    let script = script.to_owned();
    run_test(|executor| async move {
        let error = call_service(&executor, &script, end, options_for_outcome(expected)).await;
        let error = error.unwrap_err();
        assert_eq!(describe(&error), expected, "{error}");
    });
}

#[rstest]
#[case::whole("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", "200 whole")]
#[case::after_continue(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
    "200 whole"
)]
#[case::extra_bytes(
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\n",
    "200 whole"
)]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n", "204 ")]
fn returns_the_final_response(#[case] script: &str, #[case] expected: &str) {
    let script = script.to_owned();
    run_test(|executor| async move {
        let reply = call_service(&executor, &script, ScriptEnd::Close, PoolOptions::new());
        let reply = reply.await;
        assert_eq!(reply.unwrap(), expected);
    });
}

#[rstest]
#[case::whole(stream_of(&[DELTA, "data: [DONE]"], "0\r\n\r\n"), Ok("a"))]
#[case::comments(stream_of(&[": waiting", DELTA, "data: [DONE]"], "0\r\n\r\n"), Ok("a"))]
#[case::without_done(stream_of(&[DELTA], "0\r\n\r\n"), Err("truncated Ran"))]
#[case::nothing(stream_of(&[], "0\r\n\r\n"), Err("truncated Unknown"))]
#[case::event_without_blank_line(
    format!("{STREAM_HEAD}{}0\r\n\r\n", chunk("data: [DONE]")),
    Err("truncated Unknown")
)]
#[case::not_json(stream_of(&["data: <html>"], ""), Err("garbage Unknown"))]
#[case::not_a_chat_chunk(stream_of(&["data: [1, 2]"], ""), Err("garbage Unknown"))]
#[case::error_event(
    stream_of(&[DELTA, r#"data: {"error":{"message":"out of memory"}}"#], ""),
    Err("failed Ran")
)]
#[case::not_a_stream(
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}".to_owned(),
    Err("garbage Unknown")
)]
#[case::without_framing(
    format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{DELTA}\n\ndata: [DONE]\n\n"),
    Err("garbage Unknown")
)]
#[case::refusal(
    "HTTP/1.1 429 Too Many Requests\r\nretry-after: 2\r\ncontent-length: 4\r\n\r\nbusy".to_owned(),
    Err("refused NotRun")
)]
#[case::server_error(
    "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\noops".to_owned(),
    Err("failed Unknown")
)]
fn accepts_only_complete_streams(#[case] script: String, #[case] expected: Result<&str, &str>) {
    run_test(|executor| async move {
        let (_server, client) = scripted_engine(&executor, &script, ScriptEnd::Close);
        let result = complete_chat(&client, "Which hall is next?").await;
        let result = result.map_err(|error| describe(&error));
        let expected = expected.map(str::to_owned).map_err(str::to_owned);
        assert_eq!(result, expected);
    });
}

#[test]
fn rejects_events_over_the_size_limit() {
    run_test(|executor| async move {
        let script = format!("{STREAM_HEAD}{}", chunk(&"x".repeat(100_000)).repeat(3));
        let (server, _) = scripted_engine(&executor, &script, ScriptEnd::Hold);
        let options = PoolOptions::new().response_max_bytes(150_000);
        let address = server.get_address();
        let pool = UpstreamPool::new(address, executor.clone(), options);
        let client = EngineClient::new(pool);
        let error = complete_chat(&client, "Which hall is next?").await;
        assert_eq!(describe(&error.unwrap_err()), "too_large Unknown");
    });
}

#[rstest]
#[case::not_json("nonsense", "garbage Unknown")]
#[case::wrong_shape(r#"{"running": "many"}"#, "garbage Unknown")]
fn rejects_malformed_load_reports(#[case] body: &str, #[case] expected: &str) {
    let length = body.len();
    let script = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    run_test(|executor| async move {
        let server =
            ScriptedServer::start(loopback_address(), &executor, script, ScriptEnd::Close).unwrap();
        let client = LoadClient::new(open_pool(server.get_address(), &executor), None);
        let error = client.read_load().await.unwrap_err();
        assert_eq!(describe(&error), expected);
    });
}
