//! Stand-ins, a daemon and a caller for tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use ibisdale_daemon::{DaemonOptions, RunningDaemon};
use ibisdale_net::{ClientConnection, ConnectOptions, TrafficExecutor, full_body, read_limited};
use ibisdale_platform::wire::{VmEntry, VmState};
use ibisdale_settings::DaemonSettings;
use ibisdale_standins::{
    EngineOptions, EngineServer, KvServer, ServiceOptions, ServiceServer, VmListServer,
};
use serde_json::Value;

/// Key that the test settings grant to workspace `kermesse`.
pub(crate) const KERMESSE_KEY: &str = "kermesse-key";
/// Key that the test settings grant to workspace `norrfrost`.
pub(crate) const NORRFROST_KEY: &str = "norrfrost-key";
/// Key of the operators.
pub(crate) const OPERATOR_KEY: &str = "operator-key";
/// Key that the test settings withdraw.
pub(crate) const WITHDRAWN_KEY: &str = "withdrawn-key";

const ANSWER_MAX_BYTES: usize = 1_024 * 1_024;
/// Time after which a test that waits has failed.
const GIVE_UP_TIME: Duration = Duration::from_secs(30);
const READY_WAIT: Duration = Duration::from_millis(20);

pub(crate) fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn settings_text() -> String {
    let hash = |key: &str| ibisdale_settings::KeyHash::of(key.as_bytes()).to_string();
    format!(
        "[/models/small]\nvm_group = small-engines\n\
         [/services/orders]\nvm_group = order-services\n\
         [/services/orders/routes/book]\nmethod = POST\npath = /bookings\nidempotent = no\n\
         [/services/orders/routes/quote]\nmethod = POST\npath = /quotes\nidempotent = yes\n\
         [/workspaces/kermesse]\nmodels = small\nservices = orders\nrate = 1000\nburst = 1000\n\
         [/workspaces/kermesse/keys/app]\nhash = {}\n\
         [/workspaces/kermesse/keys/old]\nhash = {}\nwithdrawn = yes\n\
         [/workspaces/kermesse/programs/planner]\n\
         [/workspaces/kermesse/programs/chat]\n\
         [/workspaces/norrfrost]\nmodels = small\nrate = 0.01\nburst = 3\n\
         [/workspaces/norrfrost/keys/app]\nhash = {}\n\
         [/workspaces/norrfrost/programs/quotes]\n",
        hash(KERMESSE_KEY),
        hash(WITHDRAWN_KEY),
        hash(NORRFROST_KEY),
    )
}

/// The platform and upstreams of a test.
pub(crate) struct TestBed {
    pub(crate) executor: TrafficExecutor,
    pub(crate) kv: KvServer,
    pub(crate) vms: VmListServer,
    pub(crate) engine: EngineServer,
    #[expect(dead_code, reason = "kept alive for the test")]
    pub(crate) orders: ServiceServer,
    folder: tempfile::TempDir,
    _threads: Vec<std::thread::JoinHandle<()>>,
}

fn vm(name: &str, group: &str, address: SocketAddr) -> VmEntry {
    VmEntry {
        name: name.to_owned(),
        group: group.to_owned(),
        address,
        failure_domain: "a".to_owned(),
        region: "r".to_owned(),
        state: VmState::Live,
    }
}

impl TestBed {
    pub(crate) fn start() -> Self {
        let executor = TrafficExecutor::default();
        let threads = (0..2)
            .map(|_| {
                let executor = TrafficExecutor::clone(&executor);
                std::thread::spawn(move || {
                    smol::block_on(executor.run(std::future::pending::<()>()));
                })
            })
            .collect();
        let kv = KvServer::start(any_address(), &executor).expect("a free port");
        let vms = VmListServer::start(any_address(), &executor).expect("a free port");
        let options = EngineOptions::new().model("small");
        let engine = EngineServer::start(any_address(), &executor, options).expect("a free port");
        let orders = ServiceServer::start(any_address(), &executor, ServiceOptions::new())
            .expect("a free port");
        vms.add_vm(vm("engine-1", "small-engines", engine.get_address()));
        vms.add_vm(vm("orders-1", "order-services", orders.get_address()));
        Self {
            executor,
            kv,
            vms,
            engine,
            orders,
            folder: tempfile::tempdir().expect("a folder"),
            _threads: threads,
        }
    }

