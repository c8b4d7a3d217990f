//! The owner's side: appends records at the holders of their slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use ibisdale_core::{RefusalCode, RequestRefusal, RunState};
use ibisdale_fleet::FleetLinks;
use ibisdale_fleet::proto::{AppendHistoryRequest, HistoryRecord};
use ibisdale_net::TrafficExecutor;
use ibisdale_policy::{MemberState, MemberUpdate};
use ibisdale_programs::{
    AppendStatus, FailureDomain, HolderKey, HolderState, HolderTable, ProgramRecord,
    ReplicationPolicy,
};
use ibisdale_telemetry::record_event;

use super::convert::{parse_status, render_record};
use crate::control::ControlHandle;
use crate::members::{MemberHandle, MemberSnapshot};

/// Records that one message carries at most.
const BATCH_MAX: usize = 256;
/// Time in which a holder must store records.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a refused append is worth another try.
const APPEND_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Result of storing records.
pub(crate) type StoreResult = Result<(), RequestRefusal>;

/// Records to append, of one root program.
#[derive(Debug)]
pub(crate) struct AppendJob {
    /// The records, in order.
    pub(crate) records: Vec<ProgramRecord>,
    /// Epoch of the owner that appends them.
    pub(crate) epoch: u64,
    /// Copies that the workspace wants.
    pub(crate) copies: usize,
    /// Where the result goes.
    pub(crate) reply: Sender<StoreResult>,
}

/// Appends the records of this daemon's programs, in order.
pub(crate) struct HistoryWriter {
    pub(crate) links: FleetLinks,
    pub(crate) members: MemberHandle,
    pub(crate) control: ControlHandle,
    pub(crate) executor: TrafficExecutor,
}

/// A holder with the jobs of a batch that go to it.
struct HolderBatch {
    address: SocketAddr,
    jobs: Vec<usize>,
}

impl HistoryWriter {
    /// Runs until the channel is closed.
    pub(crate) async fn run(self, receiver: Receiver<AppendJob>) {
        let mut holders = HolderTable::default();
        while let Ok(first) = receiver.recv().await {
            let mut jobs = vec![first];
            while jobs.len() < BATCH_MAX {
                let Ok(job) = receiver.try_recv() else { break };
                jobs.push(job);
            }
            let members = self.members.snapshot();
            update_holders(&mut holders, &members);
            self.append(&holders, &members, jobs).await;
        }
    }

    async fn append(&self, holders: &HolderTable, members: &MemberSnapshot, jobs: Vec<AppendJob>) {
        let mut results: Vec<StoreResult> = jobs.iter().map(|_| Ok(())).collect();
        let mut batches: BTreeMap<HolderKey, HolderBatch> = BTreeMap::new();
        for (index, job) in jobs.iter().enumerate() {
            match choose_holders(holders, job) {
                Ok(chosen) => add_to_batches(&mut batches, holders, members, &chosen, index),
                Err(refusal) => results[index] = Err(refusal),
            }
        }
        let jobs = Arc::new(jobs);
        let tasks: Vec<_> = batches
            .into_values()
            .map(|batch| {
                let links = self.links.clone();
                let control = self.control.clone();
                let task = append_at(links, control, Arc::clone(&jobs), batch);
                self.executor.spawn(task)
            })
            .collect();
        for task in tasks {
            for (index, result) in task.await {
                if result.is_err() {
                    results[index] = result;
                }
            }
        }
        for (job, result) in jobs.iter().zip(results) {
            let _ = job.reply.try_send(result);
        }
    }
}

fn holder_state(update: &MemberUpdate) -> HolderState {
    HolderState {
        name: update.facts.name.clone(),
        domain: FailureDomain::new(update.facts.failure_domain.clone()),
        is_live: update.state < MemberState::Suspect,
        is_leaving: update.state == MemberState::Draining,
        is_disk_unusable: false,
    }
}

fn update_holders(holders: &mut HolderTable, members: &MemberSnapshot) {
    let all = members.own.iter().chain(&members.others);
    for update in all.filter(|update| update.facts.is_holder) {
        holders.update(holder_state(update));
    }
}

fn choose_holders(
    holders: &HolderTable,
    job: &AppendJob,
) -> Result<Vec<HolderKey>, RequestRefusal> {
    let Some(record) = job.records.first() else {
        return Ok(Vec::new());
    };
    if job.copies == 0 {
        return Ok(Vec::new());
    }
    // More than one copy lies in more than one failure domain.
    let policy = ReplicationPolicy {
        copies: job.copies,
        domains: job.copies.min(2),
    };
    let chosen = holders.choose(record.root.slot(), policy, &[]);
    chosen.map_err(|shortage| shortage.refusal())
}

