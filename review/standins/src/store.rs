//! Stand-in for the platform's store: items, revisions, leases and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{HttpConnection, response};
use crate::json::{Json, base64, quote};

/// Time in which the store answers.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct StoredItem {
    /// Base64 text, as it is exchanged.
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, StoredItem>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Events by revision: key and JSON.
    history: Vec<(u64, String, String)>,
}

impl StoreState {
    /// Applies changes under one revision, as a transaction does.
    fn change(&mut self, puts: &[(String, String, u64)], removed: &[String]) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in puts {
            let earlier = self.items.get(key);
            let create_revision = earlier.map_or(revision, |item| item.create_revision);
            let item = StoredItem {
                value: value.clone(),
                revision,
                create_revision,
                lease: *lease,
            };
            self.history
                .push((revision, key.clone(), item_json(key, &item)));
            self.items.insert(key.clone(), item);
        }
        for key in removed {
            if self.items.remove(key).is_some() {
                let event = format!(
                    "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                    quote(key)
                );
                self.history.push((revision, key.clone(), event));
            }
        }
        revision
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if lease != 0 && !keys.is_empty() {
            self.change(&[], &keys);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let leases = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let expired: Vec<u64> = leases.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }
}

fn item_json(key: &str, item: &StoredItem) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"create_rev\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.create_revision,
        item.lease
    )
}

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct StandinStore {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl StandinStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        let store = Self::default();
        // The counter starts above 0.
        store.lock().revision = 100;
        let ticker = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                ticker.lock().expire_leases();
                ticker.shared.1.notify_all();
            }
        });
        store
    }

    /// Serves at an address.
    pub fn listen(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(())
    }

    /// Writes a key as the operator or a replica does.
    pub fn write(&self, key: &str, value: &str) {
        let put = (key.to_owned(), base64(value.as_bytes()), 0);
        self.lock().change(&[put], &[]);
        self.shared.1.notify_all();
    }

    /// Returns the number of items under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.count()
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = HttpConnection::new(stream);
        while let Ok(head) = connection.read_head() {
            let Ok(body) = connection.read_whole_body(&head) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            let method = head.first_line.split(' ').next().unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.handle(method, head.second_word(), &body);
            let fields = "Content-Type: application/json\r\n";
            if connection.send(&response(status, fields, &answer)).is_err() {
                return;
            }
        }
    }

    fn handle(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or("", |(_, value)| value)
        };
        let body = Json::parse(body).unwrap_or(Json::Null);
        self.lock().expire_leases();
        let last = path.rsplit('/').next().unwrap_or_default();
        let number = last.parse().unwrap_or(0);
        match path {
            "/ibisdale/kv-key" => self.key(parameter("key")),
            "/ibisdale/kv-range" => (200, self.range(parameter("prefix"), parameter("after"))),
            "/ibisdale/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait_ms = parameter("wait_ms").parse().unwrap_or(0);
                let wait = Duration::from_millis(wait_ms);
                (200, self.watch(parameter("prefix"), after, wait))
            }
            "/ibisdale/kv-txn" => self.transact(&body),
            "/ibisdale/kv-lease" => self.grant(&body),
            _ if path.starts_with("/ibisdale/kv-keep/") => self.keep(number),
            _ if path.starts_with("/ibisdale/kv-lease-end/") && method == "DELETE" => {
                self.lock().end_lease(number);
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.lock();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let has_more = items.len() > 500;
        items.truncate(500);
        format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.lock();
        loop {
            let history = state.history.iter();
            let events = history
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.clone());
            let events: Vec<String> = events.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let conditions = body.get("expect_rev").list();
        let holds = |condition: &Json| {
            let item = state.items.get(condition.get("key").text());
            item.map_or(0, |item| item.revision) == condition.get("revision").number()
        };
        if !conditions.iter().all(holds) {
            let keys = conditions
                .iter()
                .map(|condition| condition.get("key").text());
            let items =
                keys.filter_map(|key| state.items.get(key).map(|item| item_json(key, item)));
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list().iter().map(|put| {
            let text = |name: &str| put.get(name).text().to_owned();
            (text("key"), text("value"), put.get("lease").number())
        });
        let puts: Vec<_> = puts.collect();
        let is_known = |lease: &u64| *lease == 0 || state.leases.contains_key(lease);
        if !puts.iter().all(|(_, _, lease)| is_known(lease)) {
            return (404, "{}".to_owned());
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|(key, _, _)| is_foreign(key)) {
            return (403, "{}".to_owned());
        }
        let removed = body.get("remove").list().iter();
        let removed: Vec<String> = removed.map(|key| key.text().to_owned()).collect();
        let revision = state.change(&puts, &removed);
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.next_lease += 1;
        let lease = 77_000 + state.next_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.lock();
        let Some((ttl, end)) = state.leases.get_mut(&lease) else {
            return (404, "{}".to_owned());
        };
        *end = Instant::now() + *ttl;
        let ttl_ms = ttl.as_millis();
        (200, format!("{{\"ttl_ms\":{ttl_ms}}}"))
    }
}
