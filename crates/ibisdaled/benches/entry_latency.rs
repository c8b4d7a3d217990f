//! What an entry VM and a forwarding hop add to a streamed model call at low
//! load: one call at a time, two real daemons on loopback, an engine stand-in
//! without delays of its own.

#[allow(dead_code, reason = "each bench calls a part")]
#[path = "support/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "each bench calls a part")]
#[path = "support/process.rs"]
mod process;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{ENTRY_PORT, TestFleet, host};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use ibisdale_net::{ClientConnection, ConnectOptions, full_body, read_limited};
use ibisdale_platform::wire::{VmEntry, VmState};
use ibisdale_settings::KeyHash;
use ibisdale_standins::{EngineOptions, EngineServer};

const CALLS: u32 = 1_000;
const WARM_UP_CALLS: u32 = 100;
const ENGINE_PATH: &str = "/v1/chat/completions";
const KEY: &str = "kermesse-key";
const ANSWER_MAX_BYTES: usize = 1_024 * 1_024;
const CHAT: &str = r#"{"model": "small", "stream": true, "max_tokens": 32,
    "messages": [{"role": "user", "content": "Which talk is next?"}]}"#;
/// Time in which the daemons learn of the engine and of the settings.
const LEARN_TIME: Duration = Duration::from_secs(4);

/// Times of the calls on one way, in microseconds.
struct CallTimes {
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

fn main() {
    let fleet = TestFleet::start(2);
    fleet.wait_slots();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = EngineOptions::new()
        .model("small")
        .token_delay(Duration::ZERO)
        .batch_delay(Duration::ZERO)
        .prefill_delay(Duration::ZERO);
    let engine = EngineServer::start(any, fleet.get_executor(), options).expect("a free port");
    fleet.vms.add_vm(engine_entry(engine.get_address()));
    fleet.apply_settings(&settings());
    std::thread::sleep(LEARN_TIME);
    println!("| way | first token p50, us | p99 | whole answer p50, us | p99 |");
    println!("| --- | ---: | ---: | ---: | ---: |");
    let entries = [0, 1].map(|number| SocketAddr::from((host(number), ENTRY_PORT)));
    smol::block_on(async {
        print_row(
            "engine directly",
            &measure_direct(&fleet, engine.get_address()).await,
        );
        print_row("at the owner", &measure_entry(&fleet, entries, false).await);
        print_row(
            "forwarded once",
            &measure_entry(&fleet, entries, true).await,
        );
    });
    fleet.close();
}

fn settings() -> String {
    format!(
        "[/models/small]\nvm_group = engines\n\
         [/workspaces/kermesse]\nmodels = small\nrate = 1000000\nburst = 1000000\n\
         history_copies = 0\n\
         [/workspaces/kermesse/keys/app]\nhash = {}\n\
         [/workspaces/kermesse/programs/planner]\n",
        KeyHash::of(KEY.as_bytes()),
    )
}

fn engine_entry(address: SocketAddr) -> VmEntry {
    VmEntry {
        name: "engine-1".to_owned(),
        group: "engines".to_owned(),
        address,
        failure_domain: "domain-0".to_owned(),
        region: "r".to_owned(),
        state: VmState::Live,
    }
}

fn print_row(way: &str, times: &CallTimes) {
    let at = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile);
    println!(
        "| {way} | {} | {} | {} | {} |",
        at(&times.first, 0.5),
        at(&times.first, 0.99),
        at(&times.whole, 0.5),
        at(&times.whole, 0.99),
    );
}

fn new_times() -> CallTimes {
    let histogram = || Histogram::new(3).expect("a precision from 0 to 5");
    CallTimes {
        first: histogram(),
        whole: histogram(),
    }
}

async fn open(fleet: &TestFleet, address: SocketAddr) -> ClientConnection {
    let options = ConnectOptions::new();
    let opened = ClientConnection::open(address, fleet.get_executor(), options).await;
    opened.expect("a connection")
}

async fn measure_direct(fleet: &TestFleet, engine: SocketAddr) -> CallTimes {
    let mut times = new_times();
    for number in 0..WARM_UP_CALLS + CALLS {
        let taken = time_call(fleet, engine, ENGINE_PATH).await;
        record(&mut times, number, taken);
    }
    times
}

/// Measures calls at the owner of each program, or at the other daemon.
async fn measure_entry(
    fleet: &TestFleet,
    entries: [SocketAddr; 2],
    is_forwarded: bool,
) -> CallTimes {
    let mut times = new_times();
    for number in 0..WARM_UP_CALLS + CALLS {
        let body = r#"{"program": "planner"}"#;
        let request = post(entries[0], "/v1/programs", body);
        let response = open(fleet, entries[0])
            .await
            .send(request)
            .await
            .expect("an answer");
        let text = read_limited(response.into_body(), ANSWER_MAX_BYTES).await;
        let text = text.expect("a whole body");
        let started: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
        let id = started["id"]
            .as_str()
            .unwrap_or_else(|| panic!("{started}"));
        let owner = started["address"].as_str().expect("an address");
        let is_first = owner.contains(&entries[0].to_string());
        let way = usize::from(is_first == is_forwarded);
        let path = format!("/v1/programs/{id}/steps/1/chat");
        let taken = time_call(fleet, entries[way], &path).await;
        record(&mut times, number, taken);
    }
    times
}

fn record(times: &mut CallTimes, number: u32, taken: [Duration; 2]) {
    if number < WARM_UP_CALLS {
        return;
    }
    let micros = taken.map(|time| u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    times.first.record(micros[0]).expect("a resizing histogram");
    times.whole.record(micros[1]).expect("a resizing histogram");
}

fn post(address: SocketAddr, path: &str, body: &str) -> Request<ibisdale_net::BoxBody> {
    let request = Request::post(path).header("host", address.to_string());
    // The engine takes no key of a caller.
    let request = if path == ENGINE_PATH {
        request
    } else {
        request.header("authorization", format!("Bearer {KEY}"))
    };
    let request = request.body(full_body(body.to_owned()));
    request.expect("a request")
}

/// Returns the times to the first token and to the end of the answer, on a new
/// connection whose opening is left out.
async fn time_call(fleet: &TestFleet, address: SocketAddr, path: &str) -> [Duration; 2] {
    let request = post(address, path, CHAT);
    let mut connection = open(fleet, address).await;
    let started = Instant::now();
    let response = connection.send(request).await.expect("an answer");
    assert!(response.status().is_success(), "{}", response.status());
    let mut body = response.into_body();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        frame.expect("a whole answer");
        first.get_or_insert_with(|| started.elapsed());
    }
    [first.expect("a token"), started.elapsed()]
}
