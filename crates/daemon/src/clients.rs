//! What clients may make the process hold, and how much they do.

use bytes::Bytes;
use http::request::Parts;
use hyper::body::{Body, Incoming};
use ibisdale_clients::{
    BodyRefusal, ClientAccount, ClientLimits, ConnectionCloser, ConnectionLimiter, HeldBody,
    read_body,
};
use ibisdale_core::{RefusalCode, RequestRefusal};
use ibisdale_settings::DaemonSettings;
use ibisdale_telemetry::{MetricRegistry, record_event};
use rustix::process::{Resource, getrlimit};

/// Time after which memory that is short is usually free again.
const SHORTAGE_RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(1);
/// Memory of a parsed JSON value beside its text, in bytes.
const PARSED_VALUE_BYTES: usize = 72;

/// Account of the process and the limits of its listeners.
#[derive(Clone, Debug)]
pub(crate) struct DaemonClients {
    pub(crate) account: ClientAccount,
    pub(crate) entry: ConnectionLimiter,
    pub(crate) fleet: ConnectionLimiter,
    pub(crate) operator: ConnectionLimiter,
}

impl DaemonClients {
    pub(crate) fn new(limits: ClientLimits) -> Self {
        let account = ClientAccount::new(limits.memory_bytes());
        let entry = ConnectionLimiter::new(limits.connections(), &account);
        Self {
            entry: entry.evicting_transfers(),
            fleet: ConnectionLimiter::new(limits.peer_connections(), &account),
            operator: ConnectionLimiter::new(limits.check_connections(), &account),
            account,
        }
    }

    /// Reads the body of a request of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large, stops or lacks memory; the request has not run.
    pub(crate) async fn read_body(
        &self,
        metrics: &MetricRegistry,
        (parts, body): (&Parts, &mut Incoming),
        limit: usize,
    ) -> Result<(Bytes, HeldBody), RequestRefusal> {
        let closer = parts.extensions.get::<ConnectionCloser>().cloned();
        let read = read_body(&self.account, body, limit, closer).await;
        read.map_err(|refusal| refuse_body(metrics, refusal))
    }

    /// Counts what a JSON body takes once it is parsed.
    ///
    /// # Errors
    ///
    /// Refuses a body whose values lack memory; the request has not run.
    pub(crate) fn hold_parsed(
        &self,
        metrics: &MetricRegistry,
        body: &[u8],
    ) -> Result<HeldBody, RequestRefusal> {
        let held = self.account.hold_body(parsed_bytes(body));
        held.map_err(|refusal| refuse_body(metrics, refusal))
    }

    /// Updates the metrics of what clients make the process hold.
    pub(crate) fn update_metrics(&self, metrics: &MetricRegistry) {
        let usage = self.account.usage();
        metrics.set_client_bytes("unfinished_bodies", usage.unfinished);
        metrics.set_client_bytes("complete_bodies", usage.complete);
        metrics.set_client_bytes("responses", usage.responses);
        metrics.set_evicted_responses(self.account.evicted_responses());
        for (address, limiter) in [
            ("entry", &self.entry),
            ("fleet", &self.fleet),
            ("operator", &self.operator),
        ] {
            metrics.set_client_connections(address, limiter.count());
            let (idle, new) = limiter.take_closed();
            metrics.count_closed_connections("idle", idle);
            metrics.count_closed_connections("new", new);
            if idle + new > 0 {
                record_event!(
                    ConnectionsClosed,
                    idle = idle,
                    new = new,
                    open = limiter.count(),
                    max = limiter.max(),
                );
            }
        }
    }
}

/// Returns the limits by the settings and by the limit that the process has for descriptors.
pub(crate) fn client_limits(settings: &DaemonSettings) -> ClientLimits {
    let own = getrlimit(Resource::Nofile).current;
    let descriptors = own.map_or(settings.max_descriptors, |own| {
        own.min(settings.max_descriptors)
    });
    ClientLimits::share_of_daemon(as_float(settings.memory_mb), as_float(descriptors))
}

#[expect(clippy::cast_precision_loss, reason = "far below the precision")]
fn as_float(number: u64) -> f64 {
    number as f64
}

/// Returns the memory of a JSON body's values, each of which follows a separator.
fn parsed_bytes(body: &[u8]) -> usize {
    let separators = body
        .iter()
        .filter(|byte| matches!(byte, b',' | b'[' | b'{'));
    body.len() + separators.count() * PARSED_VALUE_BYTES
}

fn refuse_body(metrics: &MetricRegistry, refusal: BodyRefusal) -> RequestRefusal {
    let code = match refusal {
        BodyRefusal::TooLarge => RefusalCode::BodyTooLarge,
        BodyRefusal::Full | BodyRefusal::Evicted => RefusalCode::Overloaded,
        BodyRefusal::Paused => RefusalCode::BodyTimeout,
        BodyRefusal::Unreadable => RefusalCode::BadRequest,
    };
    match refusal {
        BodyRefusal::Full => metrics.count_refused_body("full"),
        BodyRefusal::Evicted => metrics.count_refused_body("evicted"),
        _ => {}
    }
    let refused = RequestRefusal::new(code, refusal.as_str());
    if refusal.is_shortage() {
        refused.retry_after(SHORTAGE_RETRY_DELAY)
    } else {
        refused
    }
}

/// Returns whether a body has a part that has not been read.
pub(crate) fn is_unread(body: &Incoming) -> bool {
    !body.is_end_stream()
}
