//! Stand-in of a replica: a plain service, or a model server that streams events.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Head};
use crate::record::{Recorder, Run};

/// What a replica is and how it works.
#[derive(Clone)]
pub struct ReplicaOptions {
    pub id: String,
    pub service: String,
    /// Version of its software.
    pub version: String,
    pub address: SocketAddr,
    /// Time of the work of a plain request, or until the first event of a stream.
    pub work: Duration,
    /// Time between events.
    pub pause: Duration,
    /// Tokens of each event; 0 for a plain service.
    pub tokens_per_event: u64,
    /// Length of the answer of a plain service; 0 for a short one.
    pub answer_bytes: usize,
}

/// Lets a replica exit; clones are for the same replica.
#[derive(Clone, Default)]
pub struct ReplicaExit(Arc<AtomicBool>);

impl ReplicaExit {
    /// Ends the replica: its streams break off, and it answers nothing more.
    pub fn exit(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn has_exited(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Starts a replica that serves until it is told to exit or the process ends.
pub fn start(options: ReplicaOptions, recorder: Recorder) -> io::Result<ReplicaExit> {
    let listener = TcpListener::bind(options.address)?;
    let options = Arc::new(options);
    let exit = ReplicaExit::default();
    let returned = exit.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if exit.has_exited() {
                return;
            }
            let (options, recorder) = (Arc::clone(&options), recorder.clone());
            let exit = exit.clone();
            thread::spawn(move || {
                let _ = serve(&options, &recorder, &exit, Connection::new(stream));
            });
        }
    });
    Ok(returned)
}

fn serve(
    options: &ReplicaOptions,
    recorder: &Recorder,
    exit: &ReplicaExit,
    mut connection: Connection,
) -> io::Result<()> {
    while let Some(head) = connection.head()? {
        if exit.has_exited() {
            return Ok(());
        }
        connection.body(&head, |_| {})?;
        let attempt = head.get("x-ibisdale-attempt-id").to_owned();
        let target = head.get("x-ibisdale-target-instance");
        let common = format!(
            "X-Ibisdale-Attempt-Id: {attempt}\r\nX-Ibisdale-Instance-Id: {}\r\nKeep-Alive: timeout=10\r\nX-Ibisdale-Server-Load: 1,0,96\r\n",
            options.id
        );
        if !target.is_empty() && target != options.id {
            let text =
                format!("HTTP/1.1 421 Misdirected Request\r\n{common}Content-Length: 0\r\n\r\n");
            connection.send(text.as_bytes())?;
            continue;
        }
        if head.target().starts_with("/health") {
            let text = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n");
            connection.send(text.as_bytes())?;
            continue;
        }
        let run = Run {
            at: recorder.now(),
            attempt: attempt.clone(),
            program: head.get("x-ibisdale-program-id").to_owned(),
            tenant: head.get("x-ibisdale-tenant").to_owned(),
            replica: options.id.clone(),
            service: options.service.clone(),
            last_event: head.get("last-event-id").parse().ok(),
        };
        recorder.add_run(run);
        thread::sleep(options.work);
        let seal = format!(
            "X-Ibisdale-Response-Seal: seal.{}.{attempt}\r\n",
            options.id
        );
        if options.tokens_per_event == 0 {
            let mut body = format!("{{\"done\":\"{attempt}\"}}");
            let padding = options.answer_bytes.saturating_sub(body.len());
            body.push_str(&" ".repeat(padding));
            let text = format!(
                "HTTP/1.1 200 OK\r\n{common}{seal}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            connection.send(text.as_bytes())?;
        } else {
            let text = format!(
                "HTTP/1.1 200 OK\r\n{common}{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            connection.send(text.as_bytes())?;
            stream(options, exit, &head, &mut connection)?;
        }
    }
    Ok(())
}

/// Sends the events after the last one that the request names.
fn stream(
    options: &ReplicaOptions,
    exit: &ReplicaExit,
    head: &Head,
    connection: &mut Connection,
) -> io::Result<()> {
    let usage = head.get("x-ibisdale-token-usage").split(',').nth(1);
    let most: u64 = usage.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    let first = head
        .get("last-event-id")
        .parse::<u64>()
        .map_or(1, |last| last + 1);
    for id in first..=(most / options.tokens_per_event) {
        let event = format!("id: {id}\ndata: piece {id} of {}\n\n", options.version);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.send(chunk.as_bytes())?;
        thread::sleep(options.pause);
        if exit.has_exited() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    connection.send(b"0\r\n\r\n")
}
