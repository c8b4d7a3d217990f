//! The holder's side: a thread that owns the store in the data folder.

use std::path::Path;
use std::thread::JoinHandle;

use async_channel::{Receiver, Sender};
use futures_lite::stream;
use ibisdale_core::{ProgramId, SlotId};
use ibisdale_fleet::proto::{
    AppendHistoryReply, AppendHistoryRequest, HistoryRecord, ReadHistoryRequest, SealHistoryReply,
    SealHistoryRequest,
};
use ibisdale_fleet::{FleetError, FleetHandlers};
use ibisdale_programs::{
    AppendStatus, HistoryStore, StoreDisk, StoreError, StoreOptions, StoredHistory, StoredRecord,
};
use ibisdale_telemetry::record_event;

use super::convert::{parse_stored, render_status, render_stored};

/// Folder of the histories within the data folder.
const HISTORY_FOLDER: &str = "history";
/// Appends that share one write to the disk at most.
const GROUP_MAX: usize = 256;

enum HolderMessage {
    Append(Vec<StoredRecord>, Sender<Vec<AppendStatus>>),
    Seal(SlotId, u64, Sender<Result<SealHistoryReply, StoreError>>),
    Read(
        SlotId,
        Option<ProgramId>,
        Sender<Result<Vec<StoredHistory>, StoreError>>,
    ),
    Stop,
}

/// The running holder.
#[derive(Debug)]
pub(crate) struct HistoryHolder {
    sender: Sender<HolderMessage>,
    thread: JoinHandle<()>,
}

impl std::fmt::Debug for HolderMessage {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("HolderMessage")
    }
}

impl HistoryHolder {
    /// Opens the store in the data folder and starts its thread.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be used or the thread can't be started.
    pub(crate) fn start(data_folder: &Path) -> Result<Self, StoreError> {
        let folder = data_folder.join(HISTORY_FOLDER);
        let options = StoreOptions::default();
        let (store, findings) = HistoryStore::open(&folder, options, StoreDisk::default())?;
        for finding in findings {
            record_event!(
                HistoryCut,
                path = finding.path.display(),
                bytes = finding.length
            );
        }
        let (sender, receiver) = async_channel::unbounded();
        let thread = std::thread::spawn(move || run_store(store, &receiver));
        Ok(Self { sender, thread })
    }

    /// Adds the handlers of owners' calls.
    pub(crate) fn add_handlers(&self, handlers: FleetHandlers) -> FleetHandlers {
        let (append, seal, read) = (
            self.sender.clone(),
            self.sender.clone(),
            self.sender.clone(),
        );
        handlers
            .append_history(move |request| append_records(append.clone(), request))
            .seal_history(move |request| seal_slot(seal.clone(), request))
            .read_history(move |request| read_records(read.clone(), request))
    }

    /// Stops the thread; everything confirmed is on disk.
    pub(crate) fn close(self) {
        let _ = self.sender.try_send(HolderMessage::Stop);
        if self.thread.join().is_err() {
            record_event!(
                InternalError,
                place = "history",
                error = "the thread panicked"
            );
        }
    }
}

fn run_store(mut store: HistoryStore, receiver: &Receiver<HolderMessage>) {
    let mut next = receiver.recv_blocking().ok();
    while let Some(message) = next.take() {
        match message {
            HolderMessage::Append(records, reply) => {
                next = append_group(&mut store, receiver, records, reply);
            }
            HolderMessage::Seal(slot, epoch, reply) => {
                let sealed = store.seal(slot, epoch);
                let answer = sealed.map(|seal| SealHistoryReply {
                    sealed: seal.is_sealed,
                    epoch: seal.epoch,
                });
                let _ = reply.try_send(answer);
            }
            HolderMessage::Read(slot, program, reply) => {
                let histories = match program {
                    Some(program) => store.read_program(program).map(|history| vec![history]),
                    None => store.read_slot(slot),
                };
                let _ = reply.try_send(histories);
            }
            HolderMessage::Stop => break,
        }
        if next.is_none() {
            next = receiver.recv_blocking().ok();
        }
    }
    store.close();
}

