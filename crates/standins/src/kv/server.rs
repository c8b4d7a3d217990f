//! The server and its handle.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use ibisdale_net::{
    BoxBody, NetError, ServeOptions, ShutdownGuard, ShutdownSignal, TrafficExecutor, bind_listener,
    body_channel, read_limited, serve_http, shutdown_pair,
};
use ibisdale_platform::wire::WatchRequest;
use ibisdale_platform::{KvCallCounts, KvCallKind};
use smol::Timer;

use super::answer::{malformed, run_call};
use super::faults::{CallFate, FaultState, OutageKind};
use super::store::KvStore;
use super::stream::run_watch;

/// Largest request body, in bytes: a value of a megabyte in base64.
const REQUEST_MAX_BYTES: usize = 4 * 1_024 * 1_024;
/// Time between looks at expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time between attempts to take the address again after an outage.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) store: KvStore,
    pub(crate) faults: FaultState,
    counts: KvCallCounts,
    watchers: Vec<Sender<()>>,
}

#[derive(Debug)]
pub(crate) struct ServerState {
    shared: Mutex<SharedState>,
}

impl ServerState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a channel that has an item after each change.
    pub(crate) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.lock().watchers.push(sender);
        receiver
    }
}

impl SharedState {
    fn notify_watchers(&mut self) {
        self.watchers.retain(|watcher| !watcher.is_closed());
        for watcher in &self.watchers {
            // A full channel already tells of a change.
            let _ = watcher.try_send(());
        }
    }
}

/// A running key-value service, with switches for its faults.
#[derive(Debug)]
pub struct KvServer {
    address: SocketAddr,
    executor: TrafficExecutor,
    state: Arc<ServerState>,
    guard: Option<ShutdownGuard>,
    _expiry: smol::Task<()>,
}

impl KvServer {
    /// Starts the service; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails with [`NetError::Listen`] when the address can't be had.
    pub fn start(address: SocketAddr, executor: &TrafficExecutor) -> Result<Self, NetError> {
        let shared = SharedState {
            store: KvStore::new(),
            faults: FaultState::default(),
            counts: KvCallCounts::default(),
            watchers: Vec::new(),
        };
        let state = Arc::new(ServerState {
            shared: Mutex::new(shared),
        });
        let (address, guard) = serve(address, executor, &state)?;
        let expiry = executor.spawn(run_expiry(Arc::clone(&state)));
        Ok(Self {
            address,
            executor: TrafficExecutor::clone(executor),
            state,
            guard: Some(guard),
            _expiry: expiry,
        })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of calls that reached the service.
    #[must_use]
    pub fn get_counts(&self) -> KvCallCounts {
        self.state.lock().counts
    }

    /// Returns the store's revision.
    #[must_use]
    pub fn get_revision(&self) -> i64 {
        self.state.lock().store.revision
    }

    /// Returns the leases that are held.
    #[must_use]
    pub fn get_leases(&self) -> Vec<i64> {
        self.state.lock().store.leases.ids()
    }

    /// Ends a lease at once, as if it had not been renewed.
    pub fn expire_lease(&self, id: i64) {
        let mut shared = self.state.lock();
        // A lease that has already ended needs no more.
        let _ = shared.store.revoke_lease(id);
        shared.notify_watchers();
    }

    /// Forgets all changes before the current revision.
    pub fn compact(&self) {
        let mut shared = self.state.lock();
        let revision = shared.store.revision;
        shared.store.compact(revision);
    }

    /// Delays every answer.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().faults.delay = delay;
    }

    /// Makes reads outside transactions answer from some revisions ago.
    pub fn set_read_lag(&self, revisions: i64) {
        self.state.lock().faults.read_lag = revisions;
    }

    /// Loses the next `count` answers after the calls have taken effect.
    ///
    /// With a `kind`, only answers to calls of that kind.
    pub fn lose_answers(&self, kind: Option<KvCallKind>, count: u32) {
        self.state.lock().faults.lose_answers(kind, count);
    }

    /// Makes all connections in use silent for good, while new ones work.
    pub fn silence_connections(&self) {
        self.state.lock().faults.silence_peers();
    }

    /// Starts an outage; leases do not expire in it.
    pub async fn start_outage(&mut self, kind: OutageKind) {
        {
            let mut shared = self.state.lock();
            shared.faults.is_silent = kind == OutageKind::Silent;
            shared.faults.is_expiry_paused = true;
        }
        if kind == OutageKind::Refused
            && let Some(guard) = self.guard.take()
        {
            guard.close().await;
        }
    }

