//! Daemons, their calls in flight, and the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{AttemptKey, DaemonName, ProgramId, SLOT_COUNT, SlotId, StepNumber, TimeStamp};
use ibisdale_policy::journal::{IntentRequest, IntentTicket, IntentVerdict};
use ibisdale_policy::ownership::{
    CallFailure, CallId, DaemonProfile, IssuedCall, OwnershipMachine, OwnershipOptions,
    SessionPhase, StoreAnswer, daemon_key,
};

use super::store::ModelStore;

/// Time allowed for an action to be recorded.
const INTENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between polls while the fleet settles.
const SETTLE_STEP: Duration = Duration::from_millis(100);

/// How a call fares.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallFate {
    Answered,
    AnswerLost,
    RequestLost,
    /// Given up by the caller, and carried out later.
    Late,
    /// Answered by an earlier state, when it is a read.
    Lagging(u8),
}

type Answer = Result<StoreAnswer, CallFailure>;

struct Process {
    machine: OwnershipMachine,
    inbox: VecDeque<(CallId, Answer)>,
    tickets: BTreeMap<IntentTicket, (ProgramId, StepNumber)>,
    watched: Option<i64>,
    is_paused: bool,
}

struct Flight {
    daemon: usize,
    generation: u64,
    call: IssuedCall,
    is_late: bool,
}

pub(crate) struct World {
    pub(crate) now: TimeStamp,
    pub(crate) store: ModelStore,
    processes: Vec<Option<Process>>,
    generations: Vec<u64>,
    flights: Vec<Flight>,
    is_outage: bool,
    /// Revisions that all reads are behind.
    read_lag: u8,
    sent: BTreeMap<(ProgramId, StepNumber), u32>,
    done: BTreeSet<(ProgramId, StepNumber)>,
    slot_count: u16,
    attempts: u64,
    tune: fn(OwnershipOptions) -> OwnershipOptions,
}

pub(crate) fn name_of(daemon: usize) -> DaemonName {
    DaemonName::new(format!("d{daemon:03}")).expect("a name")
}

fn program_of(slot: u16, number: u8) -> ProgramId {
    let mut bytes = [number; 16];
    bytes[..2].copy_from_slice(&slot.to_be_bytes());
    ProgramId::from_bytes(&bytes).expect("an id")
}

impl World {
    pub(crate) fn new(
        daemons: usize,
        slot_count: u16,
        tune: fn(OwnershipOptions) -> OwnershipOptions,
    ) -> Self {
        assert!(slot_count <= SLOT_COUNT);
        Self {
            now: TimeStamp::from_millis(1_000),
            store: ModelStore::default(),
            processes: (0..daemons).map(|_| None).collect(),
            generations: vec![0; daemons],
            flights: Vec::new(),
            is_outage: false,
            read_lag: 0,
            sent: BTreeMap::new(),
            done: BTreeSet::new(),
            slot_count,
            attempts: 0,
            tune,
        }
    }

    pub(crate) fn start(&mut self, daemon: usize) {
        if self.processes[daemon].is_some() {
            return;
        }
        self.generations[daemon] += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let profile = DaemonProfile {
            name: name_of(daemon),
            fleet_address: address,
            entry_address: address,
            failure_domain: "a".to_owned(),
        };
        let seed = 1_000 * self.generations[daemon] + daemon as u64;
        let options = OwnershipOptions::new(profile, seed).slot_count(self.slot_count);
        self.processes[daemon] = Some(Process {
            machine: OwnershipMachine::new((self.tune)(options)),
            inbox: VecDeque::new(),
            tickets: BTreeMap::new(),
            watched: None,
            is_paused: false,
        });
    }

    /// Ends a process; its calls in flight may still take effect.
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

    pub(crate) fn lapse(&mut self, daemon: usize) {
        if !self.is_outage {
            self.store.end_lease_of(&daemon_key(&name_of(daemon)));
        }
    }