    /// Starts a daemon without settings.
    pub(crate) fn start_bare_daemon(&self) -> RunningDaemon {
        let text = format!(
            "[/daemon]\nname = a\nfailure_domain = a\nregion = r\n\
             entry_address = 127.0.0.1:1\nfleet_address = 127.0.0.1:2\n\
             operator_address = 127.0.0.1:3\noperator_key_hash = {}\ntraffic_threads = 2\n\
             [/platform]\nkey_value_endpoints = {}\nvm_list_address = {}\n",
            ibisdale_settings::KeyHash::of(OPERATOR_KEY.as_bytes()),
            self.kv.get_address(),
            self.vms.get_address(),
        );
        let mut settings = DaemonSettings::parse("daemon.ini", &text).expect("a sound file");
        settings.entry_address = any_address();
        settings.fleet_address = any_address();
        settings.operator_address = any_address();
        settings.data_folder = Some(self.folder.path().join("a"));
        let options = DaemonOptions::new(settings)
            .address_keep(Duration::ZERO)
            .claim_interval(Duration::from_millis(2));
        let daemon = RunningDaemon::start(options).expect("the daemon starts");
        wait_until("the daemon can take programs", || daemon.is_ready());
        daemon
    }

    /// Starts a daemon and applies the test settings.
    pub(crate) fn start_daemon(&self) -> RunningDaemon {
        let daemon = self.start_bare_daemon();
        let operator = self.operator(&daemon);
        let request = serde_json::json!({
            "file": "settings.ini", "text": settings_text(), "author": "test",
        });
        let headers = [("if-match", "\"0\"")];
        let path = "/admin/v1/settings";
        let answer = operator.send(Method::PUT, path, &headers, &request.to_string());
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        daemon
    }

    /// Returns an operator of a daemon.
    pub(crate) fn operator(&self, daemon: &RunningDaemon) -> Caller<'_> {
        Caller {
            bed: self,
            address: daemon.get_operator_address(),
            key: OPERATOR_KEY,
        }
    }
}

/// A caller's answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn digest(&self) -> String {
        let value = self.headers.get("history-digest").expect("a digest");
        value.to_str().expect("text").to_owned()
    }

    /// Returns the refusal's code and run state.
    pub(crate) fn refusal(&self) -> String {
        let error = &self.json()["error"];
        let part = |name: &str| error[name].as_str().unwrap_or("-").to_owned();
        format!(
            "{} {} {}",
            self.status.as_u16(),
            part("code"),
            part("run_state")
        )
    }
}

/// A caller with a key.
pub(crate) struct Caller<'a> {
    pub(crate) bed: &'a TestBed,
    pub(crate) address: SocketAddr,
    pub(crate) key: &'a str,
}

impl Caller<'_> {
    pub(crate) fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string());
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(full_body(body.to_owned())).expect("a request");
        smol::block_on(async {
            let options = ConnectOptions::new();
            let mut connection = ClientConnection::open(self.address, &self.bed.executor, options)
                .await
                .expect("a connection");
            let response = connection.send(request).await.expect("an answer");
            let (parts, body) = response.into_parts();
            let body = read_limited(body, ANSWER_MAX_BYTES)
                .await
                .expect("a whole body");
            Answer {
                status: parts.status,
                headers: parts.headers,
                body,
            }
        })
    }

    pub(crate) fn post(&self, path: &str, body: &str) -> Answer {
        self.send(Method::POST, path, &[], body)
    }

    pub(crate) fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, &[], "")
    }

    pub(crate) fn start_program(&self, name: &str) -> String {
        let answer = self.post("/v1/programs", &format!(r#"{{"program": "{name}"}}"#));
        assert_eq!(answer.status, StatusCode::CREATED, "{}", answer.text());
        answer.json()["id"].as_str().expect("an id").to_owned()
    }
}

/// Waits until a condition holds; gives up after a generous time.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let given_up = std::time::Instant::now() + GIVE_UP_TIME;
    while !condition() {
        assert!(
            std::time::Instant::now() < given_up,
            "never happened: {what}"
        );
        std::thread::sleep(READY_WAIT);
    }
}
