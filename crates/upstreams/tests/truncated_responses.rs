//! A response truncated at any byte is an error.

mod support;

use http::Method;
use ibisdale_core::RunState;
use ibisdale_net::TrafficExecutor;
use ibisdale_standins::{ScriptEnd, ScriptedServer};
use ibisdale_upstreams::{ServiceCall, ServiceClient};
use rstest::rstest;
use support::{complete_chat, loopback_address, open_pool, run_test, scripted_engine};

const STREAM_RESPONSE: &str = concat!(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    "37\r\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\r\n",
    "2\r\n\n\n\r\n",
    "2d\r\ndata: {\"choices\":[],\"usage\":{}}\n\ndata: [DONE]\r\n",
    "2\r\n\n\n\r\n",
    "0\r\n\r\n",
);
const CONTENT_LENGTH_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"number\":7}";
const CHUNKED_RESPONSE: &str = concat!(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "5\r\n{\"num\r\n7\r\nber\":7}\r\n0\r\n\r\n",
);

async fn call_service(executor: &TrafficExecutor, script: &str) -> Result<String, RunState> {
    let script = script.to_owned();
    let server =
        ScriptedServer::start(loopback_address(), executor, script, ScriptEnd::Close).unwrap();
    let client = ServiceClient::new(open_pool(server.get_address(), executor));
    let reply = client
        .call(ServiceCall::new(Method::POST, "/bookings"))
        .await;
    let reply = reply.map_err(|error| error.get_run_state())?;
    Ok(String::from_utf8(reply.get_body().to_vec()).unwrap())
}

#[rstest]
#[case::content_length(CONTENT_LENGTH_RESPONSE)]
#[case::chunked(CHUNKED_RESPONSE)]
fn a_truncated_response_is_an_error(#[case] response: &'static str) {
    run_test(|executor| async move {
        let whole = call_service(&executor, response).await;
        assert_eq!(whole.as_deref(), Ok("{\"number\":7}"));
        for cut in 0..response.len() {
            let result = call_service(&executor, &response[..cut]).await;
            assert_eq!(result, Err(RunState::Unknown), "cut at {cut}");
        }
    });
}

#[test]
fn a_truncated_stream_is_an_error() {
    run_test(|executor| async move {
        let (_server, client) = scripted_engine(&executor, STREAM_RESPONSE, ScriptEnd::Close);
        assert_eq!(complete_chat(&client, "hello").await.unwrap(), "a");
        // The response is complete once the empty line after its last event is read.
        let end = STREAM_RESPONSE.len() - "\r\n0\r\n\r\n".len();
        for cut in 0..end {
            let script = &STREAM_RESPONSE[..cut];
            let (_server, client) = scripted_engine(&executor, script, ScriptEnd::Close);
            let result = complete_chat(&client, "hello").await;
            let error = result.expect_err("a truncated stream must be an error");
            assert_ne!(error.get_run_state(), RunState::NotRun, "cut at {cut}");
        }
    });
}

#[test]
fn a_complete_body_without_its_last_event_is_an_error() {
    const EVENTS: &str = concat!(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n",
        "data: {\"choices\":[],\"usage\":{}}\n\n",
        "data: [DONE]\n\n",
    );
    let (head, _) = STREAM_RESPONSE.split_once("\r\n\r\n").unwrap();
    run_test(|executor| async move {
        for cut in 1..=EVENTS.len() {
            let script = format!("{head}\r\n\r\n{cut:x}\r\n{}\r\n0\r\n\r\n", &EVENTS[..cut]);
            let (_server, client) = scripted_engine(&executor, &script, ScriptEnd::Close);
            let result = complete_chat(&client, "hello").await;
            assert_eq!(result.is_ok(), cut == EVENTS.len(), "cut at {cut}");
        }
    });
}
