//! Bodies of requests, read into memory that the account grants.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use smol::Timer;
use smol::channel::{Receiver, bounded};

use crate::account::{BodyBuffer, ClientAccount};
use crate::limiter::ConnectionCloser;
use crate::yielding::BodyKey;

/// First part of the buffer of a body without an announced length, in bytes.
const FIRST_BUFFER_BYTES: usize = 4 * 1_024;
/// Each further part, in bytes.
const SEGMENT_BYTES: usize = 16 * 1_024;
/// Maximum time without data of a request's body; the whole body may take longer while memory
/// is free.
const BODY_PAUSE_MAX: Duration = Duration::from_secs(10);

/// Reason for which a body is not read to its end; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It exceeds the limit for bodies.
    TooLarge,
    /// There is no memory for it.
    Full,
    /// It lost its memory to a transfer that has made more progress.
    Evicted,
    /// Its client stopped sending.
    Paused,
    /// Its connection or its framing is broken.
    Unreadable,
}

impl BodyRefusal {
    /// Returns the reason in words.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "the body is too large",
            Self::Full => "no memory for the body",
            Self::Evicted => "the body arrives too slowly while memory is short",
            Self::Paused => "the body did not arrive in time",
            Self::Unreadable => "the body can't be read",
        }
    }

    /// Returns whether the same request may be served later or elsewhere.
    #[must_use]
    pub const fn is_shortage(self) -> bool {
        matches!(self, Self::Full | Self::Evicted)
    }
}

impl fmt::Display for BodyRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl std::error::Error for BodyRefusal {}

/// Memory that the body of a request holds; released when dropped.
#[derive(Debug)]
pub struct HeldBody {
    account: ClientAccount,
    key: BodyKey,
    evicted: Receiver<()>,
    limit: usize,
}

impl HeldBody {
    /// Starts a body of at most `limit` bytes, of which `announced` are reserved at once; `closer`
    /// closes its connection if it is evicted and its refusal can't be sent.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the memory does not suffice.
    pub fn begin(
        account: &ClientAccount,
        announced: usize,
        limit: usize,
        closer: Option<ConnectionCloser>,
    ) -> Result<Self, BodyRefusal> {
        let (sender, evicted) = bounded(1);
        let key = account.begin_body(BodyBuffer::new(sender, closer));
        let held = Self {
            account: account.clone(),
            key,
            evicted,
            limit,
        };
        if announced > 0 {
            held.grow(announced)?;
        }
        Ok(held)
    }

    /// Marks a body that another part of the process buffers as complete, with `size` bytes.
    pub(crate) fn finish(&self, size: usize) {
        self.account.finish_body(self.key, size);
    }

    /// Waits until the body has lost its memory.
    pub async fn wait_for_eviction(&self) -> BodyRefusal {
        // Returns when the buffer is dropped.
        let _ = self.evicted.recv().await;
        BodyRefusal::Evicted
    }

    /// Appends data.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body is too large or the memory does not suffice.
    pub fn append(&self, data: &[u8]) -> Result<(), BodyRefusal> {
        let size = self.account.body_size(self.key);
        let (length, capacity) = size.ok_or(BodyRefusal::Evicted)?;
        if data.len() > self.limit - length {
            return Err(BodyRefusal::TooLarge);
        }
        self.account.record_data(self.key, data.len());
        let needed = length + data.len();
        if needed > capacity {
            let grown = if capacity == 0 {
                FIRST_BUFFER_BYTES
            } else {
                capacity + SEGMENT_BYTES
            };
            self.grow(grown.min(self.limit).max(needed))?;
        }
        self.account.append(self.key, data);
        Ok(())
    }

    /// Counts data that another part of the process buffers, `size` bytes in all.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body is too large or the memory does not suffice.
    pub fn count(&self, data: usize, size: usize) -> Result<(), BodyRefusal> {
        if size > self.limit {
            return Err(BodyRefusal::TooLarge);
        }
        self.account.record_data(self.key, data);
        let counted = self.account.count_body(self.key, size);
        counted.map_err(|_| BodyRefusal::Full)
    }

    /// Returns the complete body, whose memory stays held until this guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body has lost its memory, or lacks it to be joined.
    pub fn complete(&self) -> Result<Bytes, BodyRefusal> {
        let bytes = self.account.complete_body(self.key);
        let bytes = bytes.map_err(|_| BodyRefusal::Full)?;
        bytes.ok_or(BodyRefusal::Evicted)
    }

    /// Sets the capacity of the buffer, and drops the buffers that make room for it.
    fn grow(&self, size: usize) -> Result<(), BodyRefusal> {
        let grown = self.account.grow_body(self.key, size);
        grown.map_err(|_| BodyRefusal::Full)
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.account.remove_body(self.key);
    }
}

/// Reads a body of at most `limit` bytes into memory that the account grants.
///
/// # Errors
///
/// Returns the refusal if the body is too large, the memory does not suffice, or the client stops
/// sending.
pub async fn read_body<B>(
    account: &ClientAccount,
    body: &mut B,
    limit: usize,
    closer: Option<ConnectionCloser>,
) -> Result<(Bytes, HeldBody), BodyRefusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(BodyRefusal::TooLarge);
    }
    let held = HeldBody::begin(account, announced, limit, closer)?;
    while let Some(frame) = next_frame(body, &held).await? {
        // Trailers are not forwarded.
        if let Ok(data) = frame.into_data() {
            held.append(&data)?;
        }
    }
    let bytes = held.complete()?;
    Ok((bytes, held))
}

/// Waits for the next part of a body, unless the body loses its memory or its sender stops.
async fn next_frame<B>(body: &mut B, held: &HeldBody) -> Result<Option<Frame<Bytes>>, BodyRefusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let frame = async {
        let frame = body.frame().await.transpose();
        frame.map_err(|_| BodyRefusal::Unreadable)
    };
    let evicted = async { Err(held.wait_for_eviction().await) };
    let timed_out = async {
        Timer::after(BODY_PAUSE_MAX).await;
        Err(BodyRefusal::Paused)
    };
    frame.or(evicted).or(timed_out).await
}