    pub(crate) fn drain(&mut self, daemon: usize) {
        if let Some(process) = &mut self.processes[daemon] {
            process.machine.start_drain();
        }
    }

    pub(crate) fn miss_changes(&mut self, daemon: usize) {
        if let Some(process) = &mut self.processes[daemon] {
            process.watched = None;
            process.machine.on_gap();
        }
    }

    /// A caller asks for a paid step; the answer may be that it is not run.
    pub(crate) fn ask(&mut self, daemon: usize, slot: u16, program: u8, step: u32) {
        let program = program_of(slot % self.slot_count, program);
        let step = StepNumber::new(step);
        self.attempts += 1;
        if self.done.contains(&(program, step)) {
            return;
        }
        let Some(process) = &mut self.processes[daemon] else {
            return;
        };
        let request = IntentRequest {
            program,
            step,
            attempt: AttemptKey::new(format!("a{}", self.attempts)).expect("a key"),
            deadline: self.now.plus(INTENT_TIMEOUT),
        };
        let ticket = process.machine.push_intent(request);
        process.tickets.insert(ticket, (program, step));
    }

    /// The outcome of a sent step is stored by the owner, if it still is.
    pub(crate) fn finish(&mut self, daemon: usize, slot: u16, program: u8, step: u32) {
        let program = program_of(slot % self.slot_count, program);
        let step = StepNumber::new(step);
        let Some(process) = &mut self.processes[daemon] else {
            return;
        };
        let is_recorded = process.machine.get_intent(program, step).is_some();
        let epoch = process.machine.own_epoch(program.slot());
        let record = self.store.record(program.slot());
        // The holders of history refuse earlier epochs.
        let is_accepted = epoch.is_some() && epoch == record.map(|record| record.epoch);
        if is_recorded && is_accepted && self.sent.contains_key(&(program, step)) {
            self.done.insert((program, step));
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
        while let Some((id, answer)) = process.inbox.pop_front() {
            if let Ok(StoreAnswer::Fleet(read)) = &answer {
                process.watched = Some(read.revision);
            }
            process.machine.on_answer(id, answer, now);
        }
        for call in process.machine.poll(now) {
            self.flights.push(Flight {
                daemon,
                generation: self.generations[daemon],
                call,
                is_late: false,
            });
        }
        for receipt in process.machine.take_receipts() {
            let action = process.tickets.remove(&receipt.ticket).expect("a request");
            if let IntentVerdict::Committed { .. } = receipt.verdict {
                *self.sent.entry(action).or_default() += 1;
            }
        }
    }

    /// Lets one call in flight fare as `fate` says.
    pub(crate) fn deliver(&mut self, pick: usize, fate: CallFate) {
        if self.flights.is_empty() {
            return;
        }
        let index = pick % self.flights.len();
        if matches!(fate, CallFate::Late) && !self.flights[index].is_late {
            self.flights[index].is_late = true;
            let (daemon, generation) = (self.flights[index].daemon, self.flights[index].generation);
            let id = self.flights[index].call.id;
            self.answer(daemon, generation, id, Err(CallFailure::Unknown));
            return;
        }
        let flight = self.flights.remove(index);
        let lag = match fate {
            CallFate::Lagging(lag) => usize::from(lag),
            _ => usize::from(self.read_lag),
        };
        let answer = match fate {
            _ if self.is_outage => Err(CallFailure::NotApplied),
            CallFate::RequestLost => Err(CallFailure::Unknown),
            _ => self.store.run(&flight.call.call, self.now, lag),
        };
        let answer = match fate {
            CallFate::AnswerLost => Err(CallFailure::Unknown),
            _ => answer,
        };
        if !flight.is_late {
            self.answer(flight.daemon, flight.generation, flight.call.id, answer);
        }
    }

    fn answer(&mut self, daemon: usize, generation: u64, id: CallId, answer: Answer) {
        if self.generations[daemon] != generation {
            return;
        }
        if let Some(process) = &mut self.processes[daemon] {
            process.inbox.push_back((id, answer));
        }
    }

    /// Delivers calls in order, but for those of paused daemons.
    pub(crate) fn deliver_running(&mut self, count: usize) {
        for _ in 0..count {
            let is_running = |flight: &Flight| {
                let process = self.processes[flight.daemon].as_ref();
                !flight.is_late && process.is_none_or(|process| !process.is_paused)
            };
            let Some(index) = self.flights.iter().position(is_running) else {
                return;
            };
            self.deliver(index, CallFate::Answered);
        }
    }

    /// A daemon asks for a write in all its slots, and is paused past its lease.
    pub(crate) fn stall(&mut self, daemon: usize, step: u32) {
        for slot in 0..self.slot_count {
            self.ask(daemon, slot, 0, step);
        }
        self.advance(10);
        self.set_paused(daemon, true);
        self.lapse(daemon);
    }

    /// Reports up to `count` changes to a daemon.
    pub(crate) fn report(&mut self, daemon: usize, count: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[daemon] else {
            return;
        };
        let Some(watched) = process.watched.filter(|_| !process.is_paused) else {
            return;
        };
        let log = &self.store.log;
        let first = log.partition_point(|change| change.revision <= watched);
        let changes = log[first..].iter().take(count).cloned().collect::<Vec<_>>();
        let Some(last) = changes.last() else {
            return;
        };
        // The rest of a revision comes with it, as from the service.
        let end = log.partition_point(|change| change.revision <= last.revision);
        process.watched = Some(last.revision);
        process.machine.on_changes(&log[first..end], now);
    }

    pub(crate) fn check(&self) {
        for ((program, step), count) in &self.sent {
            assert!(*count <= 1, "{program} step {step} was sent {count} times");
        }
        for process in self.processes.iter().flatten() {
            let Some(identity) = process.machine.identity() else {
                continue;
            };
            for slot in SlotId::all().take(usize::from(self.slot_count)) {
                if let Some(epoch) = process.machine.own_epoch(slot) {
                    let owner = self.store.owners.get(&(slot, epoch));
                    assert_eq!(owner, Some(&identity), "{slot:?} in epoch {epoch}");
                }
            }
        }
    }

    /// Ends all faults and runs for `duration`.
    pub(crate) fn settle(&mut self, duration: Duration) {
        self.set_outage(false);
        self.set_read_lag(0);
        for daemon in 0..self.processes.len() {
            self.set_paused(daemon, false);
        }
        let end = self.now.plus(duration);
        while self.now < end {
            self.advance(u64::try_from(SETTLE_STEP.as_millis()).expect("a short time"));
            while !self.flights.is_empty() {
                self.deliver(0, CallFate::Answered);
            }
            for daemon in 0..self.processes.len() {
                self.report(daemon, usize::MAX);
                self.poll(daemon);
            }
            self.check();
        }
    }

    fn is_taker(&self, daemon: usize) -> bool {
        let process = self.processes[daemon].as_ref();
        process.is_some_and(|process| process.machine.snapshot().phase == SessionPhase::Active)
    }

    pub(crate) fn phase(&self, daemon: usize) -> Option<SessionPhase> {
        let process = self.processes[daemon].as_ref()?;
        Some(process.machine.snapshot().phase)
    }

    /// Returns the number of slots that each registered daemon owns.
    pub(crate) fn own_counts(&self) -> Vec<usize> {
        let count = |process: &Option<Process>| {
            let process = process.as_ref()?;
            Some(process.machine.snapshot().own_slots().count())
        };
        self.processes.iter().filter_map(count).collect()
    }

    /// Every slot has an owner that knows of it, if any daemon takes slots.
    pub(crate) fn check_all_owned(&self) {
        let takers: Vec<usize> = (0..self.processes.len())
            .filter(|daemon| self.is_taker(*daemon))
            .collect();
        if takers.is_empty() {
            return;
        }
        let total: usize = self.own_counts().iter().sum();
        assert_eq!(total, usize::from(self.slot_count), "slots without owner");
    }
}
