//! Time between the events of a stream.
//!
//! Handles callers that read slowly: events that waited in the connection's buffer say nothing
//! about the replica. Only data for which a read had to wait arrived at a known time, so the time
//! per event is taken between two such arrivals, over all events in between.

/// Minimum time for which a read waits if its data arrived during the read, in microseconds.
const WAIT_MIN_US: u64 = 500;
/// Time between two reads after which the replica may have waited for the caller, in
/// microseconds; the buffers of the connection hold the events of much longer.
const PAUSE_MAX_US: u64 = 1_000_000;

/// Arrivals of the events of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventPace {
    /// When the last data was read.
    read_us: Option<u64>,
    /// Whether that data arrived at this time, rather than before.
    is_exact: bool,
    /// Last exact arrival that completed an event.
    counted_from_us: Option<u64>,
    /// Number of events since then.
    events: u64,
}

impl EventPace {
    /// Records data that was read between `started_us` and `ended_us`.
    pub fn record_read(&mut self, started_us: u64, ended_us: u64) {
        let is_paused = |read_us: u64| started_us.saturating_sub(read_us) > PAUSE_MAX_US;
        if self.read_us.is_some_and(is_paused) {
            self.counted_from_us = None;
        }
        self.is_exact = ended_us.saturating_sub(started_us) >= WAIT_MIN_US;
        self.read_us = Some(ended_us);
    }

    /// Records events that the last data completed; returns the time per event since the last
    /// exact arrival, in microseconds, if this one is exact as well.
    pub fn record_events(&mut self, count: u64) -> Option<u64> {
        self.events += count;
        let read_us = self.read_us.filter(|_| self.is_exact && count > 0)?;
        let counted_from_us = self.counted_from_us.replace(read_us);
        let events = std::mem::take(&mut self.events);
        counted_from_us.map(|from_us| read_us.saturating_sub(from_us) / events)
    }
}
