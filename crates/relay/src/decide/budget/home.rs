//! The steps in which a program's home decides on a call.
//!
//! Handles programs whose calls come in while VMs are killed, stand still, are cut off or answer
//! late. Each step is one exchange with other VMs or the store; the caller carries it out and
//! passes its result to the next one.

use super::account::ProgramAccount;
use super::ceiling::{CeilingClaim, ClaimOutcome, StoredCeiling};
use super::ledger::{BudgetLedger, BudgetVerdict};
use super::losses::{LossFacts, VmLoss};
use super::share::{AccountCopy, BudgetShare, ProgramKey, VmProcess};
use super::takeover::{AccountReply, TakeoverFinding, TakeoverInput, assess_takeover};
use crate::decide::members::{MemberFacts, MemberTable, RankedPeer, VmKey};

/// Maximum number of attempts to decide on a call, each with a takeover, a stored ceiling or
/// another witness.
const ATTEMPTS_MAX: u32 = 6;
/// Number of other VMs that a new home asks for what they know of the program.
const ASKED_VMS: usize = 3;
/// Time after the first start of all VMs in which they find each other, in milliseconds; programs
/// begin later.
const FIRST_START_MS: u64 = 3_000;
/// Number of VMs that are asked in turn to be the witness of a home.
const WITNESSES_MAX: usize = 2;

/// What a VM knows when it takes a step as home.
#[derive(Debug)]
pub struct HomeView<'a> {
    /// Accounts of programs.
    pub ledger: &'a mut BudgetLedger,
    /// The other VMs.
    pub members: &'a mut MemberTable,
    /// What VMs may have lost.
    pub losses: LossFacts<'a>,
    /// Whether other VMs that act as home can be found.
    pub knows_fleet: bool,
    /// Whether the stored records have been read since the last loss.
    pub knows_records: bool,
    /// Whether this is the first start of all VMs.
    pub is_first_start: bool,
    /// Time for which programs are remembered, in milliseconds.
    pub retention_ms: u64,
    /// Current time, in milliseconds since the start of the process.
    pub now_ms: u64,
}

/// What a home has to do next.
#[derive(Clone, Debug)]
pub enum HomeStep {
    /// Ask these VMs for the role; continues with [`HomeDecision::record_replies`].
    AskForRole(Vec<MemberFacts>),
    /// Wait for a read of the stored records; continues with [`HomeDecision::record_read`].
    AwaitRecords,
    /// Store a record; continues with [`HomeDecision::record_outcome`].
    Store(CeilingClaim),
    /// Have a VM accept the account as its witness; continues with
    /// [`HomeDecision::record_witness`].
    AskWitness(MemberFacts, AccountCopy),
    /// The call is decided. `None` if a record could not be stored, if other VMs also claim the
    /// role, or if not enough is known about the fleet or the stored records after a start.
    Decided(Option<BudgetVerdict>),
}

/// Reply of a process that was asked to be the witness.
#[derive(Clone, Debug)]
pub struct WitnessReply {
    /// Start time of the process.
    pub incarnation: u64,
    /// Whether it accepts the sender as home.
    pub is_accepted: bool,
    /// What it knows.
    pub account: AccountCopy,
}

/// What was found when the role of a home was taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverRecord {
    /// Number of VMs that were asked.
    pub asked: usize,
    /// Number of VMs that replied.
    pub answered: usize,
    /// What follows from the replies.
    pub finding: TakeoverFinding,
}

/// Step that a decision waits for.
#[derive(Clone, Debug)]
enum PendingStep {
    None,
    Role {
        asked: usize,
    },
    Records,
    Claim(CeilingClaim),
    /// All VMs are asked about a record of another home.
    Rival(StoredCeiling),
    Witness {
        witness: MemberFacts,
        total: u64,
    },
}

/// Decision of a program's home on one call.
#[derive(Debug)]
pub struct HomeDecision {
    program: ProgramKey,
    budget: u64,
    share: BudgetShare,
    attempts: u32,
    /// Whether a takeover may still wait for the stored records.
    may_wait: bool,
    pending: PendingStep,
    verdict: Option<BudgetVerdict>,
    /// VMs that can be the witness, and the number of those that were tried.
    witnesses: (Vec<RankedPeer>, usize),
    takeover: Option<TakeoverRecord>,
}

