//! A gateway on loopback between a caller and scripted replicas.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::request::Parts;
use ibisdale_clients::ClientLimits;
use ibisdale_relay::decide::{ColdTolerance, MemberFacts, QuotaTolerance, ReplicaInfo};
use ibisdale_relay::gateway::{
    DirectoryQuery, DirectoryRule, DurableStore, Gateway, GatewayOptions, HeaderNames,
    ListenAddresses, TaskLanes, drain,
};
use ibisdale_relay::plan::{
    DeploymentPlan, ExecutionSemantics, RouteRule, ServiceSpec, TrafficLimits, WeightedService,
    WorkspaceSpec,
};
use smol::Async;
use smol::channel::{Receiver, Sender, bounded};

use crate::busy::BusyLoad;
use crate::fleet_support::{StoreStandIn, VmCommand, carry_out};
use crate::holder_support::holder_info;

/// Timeout for reading a response.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// First port of the range that gateways listen on.
const FIRST_PORT: u32 = 10_000;
/// Number of ports in that range; it ends below the ephemeral ports.
const PORT_COUNT: u32 = 20_000;
/// Difference between the first ports of processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 128;
/// Interval at which the directory is polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of polls before a test fails.
pub(crate) const POLLS_MAX: u32 = 600;

const fn name(text: &'static str) -> HeaderName {
    HeaderName::from_static(text)
}

/// Requests per second that a cold replica of the service tolerates.
pub(crate) const COLD_PER_S: f64 = 2.0;

fn header_names() -> HeaderNames {
    HeaderNames {
        attempt: name("t-attempt"),
        deadline_ms: name("t-deadline"),
        affinity_cookie: "object".to_owned(),
        prompt_parts: name("t-parts"),
        token_usage: name("t-usage"),
        last_event: name("last-event-id"),
        resumed_attempt: name("t-resumes"),
        response_seal: name("t-seal"),
        workspace: name("t-workspace"),
        target_replica: name("t-target"),
        replica_load: name("t-load"),
        replica_leaving: name("t-leaving"),
        replica_limit: name("t-limit"),
        replica_cold: name("t-cold"),
        not_run: name("t-not-run"),
        engine_priority: name("t-priority"),
        program: name("t-program"),
        token_budget: name("t-budget"),
        previous_turn: name("t-previous"),
        reserved: vec![name("t-hold")],
    }
}

fn read_query(_: &Parts) -> DirectoryQuery {
    DirectoryQuery::default()
}

fn write_response(addresses: &[SocketAddrV4], ttl_s: u64) -> Bytes {
    Bytes::from(format!("{} {ttl_s}", addresses.len()))
}

fn route(path: &'static str, kind: ExecutionSemantics, attempts: u32) -> RouteRule {
    RouteRule {
        name: Bytes::from_static(path.as_bytes()),
        host: Bytes::from_static(b"host.test"),
        path_prefix: Bytes::from_static(path.as_bytes()),
        kind,
        timeout_ms: 10_000,
        slo_ms: 200,
        attempts,
        priority: 1,
        retention_ms: 60_000,
        keeps_turns: false,
        is_sticky: false,
        is_open: false,
        services: vec![WeightedService {
            service: Bytes::from_static(b"service"),
            weight: 1,
        }],
    }
}

/// Returns the configuration that gateways start with.
pub(crate) fn plan() -> DeploymentPlan {
    let routes = vec![
        route("/read/", ExecutionSemantics::Repeatable, 2),
        route("/act/", ExecutionSemantics::Once, 3),
        route("/stream/", ExecutionSemantics::StreamResumable, 1),
        RouteRule {
            timeout_ms: 2_000,
            ..route("/brief/", ExecutionSemantics::Once, 1)
        },
        route("/talk/", ExecutionSemantics::StreamResumable, 2),
        RouteRule {
            keeps_turns: true,
            ..route("/turn/", ExecutionSemantics::StreamOnce, 1)
        },
    ];
    let service = ServiceSpec {
        name: Bytes::from_static(b"service"),
        connections_max: 100,
        engine: None,
        cold_time_ms: 5_000,
        cold_per_s: COLD_PER_S,
    };
    let workspace = WorkspaceSpec {
        name: Bytes::from_static(b"workspace"),
        keys: vec![Bytes::from_static(b"secret")],
        priority: None,
        rate_per_s: 1_000.0,
        burst: 1_000.0,
    };
    let limits = TrafficLimits {
        body_max_bytes: 1_000,
        ..TrafficLimits::default()
    };
    DeploymentPlan::new(1, limits, routes, vec![service], Some(vec![workspace]))
}

