//! A faulty replica spoils the value of a header; the processes that get it end.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, new_attempt};
use crate::deployment::{Deployment, route};
use crate::replica::Work;
use crate::http::response;

const VMS: u8 = 3;
const REPLICAS: u8 = 3;
/// Replica that spoils answers: one of three.
const FAULTY: &str = "i-order-app-2";
/// One answer in so many is spoiled.
const SPOILED_ONE_IN: u64 = 50;
const CLIENTS_PER_VM: usize = 8;
const WORK_TIME: Duration = Duration::from_millis(150);
/// Time before the disruption, in which all VMs come in touch.
const CALM_TIME: Duration = Duration::from_secs(5);
const SPOIL_TIME: Duration = Duration::from_millis(5_500);
const AFTER_TIME: Duration = Duration::from_secs(3);
/// Number of lost requests that the rule allows.
const LOST_MAX: usize = 3;

/// A request that got no answer, and whether its connection had carried others before.
struct LostRequest {
    attempt: String,
    vm: usize,
    is_kept: bool,
}

pub fn run(deployment: &Deployment, is_troubled: bool) -> io::Result<Verdict> {
    let record = &deployment.record;
    // Replica of each request that was run.
    let runs: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let is_spoiling = Arc::new(AtomicBool::new(false));
    let work: Work = {
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        let (is_spoiling, answers) = (Arc::clone(&is_spoiling), AtomicU64::new(0));
        Arc::new(move |replica, request, connection| {
            let attempt = request.header("x-ibisdale-attempt-id").to_owned();
            record.line(&format!("{} runs {attempt}", replica.id));
            let mut known = runs.lock().unwrap_or_else(PoisonError::into_inner);
            known.insert(attempt.clone(), replica.id.clone());
            drop(known);
            thread::sleep(WORK_TIME);
            let is_faulty = replica.id == FAULTY && is_spoiling.load(Ordering::Relaxed);
            let is_spoiled = is_faulty
                && answers.fetch_add(1, Ordering::Relaxed) % SPOILED_ONE_IN == SPOILED_ONE_IN / 2;
            let timeout = if is_spoiled {
                record.line(&format!("{} spoils the answer to {attempt}", replica.id));
                "9223372036854775807"
            } else {
                "60"
            };
            let headers = replica.answer_headers(request);
            let headers = format!("{headers}Keep-Alive: timeout={timeout}\r\n");
            connection.send(&response(200, &headers, "done")).is_ok()
        })
    };
    for index in 0..REPLICAS {
        deployment.add_replica(index, "order-app", 6, &work)?;
    }
    let invoice = route("invoice", "order-app", "non_idempotent", 6_000, ",\"attempts\":2");
    deployment.configure(&invoice, 1_000, 1_000);
    let fleet = deployment.start_fleet(VMS)?;
    let lost: Arc<Mutex<Vec<LostRequest>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..fleet.count() * CLIENTS_PER_VM)
        .map(|index| {
            let vm = index % fleet.count();
            let mut client = Client::new(fleet.front(vm), Duration::from_secs(6));
            let (record, lost) = (record.clone(), Arc::clone(&lost));
            let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let attempt = new_attempt();
                    match client.call(&attempt, ("POST", "/invoice/1"), "", "charge") {
                        Ok(answer) => {
                            record.line(&format!("{attempt} is answered {}", answer.status()));
                            if answer.status() == 200 {
                                served.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                        Err(error) => {
                            let is_kept = client.sent > 1;
                            record.line(&format!("{attempt} gets no answer: {error}"));
                            lost.lock().unwrap_or_else(PoisonError::into_inner).push(
                                LostRequest { attempt, vm, is_kept },
                            );
                            thread::sleep(Duration::from_millis(100));
                        }
                    }
                }
            })
        })
        .collect();
    thread::sleep(CALM_TIME);
    let began = Instant::now();
    if is_troubled {
        record.line("the faulty replica begins to spoil answers");
        is_spoiling.store(true, Ordering::Relaxed);
    }
    thread::sleep(SPOIL_TIME);
    is_spoiling.store(false, Ordering::Relaxed);
    record.line(&format!("it has ended after {} ms", began.elapsed().as_millis()));
    thread::sleep(AFTER_TIME);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let lost = lost.lock().unwrap_or_else(PoisonError::into_inner);
    let is_counted = |request: &&LostRequest| {
        request.is_kept && runs.get(&request.attempt).is_some_and(|replica| replica != FAULTY)
    };
    let counted: Vec<_> = lost.iter().filter(is_counted).collect();
    let vms: BTreeSet<usize> = counted.iter().map(|request| request.vm).collect();
    record.say(&format!(
        "{} requests were served; processes ended by themselves {} times",
        served.load(Ordering::Relaxed),
        fleet.own_ends(),
    ));
    record.say(&format!(
        "{} requests from kept connections that a sound replica ran got no answer (at {} VMs); \
         {LOST_MAX} are allowed",
        counted.len(),
        vms.len(),
    ));
    let is_broken = counted.len() > LOST_MAX;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
