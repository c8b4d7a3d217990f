//! A faulty replica spoils a digit in an event; the events before it in the same packet get lost.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, new_attempt};
use crate::deployment::{Deployment, TURN_FIELDS, route};
use crate::http::{Connection, Message, chunk};
use crate::record::Record;
use crate::replica::{Replica, Work};

const VMS: u8 = 2;
const REPLICAS: u8 = 3;
/// Replica that spoils streams: one of three.
const FAULTY: &str = "i-agent-llm-2";
/// One stream in so many is spoiled.
const SPOILED_ONE_IN: u64 = 50;
const CLIENTS_PER_VM: usize = 12;
const EVENTS: u64 = 17;
/// Events that each replica sends in one chunk: the first of them and the last.
const JOINED: (u64, u64) = (6, 8);
const EVENT_PAUSE: Duration = Duration::from_millis(12);
const CALM_TIME: Duration = Duration::from_secs(4);
const SPOIL_TIME: Duration = Duration::from_millis(5_500);
const AFTER_TIME: Duration = Duration::from_secs(1);

struct StreamFault {
    is_spoiling: Arc<AtomicBool>,
    streams: AtomicU64,
}

impl StreamFault {
    fn spoils_next(&self, replica: &Replica) -> bool {
        let is_faulty = replica.id == FAULTY && self.is_spoiling.load(Ordering::Relaxed);
        is_faulty
            && self.streams.fetch_add(1, Ordering::Relaxed) % SPOILED_ONE_IN == SPOILED_ONE_IN / 2
    }
}

/// Sends the events of a stream after the last one that the request names.
fn stream(
    record: &Record,
    fault: &StreamFault,
    (replica, request): (&Replica, &Message),
    connection: &mut Connection,
) -> io::Result<()> {
    let attempt = request.header("x-ibisdale-attempt-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    record.line(&format!(
        "{} runs {attempt} after event {after}",
        replica.id
    ));
    let is_spoiled = after == 0 && fault.spoils_next(replica);
    let headers = replica.answer_headers(request);
    connection.send(
        format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        )
        .as_bytes(),
    )?;
    let event = |number: u64, id: u64| format!("id: {id}\ndata: piece {number}\n\n");
    let mut number = after + 1;
    while number <= EVENTS {
        let last = if number == JOINED.0 { JOINED.1 } else { number };
        thread::sleep(EVENT_PAUSE * u32::try_from(last - number + 1).unwrap_or(1));
        let mut data = String::new();
        for number in number..=last {
            // One wrong digit in the id of the last event of the chunk.
            let is_wrong = is_spoiled && number == JOINED.1;
            data.push_str(&event(number, if is_wrong { number + 1 } else { number }));
        }
        if is_spoiled && last == JOINED.1 {
            record.line(&format!("{} spoils event {last} of {attempt}", replica.id));
        }
        connection.send(&chunk(&data))?;
        number = last + 1;
    }
    connection.send(b"0\r\n\r\n")
}

pub fn run(deployment: &Deployment, is_troubled: bool) -> io::Result<Verdict> {
    let record = &deployment.record;
    let is_spoiling = Arc::new(AtomicBool::new(false));
    let work: Work = {
        let record = record.clone();
        let fault = StreamFault {
            is_spoiling: Arc::clone(&is_spoiling),
            streams: AtomicU64::new(0),
        };
        Arc::new(move |replica, request, connection| {
            stream(&record, &fault, (replica, request), connection).is_ok()
        })
    };
    for index in 0..REPLICAS {
        deployment.add_replica(index, "agent-llm", 96, &work)?;
    }
    let quote = route("quote", "agent-llm", "streaming", 6_000, TURN_FIELDS);
    deployment.configure(&quote, 10_000, 10_000);
    let fleet = deployment.start_fleet(VMS)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let clients: Vec<_> = (0..fleet.count() * CLIENTS_PER_VM)
        .map(|index| {
            let address = fleet.front(index % fleet.count());
            let mut client = Client::new(address, Duration::from_secs(6), record);
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let counts = Arc::clone(&counts);
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let attempt = new_attempt();
                    let outcome = take_stream(&mut client, &record, &attempt);
                    counts[outcome as usize].fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    thread::sleep(CALM_TIME);
    is_spoiling.store(is_troubled, Ordering::Relaxed);
    thread::sleep(SPOIL_TIME);
    is_spoiling.store(false, Ordering::Relaxed);
    thread::sleep(AFTER_TIME);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let [whole, ended, missing] = [0, 1, 2].map(|index| counts[index].load(Ordering::Relaxed));
    record.say(&format!(
        "{whole} streams came whole, {ended} were refused or broken off, {missing} ended as \
         complete with an event missing or twice; none is allowed"
    ));
    let is_broken = missing > 0;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamOutcome {
    Whole = 0,
    Ended = 1,
    Missing = 2,
}

/// Takes a stream and checks its events.
fn take_stream(client: &mut Client, record: &Record, attempt: &str) -> StreamOutcome {
    let headers = format!(
        "X-Ibisdale-Model: m\r\nX-Ibisdale-Token-Usage: 250,34\r\n\
         X-Ibisdale-Prompt-Prefix: {}:250\r\n",
        &attempt[..8]
    );
    let answer = client.call(attempt, ("POST", "/quote/1"), &headers, "prompt");
    let answer = match answer {
        Ok(answer) if answer.status() == 200 && answer.is_complete => answer,
        Ok(answer) => {
            let status = answer.status();
            record.line(&format!("{attempt} is answered {status}, not to the end"));
            return StreamOutcome::Ended;
        }
        Err(error) => {
            record.line(&format!("{attempt} gets no answer: {error}"));
            return StreamOutcome::Ended;
        }
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids: Vec<u64> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    if ids.iter().copied().eq(1..=EVENTS) {
        record.line(&format!("{attempt} gets a whole stream"));
        return StreamOutcome::Whole;
    }
    record.line(&format!(
        "{attempt} gets a stream that ends as complete with the events {ids:?}"
    ));
    StreamOutcome::Missing
}
