//! Load reports and cache events of upstreams.

use std::time::{Duration, Instant};

use http::Method;
use ibisdale_core::ProgramId;
use serde::{Deserialize, Serialize};

use crate::credential::UpstreamCredential;
use crate::error::UpstreamError;
use crate::exchange::{UpstreamRequest, send_request};
use crate::order::EngineRole;
use crate::pool::UpstreamPool;

/// Time in which a report must be whole.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// What an upstream says of its load, as it was some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Raised with each report that differs.
    pub number: u64,
    /// Requests under way.
    pub running: u64,
    /// Requests that wait to be started.
    pub waiting: u64,
    /// Tokens held in the cache; zero for services.
    pub held_tokens: u64,
    /// Tokens that the cache can hold; zero when not told.
    pub capacity_tokens: u64,
    /// Requests at once that the upstream can serve; zero when not told.
    pub capacity: u64,
    /// Models, adapters and versions loaded; empty for any.
    pub models: Vec<String>,
    /// What the upstream does of the calls it gets; mixed for services.
    pub role: EngineRole,
    /// Whether the upstream takes no new work.
    pub is_leaving: bool,
}

/// What happened to a session's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The session's prefix is held, with the tokens told.
    Stored,
    /// The session's prefix is no longer held.
    Removed,
    /// A kind that this version does not know.
    #[serde(other)]
    Other,
}

/// A change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Numbers events without gaps, from 1.
    pub number: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The session.
    pub session: String,
    /// Tokens held for it, or that were held.
    pub tokens: u64,
}

impl CacheEvent {
    /// Returns the program that the session belongs to, if it is one's.
    #[must_use]
    pub fn get_program(&self) -> Option<ProgramId> {
        self.session.parse().ok()
    }
}

/// Events that were lost: all between two numbers, both excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventGap {
    /// The last event before the gap.
    pub after: u64,
    /// The first event after the gap.
    pub before: u64,
}

/// Cache events in order, with the gaps among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEventBatch {
    /// The events, in order of their numbers.
    pub events: Vec<CacheEvent>,
    /// Gaps, in order; what is known of the cache is doubtful after one.
    pub gaps: Vec<EventGap>,
    /// The number to ask after next.
    pub last: u64,
    /// Whether the engine started to number anew, so that all that was known
    /// of its cache is void.
    pub is_restarted: bool,
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
            batch.is_restarted = true;
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

/// Reads reports of one upstream.
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
    /// Fails when there is no whole report.
    pub async fn read_load(&self) -> Result<LoadReport, UpstreamError> {
        self.read("/v1/load".to_owned()).await
    }

    /// Reads the cache events after a number; zero reads from the start.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer.
    pub async fn read_cache_events(&self, after: u64) -> Result<CacheEventBatch, UpstreamError> {
        let path = format!("/v1/cache/events?after={after}");
        let page: EventPage = self.read(path).await?;
        Ok(page.into_batch(after))
    }

    async fn read<T: serde::de::DeserializeOwned>(&self, path: String) -> Result<T, UpstreamError> {
        let request = UpstreamRequest {
            credential: self.credential.clone(),
            deadline: Some(Instant::now() + REPORT_TIMEOUT),
            ..UpstreamRequest::new(Method::GET, path)
        };
        let answer = send_request(&self.pool, &request).await?;
        let answer = answer.read_whole(&self.pool).await?;
        answer.parse(self.pool.get_address())
    }
}
