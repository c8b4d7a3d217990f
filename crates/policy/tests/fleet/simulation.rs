//! Simulated daemons with their calls in flight and the model store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{AttemptKey, DaemonName, ProgramId, SLOT_COUNT, SlotId, StepNumber, TimeStamp};
use ibisdale_policy::journal::{IntentRequest, IntentTicket, IntentVerdict};
use ibisdale_policy::ownership::{
    CallFailure, CallId, DaemonProfile, IssuedCall, OwnershipMachine, OwnershipOptions,
    RegistrationPhase, StoreResponse, daemon_key,
};

use super::store::ModelStore;

/// Timeout of a request to record an action.
const INTENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between polls in [`FleetSimulation::run_without_faults`].
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How a call and its response are delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallDelivery {
    Delivered,
    /// Executed, but reported to the caller as unknown.
    ResponseLost,
    /// Not executed, and reported to the caller as unknown.
    RequestLost,
    /// Reported to the caller as unknown and executed later.
    Delayed,
    /// Executed; a read returns the state as of this many revisions ago.
    StaleRead(u8),
}

type Response = Result<StoreResponse, CallFailure>;

struct Process {
    machine: OwnershipMachine,
    inbox: VecDeque<(CallId, Response)>,
    tickets: BTreeMap<IntentTicket, (ProgramId, StepNumber)>,
    watched_revision: Option<i64>,
    is_paused: bool,
}

struct InFlightCall {
    daemon: usize,
    generation: u64,
    call: IssuedCall,
    is_delayed: bool,
}

pub(crate) struct FleetSimulation {
    pub(crate) now: TimeStamp,
    pub(crate) store: ModelStore,
    processes: Vec<Option<Process>>,
    generations: Vec<u64>,
    in_flight: Vec<InFlightCall>,
    is_outage: bool,
    /// Number of revisions that all reads lag behind.
    read_lag: u8,
    /// How often each recorded action was sent.
    send_counts: BTreeMap<(ProgramId, StepNumber), u32>,
    /// Steps whose outcome is stored in the history.
    completed: BTreeSet<(ProgramId, StepNumber)>,
    slot_count: u16,
    attempts: u64,
    configure: fn(OwnershipOptions) -> OwnershipOptions,
}

pub(crate) fn daemon_name(daemon: usize) -> DaemonName {
    DaemonName::new(format!("d{daemon:03}")).expect("daemon name is valid")
}

fn program_id(slot: u16, number: u8) -> ProgramId {
    let mut bytes = [number; 16];
    bytes[..2].copy_from_slice(&slot.to_be_bytes());
    ProgramId::from_bytes(&bytes).expect("program id is valid")
}

impl FleetSimulation {
    pub(crate) fn new(
        daemons: usize,
        slot_count: u16,
        configure: fn(OwnershipOptions) -> OwnershipOptions,
    ) -> Self {
        assert!(slot_count <= SLOT_COUNT);
        Self {
            now: TimeStamp::from_millis(1_000),
            store: ModelStore::default(),
            processes: (0..daemons).map(|_| None).collect(),
            generations: vec![0; daemons],
            in_flight: Vec::new(),
            is_outage: false,
            read_lag: 0,
            send_counts: BTreeMap::new(),
            completed: BTreeSet::new(),
            slot_count,
            attempts: 0,
            configure,
        }
    }

    pub(crate) fn start(&mut self, daemon: usize) {
        if self.processes[daemon].is_some() {
            return;
        }
        self.generations[daemon] += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let profile = DaemonProfile {
            name: daemon_name(daemon),
            fleet_address: address,
            entry_address: address,
            failure_domain: "a".to_owned(),
        };
        let seed = 1_000 * self.generations[daemon] + daemon as u64;
        let options = OwnershipOptions::new(profile, seed).slot_count(self.slot_count);
        self.processes[daemon] = Some(Process {
            machine: OwnershipMachine::new((self.configure)(options)),
            inbox: VecDeque::new(),
            tickets: BTreeMap::new(),
            watched_revision: None,
            is_paused: false,
        });
    }

    /// Kills a process. Its calls in flight may still take effect.
    pub(crate) fn kill(&mut self, daemon: usize) {
        self.processes[daemon] = None;
    }

    pub(crate) fn set_paused(&mut self, daemon: usize, is_paused: bool) {
        if let Some(process) = &mut self.processes[daemon] {
            process.is_paused = is_paused;
        }
    }

    pub(crate) fn set_outage(&mut self, is_outage: bool) {
        if self.is_outage && !is_outage {
            self.store.extend_leases(self.now);
        }
        self.is_outage = is_outage;
    }

    pub(crate) fn set_read_lag(&mut self, revisions: u8) {
        self.read_lag = revisions;
    }