fn add_to_batches(
    batches: &mut BTreeMap<HolderKey, HolderBatch>,
    holders: &HolderTable,
    members: &MemberSnapshot,
    chosen: &[HolderKey],
    index: usize,
) {
    for key in chosen {
        let Some(address) = holder_address(holders, members, *key) else {
            continue;
        };
        let batch = batches.entry(*key);
        batch
            .or_insert(HolderBatch {
                address,
                jobs: Vec::new(),
            })
            .jobs
            .push(index);
    }
}

fn holder_address(
    holders: &HolderTable,
    members: &MemberSnapshot,
    key: HolderKey,
) -> Option<SocketAddr> {
    let name = &holders.get(key)?.name;
    let mut all = members.own.iter().chain(&members.others);
    let update = all.find(|update| update.facts.name == *name)?;
    Some(update.facts.fleet_address)
}

/// Appends a batch at one holder; a holder that misses earlier records gets the
/// whole history.
async fn append_at(
    links: FleetLinks,
    control: ControlHandle,
    jobs: Arc<Vec<AppendJob>>,
    batch: HolderBatch,
) -> Vec<(usize, StoreResult)> {
    let select = |index: &usize| (jobs[*index].epoch, jobs[*index].records.as_slice());
    let statuses = send(&links, batch.address, batch.jobs.iter().map(select)).await;
    let mut results = Vec::with_capacity(batch.jobs.len());
    for (index, status) in batch.jobs.iter().zip(statuses) {
        let status = match status {
            Some(AppendStatus::Gap) => {
                let job = &jobs[*index];
                let whole = control.export(job.records[0].root).await;
                let whole = (job.epoch, whole.as_slice());
                let again = send(&links, batch.address, std::iter::once(whole)).await;
                again.into_iter().next().flatten()
            }
            status => status,
        };
        results.push((*index, status_result(batch.address, status)));
    }
    results
}

/// Sends groups of records, each under the epoch of its owner; returns for each group its first status that is not
/// "stored", or nothing when the answer is lost.
async fn send(
    links: &FleetLinks,
    address: SocketAddr,
    groups: impl Iterator<Item = (u64, &[ProgramRecord])>,
) -> Vec<Option<AppendStatus>> {
    let groups: Vec<(u64, &[ProgramRecord])> = groups.collect();
    let render = |(epoch, group): &(u64, &[ProgramRecord])| -> Vec<_> {
        let records = group.iter();
        records
            .map(|record| render_record(record, *epoch))
            .collect()
    };
    let encoded: Result<Vec<HistoryRecord>, _> = groups.iter().flat_map(render).collect();
    let Ok(records) = encoded else {
        return vec![None; groups.len()];
    };
    let request = AppendHistoryRequest {
        records,
        ..AppendHistoryRequest::default()
    };
    let Ok(reply) = links.append_history(address, request, APPEND_TIMEOUT).await else {
        return vec![None; groups.len()];
    };
    let mut statuses = reply.statuses.into_iter().map(parse_status);
    groups
        .iter()
        .map(|(_, group)| {
            let own: Vec<AppendStatus> = statuses.by_ref().take(group.len()).collect();
            if own.len() < group.len() {
                return None;
            }
            let failed = own
                .into_iter()
                .find(|status| *status != AppendStatus::Stored);
            Some(failed.unwrap_or(AppendStatus::Stored))
        })
        .collect()
}

fn status_result(address: SocketAddr, status: Option<AppendStatus>) -> StoreResult {
    let (code, message) = match status {
        Some(AppendStatus::Stored) => return Ok(()),
        Some(AppendStatus::StaleEpoch) => (
            RefusalCode::OwnerUnavailable,
            "the program has another owner now",
        ),
        Some(AppendStatus::DiskFull) => {
            (RefusalCode::HistoryUnavailable, "a holder's disk is full")
        }
        Some(AppendStatus::DiskError | AppendStatus::Gap) => (
            RefusalCode::HistoryUnavailable,
            "a holder could not store the history",
        ),
        None => (RefusalCode::HistoryUnavailable, "a holder does not answer"),
    };
    record_event!(HistoryCopyFailed, daemon = address, error = message);
    let refusal = RequestRefusal::new(code, message).run_state(RunState::Unknown);
    Err(refusal.retry_after(APPEND_RETRY_DELAY))
}
