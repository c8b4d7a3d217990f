//! One HTTP request and its whole answer.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use ibisdale_net::{
    BoxBody, ClientConnection, ConnectOptions, FramedBody, NetError, TrafficExecutor, full_body,
    read_limited,
};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{CommandError, ReadFileSnafu};

/// Largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1_024 * 1_024;
/// Time in which an answer must be whole.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a key from a file; spaces and line ends around it do not count.
pub(crate) fn read_key_file(path: &Path) -> Result<HeaderValue, CommandError> {
    let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let value = HeaderValue::from_str(&format!("Bearer {}", text.trim()));
    let mut value = value.map_err(|_| CommandError::BadFile {
        path: path.to_owned(),
        message: "a key has no spaces or control characters".to_owned(),
    })?;
    value.set_sensitive(true);
    Ok(value)
}

/// A request that is to be sent.
#[derive(Debug)]
pub(crate) struct HttpCall {
    what: &'static str,
    request: Request<BoxBody>,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct HttpReply {
    pub(crate) address: SocketAddr,
    pub(crate) response: Response<Bytes>,
}

impl HttpCall {
    /// Creates a request; `what` names it in errors.
    pub(crate) fn new(what: &'static str, method: Method, path: &str) -> Self {
        let mut request = Request::new(full_body(Bytes::new()));
        *request.method_mut() = method;
        // Paths are built from names and numbers, which are always valid.
        *request.uri_mut() = path.parse().unwrap_or_default();
        Self { what, request }
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.request.headers_mut().insert(name, value);
        }
        self
    }

    pub(crate) fn key(mut self, key: Option<&HeaderValue>) -> Self {
        if let Some(key) = key {
            self.request
                .headers_mut()
                .insert(AUTHORIZATION, key.clone());
        }
        self
    }

    pub(crate) fn json(mut self, body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let json_type = HeaderValue::from_static("application/json");
        self.request.headers_mut().insert(CONTENT_TYPE, json_type);
        *self.request.body_mut() = full_body(body);
        self
    }

    /// Sends the request and waits for the head of the answer.
    pub(crate) async fn send_head(
        mut self,
        address: SocketAddr,
        executor: &TrafficExecutor,
    ) -> Result<Response<FramedBody>, CommandError> {
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            self.request.headers_mut().insert(HOST, host);
        }
        let what = self.what;
        let mut connection = ClientConnection::open(address, executor, ConnectOptions::new())
            .await
            .map_err(|error| exchange_error(address, what, error))?;
        connection
            .send(self.request)
            .await
            .map_err(|error| exchange_error(address, what, error))
    }

    /// Sends the request and reads the whole answer.
    pub(crate) async fn send(
        self,
        address: SocketAddr,
        executor: &TrafficExecutor,
    ) -> Result<HttpReply, CommandError> {
        let what = self.what;
        let exchange = async {
            let response = self.send_head(address, executor).await?;
            let (head, body) = response.into_parts();
            let body = read_limited(body, ANSWER_MAX_BYTES)
                .await
                .map_err(|error| exchange_error(address, what, error))?;
            Ok(HttpReply {
                address,
                response: Response::from_parts(head, body),
            })
        };
        let expire = async {
            smol::Timer::after(ANSWER_TIMEOUT).await;
            Err(CommandError::NoAnswer {
                address,
                what,
                limit: ANSWER_TIMEOUT,
            })
        };
        exchange.or(expire).await
    }
}

/// Tells a request that was never sent from one whose answer is lost.
pub(crate) fn exchange_error(
    address: SocketAddr,
    what: &'static str,
    source: NetError,
) -> CommandError {
    if source.is_not_sent() {
        return CommandError::Unreachable { address, source };
    }
    CommandError::AnswerLost {
        address,
        what,
        source,
    }
}

impl HttpReply {
    pub(crate) fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Reads the answer, or the refusal that came instead.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        let body = self.response.body();
        if self.status().is_success() {
            return serde_json::from_slice(body)
                .map_err(|error| self.bad_answer(error.to_string()));
        }
        match serde_json::from_slice(body) {
            Ok(refusal) => Err(CommandError::Refused {
                refusal: Box::new(refusal),
            }),
            Err(error) => Err(self.bad_answer(error.to_string())),
        }
    }

    pub(crate) fn bad_answer(&self, message: impl Into<String>) -> CommandError {
        CommandError::BadAnswer {
            address: self.address,
            status: self.status().as_u16(),
            message: message.into(),
        }
    }
}