    pub(crate) fn expire_lease(&mut self, daemon: usize) {
        if !self.is_outage {
            self.store.end_lease_of(&daemon_key(&daemon_name(daemon)));
        }
    }

    pub(crate) fn drain(&mut self, daemon: usize) {
        if let Some(process) = &mut self.processes[daemon] {
            process.machine.start_drain();
        }
    }

    pub(crate) fn drop_watch(&mut self, daemon: usize) {
        if let Some(process) = &mut self.processes[daemon] {
            process.watched_revision = None;
            process.machine.on_gap();
        }
    }

    /// Requests that a daemon record the paid action of a step, unless the outcome of
    /// the step is already stored.
    pub(crate) fn request_action(&mut self, daemon: usize, slot: u16, program: u8, step: u32) {
        let program = program_id(slot % self.slot_count, program);
        let step = StepNumber::new(step);
        self.attempts += 1;
        if self.completed.contains(&(program, step)) {
            return;
        }
        let Some(process) = &mut self.processes[daemon] else {
            return;
        };
        let request = IntentRequest {
            program,
            step,
            attempt: AttemptKey::new(format!("a{}", self.attempts)).expect("attempt key is valid"),
            deadline: self.now.plus(INTENT_TIMEOUT),
        };
        let ticket = process.machine.push_intent(request);
        process.tickets.insert(ticket, (program, step));
    }

    /// Stores the outcome of a sent step, if the daemon still owns the slot.
    pub(crate) fn store_outcome(&mut self, daemon: usize, slot: u16, program: u8, step: u32) {
        let program = program_id(slot % self.slot_count, program);
        let step = StepNumber::new(step);
        let Some(process) = &mut self.processes[daemon] else {
            return;
        };
        let is_recorded = process.machine.get_intent(program, step).is_some();
        let epoch = process.machine.own_epoch(program.slot());
        let record = self.store.record(program.slot());
        // The holders of the program's history refuse earlier epochs.
        let is_accepted = epoch.is_some() && epoch == record.map(|record| record.epoch);
        if is_recorded && is_accepted && self.send_counts.contains_key(&(program, step)) {
            self.completed.insert((program, step));
            process.machine.finish_intent(program, step, self.now);
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now.plus(Duration::from_millis(millis));
        if !self.is_outage {
            self.store.expire_leases(self.now);
        }
        for daemon in 0..self.processes.len() {
            self.poll(daemon);
        }
    }

    fn poll(&mut self, daemon: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[daemon] else {
            return;
        };
        if process.is_paused {
            return;
        }
        while let Some((id, response)) = process.inbox.pop_front() {
            if let Ok(StoreResponse::Fleet(read)) = &response {
                process.watched_revision = Some(read.revision);
            }
            process.machine.on_response(id, response, now);
        }
        for call in process.machine.poll(now) {
            self.in_flight.push(InFlightCall {
                daemon,
                generation: self.generations[daemon],
                call,
                is_delayed: false,
            });
        }
        for receipt in process.machine.take_receipts() {
            let action = process
                .tickets
                .remove(&receipt.ticket)
                .expect("receipt has a known ticket");
            if let IntentVerdict::Committed { .. } = receipt.verdict {
                *self.send_counts.entry(action).or_default() += 1;
            }
        }
    }

    /// Delivers the call in flight with index `call_choice` modulo their number.
    pub(crate) fn deliver(&mut self, call_choice: usize, delivery: CallDelivery) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = call_choice % self.in_flight.len();
        if matches!(delivery, CallDelivery::Delayed) && !self.in_flight[index].is_delayed {
            self.in_flight[index].is_delayed = true;
            let (daemon, generation) = (
                self.in_flight[index].daemon,
                self.in_flight[index].generation,
            );
            let id = self.in_flight[index].call.id;
            self.queue_response(daemon, generation, id, Err(CallFailure::Unknown));
            return;
        }
        let pending = self.in_flight.remove(index);
        let lag = match delivery {
            CallDelivery::StaleRead(lag) => usize::from(lag),
            _ => usize::from(self.read_lag),
        };
        let response = match delivery {
            _ if self.is_outage => Err(CallFailure::NotApplied),
            CallDelivery::RequestLost => Err(CallFailure::Unknown),
            _ => self.store.run(&pending.call.call, self.now, lag),
        };
        let response = match delivery {
            CallDelivery::ResponseLost => Err(CallFailure::Unknown),
            _ => response,
        };
        if !pending.is_delayed {
            self.queue_response(
                pending.daemon,
                pending.generation,
                pending.call.id,
                response,
            );
        }
    }