impl HomeDecision {
    /// Creates the decision on the call of `share`.
    #[must_use]
    pub fn new(program: ProgramKey, budget: u64, share: BudgetShare) -> Self {
        Self {
            program,
            budget,
            share,
            attempts: 0,
            may_wait: true,
            pending: PendingStep::None,
            verdict: None,
            witnesses: (Vec::new(), 0),
            takeover: None,
        }
    }

    /// Returns what was found at a takeover since the last call of this function.
    pub fn take_takeover(&mut self) -> Option<TakeoverRecord> {
        self.takeover.take()
    }

    /// Takes the first step of an attempt.
    pub fn start(&mut self, view: &mut HomeView<'_>) -> HomeStep {
        if self.attempts == ATTEMPTS_MAX {
            return HomeStep::Decided(None);
        }
        self.attempts += 1;
        if view.ledger.is_home(self.program) {
            self.judge(view)
        } else {
            self.may_wait = true;
            self.take_over(view)
        }
    }

    /// Continues with the replies to [`HomeStep::AskForRole`]; `unanswered` are the VMs that did
    /// not reply.
    pub fn record_replies(
        &mut self,
        view: &mut HomeView<'_>,
        replies: Vec<AccountReply>,
        unanswered: &[VmKey],
    ) -> HomeStep {
        for vm in unanswered {
            view.members.record_unanswered(*vm, view.now_ms);
        }
        match self.pending {
            PendingStep::Rival(stored) => {
                self.merge_replies(view, &replies);
                self.adopt_unknown_record(view, stored);
                self.start(view)
            }
            PendingStep::Role { asked } => self.assess(view, asked, replies, unanswered),
            _ => HomeStep::Decided(None),
        }
    }

    /// Continues after [`HomeStep::AwaitRecords`], whether the records could be read or not.
    pub fn record_read(&mut self, view: &mut HomeView<'_>) -> HomeStep {
        self.may_wait = false;
        self.take_over(view)
    }

    /// Continues with the outcome of [`HomeStep::Store`].
    pub fn record_outcome(&mut self, view: &mut HomeView<'_>, outcome: ClaimOutcome) -> HomeStep {
        let PendingStep::Claim(claim) = self.pending else {
            return HomeStep::Decided(None);
        };
        match outcome {
            ClaimOutcome::Stored => {
                view.ledger.record_claim(claim);
                self.start(view)
            }
            ClaimOutcome::Failed => HomeStep::Decided(None),
            ClaimOutcome::Conflict(stored) => {
                self.pending = PendingStep::Rival(stored);
                HomeStep::AskForRole(view.members.live(view.now_ms).cloned().collect())
            }
        }
    }

    /// Continues with the reply to [`HomeStep::AskWitness`], if there is one.
    pub fn record_witness(
        &mut self,
        view: &mut HomeView<'_>,
        reply: Option<WitnessReply>,
    ) -> HomeStep {
        let PendingStep::Witness { witness, total } = &self.pending else {
            return HomeStep::Decided(None);
        };
        let reply = reply.filter(|reply| reply.incarnation == witness.incarnation);
        let Some(reply) = reply else {
            view.members.record_unanswered(witness.key(), view.now_ms);
            return self.ask_next_witness(view);
        };
        let (program, total) = (self.program, *total);
        view.ledger.merge_copy(program, &reply.account, view.now_ms);
        let is_current = view.ledger.is_home(program) && view.ledger.total(program) <= total;
        if reply.is_accepted && is_current {
            HomeStep::Decided(self.verdict)
        } else {
            self.start(view)
        }
    }

    fn take_over(&mut self, view: &mut HomeView<'_>) -> HomeStep {
        if !view.knows_fleet {
            return HomeStep::Decided(None);
        }
        if view.losses.has_lost_counts && !view.knows_records {
            return self.await_records();
        }
        let peers = peers_to_ask(view, self.program);
        self.pending = PendingStep::Role { asked: peers.len() };
        if peers.is_empty() {
            self.record_replies(view, Vec::new(), &[])
        } else {
            HomeStep::AskForRole(peers)
        }
    }

    fn await_records(&mut self) -> HomeStep {
        if self.may_wait {
            self.pending = PendingStep::Records;
            HomeStep::AwaitRecords
        } else {
            HomeStep::Decided(None)
        }
    }

