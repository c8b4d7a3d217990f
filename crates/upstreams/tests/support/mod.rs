//! Helpers shared by the tests of this package.

#![allow(dead_code)] // each test binary uses only some of the helpers

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use ibisdale_core::ProgramId;
use ibisdale_net::TrafficExecutor;
use ibisdale_standins::{ScriptEnd, ScriptedServer};
use ibisdale_upstreams::{
    ChatCall, ChatEvent, ChatStream, EngineClient, PoolOptions, UpstreamError, UpstreamPool,
};

/// Time limit of a test.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on a new executor; panics after [`HANG_TIMEOUT`].
pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce(TrafficExecutor) -> F) {
    let executor = TrafficExecutor::default();
    let hang = async {
        smol::Timer::after(HANG_TIMEOUT).await;
        panic!("the test timed out");
    };
    smol::block_on(executor.run(test(executor.clone()).or(hang)));
}

/// Returns a loopback address with port 0, so that the system picks a port.
pub(crate) fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns options with a short read timeout, for tests of stalls.
pub(crate) fn short_options() -> PoolOptions {
    PoolOptions::new().read_timeout(Duration::from_secs(1))
}

/// Returns a short read timeout if a stall is expected, else the defaults.
pub(crate) fn options_for_outcome(expected: &str) -> PoolOptions {
    if expected.contains("stalled") {
        return short_options();
    }
    PoolOptions::new()
}

/// Returns the session identifier for a number.
pub(crate) fn session(number: u64) -> ProgramId {
    let mut bytes = [0; 16];
    bytes[8..].copy_from_slice(&number.to_be_bytes());
    ProgramId::from_bytes(&bytes).unwrap()
}

/// Returns the body of a streamed chat call.
pub(crate) fn chat_body(prompt: &str) -> String {
    serde_json::json!({
        "model": "small",
        "messages": [{"role": "user", "content": prompt}],
        "stream": true,
    })
    .to_string()
}

/// Opens a pool with the default limits.
pub(crate) fn open_pool(address: SocketAddr, executor: &TrafficExecutor) -> UpstreamPool {
    UpstreamPool::new(address, executor.clone(), PoolOptions::new())
}

/// Sends a chat call and reads its response to the end.
pub(crate) async fn complete_chat(
    client: &EngineClient,
    prompt: &str,
) -> Result<String, UpstreamError> {
    let call = ChatCall::new(chat_body(prompt), session(1));
    read_text(client.chat(call).await?).await
}

/// Reads a stream to its end and returns its text.
pub(crate) async fn read_text(mut stream: ChatStream) -> Result<String, UpstreamError> {
    let mut text = String::new();
    let mut is_done = false;
    while let Some(event) = stream.next().await {
        match event? {
            ChatEvent::Delta(chunk) => {
                let chunk: serde_json::Value = serde_json::from_slice(&chunk).unwrap();
                let content = &chunk["choices"][0]["delta"]["content"];
                text.push_str(content.as_str().unwrap_or_default());
            }
            ChatEvent::Usage { .. } => {}
            ChatEvent::Done { .. } => is_done = true,
        }
    }
    assert!(is_done, "a stream without an error ends with Done");
    Ok(text)
}

/// Starts a server that responds with the given bytes, and a client for it.
pub(crate) fn scripted_engine(
    executor: &TrafficExecutor,
    script: &str,
    end: ScriptEnd,
) -> (ScriptedServer, EngineClient) {
    let script = script.to_owned();
    let server = ScriptedServer::start(loopback_address(), executor, script, end).unwrap();
    let client = EngineClient::new(open_pool(server.get_address(), executor));
    (server, client)
}

/// Formats the kind and run state of an error.
pub(crate) fn describe(error: &UpstreamError) -> String {
    format!("{} {:?}", error.get_kind().as_str(), error.get_run_state())
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}
