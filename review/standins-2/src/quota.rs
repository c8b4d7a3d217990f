//! The processes of all entry VMs are killed just after a tenant has used up its rate and burst.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, new_attempt};
use crate::deployment::{Deployment, route};
use crate::http::response;
use crate::replica::Work;

const VMS: u8 = 3;
const REPLICAS: u8 = 3;
const RATE_PER_S: u32 = 20;
const BURST: u32 = 100;
const WINDOW_MS: u64 = 5_000;
/// Requests that the rule allows in a window.
const ALLOWED: f64 = (20.0 * 5.0 + 100.0) * 1.1 + 20.0;
const CLIENTS_PER_VM: usize = 6;
const WORK_TIME: Duration = Duration::from_millis(10);
/// Time between the requests of a client.
const PAUSE: Duration = Duration::from_millis(40);
/// Time in which the tenant sends nothing: all VMs come in touch.
const CALM_TIME: Duration = Duration::from_secs(7);
/// Time from the first request of the tenant to the kill.
const PRESS_TIME: Duration = Duration::from_millis(1_500);
const DOWN_TIME: Duration = Duration::from_secs(1);
const AFTER_TIME: Duration = Duration::from_secs(7);

pub fn run(deployment: &Deployment, is_troubled: bool) -> io::Result<Verdict> {
    let record = &deployment.record;
    let arrivals: Arc<Mutex<Vec<u64>>> = Arc::default();
    let work: Work = {
        let (record, arrivals) = (record.clone(), Arc::clone(&arrivals));
        Arc::new(move |replica, request, connection| {
            let attempt = request.header("x-ibisdale-attempt-id");
            let tenant = request.header("x-ibisdale-tenant");
            record.line(&format!("{} runs {attempt} of {tenant}", replica.id));
            let now_ms = record.now_ms();
            arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(now_ms);
            thread::sleep(WORK_TIME);
            let headers = replica.answer_headers(request);
            connection.send(&response(200, &headers, "in stock")).is_ok()
        })
    };
    for index in 0..REPLICAS {
        deployment.add_replica(index, "order-app", 24, &work)?;
    }
    let stock = route("stock", "order-app", "idempotent", 1_500, ",\"attempts\":2");
    deployment.configure(&stock, RATE_PER_S, BURST);
    let fleet = deployment.start_fleet(VMS)?;
    thread::sleep(CALM_TIME);
    record.line("the tenant begins to send");
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..fleet.count() * CLIENTS_PER_VM)
        .map(|index| {
            let address = fleet.front(index % fleet.count());
            let mut client = Client::new(address, Duration::from_millis(1_500));
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let attempt = new_attempt();
                    let text = match client.call(&attempt, ("GET", "/stock/1"), "", "") {
                        Ok(answer) => format!("{attempt} is answered {}", answer.status()),
                        Err(error) => format!("{attempt} gets no answer: {error}"),
                    };
                    record.line(&text);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(PRESS_TIME);
    if is_troubled {
        fleet.kill(0..fleet.count(), DOWN_TIME);
    }
    thread::sleep(AFTER_TIME);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone();
    arrivals.sort_unstable();
    let in_window = |from: &u64| {
        let later = arrivals.iter().filter(|at| (*from..*from + WINDOW_MS).contains(*at));
        (later.count(), *from)
    };
    let (most, from) = arrivals.iter().map(in_window).max().unwrap_or_default();
    record.say(&format!(
        "at most {most} requests of the tenant ran within {WINDOW_MS} ms (from {from} ms); \
         {ALLOWED} are allowed",
    ));
    let is_broken = most as f64 > ALLOWED;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
