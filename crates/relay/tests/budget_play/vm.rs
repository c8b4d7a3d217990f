//! One VM of a play: what its process knows, and how it handles messages as the daemon does.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;

use bytes::Bytes;
use ibisdale_relay::decide::{
    AccountCopy, AccountReply, BudgetLedger, BudgetShare, BudgetVerdict, CeilingClaim,
    CeilingReads, ClaimOutcome, ClaimStatus, HomeDecision, HomeSearch, HomeView, LossFacts,
    LossTable, MemberFacts, MemberTable, NewProcess, ProgramKey, ROUND_MS, StoredCeiling, VmKey,
    VmLoss, VmProcess, WitnessReply, has_lost_partner, missing_copies,
};

/// Time for which programs are remembered, in milliseconds.
const RETENTION_MS: u64 = 65_000;
/// Number of VMs that keep an account.
pub(crate) const COPIES: usize = 2;
/// Wall-clock time at which a play begins, in milliseconds since the Unix epoch.
pub(crate) const EPOCH_MS: u64 = 1_000_000;

pub(crate) type CallId = u64;

/// A message between VMs.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    State(MemberFacts, Option<u64>),
    Left(VmProcess),
    Copies(Vec<(ProgramKey, AccountCopy)>),
    Settle(ProgramKey, BudgetShare),
    Reserve(ProgramKey, u64, BudgetShare, AccountCopy),
    Reserved(Option<BudgetVerdict>, AccountCopy),
    RequestRole(ProgramKey, VmProcess),
    RoleYielded(AccountReply),
    Replicate(ProgramKey, AccountCopy),
    Replicated(WitnessReply),
}

/// Who waits for a decision of this VM as home.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Requester {
    /// A call that this VM serves.
    Own(CallId),
    Peer(usize, CallId),
    /// Nobody: the account gets another keeper.
    None,
}

/// A decision of this VM as home that is under way or waits for its turn.
pub(crate) struct HomeTask {
    pub(crate) program: ProgramKey,
    pub(crate) decision: HomeDecision,
    pub(crate) requester: Requester,
    /// VMs that were asked for the role and have not replied, and the replies so far.
    pub(crate) asked: Vec<VmKey>,
    pub(crate) replies: Vec<AccountReply>,
    /// Number of the exchange that the decision waits for.
    pub(crate) exchange: CallId,
    pub(crate) waits_until_ms: u64,
}

/// A call of a program that this VM serves and that is not granted yet.
pub(crate) struct ServedCall {
    pub(crate) attempt: u64,
    pub(crate) program: ProgramKey,
    pub(crate) budget: u64,
    pub(crate) share: BudgetShare,
    pub(crate) search: HomeSearch,
    /// VM that was asked last, if it is another one.
    pub(crate) asked: Option<VmKey>,
    pub(crate) exchange: CallId,
}

/// What a VM has to do in a gossip round.
#[derive(Default)]
pub(crate) struct RoundWork {
    pub(crate) copies: Vec<(VmKey, ProgramKey, AccountCopy)>,
    /// Programs whose accounts get another keeper.
    pub(crate) kept: Vec<ProgramKey>,
}

/// The process of a VM.
pub(crate) struct Process {
    pub(crate) facts: MemberFacts,
    started_ms: u64,
    is_first_start: bool,
    has_registrations: bool,
    pub(crate) ledger: BudgetLedger,
    pub(crate) members: MemberTable,
    pub(crate) losses: LossTable,
    pub(crate) reads: CeilingReads,
    pub(crate) are_copies_due: bool,
    /// Decisions by program, the one under way first.
    pub(crate) tasks: HashMap<ProgramKey, VecDeque<HomeTask>>,
    pub(crate) calls: BTreeMap<CallId, ServedCall>,
    /// Granted calls under way, with the client attempt that each is for.
    pub(crate) running: BTreeMap<u64, (ProgramKey, BudgetShare)>,
}

