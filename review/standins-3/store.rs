//! Stand-in of the platform's store: items with revisions, leases, watches and transactions.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::{Json, decode_base64, encode_base64};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    is_down: bool,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            revision: 10,
            next_lease: 1,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire_leases();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes as the operator or a replica does; returns the revision.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.put(key.to_owned(), value.as_bytes().to_vec(), 0, revision);
        self.state.1.notify_all();
        revision
    }

    /// Removes a key, as the entry of a replica that leaves.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        self.state.1.notify_all();
    }

    /// Lets the store answer every call with 503, or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.state.1.notify_all();
    }

    fn expire_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let mut body = Vec::new();
            if connection
                .body(&head, |data| body.extend_from_slice(data))
                .is_err()
            {
                return;
            }
            let (status, text) = self.answer(head.method(), head.target(), &body);
            let message = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if connection.send(message.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(known, _)| *known == name);
            value.map_or(String::new(), |(_, value)| decode_percent(value))
        };
        let mut state = self.lock();
        if state.is_down {
            return (503, "{}".to_owned());
        }
        let last = path.rsplit('/').next().unwrap_or("");
        match (method, path) {
            ("GET", "/ibisdale/kv-key") => {
                let key = field("key");
                match state.items.get(&key) {
                    Some(item) => (200, format!("{{{}}}", describe(&key, item))),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/ibisdale/kv-range") => {
                let (prefix, after) = (field("prefix"), field("after"));
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| format!("{{{}}}", describe(key, item)))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("GET", "/ibisdale/kv-watch") => {
                let prefix = field("prefix");
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait: u64 = field("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if state.is_down {
                        return (503, "{}".to_owned());
                    }
                    let events = state.events(&prefix, after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            "{{\"events\":[{}],\"store_revision\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        return (200, text);
                    }
                    let waited = self.state.1.wait_timeout(state, left);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            ("POST", "/ibisdale/kv-txn") => {
                let Some(request) = Json::parse(body) else {
                    return (400, "{}".to_owned());
                };
                let result = state.transact(&request);
                self.state.1.notify_all();
                result
            }
            ("POST", "/ibisdale/kv-lease") => {
                let ttl = Json::parse(body).map_or(0, |request| request.number("ttl_ms"));
                let lease = state.next_lease;
                state.next_lease += 1;
                let length = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(lease, (length, Instant::now() + length));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", _) if path.starts_with("/ibisdale/kv-keep/") => {
                let lease = last.parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((length, until)) => {
                        *until = Instant::now() + *length;
                        (200, format!("{{\"ttl_ms\":{}}}", length.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/ibisdale/kv-lease-end/") => {
                state.end_lease(last.parse().unwrap_or(0));
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn put(&mut self, key: String, value: Vec<u8>, lease: u64, revision: u64) {
        let created = self.items.get(&key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.history.push(Change {
            key: key.clone(),
            revision,
            item: Some(item.clone()),
        });
        self.items.insert(key, item);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.history.push(Change {
                key: key.to_owned(),
                revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key, self.revision);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let changes = self.history.iter();
        let changes =
            changes.filter(|change| change.revision > after && change.key.starts_with(prefix));
        let texts = changes.map(|change| match &change.item {
            Some(item) => format!("{{{}}}", describe(&change.key, item)),
            None => format!(
                "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
                change.key, change.revision
            ),
        });
        texts.collect()
    }

    fn transact(&mut self, request: &Json) -> (u16, String) {
        let conditions = request.list("expect_rev");
        let holds = conditions.iter().all(|row| {
            let current = self.items.get(&row.text("key"));
            current.map_or(0, |item| item.revision) == row.number("revision")
        });
        if !holds {
            let items = conditions.iter().map(|row| {
                let key = row.text("key");
                match self.items.get(&key) {
                    Some(item) => format!("{{{}}}", describe(&key, item)),
                    None => format!("{{\"key\":\"{key}\",\"revision\":0}}"),
                }
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = request.list("puts");
        let is_leased = |row: &Json| {
            let lease = row.number("lease");
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(is_leased) {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        let revision = self.revision;
        for row in puts {
            let value = decode_base64(&row.text("value"));
            self.put(row.text("key"), value, row.number("lease"), revision);
        }
        for key in request.list("remove") {
            if let Json::Text(key) = key {
                self.remove(&key, revision);
            }
        }
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn describe(key: &str, item: &Item) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_rev\":{},\"lease\":{}",
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let code = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
