//! Load reports and cache events of upstreams.

use std::time::{Duration, Instant};

use http::Method;
use ibisdale_core::ProgramId;
use serde::{Deserialize, Serialize};

use crate::control::EngineRole;
use crate::credential::UpstreamCredential;
use crate::error::UpstreamError;
use crate::exchange::{UpstreamRequest, send_request};
use crate::pool::UpstreamPool;

/// Time limit for reading a report or cache events.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Load that an upstream reports; it may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Version of the report, which increases with each change.
    pub number: u64,
    /// Requests in progress.
    pub running: u64,
    /// Queued requests.
    pub waiting: u64,
    /// Tokens held in the cache; zero for services.
    pub held_tokens: u64,
    /// Tokens that the cache can hold; zero if unknown.
    pub capacity_tokens: u64,
    /// Maximum number of concurrent requests; zero if unknown.
    pub capacity: u64,
    /// Loaded models, adapters and versions; empty if any is accepted.
    pub models: Vec<String>,
    /// Phases of a chat call that the upstream runs; mixed for services.
    pub role: EngineRole,
    /// Whether the upstream has stopped accepting new work.
    pub is_leaving: bool,
}

/// Kind of change to a session's cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The session's prefix is cached, with the given number of tokens.
    Stored,
    /// The session's prefix is no longer cached.
    Removed,
    /// A kind that this version does not know.
    #[serde(other)]
    Other,
}

/// A change in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Sequence number, consecutive from 1.
    pub number: u64,
    /// Kind of change.
    pub kind: CacheEventKind,
    /// Session whose prefix changed.
    pub session: String,
    /// Tokens cached for the session, or cached before the removal.
    pub tokens: u64,
}

impl CacheEvent {
    /// Returns the program of the session, unless another system created it.
    #[must_use]
    pub fn get_program(&self) -> Option<ProgramId> {
        self.session.parse().ok()
    }
}

/// Range of lost events, with exclusive bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventGap {
    /// The last event before the gap.
    pub after: u64,
    /// The first event after the gap.
    pub before: u64,
}

/// Ordered cache events, and the gaps in their numbering.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEventBatch {
    /// Events, by ascending number.
    pub events: Vec<CacheEvent>,
    /// Gaps, in order; after a gap the known state of the cache may be wrong.
    pub gaps: Vec<EventGap>,
    /// Number to pass to the next [`LoadClient::read_cache_events`].
    pub last: u64,
    /// Whether the engine restarted its numbering, which invalidates all known
    /// state of its cache.
    pub is_numbering_restarted: bool,
}

#[derive(Deserialize)]
struct EventPage {
    events: Vec<CacheEvent>,
    last: u64,
}

impl EventPage {
    fn into_batch(self, after: u64) -> CacheEventBatch {
        let mut batch = CacheEventBatch {
            last: after,
            ..CacheEventBatch::default()
        };
        if self.last < after {
            batch.is_numbering_restarted = true;
            batch.last = 0;
            return batch;
        }
        let mut events = self.events;
        events.sort_by_key(|event| event.number);
        for event in events {
            if event.number <= batch.last {
                continue;
            }
            if event.number > batch.last + 1 {
                batch.gaps.push(EventGap {
                    after: batch.last,
                    before: event.number,
                });
            }
            batch.last = event.number;
            batch.events.push(event);
        }
        batch
    }
}

/// Reads load reports and cache events of one upstream.
#[derive(Clone, Debug)]
pub struct LoadClient {
    pool: UpstreamPool,
    credential: Option<UpstreamCredential>,
}

impl LoadClient {
    /// Creates a client on the upstream's pool.
    #[must_use]
    pub fn new(pool: UpstreamPool, credential: Option<UpstreamCredential>) -> Self {
        Self { pool, credential }
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Fails if no complete report is received.
    pub async fn read_load(&self) -> Result<LoadReport, UpstreamError> {
        self.read("/v1/load".to_owned()).await
    }

    /// Reads the cache events after a sequence number; zero reads from the start.
    ///
    /// # Errors
    ///
    /// Fails if no complete response is received.
    pub async fn read_cache_events(&self, after: u64) -> Result<CacheEventBatch, UpstreamError> {
        let path = format!("/v1/cache/events?after={after}");
        let page: EventPage = self.read(path).await?;
        Ok(page.into_batch(after))
    }

    async fn read<T: serde::de::DeserializeOwned>(&self, path: String) -> Result<T, UpstreamError> {
        let request = UpstreamRequest {
            credential: self.credential.clone(),
            deadline: Some(Instant::now() + REQUEST_TIMEOUT),
            ..UpstreamRequest::new(Method::GET, path)
        };
        let response = send_request(&self.pool, &request).await?;
        let response = response.read_body(&self.pool).await?;
        response.parse(self.pool.get_address())
    }
}