pub(crate) fn facts(number: usize, started_ms: u64) -> MemberFacts {
    MemberFacts {
        name: Bytes::from(format!("vm-{number}")),
        incarnation: EPOCH_MS + started_ms,
        ip: Ipv4Addr::new(127, 0, 0, u8::try_from(number + 1).unwrap()),
        peer_port: 1,
        entry_port: 2,
        domain: Bytes::new(),
        region: Bytes::new(),
        is_serving: true,
    }
}

impl Process {
    pub(crate) fn new(number: usize, started_ms: u64) -> Self {
        let facts = facts(number, started_ms);
        let is_first_start = started_ms == 0;
        let ledger = BudgetLedger::new(facts.key(), facts.incarnation);
        let mut reads = CeilingReads::default();
        if !is_first_start {
            reads.record_loss(0);
        }
        Self {
            losses: LossTable::new(ledger.process(), is_first_start),
            facts,
            started_ms,
            is_first_start,
            has_registrations: false,
            ledger,
            members: MemberTable::default(),
            reads,
            are_copies_due: false,
            tasks: HashMap::new(),
            calls: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    pub(crate) fn now_ms(&self, world_ms: u64) -> u64 {
        world_ms - self.started_ms
    }

    fn window_ms(&self) -> u64 {
        self.members.silent_after_ms() + 2 * ROUND_MS
    }

    /// Takes a step of the first decision on a program.
    pub(crate) fn with_decision<T>(
        &mut self,
        program: ProgramKey,
        world_ms: u64,
        take: impl FnOnce(&mut HomeDecision, &mut HomeView<'_>) -> T,
    ) -> T {
        let now_ms = self.now_ms(world_ms);
        let losses = self.losses.recent(RETENTION_MS, now_ms);
        let knows_fleet = self.is_first_start
            || self.has_registrations
            || (!self.members.is_empty() && now_ms >= 1_000);
        let window_ms = self.window_ms();
        let tasks = self.tasks.get_mut(&program).unwrap();
        let mut view = HomeView {
            ledger: &mut self.ledger,
            members: &mut self.members,
            losses: LossFacts {
                losses: &losses,
                window_ms,
                has_lost_counts: self
                    .losses
                    .has_recent_count_loss(RETENTION_MS, EPOCH_MS + world_ms),
            },
            knows_fleet,
            knows_records: !self.reads.is_needed(),
            is_first_start: self.is_first_start,
            retention_ms: RETENTION_MS,
            now_ms,
        };
        take(&mut tasks[0].decision, &mut view)
    }

    /// Handles a heartbeat.
    fn record_state(&mut self, facts: MemberFacts, counts_lost_at: Option<u64>, world_ms: u64) {
        let now_ms = self.now_ms(world_ms);
        self.losses.merge_counts_lost_at(counts_lost_at);
        let (vm, incarnation) = (facts.key(), facts.incarnation);
        let earlier = self.members.incarnation(vm);
        let (known, silent) = self.members.count(now_ms);
        if known == silent && earlier == Some(incarnation) {
            self.losses.record_absence(now_ms);
            self.reads.record_loss(now_ms);
        }
        if !self.members.record_heartbeat(facts, now_ms) {
            return;
        }
        let process = NewProcess {
            vm,
            incarnation,
            earlier,
        };
        self.record_new_process(process, world_ms);
    }

    fn record_new_process(&mut self, process: NewProcess, world_ms: u64) {
        let now_ms = self.now_ms(world_ms);
        let window_ms = self.window_ms();
        self.losses
            .record_start(process.vm, process.incarnation, window_ms);
        let earlier = process.earlier;
        if let Some(earlier) = earlier.filter(|earlier| *earlier < process.incarnation) {
            let vm_count = self.members.count(now_ms).0 + 1;
            let times = (now_ms, EPOCH_MS + world_ms);
            self.losses
                .record_restart(process.vm, earlier, vm_count, times);
            self.reads.record_loss(now_ms);
        }
        self.are_copies_due = true;
    }

    /// Replaces the set of registered VMs.
    pub(crate) fn set_registered(&mut self, all: &[MemberFacts], world_ms: u64) {
        let now_ms = self.now_ms(world_ms);
        let own = self.facts.key();
        let others = all.iter().filter(|facts| facts.key() != own);
        let others = others.cloned().collect();
        for process in self.members.set_registered(others, now_ms) {
            self.record_new_process(process, world_ms);
        }
        self.has_registrations = true;
    }

    /// Does what the daemon does in each gossip round; returns what follows.
    pub(crate) fn start_round(&mut self, world_ms: u64) -> RoundWork {
        let now_ms = self.now_ms(world_ms);
        self.members.expire(now_ms);
        for facts in self.members.take_newly_silent(now_ms) {
            self.losses.record(VmLoss {
                vm: facts.key(),
                incarnation: facts.incarnation,
                at_ms: self.members.last_heard_ms(facts.key()).unwrap_or(now_ms),
            });
            self.reads.record_loss(now_ms);
            self.are_copies_due = true;
        }
        self.losses.init_counts_lost_at(now_ms);
        let mut work = RoundWork::default();
        if std::mem::take(&mut self.are_copies_due) {
            let programs: Vec<_> = self.ledger.member_programs().collect();
            for program in programs {
                let targets = missing_copies(&self.ledger, &self.members, program, COPIES, now_ms);
                let copy = self.ledger.copy(program, now_ms).unwrap();
                for target in targets {
                    work.copies.push((target.key(), program, copy.clone()));
                }
                if has_lost_partner(&self.ledger, &self.members, program, now_ms) {
                    work.kept.push(program);
                }
            }
        }
        work.kept.sort_unstable();
        work.copies
            .sort_unstable_by_key(|(vm, program, _)| (*vm, *program));
        work
    }

    /// Handles a message that needs no decision; returns the reply.
    pub(crate) fn handle(&mut self, message: Message, world_ms: u64) -> Option<Message> {
        let now_ms = self.now_ms(world_ms);
        match message {
            Message::State(facts, counts_lost_at) => {
                self.record_state(facts, counts_lost_at, world_ms);
                None
            }
            Message::Left(process) => {
                self.are_copies_due |= self.members.remove(process.vm, process.incarnation, now_ms);
                None
            }
            Message::Copies(programs) => {
                for (program, copy) in programs {
                    self.ledger.merge_copy(program, &copy, now_ms);
                }
                None
            }
            Message::Settle(program, share) => {
                self.ledger.merge_share(program, share, now_ms);
                None
            }
            Message::RequestRole(program, requester) => {
                let account = self.ledger.yield_role(program, requester, now_ms);
                Some(Message::RoleYielded(AccountReply {
                    process: self.ledger.process(),
                    account,
                    absence_age_ms: self.losses.absence_age_ms(now_ms),
                }))
            }
            Message::Replicate(program, copy) => {
                let is_accepted = self.ledger.accept(program, &copy, now_ms);
                Some(Message::Replicated(WitnessReply {
                    incarnation: self.facts.incarnation,
                    is_accepted,
                    account: self.ledger.copy(program, now_ms).unwrap_or_default(),
                }))
            }
            _ => None,
        }
    }
}

/// Writes a claim to the store of a play as a transaction does.
pub(crate) fn write_claim(
    store: &mut HashMap<ProgramKey, StoredCeiling>,
    claim: CeilingClaim,
) -> ClaimOutcome {
    match claim.compare(store.get(&claim.program).copied()) {
        ClaimStatus::Stored => ClaimOutcome::Stored,
        ClaimStatus::Conflict(stored) => ClaimOutcome::Conflict(stored),
        ClaimStatus::Missing => {
            let stored = StoredCeiling {
                ceiling: claim.ceiling,
                owner: claim.owner,
            };
            store.insert(claim.program, stored);
            ClaimOutcome::Stored
        }
    }
}
