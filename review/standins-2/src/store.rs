//! The platform's key-value store.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};
use crate::json::{Json, base64};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Maximum number of entries of a transaction.
const ENTRIES_MAX: usize = 32;

#[derive(Clone, Debug)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_rev\":{},\"lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Revision, key and text of each change.
    history: Vec<(u64, String, String)>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.history
            .push((revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        is_known
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

/// A store that serves until the process ends; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: Vec::new(),
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a replica does.
    pub fn write(&self, key: &str, value: &str) {
        self.lock().put(key, &base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.0.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read_message() {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.handle(&request);
            let json = "Content-Type: application/json\r\n";
            if connection.send(&response(status, json, &body)).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or_else(String::new, |(_, value)| value.replace("%2F", "/"))
        };
        let name = path.strip_prefix("/ibisdale/").unwrap_or_default();
        let (call, id) = name.split_once('/').unwrap_or((name, ""));
        let id: u64 = id.parse().unwrap_or(0);
        let body = Json::parse(&request.body);
        self.lock().expire_leases();
        match (request.method(), call) {
            ("GET", "kv-key") => self.key(&field("key")),
            ("GET", "kv-range") => (200, self.range(&field("prefix"), &field("after"))),
            ("GET", "kv-watch") => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                (200, self.watch(&field("prefix"), after, wait))
            }
            ("POST", "kv-txn") => self.transact(&body),
            ("POST", "kv-lease") => self.grant(body.get("ttl_ms").number()),
            ("POST", "kv-keep") => self.keep(id),
            ("DELETE", "kv-lease-end") => {
                let status = if self.lock().end_lease(id) { 200 } else { 404 };
                self.shared.1.notify_all();
                (status, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => {
                let item = item.json(key);
                let item = item.trim_end_matches('}');
                (
                    200,
                    format!("{item},\"store_revision\":{}}}", state.revision),
                )
            }
            None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.lock();
        let items = state.items.iter();
        let found = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
        let has_more = items.len() > 500;
        items.truncate(500);
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":{has_more},\"store_revision\":{revision}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<&str> = changes.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let (conditions, puts) = (body.get("expect_rev").list(), body.get("puts").list());
        let removed = body.get("remove").list();
        if conditions.len() + puts.len() + removed.len() > ENTRIES_MAX {
            return (400, "{}".to_owned());
        }
        let written = puts.iter().map(|put| put.get("key").text());
        let mut written = written.chain(removed.iter().map(Json::text));
        if written.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        let mut state = self.lock();
        let holds = conditions.iter().all(|condition| {
            let item = state.items.get(condition.get("key").text());
            item.map_or(0, |item| item.revision) == condition.get("revision").number()
        });
        if !holds {
            let keys = conditions
                .iter()
                .map(|condition| condition.get("key").text());
            let items: Vec<String> = keys
                .filter_map(|key| Some(state.items.get(key)?.json(key)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let mut leases = puts.iter().map(|put| put.get("lease").number());
        if leases.any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let (key, value) = (put.get("key").text(), put.get("value").text());
            state.put(key, value, put.get("lease").number());
        }
        removed.iter().for_each(|key| state.remove(key.text()));
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        let ttl_ms = ttl_ms.clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.revision += 1;
        let lease = state.revision;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.lock();
        let Some((ttl, end)) = state.leases.get_mut(&lease) else {
            return (404, "{}".to_owned());
        };
        *end = Instant::now() + *ttl;
        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
    }
}