/// Appends all that waits in one write; returns the message after them.
fn append_group(
    store: &mut HistoryStore,
    receiver: &Receiver<HolderMessage>,
    records: Vec<StoredRecord>,
    reply: Sender<Vec<AppendStatus>>,
) -> Option<HolderMessage> {
    let mut group = records;
    let mut replies = vec![(group.len(), reply)];
    let mut next = None;
    while group.len() < GROUP_MAX {
        match receiver.try_recv() {
            Ok(HolderMessage::Append(more, reply)) => {
                replies.push((more.len(), reply));
                group.extend(more);
            }
            Ok(other) => {
                next = Some(other);
                break;
            }
            Err(_) => break,
        }
    }
    let mut statuses = store.append(&group).into_iter();
    for (count, reply) in replies {
        let own: Vec<AppendStatus> = statuses.by_ref().take(count).collect();
        report_failures(&own);
        let _ = reply.try_send(own);
    }
    next
}

fn report_failures(statuses: &[AppendStatus]) {
    if statuses.contains(&AppendStatus::DiskFull) {
        record_event!(HistoryDiskFull, path = HISTORY_FOLDER);
    }
    if statuses.contains(&AppendStatus::DiskError) {
        record_event!(
            HistoryDiskFailed,
            path = HISTORY_FOLDER,
            error = "an append failed"
        );
    }
}

fn stopped() -> FleetError {
    FleetError::Refused {
        message: "the holder is stopping".to_owned(),
    }
}

fn malformed(what: &str) -> FleetError {
    FleetError::Refused {
        message: format!("the call is malformed: {what}"),
    }
}

fn parse_slot(slot: u32) -> Result<SlotId, FleetError> {
    let slot = u16::try_from(slot).map_err(|_| malformed("slot"))?;
    SlotId::new(slot).map_err(|_| malformed("slot"))
}

async fn append_records(
    holder: Sender<HolderMessage>,
    request: AppendHistoryRequest,
) -> Result<AppendHistoryReply, FleetError> {
    let records: Option<Vec<_>> = request.records.into_iter().map(parse_stored).collect();
    let records = records.ok_or_else(|| malformed("record"))?;
    let (reply, answer) = async_channel::bounded(1);
    let _ = holder.try_send(HolderMessage::Append(records, reply));
    let statuses = answer.recv().await.map_err(|_| stopped())?;
    let statuses = statuses
        .into_iter()
        .map(|status| render_status(status).into());
    Ok(AppendHistoryReply {
        statuses: statuses.collect(),
    })
}

async fn seal_slot(
    holder: Sender<HolderMessage>,
    request: SealHistoryRequest,
) -> Result<SealHistoryReply, FleetError> {
    let slot = parse_slot(request.slot)?;
    let (reply, answer) = async_channel::bounded(1);
    let _ = holder.try_send(HolderMessage::Seal(slot, request.epoch, reply));
    let sealed = answer.recv().await.map_err(|_| stopped())?;
    sealed.map_err(|error| FleetError::Refused {
        message: error.to_string(),
    })
}

async fn read_records(
    holder: Sender<HolderMessage>,
    request: ReadHistoryRequest,
) -> Result<ibisdale_fleet::ReplyStream<HistoryRecord>, FleetError> {
    let slot = parse_slot(request.slot)?;
    let program = if request.program.is_empty() {
        None
    } else {
        Some(ProgramId::from_bytes(&request.program).map_err(|_| malformed("program"))?)
    };
    let (reply, answer) = async_channel::bounded(1);
    let _ = holder.try_send(HolderMessage::Read(slot, program, reply));
    let histories = answer.recv().await.map_err(|_| stopped())?;
    let histories = histories.map_err(|error| FleetError::Refused {
        message: error.to_string(),
    })?;
    let records = histories.into_iter().flat_map(|history| history.records);
    Ok(Box::pin(stream::iter(records.map(render_stored).map(Ok))))
}
