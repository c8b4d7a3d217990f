//! Stand-ins and a caller for tests.
#![allow(dead_code, reason = "no test uses all of it")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use ibisdale_net::{
    ClientConnection, ConnectOptions, NetError, TrafficExecutor, full_body, read_limited,
};
use ibisdale_platform::wire::{VmEntry, VmState};
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
const GIVE_UP_TIME: Duration = Duration::from_secs(90);
const READY_WAIT: Duration = Duration::from_millis(20);

pub(crate) fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings that tests apply.
pub(crate) fn settings_text() -> String {
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
    pub(crate) orders: ServiceServer,
    folder: tempfile::TempDir,
    _threads: Vec<std::thread::JoinHandle<()>>,
}

pub(crate) fn vm(name: &str, group: &str, address: SocketAddr) -> VmEntry {
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

    /// Lists another engine of the model.
    pub(crate) fn add_engine(&self, name: &str, address: &str) {
        let address = address.parse().expect("an address");
        self.vms.add_vm(vm(name, "small-engines", address));
    }

    /// Returns the folder that the test's daemons may use.
    pub(crate) fn folder(&self) -> &Path {
        self.folder.path()
    }
}

/// Returns the request that applies settings made from no earlier revision.
pub(crate) fn apply_request(text: &str) -> String {
    let request = serde_json::json!({"file": "settings.ini", "text": text, "author": "test"});
    request.to_string()
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
        self.try_send(method, path, headers, body)
            .expect("a whole answer")
    }

    /// Sends a request whose answer may be lost.
    pub(crate) fn try_send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, NetError> {
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
            let mut connection =
                ClientConnection::open(self.address, &self.bed.executor, options).await?;
            let response = connection.send(request).await?;
            let (parts, body) = response.into_parts();
            let body = read_limited(body, ANSWER_MAX_BYTES).await?;
            Ok(Answer {
                status: parts.status,
                headers: parts.headers,
                body,
            })
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
