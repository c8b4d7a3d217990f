//! Watches, which resume where they were after a lost connection.

use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use ibisdale_net::FramedBody;
use smol::{Task, Timer};

use super::client::KvClient;
use super::entry::{KvChange, KvRevision};
use super::error::KvFailure;
use super::exchange::{CallDeadline, send};
use crate::counts::KvCallKind;
use crate::wire;

/// Notices that may wait for their reader.
const QUEUE_NOTICES: usize = 64;
/// Longest line of a watch, in bytes.
const LINE_MAX_BYTES: usize = 64 * 1_024 * 1_024;
/// First pause after a failure; doubled after each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
/// Longest pause after a failure.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// What a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchNotice {
    /// Keys have changed.
    Changes {
        /// Revision up to which all changes have been reported.
        revision: KvRevision,
        /// Changes in order.
        changes: Vec<KvChange>,
    },
    /// The connection is lost; the watch goes on trying.
    Interrupted,
    /// The watch is open again, without a gap.
    Resumed,
    /// Changes were missed, since the service no longer holds them: read the
    /// keys and open a new watch. Nothing comes after this.
    Gap {
        /// Oldest revision that the service holds.
        oldest: KvRevision,
    },
}

/// An open watch; dropping it ends the watch.
#[derive(Debug)]
pub struct KvWatch {
    notices: Receiver<WatchNotice>,
    _task: Task<()>,
}

impl KvWatch {
    /// Waits for the next notice; `None` after a gap.
    pub async fn next(&self) -> Option<WatchNotice> {
        self.notices.recv().await.ok()
    }
}

impl KvClient {
    /// Watches all keys with `prefix` from the revision `start` on.
    ///
    /// Pass the revision after that of the read whose state is to be kept up.
    #[must_use]
    pub fn watch_prefix(&self, prefix: impl Into<Bytes>, start: KvRevision) -> KvWatch {
        let (sender, notices) = async_channel::bounded(QUEUE_NOTICES);
        let feed = WatchFeed {
            client: self.clone(),
            prefix: prefix.into(),
            next: start,
            notices: sender,
            is_interrupted: false,
        };
        let task = self.pool().executor().spawn(feed.run());
        KvWatch {
            notices,
            _task: task,
        }
    }
}

/// Why a stream ended.
enum StreamEnd {
    /// Nothing came for the renewal time.
    Idle,
    Gap(KvRevision),
    ReaderGone,
}

struct WatchFeed {
    client: KvClient,
    prefix: Bytes,
    next: KvRevision,
    notices: Sender<WatchNotice>,
    is_interrupted: bool,
}

impl WatchFeed {
    async fn run(mut self) {
        let mut delay = RETRY_DELAY_MIN;
        loop {
            match self.run_stream(&mut delay).await {
                Ok(StreamEnd::Idle) => {}
                Ok(StreamEnd::ReaderGone) => return,
                Ok(StreamEnd::Gap(oldest)) => {
                    // The reader may be gone, which ends the watch as well.
                    let _ = self.notices.send(WatchNotice::Gap { oldest }).await;
                    return;
                }
                Err(failure) => {
                    log::debug!("watch interrupted: {failure}");
                    self.client.pool().report_failure();
                    if !self.report_interruption().await {
                        return;
                    }
                    Timer::after(delay).await;
                    delay = (delay * 2).min(RETRY_DELAY_MAX);
                }
            }
        }
    }

    async fn report_interruption(&mut self) -> bool {
        if self.is_interrupted {
            return true;
        }
        self.is_interrupted = true;
        self.notices.send(WatchNotice::Interrupted).await.is_ok()
    }

