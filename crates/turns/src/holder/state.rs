//! State of a holder, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ibisdale_clients::{ClientAccount, ClientLimits};
use ibisdale_segments::{FrameLocation, StoreDisk, StoreError};
use ibisdale_telemetry::record_event;
use smol::channel::{Sender, unbounded};
use smol::{LocalExecutor, Timer};

use super::commit::{CommitRequest, run_commits};
use super::identity::HolderIdentity;
use super::{repairs, server};
use crate::holder_core::HolderCore;
use crate::holders::{HolderInfo, HolderTable};
use crate::index::ChainLink;
use crate::link::HolderLinks;
use crate::metrics::HolderMetrics;
use crate::turn::KeptTurn;
use crate::turn_log::TurnLog;

/// Number of segments into which the usable disk is divided at most.
const SEGMENTS_MAX: u64 = 24;
/// Bounds of a segment's length, in bytes.
const SEGMENT_BYTES: (u64, u64) = (1 << 20, 64 << 20);
/// Share of the disk that turns may take, in percent.
const DISK_USED_PERCENT: u64 = 90;
/// Interval at which expired turns are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Options of a holder.
#[derive(Clone, Debug)]
pub struct HolderOptions {
    /// Name, address and location, and the generation of the disk.
    pub info: HolderInfo,
    /// Folder for turns.
    pub folder: PathBuf,
    /// Size of the disk, in bytes.
    pub disk_bytes: u64,
    /// Memory for recent turns, in bytes.
    pub memory_bytes: usize,
    /// Bounds on what connections may make the process hold.
    pub client_limits: ClientLimits,
    /// Number of holders that may be lost at the same time without losing a turn.
    pub tolerated: usize,
    /// Whether the disk is known to hold all turns that were stored on this VM.
    pub is_whole: bool,
}

/// A VM with a disk that holds copies of turns; clones share the same state.
#[derive(Clone)]
pub struct TurnHolder {
    pub(crate) state: Rc<HolderState>,
}

impl std::fmt::Debug for TurnHolder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("TurnHolder")
    }
}

pub(crate) struct HolderState {
    pub(crate) options: HolderOptions,
    pub(crate) links: HolderLinks,
    pub(crate) metrics: HolderMetrics,
    pub(crate) started: Instant,
    /// Accessed on other threads for disk operations.
    pub(crate) log: Arc<Mutex<TurnLog>>,
    pub(crate) core: RefCell<HolderCore>,
    pub(crate) commits: Sender<CommitRequest>,
    /// Requests to store turns that have not been answered.
    pub(crate) stores_in_progress: Cell<usize>,
    pub(crate) disk_used: Cell<u64>,
    /// Account of the messages that are being read or answered.
    pub(crate) clients: ClientAccount,
}

impl TurnHolder {
    /// Reads the disk and creates a holder.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk can't be read.
    pub fn open(
        options: HolderOptions,
        identity: HolderIdentity,
        disk: StoreDisk,
        executor: &Rc<LocalExecutor<'static>>,
        metrics: HolderMetrics,
    ) -> Result<Self, StoreError> {
        let started = Instant::now();
        let copies = options.tolerated + 1;
        let mut core = HolderCore::new(
            options.info.clone(),
            copies,
            options.memory_bytes,
            options.is_whole,
        );
        let segment_bytes = options.disk_bytes / SEGMENTS_MAX;
        let segment_bytes = segment_bytes.clamp(SEGMENT_BYTES.0, SEGMENT_BYTES.1);
        let (log, recovery) =
            TurnLog::open(&options.folder, segment_bytes, disk, |turn, location| {
                core.add_turn(turn, location, 0);
            })?;
        core.set_whole(options.is_whole && !recovery.is_incomplete);
        record_event!(
            HolderStarted,
            vm = String::from_utf8_lossy(&options.info.name),
            generation = format!("{:x}", identity.generation),
            turns = recovery.turns,
            damages = recovery.found_damage.len(),
            whole = core.is_whole(),
            elapsed_ms = started.elapsed().as_millis(),
        );
        let (commits, commit_requests) = unbounded();
        let disk_used = log.total_bytes();
        let state = HolderState {
            links: HolderLinks::new(executor),
            metrics,
            started,
            log: Arc::new(Mutex::new(log)),
            core: RefCell::new(core),
            commits,
            stores_in_progress: Cell::new(0),
            disk_used: Cell::new(disk_used),
            clients: ClientAccount::new(options.client_limits.memory_bytes()),
            options,
        };
        let holder = Self {
            state: Rc::new(state),
        };
        holder.spawn(run_commits(holder.clone(), commit_requests));
        holder.spawn(repairs::run_repairs(holder.clone()));
        holder.spawn(remove_expired(holder.clone()));
        Ok(holder)
    }

