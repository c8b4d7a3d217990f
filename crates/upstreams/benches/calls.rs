//! Latency and throughput of calls to the servers of `ibisdale-standins` over loopback.
//!
//! `cargo bench -p ibisdale-upstreams`

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use ibisdale_core::ProgramId;
use ibisdale_net::TrafficExecutor;
use ibisdale_standins::{EngineOptions, EngineServer, ServiceOptions, ServiceServer};
use ibisdale_upstreams::{
    ChatCall, ChatEvent, ChatStream, EngineClient, PoolOptions, ServiceCall, ServiceClient,
    UpstreamPool,
};

const CALLS: u64 = 2_000;
const CANCELS: u64 = 500;
/// Calls excluded from the results.
const WARM_UP_CALLS: u64 = 100;
/// Concurrent streams in the measurement of the token rate.
const CONCURRENT_STREAMS: u64 = 100;

fn main() {
    let upstreams = start_executor();
    let clients = start_executor();
    smol::block_on(clients.run(run_all(&upstreams, &clients)));
}

/// Starts an executor on a separate thread that runs until the process exits.
fn start_executor() -> TrafficExecutor {
    let executor = TrafficExecutor::default();
    let running = executor.clone();
    thread::spawn(move || smol::block_on(running.run(std::future::pending::<()>())));
    executor
}

async fn run_all(upstreams: &TrafficExecutor, clients: &TrafficExecutor) {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = ServiceServer::start(loopback, upstreams, ServiceOptions::new()).unwrap();
    let address = service.get_address();
    measure_service("service call, idempotent", address, clients, true).await;
    measure_service("service call, not idempotent", address, clients, false).await;
    let engine = EngineServer::start(loopback, upstreams, EngineOptions::new()).unwrap();
    measure_chat(engine.get_address(), clients).await;
    measure_token_rate(engine.get_address(), clients).await;
    let options = EngineOptions::new().token_delay(Duration::from_hours(1));
    let engine = EngineServer::start(loopback, upstreams, options).unwrap();
    measure_cancel(&engine, clients).await;
}

fn open_pool(address: SocketAddr, executor: &TrafficExecutor) -> UpstreamPool {
    UpstreamPool::new(address, executor.clone(), PoolOptions::new())
}

async fn measure_service(
    name: &str,
    address: SocketAddr,
    executor: &TrafficExecutor,
    is_idempotent: bool,
) {
    let client = ServiceClient::new(open_pool(address, executor));
    let mut times = LatencyHistogram::new();
    for number in 0..CALLS {
        let call = ServiceCall::new(Method::POST, "/bookings")
            .body(format!(r#"{{"request_id": "{number}"}}"#))
            .idempotent(is_idempotent);
        let start = Instant::now();
        client.call(call).await.unwrap();
        times.record(number, start);
    }
    times.print(name);
}

async fn measure_chat(address: SocketAddr, executor: &TrafficExecutor) {
    let client = EngineClient::new(open_pool(address, executor));
    let mut first = LatencyHistogram::new();
    let mut whole = LatencyHistogram::new();
    for number in 0..CALLS {
        let start = Instant::now();
        let mut stream = client.chat(create_call(number)).await.unwrap();
        stream.next().await.unwrap().unwrap();
        first.record(number, start);
        count_tokens(stream).await;
        whole.record(number, start);
    }
    first.print("chat, first token");
    whole.print("chat, complete response");
}

async fn measure_token_rate(address: SocketAddr, executor: &TrafficExecutor) {
    let client = EngineClient::new(open_pool(address, executor));
    let start = Instant::now();
    let streams: Vec<_> = (0..CONCURRENT_STREAMS)
        .map(|number| {
            let client = client.clone();
            executor.spawn(async move {
                let mut tokens = 0;
                for round in 0..20 {
                    let call = create_call(number * 20 + round);
                    tokens += count_tokens(client.chat(call).await.unwrap()).await;
                }
                tokens
            })
        })
        .collect();
    let mut tokens = 0;
    for stream in streams {
        tokens += stream.await;
    }
    let seconds = start.elapsed().as_secs_f64();
    println!("{CONCURRENT_STREAMS} concurrent streams: {tokens} tokens in {seconds:.3} s");
}

async fn measure_cancel(engine: &EngineServer, executor: &TrafficExecutor) {
    let client = EngineClient::new(open_pool(engine.get_address(), executor));
    let mut times = LatencyHistogram::new();
    for number in 0..CANCELS {
        let stream = client.chat(create_call(number)).await.unwrap();
        let start = Instant::now();
        stream.close();
        while engine.get_counters().cancelled <= number {
            smol::Timer::after(Duration::from_micros(50)).await;
        }
        times.record(number, start);
    }
    times.print("cancellation at the engine");
}

async fn count_tokens(mut stream: ChatStream) -> u64 {
    let mut tokens = 0;
    while let Some(event) = stream.next().await {
        if let ChatEvent::Usage { completion, .. } = event.unwrap() {
            tokens = completion;
        }
    }
    tokens
}

fn create_call(number: u64) -> ChatCall {
    let mut session = [0; 16];
    session[8..].copy_from_slice(&number.to_be_bytes());
    let session = ProgramId::from_bytes(&session).unwrap();
    let body = format!(
        r#"{{"model": "small", "stream": true,
            "messages": [{{"role": "user", "content": "question {number}"}}]}}"#
    );
    ChatCall::new(body, session)
}

/// Histogram of call latencies, in microseconds.
struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    fn new() -> Self {
        let histogram = Histogram::new(3).unwrap();
        Self { histogram }
    }

    fn record(&mut self, number: u64, start: Instant) {
        if number >= WARM_UP_CALLS {
            let micros = u64::try_from(start.elapsed().as_micros()).unwrap();
            self.histogram.record(micros).unwrap();
        }
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: {} calls, median {} us, p99 {} us, max {} us",
            self.histogram.len(),
            self.histogram.value_at_quantile(0.5),
            self.histogram.value_at_quantile(0.99),
            self.histogram.max(),
        );
    }
}
