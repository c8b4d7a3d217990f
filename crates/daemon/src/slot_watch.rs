//! Follows the ownership of slots: who owns which, and what this daemon gains
//! and loses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use ibisdale_core::{DaemonName, SlotId, TimeStamp};
use ibisdale_net::TrafficExecutor;
use ibisdale_policy::ownership::OwnershipSnapshot;
use ibisdale_programs::{OpenAttempt, ProgramEvent, ProgramRecord, StepKind};
use ibisdale_telemetry::record_event;
use smol::Task;

use crate::context::{DaemonContext, OwnerTable, SlotOwner};
use crate::control::OwnedSlot;
use crate::history::{SlotRecovery, recover_slot};

/// Time between two looks at the ownership.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Slots read back at the same time.
const RECOVERIES_MAX: usize = 16;
/// First epoch of a slot, whose owner had none before it.
const FIRST_EPOCH: u64 = 1;

/// The running watch.
#[derive(Debug)]
pub(crate) struct SlotWatch {
    tasks: Vec<Task<()>>,
}

impl SlotWatch {
    /// Starts the watch.
    pub(crate) fn start(context: &Arc<DaemonContext>) -> Self {
        let executor = TrafficExecutor::clone(&context.executor);
        let (queue, slots) = async_channel::unbounded();
        let mut tasks = vec![executor.spawn(follow_slots(Arc::clone(context), queue))];
        for _ in 0..RECOVERIES_MAX {
            tasks.push(executor.spawn(recover_slots(Arc::clone(context), slots.clone())));
        }
        Self { tasks }
    }

    /// Stops the watch.
    pub(crate) async fn close(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

async fn follow_slots(context: Arc<DaemonContext>, queue: Sender<OwnedSlot>) {
    let mut held: BTreeMap<SlotId, u64> = BTreeMap::new();
    let mut known: Option<Arc<OwnershipSnapshot>> = None;
    let mut is_certain = true;
    loop {
        let is_held = is_lease_held(&context);
        if is_certain != is_held {
            is_certain = is_held;
            context.control.set_certain(is_held);
        }
        let snapshot = context.ownership.get_snapshot();
        if known
            .as_ref()
            .is_none_or(|known| !Arc::ptr_eq(known, &snapshot))
        {
            let now = context.clock.now();
            let table = owner_table(&snapshot, &context.owners.load(), now);
            context.owners.store(Arc::new(table));
            let own = own_slots(&snapshot);
            apply_changes(&context, &queue, &held, &own);
            context
                .metrics
                .set_slots(u32::try_from(own.len()).unwrap_or(u32::MAX));
            held = own;
            known = Some(snapshot);
        }
        smol::Timer::after(LOOK_INTERVAL).await;
    }
}

fn own_slots(snapshot: &OwnershipSnapshot) -> BTreeMap<SlotId, u64> {
    let owned = SlotId::all().filter_map(|slot| {
        let owner = snapshot.owner(slot).filter(|owner| owner.is_own)?;
        Some((slot, owner.epoch))
    });
    owned.collect()
}

fn owner_table(snapshot: &OwnershipSnapshot, known: &OwnerTable, now: TimeStamp) -> OwnerTable {
    let daemons = snapshot.daemons.iter();
    let addresses: BTreeMap<&DaemonName, (SocketAddr, SocketAddr)> = daemons
        .map(|daemon| {
            (
                &daemon.name,
                (daemon.record.entry_address, daemon.record.fleet_address),
            )
        })
        .collect();
    let owners = SlotId::all().map(|slot| {
        let owner = snapshot.owner(slot)?;
        let (entry_address, fleet_address) = *addresses.get(&owner.owner.name)?;
        let (epoch, is_self) = (owner.epoch, owner.is_own);
        let same = known.get(slot).filter(|known| known.epoch == epoch);
        let since = same.map_or(now, |known| known.since);
        Some(SlotOwner {
            entry_address,
            fleet_address,
            epoch,
            since,
            is_self,
        })
    });
    OwnerTable::new(owners.collect())
}

fn apply_changes(
    context: &DaemonContext,
    queue: &Sender<OwnedSlot>,
    held: &BTreeMap<SlotId, u64>,
    own: &BTreeMap<SlotId, u64>,
) {
    let lost: Vec<SlotId> = held
        .keys()
        .filter(|slot| !own.contains_key(slot))
        .copied()
        .collect();
    if !lost.is_empty() {
        context.control.release_slots(lost);
    }
    let gained = own
        .iter()
        .filter(|(slot, epoch)| held.get(slot) != Some(epoch));
    let gained: Vec<OwnedSlot> = gained
        .map(|(slot, epoch)| OwnedSlot {
            slot: *slot,
            epoch: *epoch,
        })
        .collect();
    if gained.is_empty() {
        return;
    }
    record_event!(SlotsTaken, count = gained.len());
    context.control.begin_slots(gained.clone());
    for slot in gained {
        // The channel is unbounded; it closes only with the daemon.
        let _ = queue.try_send(slot);
    }
}

async fn recover_slots(context: Arc<DaemonContext>, slots: Receiver<OwnedSlot>) {
    while let Ok(owned) = slots.recv().await {
        let recovery = if owned.epoch == FIRST_EPOCH {
            SlotRecovery::new_slot()
        } else {
            let members = context.members.snapshot();
            recover_slot(&context.links, &members, owned.slot, owned.epoch).await
        };
        let unsent = find_unsent(&context, &recovery).await;
        context.control.open_slot(owned, recovery, unsent);
    }
}

/// Finds the attempts that earlier owners left open and that were never sent:
/// those of which no intent is recorded.
async fn find_unsent(context: &DaemonContext, recovery: &SlotRecovery) -> Vec<OpenAttempt> {
    let mut unsent = Vec::new();
    for attempt in recovery
        .histories
        .iter()
        .flat_map(|history| open_paid_attempts(history))
    {
        let intent = context
            .ownership
            .find_intent(attempt.program, attempt.step)
            .await;
        if matches!(intent, Ok(None)) {
            unsent.push(attempt);
        }
    }
    unsent
}

/// Returns the attempts at non-idempotent calls without an outcome.
fn open_paid_attempts(history: &[ProgramRecord]) -> Vec<OpenAttempt> {
    let mut open: Vec<OpenAttempt> = Vec::new();
    for record in history {
        match &record.event {
            ProgramEvent::StepStarted(started)
                if started.kind == (StepKind::Call { idempotent: false }) =>
            {
                open.push(OpenAttempt {
                    program: record.program,
                    step: started.step,
                    attempt: started.attempt.clone(),
                    kind: started.kind,
                    epoch: record.epoch,
                });
            }
            ProgramEvent::StepFinished(finished) => {
                open.retain(|attempt| {
                    attempt.program != record.program || attempt.step != finished.step
                });
            }
            _ => {}
        }
    }
    open
}

/// Tells whether this daemon surely holds its lease.
pub(crate) fn is_lease_held(context: &DaemonContext) -> bool {
    let snapshot = context.ownership.get_snapshot();
    context.clock.now() < snapshot.lease_confirmed_until
}