/// A replica whose responses are produced by a closure.
pub(crate) struct ScriptedReplica {
    pub(crate) address: SocketAddr,
    software_version: &'static str,
    pub(crate) service: &'static str,
    pub(crate) domain: &'static str,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedReplica {
    /// Starts a replica that responds with `script`.
    ///
    /// `script` gets the number (from 1) and the text of a request, and returns the bytes
    /// to send and whether the connection stays open.
    pub(crate) fn start(
        script: impl Fn(usize, &str) -> (Vec<u8>, bool) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen = Arc::clone(&requests);
        let script = Arc::new(script);
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (seen, script) = (Arc::clone(&seen), Arc::clone(&script));
                thread::spawn(move || serve(stream, &seen, script.as_ref()));
            }
        });
        Self {
            requests,
            ..Self::at(address)
        }
    }

    /// Describes a replica that is served elsewhere.
    pub(crate) fn at(address: SocketAddr) -> Self {
        Self {
            address,
            software_version: "v1",
            service: "service",
            domain: "east",
            requests: Arc::default(),
        }
    }

    pub(crate) fn with_version(mut self, software_version: &'static str) -> Self {
        self.software_version = software_version;
        self
    }

    /// Returns the entry of the replica in a list, where it is number `index`.
    pub(crate) fn info(&self, index: usize) -> ReplicaInfo {
        ReplicaInfo {
            id: Bytes::from(format!("replica-{index}")),
            started_ms: 1,
            service: Bytes::from_static(self.service.as_bytes()),
            address: self.address,
            domain: Bytes::from_static(self.domain.as_bytes()),
            software_version: Bytes::from_static(self.software_version.as_bytes()),
            slots: 4,
            is_draining: false,
            cold_left_ms: 0,
        }
    }

    /// Returns all requests received so far.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

type ReplicaScript = dyn Fn(usize, &str) -> (Vec<u8>, bool);

fn serve(mut stream: TcpStream, seen: &Mutex<Vec<String>>, script: &ReplicaScript) {
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        let number = {
            let mut seen = seen.lock().unwrap();
            seen.push(request.clone());
            seen.len()
        };
        let (response, keep_open) = script(number, &request);
        if stream.write_all(&response).is_err() || !keep_open {
            return;
        }
    }
}

/// Reads a request whose body has the length given in `Content-Length`.
pub(crate) fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text
                .lines()
                .find_map(|line| {
                    line.to_lowercase()
                        .strip_prefix("content-length: ")?
                        .parse()
                        .ok()
                })
                .unwrap_or(0_usize);
            if buffer.len() >= end + 4 + length {
                let message = buffer.drain(..end + 4 + length).collect();
                return String::from_utf8(message).ok();
            }
        }
        let mut part = [0_u8; 4_096];
        match stream.read(&mut part) {
            Ok(size) if size > 0 => buffer.extend_from_slice(&part[..size]),
            _ => return None,
        }
    }
}

/// Returns the value of a header of a request or response.
pub(crate) fn header<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    message.lines().find_map(|line| {
        let (field, value) = line.split_once(": ")?;
        field.eq_ignore_ascii_case(name).then_some(value)
    })
}