    fn queue_response(&mut self, daemon: usize, generation: u64, id: CallId, response: Response) {
        if self.generations[daemon] != generation {
            return;
        }
        if let Some(process) = &mut self.processes[daemon] {
            process.inbox.push_back((id, response));
        }
    }

    /// Delivers up to `count` calls in order, skipping delayed calls and those of paused
    /// daemons.
    pub(crate) fn deliver_unpaused(&mut self, count: usize) {
        for _ in 0..count {
            let is_deliverable = |pending: &InFlightCall| {
                let process = self.processes[pending.daemon].as_ref();
                !pending.is_delayed && process.is_none_or(|process| !process.is_paused)
            };
            let Some(index) = self.in_flight.iter().position(is_deliverable) else {
                return;
            };
            self.deliver(index, CallDelivery::Delivered);
        }
    }

    /// Requests an action in every slot from a daemon, then pauses the daemon with the
    /// journal write in flight and ends its lease.
    pub(crate) fn pause_with_journal_write_in_flight(&mut self, daemon: usize, step: u32) {
        for slot in 0..self.slot_count {
            self.request_action(daemon, slot, 0, step);
        }
        self.advance(10);
        self.set_paused(daemon, true);
        self.expire_lease(daemon);
    }

    /// Delivers at least `count` watched changes to a daemon, or all that are left.
    pub(crate) fn deliver_changes(&mut self, daemon: usize, count: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[daemon] else {
            return;
        };
        let Some(watched_revision) = process.watched_revision.filter(|_| !process.is_paused) else {
            return;
        };
        let log = &self.store.changes;
        let first = log.partition_point(|change| change.revision <= watched_revision);
        let changes = log[first..].iter().take(count).cloned().collect::<Vec<_>>();
        let Some(last) = changes.last() else {
            return;
        };
        // Changes of one revision are delivered together, as the service does.
        let end = log.partition_point(|change| change.revision <= last.revision);
        process.watched_revision = Some(last.revision);
        process.machine.on_changes(&log[first..end], now);
    }

    /// Checks that no action was sent twice and that each daemon's owned slots and
    /// epochs match those that were written to the store.
    pub(crate) fn check_invariants(&self) {
        for ((program, step), count) in &self.send_counts {
            assert!(*count <= 1, "{program} step {step} was sent {count} times");
        }
        for process in self.processes.iter().flatten() {
            let Some(registration) = process.machine.registration() else {
                continue;
            };
            for slot in SlotId::all().take(usize::from(self.slot_count)) {
                if let Some(epoch) = process.machine.own_epoch(slot) {
                    let owner = self.store.owners.get(&(slot, epoch));
                    assert_eq!(
                        owner,
                        Some(&registration),
                        "owner of {slot:?} in epoch {epoch}"
                    );
                }
            }
        }
    }

    /// Ends the outage, read lag and pauses, then runs for `duration` without faults.
    pub(crate) fn run_without_faults(&mut self, duration: Duration) {
        self.set_outage(false);
        self.set_read_lag(0);
        for daemon in 0..self.processes.len() {
            self.set_paused(daemon, false);
        }
        let end = self.now.plus(duration);
        while self.now < end {
            self.advance(
                u64::try_from(POLL_INTERVAL.as_millis()).expect("interval fits in 64 bits"),
            );
            while !self.in_flight.is_empty() {
                self.deliver(0, CallDelivery::Delivered);
            }
            for daemon in 0..self.processes.len() {
                self.deliver_changes(daemon, usize::MAX);
                self.poll(daemon);
            }
            self.check_invariants();
        }
    }

    fn is_active(&self, daemon: usize) -> bool {
        let process = self.processes[daemon].as_ref();
        process.is_some_and(|process| process.machine.snapshot().phase == RegistrationPhase::Active)
    }

    pub(crate) fn phase(&self, daemon: usize) -> Option<RegistrationPhase> {
        let process = self.processes[daemon].as_ref()?;
        Some(process.machine.snapshot().phase)
    }

    /// Returns the number of slots that each running daemon owns.
    pub(crate) fn own_counts(&self) -> Vec<usize> {
        let count = |process: &Option<Process>| {
            let process = process.as_ref()?;
            Some(process.machine.snapshot().own_slots().count())
        };
        self.processes.iter().filter_map(count).collect()
    }

    /// Checks that the daemons together own as many slots as there are, if any daemon is
    /// active.
    pub(crate) fn check_all_owned(&self) {
        let active: Vec<usize> = (0..self.processes.len())
            .filter(|daemon| self.is_active(*daemon))
            .collect();
        if active.is_empty() {
            return;
        }
        let total: usize = self.own_counts().iter().sum();
        assert_eq!(total, usize::from(self.slot_count), "number of owned slots");
    }
}