    /// Opens the listener for requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(&self) -> std::io::Result<()> {
        let address = self.state.options.info.address();
        let listener = smol::Async::<std::net::TcpListener>::bind(address)?;
        self.spawn(server::accept(self.clone(), listener));
        Ok(())
    }

    /// Replaces the registered holders.
    pub fn set_holders(&self, holders: HolderTable) {
        let now_ms = self.now_ms();
        self.state.core.borrow_mut().set_holders(holders, now_ms);
    }

    /// Returns whether the disk is known to hold all turns that were stored on this VM.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.state.core.borrow().is_whole()
    }

    /// Records that the disk holds all turns that were stored on this VM, or does not.
    pub fn set_whole(&self, is_whole: bool) {
        self.state.core.borrow_mut().set_whole(is_whole);
    }

    /// Returns whether the holder is being emptied.
    #[must_use]
    pub fn is_retiring(&self) -> bool {
        self.state.core.borrow().is_retiring()
    }

    /// Returns the number of turns.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.state.core.borrow().index().len()
    }

    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.state.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.state.links.spawn(task);
    }

    /// Returns whether the disk has room for turns of this length.
    pub(crate) fn has_room(&self, bytes: u64) -> bool {
        let usable = self.state.options.disk_bytes / 100 * DISK_USED_PERCENT;
        self.state.disk_used.get() + bytes <= usable
    }

    /// Reads the turns that are not in memory.
    pub(crate) async fn read_links(
        &self,
        links: Vec<ChainLink>,
    ) -> Result<Vec<KeptTurn>, StoreError> {
        if links
            .iter()
            .all(|link| matches!(link, ChainLink::InMemory(_)))
        {
            return read_all(links, |_| Err(StoreError::Poisoned));
        }
        let log = Arc::clone(&self.state.log);
        smol::unblock(move || {
            let log = log.lock().unwrap_or_else(PoisonError::into_inner);
            read_all(links, |location| log.read(location))
        })
        .await
    }

    /// Stops the holder; stored turns are already on disk.
    pub fn close(self) {
        let name = String::from_utf8_lossy(&self.state.options.info.name);
        record_event!(HolderStopped, vm = name, turns = self.turn_count());
    }
}

fn read_all(
    links: Vec<ChainLink>,
    read: impl Fn(FrameLocation) -> Result<KeptTurn, StoreError>,
) -> Result<Vec<KeptTurn>, StoreError> {
    let turns = links.into_iter().map(|link| match link {
        ChainLink::InMemory(turn) => Ok(turn),
        ChainLink::OnDisk(location) => read(location),
    });
    turns.collect()
}

/// Removes expired turns, and segments without a turn to keep, until the process ends.
async fn remove_expired(holder: TurnHolder) {
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        let state = &holder.state;
        state.core.borrow_mut().expire(holder.now_ms());
        holder.update_metrics();
        let log = Arc::clone(&state.log);
        let closed: Vec<u64> = smol::unblock(move || {
            let log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.closed_segments().collect()
        })
        .await;
        // All turns of a closed segment are in the index: appends run one after another.
        let dead: Vec<u64> = {
            let core = state.core.borrow();
            let closed = closed.into_iter();
            closed
                .filter(|number| !core.index().is_segment_live(*number))
                .collect()
        };
        if dead.is_empty() {
            continue;
        }
        let log = Arc::clone(&state.log);
        let removed = smol::unblock(move || {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            let results = dead.into_iter().map(|number| log.remove_segment(number));
            let result: Result<(), StoreError> = results.collect();
            (result, log.total_bytes())
        });
        let (result, used) = removed.await;
        state.disk_used.set(used);
        if let Err(error) = result {
            record_event!(DiskFailed, operation = "remove a segment", error = error);
        }
    }
}

impl TurnHolder {
    fn update_metrics(&self) {
        let to_gauge = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let state = &self.state;
        let core = state.core.borrow();
        let index = core.index();
        state.metrics.turns.set(to_gauge(index.len()));
        state
            .metrics
            .memory_bytes
            .set(to_gauge(index.memory_bytes()));
        let unchecked = core.unchecked_count();
        state.metrics.unchecked.set(to_gauge(unchecked));
        let used = i64::try_from(state.disk_used.get()).unwrap_or(i64::MAX);
        state.metrics.disk_bytes.set(used);
    }
}