    async fn run_stream(&mut self, delay: &mut Duration) -> Result<StreamEnd, KvFailure> {
        let mut lines = self.open().await?;
        loop {
            let renewal = CallDeadline::new(self.client.options().get_watch_renewal());
            let response = match renewal.run(lines.next()).await {
                Ok(response) => response,
                Err(KvFailure::Timeout { .. }) => return Ok(StreamEnd::Idle),
                Err(failure) => return Err(failure),
            };
            *delay = RETRY_DELAY_MIN;
            if response.canceled {
                return cancelled(&response);
            }
            if !self.report(response).await {
                return Ok(StreamEnd::ReaderGone);
            }
        }
    }

    async fn open(&self) -> Result<LineReader, KvFailure> {
        let create_request = wire::WatchCreateRequest {
            key: self.prefix.clone().into(),
            range_end: wire::prefix_end(&self.prefix).into(),
            start_revision: wire::Int64(self.next.get()),
            progress_notify: true,
        };
        let request = wire::WatchRequest { create_request };
        let body = serde_json::to_vec(&request).map_err(|error| KvFailure::Unwritable {
            message: error.to_string(),
        })?;
        let deadline = CallDeadline::new(self.client.options().get_call_timeout());
        if self.client.pool().endpoint_count() == 0 {
            return Err(KvFailure::NoEndpoint);
        }
        // An idle connection may have gone silent, so a watch opens its own.
        let mut connection = self.client.pool().open(deadline.remaining()).await?;
        self.client.count(KvCallKind::Watch);
        let send = send(&mut connection, KvCallKind::Watch, Bytes::from(body));
        let response = deadline.run(send).await?;
        let mut lines = LineReader::new(response.into_body());
        let created = deadline.run(lines.next()).await?;
        lines.first = Some(created);
        Ok(lines)
    }

    /// Passes a line on; tells whether the reader is still there.
    async fn report(&mut self, response: wire::WatchResponse) -> bool {
        if response.created && self.is_interrupted {
            self.is_interrupted = false;
            if self.notices.send(WatchNotice::Resumed).await.is_err() {
                return false;
            }
        }
        let revision = KvRevision::new(response.header.revision.0);
        let changes: Vec<KvChange> = response
            .events
            .into_iter()
            .map(KvChange::from)
            .filter(|change| change.get_revision() >= self.next)
            .collect();
        let Some(last) = changes.last() else {
            return true;
        };
        self.next = last.get_revision().next();
        let notice = WatchNotice::Changes { revision, changes };
        self.notices.send(notice).await.is_ok()
    }
}

fn cancelled(response: &wire::WatchResponse) -> Result<StreamEnd, KvFailure> {
    if response.compact_revision.0 > 0 {
        let oldest = KvRevision::new(response.compact_revision.0);
        return Ok(StreamEnd::Gap(oldest));
    }
    Err(KvFailure::Unreadable {
        message: "the service ended the watch".to_owned(),
    })
}

/// Splits a watch's body into its lines.
struct LineReader {
    body: FramedBody,
    buffer: BytesMut,
    first: Option<wire::WatchResponse>,
}

impl LineReader {
    fn new(body: FramedBody) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            first: None,
        }
    }

    async fn next(&mut self) -> Result<wire::WatchResponse, KvFailure> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        loop {
            if let Some(line) = self.take_line() {
                return parse_line(&line);
            }
            let frame = self.body.frame().await;
            let frame = frame.ok_or_else(|| KvFailure::Unreadable {
                message: "the watch ended".to_owned(),
            })??;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
            if self.buffer.len() > LINE_MAX_BYTES {
                return Err(KvFailure::Unreadable {
                    message: format!("a line is over {LINE_MAX_BYTES} bytes"),
                });
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Some(line)
    }
}

fn parse_line(line: &[u8]) -> Result<wire::WatchResponse, KvFailure> {
    let line = serde_json::from_slice(line).map_err(|error| KvFailure::Unreadable {
        message: error.to_string(),
    })?;
    match line {
        wire::StreamLine::Result(response) => Ok(response),
        wire::StreamLine::Error(error) => Err(KvFailure::Refused {
            status: 200,
            code: error.code,
            message: error.message,
        }),
    }
}