    /// Ends an outage; the leases get their full lifetime again.
    pub async fn end_outage(&mut self) {
        {
            let mut shared = self.state.lock();
            shared.faults.is_silent = false;
            shared.faults.is_expiry_paused = false;
            shared.store.extend_leases(Instant::now());
        }
        while self.guard.is_none() {
            match serve(self.address, &self.executor, &self.state) {
                Ok((_, guard)) => self.guard = Some(guard),
                Err(error) => {
                    log::debug!("the address is still taken: {error}");
                    Timer::after(REBIND_INTERVAL).await;
                }
            }
        }
    }

    /// Cuts all connections and stops the service.
    pub async fn close(self) {
        if let Some(guard) = self.guard {
            guard.close().await;
        }
    }
}

fn serve(
    address: SocketAddr,
    executor: &TrafficExecutor,
    state: &Arc<ServerState>,
) -> Result<(SocketAddr, ShutdownGuard), NetError> {
    let listener = bind_listener(address)?;
    let bound = listener.get_ref().local_addr();
    let bound = bound.map_err(|source| NetError::Listen { address, source })?;
    let (guard, signal) = shutdown_pair();
    let handler_state = Arc::clone(state);
    let handler_executor = TrafficExecutor::clone(executor);
    let handler_signal = signal.clone();
    let server = serve_http(
        listener,
        TrafficExecutor::clone(executor),
        ServeOptions::new(),
        signal,
        move |request, peer| {
            let call = KvCall {
                state: Arc::clone(&handler_state),
                executor: TrafficExecutor::clone(&handler_executor),
                cut: handler_signal.clone(),
                peer,
            };
            call.answer(request)
        },
    );
    executor.spawn(server).detach();
    Ok((bound, guard))
}

async fn run_expiry(state: Arc<ServerState>) {
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        let mut shared = state.lock();
        if !shared.faults.is_expiry_paused && shared.store.expire_leases(Instant::now()) {
            shared.notify_watchers();
        }
    }
}

/// One call in service.
struct KvCall {
    state: Arc<ServerState>,
    executor: TrafficExecutor,
    cut: ShutdownSignal,
    peer: SocketAddr,
}

impl KvCall {
    async fn answer(self, request: Request<Incoming>) -> Response<BoxBody> {
        let cut = self.cut.clone();
        let lost = async {
            cut.wait().await;
            lost_response()
        };
        self.run(request).or(lost).await
    }

    async fn run(self, request: Request<Incoming>) -> Response<BoxBody> {
        let Some(kind) = KvCallKind::from_path(request.uri().path()) else {
            return malformed("there is no such call");
        };
        let (fate, delay) = {
            let mut shared = self.state.lock();
            shared.counts.add(kind);
            let fate = shared.faults.take_fate(kind, self.peer);
            (fate, shared.faults.delay)
        };
        if fate == CallFate::Ignored {
            futures_lite::future::pending::<()>().await;
        }
        Timer::after(delay).await;
        let body = match read_limited(request.into_body(), REQUEST_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return malformed(&error.to_string()),
        };
        if kind == KvCallKind::Watch {
            return self.open_watch(&body);
        }
        let answer = {
            let mut shared = self.state.lock();
            let read_lag = shared.faults.read_lag;
            let answer = run_call(&mut shared.store, kind, &body, read_lag);
            if answer.is_changed {
                shared.notify_watchers();
            }
            answer
        };
        match fate {
            CallFate::AnswerLost => lost_response(),
            _ => answer.response,
        }
    }

    fn open_watch(self, body: &[u8]) -> Response<BoxBody> {
        let request: WatchRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return malformed(&error.to_string()),
        };
        let (sender, body) = body_channel();
        let state = Arc::clone(&self.state);
        let peer = self.peer;
        let is_silenced = move || state.lock().faults.is_silent_to(peer);
        let watch = run_watch(
            self.state,
            request.create_request,
            sender,
            self.cut,
            is_silenced,
        );
        self.executor.spawn(watch).detach();
        Response::new(body)
    }
}

/// Creates a response that is cut before its end, so that the caller gets none.
fn lost_response() -> Response<BoxBody> {
    let (_, body) = body_channel();
    Response::new(body)
}
