//! Cache events, which readers see late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Events kept for readers.
const EVENTS_KEPT: usize = 4_096;

/// What happened to a session's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CacheEventKind {
    Stored,
    Removed,
}

/// A change of the cache.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct CacheEventBody {
    pub(crate) number: u64,
    pub(crate) kind: CacheEventKind,
    pub(crate) session: String,
    pub(crate) tokens: u64,
}

/// A page of events as readers get it.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct EventPageBody {
    pub(crate) events: Vec<CacheEventBody>,
    pub(crate) last: u64,
}

#[derive(Debug)]
struct LoggedEvent {
    visible_at: Instant,
    body: CacheEventBody,
}

/// The events of one engine.
#[derive(Debug)]
pub(crate) struct EventLog {
    delay: Duration,
    loss_interval: u64,
    events: VecDeque<LoggedEvent>,
    last: u64,
}

impl EventLog {
    /// Creates a log that shows events after `delay` and loses each one whose
    /// number is a multiple of `loss_interval`; zero loses none.
    pub(crate) fn new(delay: Duration, loss_interval: u64) -> Self {
        Self {
            delay,
            loss_interval,
            events: VecDeque::new(),
            last: 0,
        }
    }

    pub(crate) fn push(&mut self, kind: CacheEventKind, session: &str, tokens: u64) {
        self.last += 1;
        if self.loss_interval > 0 && self.last.is_multiple_of(self.loss_interval) {
            return;
        }
        let body = CacheEventBody {
            number: self.last,
            kind,
            session: session.to_owned(),
            tokens,
        };
        self.events.push_back(LoggedEvent {
            visible_at: Instant::now() + self.delay,
            body,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Returns the visible events after `number`.
    pub(crate) fn read_after(&self, number: u64) -> EventPageBody {
        let now = Instant::now();
        let visible = self
            .events
            .iter()
            .take_while(|event| event.visible_at <= now);
        let last = visible.clone().last().map_or(0, |event| event.body.number);
        let events = visible
            .filter(|event| event.body.number > number)
            .map(|event| event.body.clone())
            .collect();
        EventPageBody { events, last }
    }
}