    /// Makes this VM the home if it knows the stored records or does not need them.
    fn assess(
        &mut self,
        view: &mut HomeView<'_>,
        asked: usize,
        mut replies: Vec<AccountReply>,
        unanswered: &[VmKey],
    ) -> HomeStep {
        let (program, now_ms) = (self.program, view.now_ms);
        if view.ledger.is_home(program) {
            return self.judge(view);
        }
        let answered = replies.len();
        replies.push(AccountReply {
            process: view.ledger.process(),
            account: view.ledger.copy(program, now_ms),
        });
        let finding = find_missing(view, program, &replies, unanswered);
        self.merge_replies(view, &replies[..answered]);
        // A record from before the loss may be lower than what was granted since.
        if self.may_wait && finding.may_miss_tokens && !view.knows_records {
            return self.await_records();
        }
        let budget = self.budget;
        view.ledger.take_over(program, budget, finding, now_ms);
        self.takeover = Some(TakeoverRecord {
            asked,
            answered,
            finding,
        });
        self.judge(view)
    }

    /// Merges what other VMs know; each has ended the epoch that it knew.
    fn merge_replies(&self, view: &mut HomeView<'_>, replies: &[AccountReply]) {
        for account in replies.iter().filter_map(|reply| reply.account.as_ref()) {
            let mut account = account.clone();
            account.epoch = account.epoch.saturating_add(1);
            view.ledger.merge_copy(self.program, &account, view.now_ms);
        }
    }

    /// Counts a record as spent unless a VM knows what was granted under it.
    fn adopt_unknown_record(&self, view: &mut HomeView<'_>, stored: StoredCeiling) {
        let copy = view.ledger.copy(self.program, view.now_ms);
        let is_known = copy.is_some_and(|copy| {
            let latest = copy.role.map(|role| role.record());
            copy.record == stored.owner || latest == Some(stored.owner)
        });
        if !is_known {
            view.ledger.adopt_record(self.program, self.budget, stored);
        }
    }

    fn judge(&mut self, view: &mut HomeView<'_>) -> HomeStep {
        let (program, budget) = (self.program, self.budget);
        let verdict = view.ledger.decide(program, budget, self.share, view.now_ms);
        if let BudgetVerdict::NeedsCeiling { ceiling } = verdict {
            let claim = view.ledger.claim(program, ceiling);
            self.pending = PendingStep::Claim(claim);
            return HomeStep::Store(claim);
        }
        self.verdict = Some(verdict);
        let witnesses = view
            .members
            .ranked_peers(program, view.now_ms, WITNESSES_MAX);
        if witnesses.is_empty() {
            return HomeStep::Decided(self.verdict);
        }
        self.witnesses = (witnesses, 0);
        self.ask_next_witness(view)
    }

    /// Has the next VM that answers accept what this one knows and that it acts as home.
    ///
    /// The VM that serves the call gets a copy with the home's reply.
    fn ask_next_witness(&mut self, view: &mut HomeView<'_>) -> HomeStep {
        let (program, now_ms) = (self.program, view.now_ms);
        while let Some(peer) = self.witnesses.0.get(self.witnesses.1).cloned() {
            self.witnesses.1 += 1;
            let is_regular = self.witnesses.1 == 1;
            if !is_regular && !view.ledger.is_recorded(program) {
                return self.require_record(view);
            }
            if !peer.is_answering {
                continue;
            }
            let witness = VmProcess {
                vm: peer.facts.key(),
                incarnation: peer.facts.incarnation,
            };
            let is_set = view
                .ledger
                .set_witness(program, witness, &view.losses, now_ms);
            if !is_set {
                return self.start(view);
            }
            if witness.vm == self.share.vm && witness.vm != view.ledger.process().vm {
                return HomeStep::Decided(self.verdict);
            }
            let Some(account) = view.ledger.copy(program, now_ms) else {
                return HomeStep::Decided(None);
            };
            self.pending = PendingStep::Witness {
                witness: peer.facts.clone(),
                total: view.ledger.total(program),
            };
            return HomeStep::AskWitness(peer.facts, account);
        }
        if view.ledger.is_alone(program) {
            HomeStep::Decided(self.verdict)
        } else {
            self.require_record(view)
        }
    }

