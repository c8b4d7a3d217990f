//! The server and its handle.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ibisdale_net::{
    BoxBody, NetError, ServeOptions, ShutdownGuard, TrafficExecutor, bind_listener, empty_body,
    full_body, serve_http, shutdown_pair,
};
use ibisdale_platform::wire::{VmEntry, VmList, VmState};

/// Path of the list.
const LIST_PATH: &str = "/v1/vms";

#[derive(Debug)]
struct ListVersion {
    set_at: Instant,
    list: VmList,
}

#[derive(Debug)]
struct ListState {
    lag: Duration,
    /// Versions that a reader may still see, oldest first; never empty.
    versions: VecDeque<ListVersion>,
    read_count: u64,
    is_failing: bool,
}

impl ListState {
    fn change(&mut self, change: impl FnOnce(&mut VmList)) {
        let mut list = self.latest();
        change(&mut list);
        self.versions.push_back(ListVersion {
            set_at: Instant::now(),
            list,
        });
    }

    fn latest(&self) -> VmList {
        let version = self.versions.back();
        version
            .map(|version| version.list.clone())
            .unwrap_or_default()
    }

    /// Returns the list as readers see it, which is as it was a lag ago.
    fn read(&mut self) -> VmList {
        self.read_count += 1;
        while self
            .versions
            .get(1)
            .is_some_and(|version| version.set_at.elapsed() >= self.lag)
        {
            self.versions.pop_front();
        }
        let version = self.versions.front();
        version
            .map(|version| version.list.clone())
            .unwrap_or_default()
    }
}

/// A running VM list.
#[derive(Debug)]
pub struct VmListServer {
    address: SocketAddr,
    state: Arc<Mutex<ListState>>,
    guard: ShutdownGuard,
}

fn lock(state: &Mutex<ListState>) -> MutexGuard<'_, ListState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl VmListServer {
    /// Starts the list, which is empty at first; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails with [`NetError::Listen`] when the address can't be had.
    pub fn start(address: SocketAddr, executor: &TrafficExecutor) -> Result<Self, NetError> {
        let listener = bind_listener(address)?;
        let bound = listener.get_ref().local_addr();
        let bound = bound.map_err(|source| NetError::Listen { address, source })?;
        let first = ListVersion {
            set_at: Instant::now(),
            list: VmList::default(),
        };
        let state = Arc::new(Mutex::new(ListState {
            lag: Duration::ZERO,
            versions: VecDeque::from([first]),
            read_count: 0,
            is_failing: false,
        }));
        let (guard, signal) = shutdown_pair();
        let handler_state = Arc::clone(&state);
        let server = serve_http(
            listener,
            TrafficExecutor::clone(executor),
            ServeOptions::new(),
            signal,
            move |request, _| {
                let response = answer(&handler_state, &request);
                async move { response }
            },
        );
        executor.spawn(server).detach();
        Ok(Self {
            address: bound,
            state,
            guard,
        })
    }

    /// Returns the address that the list is read at.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of times that the list was read.
    #[must_use]
    pub fn get_read_count(&self) -> u64 {
        lock(&self.state).read_count
    }

    /// Sets how far readers are behind.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Makes reads fail, or work again.
    pub fn set_failing(&self, is_failing: bool) {
        lock(&self.state).is_failing = is_failing;
    }

    /// Replaces the whole list.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        lock(&self.state).change(|list| list.vms = vms);
    }

    /// Adds a VM, or replaces the one of the same name.
    pub fn add_vm(&self, vm: VmEntry) {
        lock(&self.state).change(|list| {
            list.vms.retain(|other| other.name != vm.name);
            list.vms.push(vm);
        });
    }

    /// Sets whether a VM is to stay; does nothing when it is not listed.
    pub fn set_state(&self, name: &str, state: VmState) {
        lock(&self.state).change(|list| {
            for vm in list.vms.iter_mut().filter(|vm| vm.name == name) {
                vm.state = state;
            }
        });
    }

    /// Removes a VM.
    pub fn remove_vm(&self, name: &str) {
        lock(&self.state).change(|list| list.vms.retain(|vm| vm.name != name));
    }

    /// Stops the list.
    pub async fn close(self) {
        self.guard.close().await;
    }
}

fn answer(state: &Mutex<ListState>, request: &Request<Incoming>) -> Response<BoxBody> {
    if request.method() != Method::GET || request.uri().path() != LIST_PATH {
        return status_response(StatusCode::NOT_FOUND);
    }
    let mut state = lock(state);
    if state.is_failing {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match serde_json::to_vec(&state.read()) {
        Ok(body) => Response::new(full_body(body)),
        Err(_) => status_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn status_response(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
