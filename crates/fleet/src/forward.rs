//! Forwarding of a caller's request to the daemon that owns its program.

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

/// The owner's response to a forwarded request, after its head has been received.
///
/// The body is copied by the future that [`ForwardedResponse::into_response`] returns.
#[derive(Debug)]
pub struct ForwardedResponse {
    head: ForwardHead,
    chunks: Streaming<ForwardChunk>,
}

impl FleetLinks {
    /// Forwards a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened, the daemon rejects the call, or its
    /// reply does not begin with a head. This method has no timeout of its own.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardRequest,
    ) -> Result<ForwardedResponse, FleetError> {
        let mut client = self.client(address).await?;
        let response = client.forward(Request::new(request)).await?;
        let mut chunks = response.into_inner();
        match chunks.message().await?.and_then(|chunk| chunk.part) {
            Some(Part::Head(head)) => Ok(ForwardedResponse { head, chunks }),
            Some(_) => Err(FleetError::Malformed {
                detail: "no head comes first",
            }),
            None => Err(FleetError::Truncated),
        }
    }
}

impl ForwardedResponse {
    /// Builds the response to the caller, and the future that copies its body.
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
    StatusCode::from_u16(status).map_err(|_| FleetError::Malformed { detail: "status" })
}

fn parse_header(header: &Header) -> Result<(HeaderName, HeaderValue), FleetError> {
    let name = HeaderName::from_bytes(header.name.as_bytes());
    let value = HeaderValue::from_bytes(&header.value);
    match (name, value) {
        (Ok(name), Ok(value)) => Ok((name, value)),
        _ => Err(FleetError::Malformed { detail: "header" }),
    }
}

/// Copies the body until its end marker.
///
/// When the body is truncated, the sender is dropped without being closed, so that
/// the caller sees an aborted response.
async fn copy_body(
    mut chunks: Streaming<ForwardChunk>,
    sender: BodySender,
) -> Result<(), FleetError> {
    let mut byte_count = 0;
    loop {
        let next = async { Some(chunks.message().await) };
        let caller_disconnected = async {
            sender.closed().await;
            None
        };
        // Returning drops the stream, which cancels the call at the owner.
        let Some(message) = next.or(caller_disconnected).await else {
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
                    detail: "second head",
                });
            }
            Some(Part::End(_)) | None => return Err(FleetError::Truncated),
        }
    }
}

enum ResponseState {
    Head(Box<Response<BoxBody>>),
    Body { body: BoxBody, byte_count: u64 },
    Done,
}

/// Encodes a response as the chunks that carry it to the forwarding daemon.
///
/// The end marker is sent only after the complete body.
#[must_use]
pub fn encode_response(response: Response<BoxBody>) -> ReplyStream<ForwardChunk> {
    let state = ResponseState::Head(Box::new(response));
    Box::pin(stream::unfold(state, next_chunk).fuse())
}

async fn next_chunk(
    state: ResponseState,
) -> Option<(Result<ForwardChunk, FleetError>, ResponseState)> {
    match state {
        ResponseState::Head(response) => {
            let (parts, body) = response.into_parts();
            let headers = parts.headers.iter().map(encode_header).collect();
            let head = ForwardHead {
                status: parts.status.as_u16().into(),
                headers,
            };
            Some((
                Ok(new_chunk(Part::Head(head))),
                ResponseState::Body {
                    body,
                    byte_count: 0,
                },
            ))
        }
        ResponseState::Body {
            mut body,
            byte_count,
        } => match next_data(&mut body).await {
            Some(Ok(data)) => {
                let byte_count = byte_count + data.len() as u64;
                Some((
                    Ok(new_chunk(Part::Data(data))),
                    ResponseState::Body { body, byte_count },
                ))
            }
            Some(Err(_)) => Some((Err(FleetError::Truncated), ResponseState::Done)),
            None => Some((
                Ok(new_chunk(Part::End(ForwardEnd { byte_count }))),
                ResponseState::Done,
            )),
        },
        ResponseState::Done => None,
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

fn new_chunk(part: Part) -> ForwardChunk {
    ForwardChunk { part: Some(part) }
}

fn encode_header((name, value): (&HeaderName, &HeaderValue)) -> Header {
    Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}