    fn require_record(&mut self, view: &mut HomeView<'_>) -> HomeStep {
        view.ledger.require_record(self.program, view.now_ms);
        self.start(view)
    }
}

/// Judges what a new home may not know, from the replies, its own last among them.
fn find_missing(
    view: &HomeView<'_>,
    program: ProgramKey,
    replies: &[AccountReply],
    unanswered: &[VmKey],
) -> TakeoverFinding {
    let (own, now_ms) = (view.ledger.process(), view.now_ms);
    let members = &*view.members;
    let silent = unanswered.iter().map(|vm| VmLoss {
        vm: *vm,
        incarnation: 0,
        at_ms: now_ms,
    });
    // A process that is not known to have restarted.
    let restarted = replies.iter().filter_map(|reply| {
        let known = members.incarnation(reply.process.vm);
        let earlier = known.filter(|known| *known < reply.process.incarnation)?;
        Some(VmLoss {
            vm: reply.process.vm,
            incarnation: earlier,
            at_ms: now_ms,
        })
    });
    let known = view.losses.losses.iter().copied();
    let losses: Vec<_> = known.chain(silent).chain(restarted).collect();
    let vms: Vec<_> = losses.iter().map(|loss| loss.vm).chain([own.vm]).collect();
    assess_takeover(&TakeoverInput {
        own,
        replies,
        ranked: &members.ranked_keys(program, &vms),
        losses: &losses,
        is_down: &|vm| vm != own.vm && (unanswered.contains(&vm) || !members.is_live(vm, now_ms)),
        has_ended: &|process| {
            let mut processes = replies.iter().map(|reply| reply.process);
            members.has_ended(process.vm, process.incarnation)
                || processes
                    .any(|reply| process.vm == reply.vm && process.incarnation < reply.incarnation)
        },
        window_ms: view.losses.window_ms,
        now_ms,
        has_lost_counts: view.losses.has_lost_counts,
        knows_records: view.knows_records,
    })
}

/// Returns the VMs that may know a program.
///
/// Returns none if this VM is the regular home and has been since the first start of all VMs or
/// for as long as programs are remembered: its witness knows whether another VM acts as home.
fn peers_to_ask(view: &HomeView<'_>, program: ProgramKey) -> Vec<MemberFacts> {
    let (own, now_ms) = (view.ledger.process().vm, view.now_ms);
    let members = &*view.members;
    let changed_ms = members.changed_ms();
    let is_unchanged = view.is_first_start && changed_ms < FIRST_START_MS;
    let age_ms = now_ms.saturating_sub(changed_ms);
    let is_regular = members.ranked_keys(program, &[own]).first() == Some(&own);
    if is_regular && (is_unchanged || age_ms >= view.retention_ms) {
        return Vec::new();
    }
    let mut peers = members.ranked_peers(program, now_ms, ASKED_VMS);
    peers.truncate(ASKED_VMS);
    let is_cut_off = peers.iter().all(|peer| !peer.is_answering);
    let asked = peers.into_iter();
    let asked = asked.filter(|peer| is_cut_off || peer.is_answering);
    asked.map(|peer| peer.facts).collect()
}

/// Returns the VMs that rank first for a program and are no members of its latest role, if this
/// VM is to send them copies since VMs have joined, restarted or died.
#[must_use]
pub fn missing_copies(
    ledger: &BudgetLedger,
    members: &MemberTable,
    program: ProgramKey,
    copies: usize,
    now_ms: u64,
) -> Vec<MemberFacts> {
    let account = ledger.account(program);
    let Some(role) = account.and_then(|account: &ProgramAccount| account.role) else {
        return Vec::new();
    };
    let own = ledger.process();
    // The witness stands in for a home that is gone.
    let is_home_live = members.is_live(role.home.vm, now_ms)
        && members.incarnation(role.home.vm) == Some(role.home.incarnation);
    if role.home != own && is_home_live {
        return Vec::new();
    }
    let first = members.first_homes(own.vm, program, now_ms);
    let first = first.into_iter().take(copies);
    let others = first.filter_map(|home| home.facts);
    others
        .filter(|facts| {
            !role.has_member(VmProcess {
                vm: facts.key(),
                incarnation: facts.incarnation,
            })
        })
        .collect()
}