/// A gateway that runs on a thread of its own and is stopped on drop.
pub(crate) struct TestGateway {
    pub(crate) entry: SocketAddr,
    pub(crate) directory: SocketAddr,
    pub(crate) peer_address: SocketAddrV4,
    store: StoreStandIn,
    pub(crate) commands: Option<Sender<VmCommand>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Options of a test gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct TestGatewayOptions {
    /// Whether `confirm_feed` is not called, so that the configuration may be outdated.
    pub(crate) is_feed_unconfirmed: bool,
    /// Whether the gateway starts without a configuration.
    pub(crate) has_no_plan: bool,
    /// Peer address of another VM that the gateway contacts first.
    pub(crate) seed: Option<SocketAddrV4>,
    /// Address of the only holder of turns.
    pub(crate) holder: Option<SocketAddrV4>,
    /// Store of the ceilings, which several gateways may share.
    pub(crate) store: StoreStandIn,
    /// Name and start time of a process that starts after an earlier one was killed.
    pub(crate) restart: Option<(String, u64)>,
    /// Memory for bodies and responses, in bytes.
    pub(crate) client_memory_bytes: Option<usize>,
    /// File descriptors of the process.
    pub(crate) descriptors: Option<f64>,
    /// Time for which requests are served by an outdated configuration.
    pub(crate) plan_outdated_max: Option<Duration>,
    /// Load of its thread by clients.
    pub(crate) busy: Option<BusyLoad>,
}

impl TestGateway {
    pub(crate) fn start(replicas: &[&ScriptedReplica]) -> Self {
        Self::start_with(replicas, TestGatewayOptions::default())
    }

    pub(crate) fn start_with(replicas: &[&ScriptedReplica], options: TestGatewayOptions) -> Self {
        let infos = replicas.iter().enumerate();
        let replica_infos = infos.map(|(index, replica)| replica.info(index)).collect();
        let (commands, received) = bounded(1);
        let (entry, directory) = (free_address(), free_address());
        let peer_address = free_address();
        let (started, started_receiver) = std::sync::mpsc::channel();
        let store = options.store.clone();
        let thread = thread::spawn(move || {
            let lanes = Rc::new(TaskLanes::default());
            let addresses = (entry, directory, peer_address);
            let run = run(
                Rc::clone(&lanes),
                replica_infos,
                addresses,
                options,
                received,
                started,
            );
            smol::block_on(lanes.run(run));
        });
        started_receiver.recv().unwrap();
        Self {
            entry: entry.into(),
            directory: directory.into(),
            peer_address,
            store,
            commands: Some(commands),
            thread: Some(thread),
        }
    }

    /// Sends a request on a new connection and reads until the connection closes.
    pub(crate) fn call(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.entry).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut response = Vec::new();
        // After a connection error, the data received before it is returned.
        let _ = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Polls the directory until it lists `count` VMs.
    pub(crate) fn wait_for_vms(&self, count: usize) {
        for _ in 0..POLLS_MAX {
            if self.lists_vms(count) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("the directory did not list {count} VMs in time");
    }

    /// Returns whether the directory lists `count` VMs.
    pub(crate) fn lists_vms(&self, count: usize) -> bool {
        let text = "GET /addresses HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let mut stream = TcpStream::connect(self.directory).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response.ends_with(&format!("\r\n\r\n{count} 0"))
    }

    /// Returns the ceilings of all writes so far, one list per write.
    pub(crate) fn ceilings(&self) -> Vec<Vec<u64>> {
        self.store.writes()
    }

    /// Starts draining the gateway.
    pub(crate) fn start_drain(&mut self) {
        self.commands.take();
    }

    /// Sends a command to the gateway's thread.
    pub(crate) fn command(&self, command: VmCommand) {
        let commands = self.commands.as_ref().unwrap();
        commands.send_blocking(command).unwrap();
    }

    /// Lets the gateway's thread stand still for a time.
    pub(crate) fn freeze(&self, time: Duration) {
        self.command(VmCommand::Freeze(time));
    }

    /// Ends the gateway at once, without draining it.
    pub(crate) fn kill(self) {
        self.command(VmCommand::Kill);
    }
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        self.commands.take();
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || thread::panicking(), "the gateway panicked");
        }
    }
}

