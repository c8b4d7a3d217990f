//! What the engine's tests share.

#![allow(dead_code)] // each test file uses a part

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use ibisdale_core::ProgramId;
use ibisdale_net::TrafficExecutor;
use ibisdale_standins::{EngineOptions, EngineServer};
use ibisdale_upstreams::{
    ChatCall, ChatEvent, ChatStream, ControlClient, EngineClient, LoadClient, PoolOptions,
    SessionClient, UpstreamError, UpstreamPool,
};

/// Time after which a test counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on an executor of its own.
pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce(TrafficExecutor) -> F) {
    let executor = TrafficExecutor::default();
    let hang = async {
        smol::Timer::after(HANG_TIMEOUT).await;
        panic!("the test hangs");
    };
    smol::block_on(executor.run(test(executor.clone()).or(hang)));
}

/// An engine together with clients of it.
pub(crate) struct TestEngine {
    pub(crate) server: EngineServer,
    pub(crate) chats: EngineClient,
    pub(crate) sessions: SessionClient,
    pub(crate) reports: LoadClient,
    pub(crate) orders: ControlClient,
}

impl TestEngine {
    pub(crate) fn start(executor: &TrafficExecutor, options: EngineOptions) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = EngineServer::start(any, executor, options).unwrap();
        let address = server.get_address();
        let pool = UpstreamPool::new(address, executor.clone(), PoolOptions::new());
        Self {
            server,
            chats: EngineClient::new(pool.clone()),
            sessions: SessionClient::new(pool.clone(), None),
            reports: LoadClient::new(pool.clone(), None),
            orders: ControlClient::new(pool, None),
        }
    }

    /// Runs a call to its end and waits until the engine has noted it.
    pub(crate) async fn chat(&self, call: ChatCall) -> Result<ChatOutcome, UpstreamError> {
        let finished = self.server.get_counters().finished;
        let outcome = read_outcome(self.chats.chat(call).await?).await?;
        wait_until(|| self.server.get_counters().finished > finished).await;
        Ok(outcome)
    }
}

/// What a call brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChatOutcome {
    pub(crate) text: String,
    pub(crate) prompt: u64,
    pub(crate) cached: u64,
    pub(crate) completion: u64,
}

/// Reads a stream to its end.
pub(crate) async fn read_outcome(mut stream: ChatStream) -> Result<ChatOutcome, UpstreamError> {
    let mut outcome = ChatOutcome::default();
    while let Some(event) = stream.next().await {
        match event? {
            ChatEvent::Delta(chunk) => outcome.text.push_str(&read_content(&chunk)),
            ChatEvent::Usage {
                prompt,
                cached,
                completion,
            } => {
                outcome.prompt = prompt;
                outcome.cached = cached;
                outcome.completion = completion;
            }
            ChatEvent::Done { .. } => {}
        }
    }
    Ok(outcome)
}

/// Returns the text of a chunk.
pub(crate) fn read_content(chunk: &[u8]) -> String {
    let chunk: serde_json::Value = serde_json::from_slice(chunk).unwrap();
    let content = &chunk["choices"][0]["delta"]["content"];
    content.as_str().unwrap_or_default().to_owned()
}

/// Returns a session that differs by its number.
pub(crate) fn session(number: u64) -> ProgramId {
    let mut bytes = [0; 16];
    bytes[8..].copy_from_slice(&number.to_be_bytes());
    ProgramId::from_bytes(&bytes).unwrap()
}

/// Returns a prompt of so many words, which differs by its number.
pub(crate) fn long_prompt(number: u64, words: usize) -> String {
    let words: Vec<String> = (0..words).map(|word| format!("w{number}-{word}")).collect();
    words.join(" ")
}

/// Returns a call with the messages given, user and assistant in turn.
pub(crate) fn call(number: u64, messages: &[&str]) -> ChatCall {
    let messages: Vec<serde_json::Value> = messages
        .iter()
        .enumerate()
        .map(|(index, text)| {
            let role = ["user", "assistant"][index % 2];
            serde_json::json!({"role": role, "content": text})
        })
        .collect();
    let body = serde_json::json!({"model": "small", "messages": messages, "stream": true});
    ChatCall::new(body.to_string(), session(number))
}

/// Returns a deadline that no test reaches.
pub(crate) fn far_deadline() -> Instant {
    Instant::now() + HANG_TIMEOUT
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}
