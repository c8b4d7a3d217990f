//! A case in which a replica that has left gets requests.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crate::CaseResult;
use crate::caller::{ClientConnection, ClientRequest};
use crate::deployment::{Deployment, DeploymentPlan, Random};
use crate::record::CaseRecord;

/// Setting `drain_ms`.
const DRAIN_MS: u128 = 2_000;
/// Number of entry VMs.
const FRONTS: usize = 7;
/// Number of entry VMs that lose power at the same moment: the share 0.55 of all.
const LOST: usize = 4;
/// Time for which they stay dark.
const DARK_TIME: Duration = Duration::from_secs(2);
/// Time for which requests are sent after the replica has left.
const TRAFFIC_TIME: Duration = Duration::from_secs(7);
/// Time between two requests of one client.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);
/// Replica that leaves.
const LEAVING: &str = "i-wuno96b1";

/// Entry VMs lose power, those that watch the store among them, and a replica leaves meanwhile.
pub fn readers(record: &CaseRecord, has_trouble: bool) -> CaseResult {
    let plan = DeploymentPlan {
        fronts: 7,
        ..DeploymentPlan::default()
    };
    let mut deployment = Deployment::start(&plan, record)?;
    let watchers = deployment.store.watchers();
    record.say(&format!("the store is watched by {watchers:?}"));
    let is_watcher = |number: &usize| watchers.contains(&deployment.fronts[*number].name);
    let (mut lost, rest): (Vec<usize>, Vec<usize>) = (0..FRONTS).partition(is_watcher);
    let missing = LOST.saturating_sub(lost.len());
    lost.extend(rest.iter().take(missing));
    let live: Vec<usize> = rest.into_iter().skip(missing).collect();
    let run = std::process::id();
    // When each attempt was sent, as in the record.
    let sent: Mutex<HashMap<String, u128>> = Mutex::default();
    thread::sleep(Duration::from_millis(Random::new().below(1_000) as u64));
    if has_trouble {
        record.say(&format!("{} entry VMs lose power", lost.len()));
        for number in &lost {
            deployment.fronts[*number].kill();
        }
    }
    thread::sleep(Duration::from_millis(100));
    deployment.leave(LEAVING);
    let left_ms = record.now_ms();
    record.say(&format!("the entry of {LEAVING} is removed; it goes on serving"));
    let addresses: Vec<_> = live.iter().map(|number| deployment.front_address(*number)).collect();
    let restarted: std::io::Result<()> = thread::scope(|scope| {
        for (client, address) in addresses.iter().cycle().take(6).enumerate() {
            let sent = &sent;
            scope.spawn(move || {
                let mut connection = None;
                let mut number = 0;
                while record.now_ms() < left_ms + TRAFFIC_TIME.as_millis() {
                    number += 1;
                    let attempt = format!("{run:x}-{client}-{number}");
                    let request = ClientRequest {
                        method: "GET",
                        path: "/pule252/2f".to_owned(),
                        attempt: attempt.clone(),
                        fields: "X-Ibisdale-Deadline-Ms: 1500\r\n".to_owned(),
                        ..ClientRequest::default()
                    };
                    let open = connection.take().or_else(|| ClientConnection::open(*address).ok());
                    if let Some(mut open) = open {
                        let now_ms = record.now_ms();
                        let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
                        sent.insert(attempt.clone(), now_ms);
                        drop(sent);
                        let (result, is_open) = open.exchange(&request);
                        record.line(&format!("{attempt} by {address} gets {}", result.status));
                        connection = is_open.then_some(open);
                    }
                    thread::sleep(REQUEST_PAUSE);
                }
            });
        }
        if has_trouble {
            thread::sleep(DARK_TIME - Duration::from_millis(100));
            for number in &lost {
                deployment.fronts[*number].start()?;
            }
            record.say("they start again");
        }
        Ok(())
    });
    restarted?;
    let sent = sent.into_inner().unwrap_or_else(PoisonError::into_inner);
    let runs = deployment.runs.all();
    let late = runs.iter().filter(|run| {
        let sent_ms = sent.get(&run.attempt).copied().unwrap_or(0);
        run.replica == LEAVING && sent_ms > left_ms + DRAIN_MS
    });
    let late: Vec<_> = late.collect();
    for run in late.iter().take(5) {
        record.say(&format!(
            "{} reaches {LEAVING} {} ms after its entry was removed",
            run.attempt,
            run.at_ms - left_ms
        ));
    }
    record.say(&format!(
        "{} of {} requests reach {LEAVING} later than {DRAIN_MS} ms after its entry was removed, by {} VMs without disruption",
        late.len(),
        runs.len(),
        live.len()
    ));
    deployment.close();
    if runs.is_empty() {
        return Err(std::io::Error::other("no request was served"));
    }
    Ok(!late.is_empty())
}