/// Starts two VMs, of which only the first has a configuration, replicas and a
/// confirmed feed.
pub(crate) fn start_pair(replicas: &[&ScriptedReplica]) -> (TestGateway, TestGateway) {
    let first = TestGateway::start(replicas);
    let options = TestGatewayOptions {
        is_feed_unconfirmed: true,
        has_no_plan: true,
        seed: Some(first.peer_address),
        ..TestGatewayOptions::default()
    };
    let second = TestGateway::start_with(&[], options);
    first.wait_for_vms(2);
    second.wait_for_vms(2);
    (first, second)
}

/// Returns an address whose port is free for both TCP and UDP.
///
/// Ports lie below the ephemeral range, which outgoing connections use, and each is
/// returned once per process, so that another test is unlikely to take it before the
/// gateway binds it.
pub(crate) fn free_address() -> SocketAddrV4 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    loop {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + offset % PORT_COUNT).unwrap();
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn client_limits(options: &TestGatewayOptions) -> ClientLimits {
    let descriptors = options.descriptors.unwrap_or(2_000.0);
    let limits = ClientLimits::share(1_000.0, 1_000.0, descriptors);
    limits.memory(options.client_memory_bytes.unwrap_or(64_000_000))
}

async fn run(
    lanes: Rc<TaskLanes>,
    replicas: Vec<ReplicaInfo>,
    (entry, directory, peer_address): (SocketAddrV4, SocketAddrV4, SocketAddrV4),
    test_options: TestGatewayOptions,
    commands: Receiver<VmCommand>,
    started: std::sync::mpsc::Sender<()>,
) {
    let is_first_start = test_options.restart.is_none();
    let first = (peer_address.to_string(), 1);
    let (name, incarnation) = test_options.restart.clone().unwrap_or(first);
    let facts = MemberFacts {
        name: Bytes::from(name),
        incarnation,
        ip: Ipv4Addr::LOCALHOST,
        peer_port: peer_address.port(),
        entry_port: entry.port(),
        domain: Bytes::from_static(b"east"),
        region: Bytes::from_static(b"north"),
        is_serving: false,
    };
    let options = GatewayOptions {
        facts,
        header_names: header_names(),
        directory: DirectoryRule {
            path: "/addresses",
            ready_path: "/ready",
            read_query,
            write_response,
            ttl_s: 0,
        },
        store: DurableStore {
            read_origins: test_options.store.origin_reader(),
            store_ceilings: test_options.store.writer(),
            ceilings_max: 16,
        },
        seeds: test_options.seed.into_iter().collect(),
        is_first_start,
        plan_max_age: Duration::from_hours(1),
        plan_outdated_max: test_options
            .plan_outdated_max
            .unwrap_or(Duration::from_hours(1)),
        quota_tolerance: QuotaTolerance::default(),
        cold_tolerance: ColdTolerance {
            excess: 1.5,
            slack: 5.0,
        },
        tolerated_holders: 0,
        turn_cache_bytes: 1_000_000,
        client_limits: client_limits(&test_options),
    };
    let socket = Async::<UdpSocket>::bind(peer_address).unwrap();
    let gateway = Gateway::new(options, Rc::clone(&lanes), socket);
    if !test_options.has_no_plan {
        gateway.apply_plan(plan(), 1, "test");
    }
    if !replicas.is_empty() {
        gateway.set_replicas(replicas, 1);
    }
    let holder = test_options.holder.map(holder_info);
    gateway.set_holders(holder.into_iter().collect());
    if !test_options.is_feed_unconfirmed {
        gateway.confirm_feed();
    }
    let addresses = ListenAddresses {
        entry,
        ready: None,
        directory: Some(directory),
        metrics: None,
    };
    gateway.listen(&addresses).unwrap();
    if let Some(busy) = &test_options.busy {
        busy.begin(&gateway, &lanes);
    }
    started.send(()).unwrap();
    // Returns an error when the test drops the sender to stop the gateway.
    while let Ok(command) = commands.recv().await {
        if carry_out(&gateway, command).is_break() {
            return;
        }
    }
    drain(&gateway, Duration::from_secs(5)).await;
}
