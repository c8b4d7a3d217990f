//! A daemon that answers from a script, and the command run against it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ibisdale_net::{
    BoxBody, ServeOptions, ShutdownGuard, TrafficExecutor, bind_listener, body_channel, full_body,
    serve_http, shutdown_pair,
};
use serde_json::{Value, json};

/// What the daemon answers.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// A status, a history digest and a JSON body.
    Json(u16, Option<String>, Value),
    /// Server-sent events.
    Events(Vec<String>),
    /// An answer that is cut off.
    Cut,
}

/// A request as the daemon saw it.
#[derive(Clone, Debug)]
pub(crate) struct SeenRequest {
    /// Method and path.
    pub(crate) line: String,
    /// `Authorization`.
    pub(crate) key: String,
    /// `If-Match`.
    pub(crate) expected: String,
    /// `Attempt-Key`.
    pub(crate) attempt: String,
    /// `History-Digest`.
    pub(crate) digest: String,
    /// The body.
    pub(crate) body: Value,
}

type SharedScript = Arc<Mutex<(VecDeque<Reply>, Vec<SeenRequest>)>>;

/// A daemon that answers from a script.
pub(crate) struct ScriptedDaemon {
    pub(crate) address: SocketAddr,
    script: SharedScript,
    guard: ShutdownGuard,
    thread: JoinHandle<()>,
}

impl ScriptedDaemon {
    pub(crate) fn start(replies: Vec<Reply>) -> Self {
        let script: SharedScript = Arc::new(Mutex::new((replies.into(), Vec::new())));
        let (guard, signal) = shutdown_pair();
        let listener = bind_listener(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let shared = Arc::clone(&script);
        let thread = thread::spawn(move || {
            let executor = TrafficExecutor::default();
            let serve = serve_http(
                listener,
                Arc::clone(&executor),
                ServeOptions::new(),
                signal,
                move |request, _| answer(Arc::clone(&shared), request, address),
            );
            smol::block_on(executor.run(serve));
        });
        Self {
            address,
            script,
            guard,
            thread,
        }
    }

    /// Stops and returns the requests; all replies must have been used.
    pub(crate) fn close(self) -> Vec<SeenRequest> {
        drop(self.guard);
        self.thread.join().unwrap();
        let script = self.script.lock().unwrap();
        assert!(script.0.is_empty(), "replies left: {:?}", script.0);
        script.1.clone()
    }
}

async fn answer(
    script: SharedScript,
    request: Request<Incoming>,
    address: SocketAddr,
) -> Response<BoxBody> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let header = |name: &str| {
        let value = head.headers.get(name);
        value.map_or(String::new(), |value| value.to_str().unwrap().to_owned())
    };
    let seen = SeenRequest {
        line: format!("{} {}", head.method, head.uri),
        key: header("authorization"),
        expected: header("if-match"),
        attempt: header("attempt-key"),
        digest: header("history-digest"),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    };
    let reply = {
        let mut script = script.lock().unwrap();
        script.1.push(seen);
        script.0.pop_front()
    };
    render(reply, address)
}

fn render(reply: Option<Reply>, address: SocketAddr) -> Response<BoxBody> {
    match reply {
        Some(Reply::Json(status, digest, body)) => {
            let body = body.to_string().replace("ADDRESS", &address.to_string());
            let mut response = Response::new(full_body(body));
            *response.status_mut() = status.try_into().unwrap();
            if let Some(digest) = digest {
                let value = digest.parse().unwrap();
                response.headers_mut().insert("history-digest", value);
            }
            response
        }
        Some(Reply::Events(events)) => {
            let text = format!("data: {}\n\n", events.join("\n\ndata: "));
            let mut response = Response::new(full_body(text));
            let value = "text/event-stream".parse().unwrap();
            response.headers_mut().insert("content-type", value);
            response
        }
        Some(Reply::Cut) => {
            let (sender, body) = body_channel();
            smol::block_on(sender.send(Bytes::from_static(b"{"))).unwrap();
            drop(sender);
            Response::new(body)
        }
        None => {
            let mut response = Response::new(full_body("no reply is left"));
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

/// Returns the body of a refusal.
pub(crate) fn refusal(code: &str, run_state: &str, retry_after_ms: Option<u64>) -> Value {
    let mut error = json!({
        "code": code,
        "run_state": run_state,
        "message": "for a reason",
        "request_id": "000102030405060708090a0b0c0d0e0f",
    });
    if let Some(delay) = retry_after_ms {
        error["retry_after_ms"] = delay.into();
    }
    json!({ "error": error })
}

/// Returns the path of an example.
pub(crate) fn example(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("../../examples").join(name);
    path.canonicalize().unwrap().display().to_string()
}

/// Runs the command.
pub(crate) fn ibisdale(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ibisdale"))
        .args(args)
        .output()
        .unwrap()
}

/// Runs an operators' command against a daemon.
pub(crate) fn operate(address: SocketAddr, args: &[&str]) -> Output {
    let address = address.to_string();
    let key_file = example("keys/operator.key");
    let mut all = vec!["--operator", &address, "--operator-key-file", &key_file];
    all.extend_from_slice(args);
    ibisdale(&all)
}

/// Returns exit code, standard output and standard error as one text.
pub(crate) fn transcript(output: &Output) -> String {
    format!(
        "exit {}\n{}--- errors\n{}",
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    )
}
