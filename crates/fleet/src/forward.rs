//! Forwarding a caller's request to the owner of its program.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_lite::stream;
use futures_lite::{FutureExt, StreamExt};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use ibisdale_net::{BodySender, BoxBody, NetError, body_channel};
use tonic::{Request, Streaming};

use crate::error::FleetError;
use crate::handlers::ReplyStream;
use crate::links::FleetLinks;
use crate::proto::forward_chunk::Part;
use crate::proto::{ForwardChunk, ForwardEnd, ForwardHead, ForwardRequest, Header};

/// The owner's answer to a forwarded request.
///
/// The body is copied by the task that [`ForwardAnswer::into_response`] returns.
#[derive(Debug)]
pub struct ForwardAnswer {
    head: ForwardHead,
    chunks: Streaming<ForwardChunk>,
}

impl FleetLinks {
    /// Forwards a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails when no link opens, the daemon refuses, or its answer does not
    /// begin with a head. The caller bounds the time.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardRequest,
    ) -> Result<ForwardAnswer, FleetError> {
        let mut client = self.client(address).await?;
        let response = client.forward(Request::new(request)).await?;
        let mut chunks = response.into_inner();
        match chunks.message().await?.and_then(|chunk| chunk.part) {
            Some(Part::Head(head)) => Ok(ForwardAnswer { head, chunks }),
            Some(_) => Err(FleetError::Malformed {
                what: "no head comes first",
            }),
            None => Err(FleetError::Truncated),
        }
    }
}

impl ForwardAnswer {
    /// Builds the caller's response, and the task that copies its body.
    ///
    /// # Errors
    ///
    /// Fails when the status or a header is malformed.
    pub fn into_response(
        self,
    ) -> Result<
        (
            Response<BoxBody>,
            impl Future<Output = Result<(), FleetError>>,
        ),
        FleetError,
    > {
        let (sender, body) = body_channel();
        let mut response = Response::new(body);
        *response.status_mut() = status_code(self.head.status)?;
        for header in self.head.headers {
            let (name, value) = parse_header(&header)?;
            response.headers_mut().append(name, value);
        }
        Ok((response, copy_body(self.chunks, sender)))
    }
}

fn status_code(status: u32) -> Result<StatusCode, FleetError> {
    let status = u16::try_from(status).unwrap_or_default();
    StatusCode::from_u16(status).map_err(|_| FleetError::Malformed { what: "status" })
}

fn parse_header(header: &Header) -> Result<(HeaderName, HeaderValue), FleetError> {
    let name = HeaderName::from_bytes(header.name.as_bytes());
    let value = HeaderValue::from_bytes(&header.value);
    match (name, value) {
        (Ok(name), Ok(value)) => Ok((name, value)),
        _ => Err(FleetError::Malformed { what: "header" }),
    }
}

/// Copies the body; the sender is dropped unclosed on a truncated answer, so
/// that the caller sees an aborted message.
async fn copy_body(
    mut chunks: Streaming<ForwardChunk>,
    sender: BodySender,
) -> Result<(), FleetError> {
    let mut byte_count = 0;
    loop {
        let next = async { Some(chunks.message().await) };
        let caller_gone = async {
            sender.closed().await;
            None
        };
        // Dropping the stream cancels the call at the owner.
        let Some(message) = next.or(caller_gone).await else {
            return Ok(());
        };
        match message?.and_then(|chunk| chunk.part) {
            Some(Part::Data(data)) => {
                byte_count += data.len() as u64;
                if sender.send(data).await.is_err() {
                    return Ok(());
                }
            }
            Some(Part::End(end)) if end.byte_count == byte_count => {
                let _ = sender.close().await;
                return Ok(());
            }
            Some(Part::Head(_)) => {
                return Err(FleetError::Malformed {
                    what: "second head",
                });
            }
            Some(Part::End(_)) | None => return Err(FleetError::Truncated),
        }
    }
}

enum StreamState {
    Head(Box<Response<BoxBody>>),
    Body { body: BoxBody, byte_count: u64 },
    Done,
}

/// Turns an answer into the chunks that carry it to the forwarding daemon.
///
/// The end mark is sent only after the whole body.
#[must_use]
pub fn answer_stream(response: Response<BoxBody>) -> ReplyStream<ForwardChunk> {
    let state = StreamState::Head(Box::new(response));
    Box::pin(stream::unfold(state, next_chunk).fuse())
}

async fn next_chunk(state: StreamState) -> Option<(Result<ForwardChunk, FleetError>, StreamState)> {
    match state {
        StreamState::Head(response) => {
            let (parts, body) = response.into_parts();
            let headers = parts.headers.iter().map(render_header).collect();
            let head = ForwardHead {
                status: parts.status.as_u16().into(),
                headers,
            };
            Some((
                Ok(chunk(Part::Head(head))),
                StreamState::Body {
                    body,
                    byte_count: 0,
                },
            ))
        }
        StreamState::Body {
            mut body,
            byte_count,
        } => match next_data(&mut body).await {
            Some(Ok(data)) => {
                let byte_count = byte_count + data.len() as u64;
                Some((
                    Ok(chunk(Part::Data(data))),
                    StreamState::Body { body, byte_count },
                ))
            }
            Some(Err(_)) => Some((Err(FleetError::Truncated), StreamState::Done)),
            None => Some((
                Ok(chunk(Part::End(ForwardEnd { byte_count }))),
                StreamState::Done,
            )),
        },
        StreamState::Done => None,
    }
}

async fn next_data(body: &mut BoxBody) -> Option<Result<Bytes, NetError>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                Err(_trailers) => {}
            },
            Err(error) => return Some(Err(error)),
        }
    }
}

fn chunk(part: Part) -> ForwardChunk {
    ForwardChunk { part: Some(part) }
}

fn render_header((name, value): (&HeaderName, &HeaderValue)) -> Header {
    Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}
