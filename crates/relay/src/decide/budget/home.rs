//! The steps in which a program's home decides on a call.
//!
//! Handles programs whose calls come in while VMs are killed, stand still, are cut off or answer
//! late. Each step is one exchange with other VMs or the store; the caller carries it out and
//! passes its result to the next one.

use super::ceiling::{CeilingClaim, ClaimOutcome, StoredCeiling};
use super::ledger::BudgetVerdict;
use super::peers::{
    ASKED_VMS, find_missing, is_record_known, own_reply, peers_to_ask, rank_witnesses,
    without_asked,
};
use super::share::{AccountCopy, BudgetShare, HomeRole, ProgramKey, VmProcess};
use super::takeover::{AccountReply, TakeoverFinding};
use super::view::HomeView;
use crate::decide::member_facts::{MemberFacts, VmKey};
use crate::decide::members::RankedPeer;

/// Maximum number of attempts to decide on a call, each with a takeover, a stored ceiling or
/// another witness; one in which a VM turns out not to answer is not the last.
const ATTEMPTS_MAX: u32 = 6;

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
    AskWitness(MemberFacts, Box<AccountCopy>),
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
    /// VMs were asked for the role; the replies to earlier questions, and those that sent none.
    Role {
        asked: usize,
        replies: Vec<AccountReply>,
        unanswered: Vec<VmKey>,
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

/// Decision of a program's home on one call, or a change of the two VMs that keep its account.
#[derive(Debug)]
pub struct HomeDecision {
    program: ProgramKey,
    budget: u64,
    /// The call; `None` if no call is decided.
    share: Option<BudgetShare>,
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
        Self::with_share(program, budget, Some(share))
    }

    /// Creates the change that has another VM keep the account, in place of a home or a witness
    /// that is gone. It ends with no verdict.
    #[must_use]
    pub fn to_keep(program: ProgramKey) -> Self {
        Self::with_share(program, 0, None)
    }

    fn with_share(program: ProgramKey, budget: u64, share: Option<BudgetShare>) -> Self {
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
        match std::mem::replace(&mut self.pending, PendingStep::None) {
            PendingStep::Rival(stored) => {
                let mut all_replies = replies;
                all_replies.push(own_reply(view, self.program));
                let is_known = is_record_known(&all_replies, stored.owner);
                all_replies.pop();
                self.merge_replies(view, &all_replies);
                if is_known {
                    view.ledger.record_known(self.program, stored);
                } else {
                    view.ledger.adopt_record(self.program, self.budget, stored);
                }
                self.start(view)
            }
            PendingStep::Role {
                asked,
                replies: mut all_replies,
                unanswered: mut all_unanswered,
            } => {
                all_replies.extend(replies);
                all_unanswered.extend(unanswered);
                let unasked = self.unasked_members(view, &all_replies, &all_unanswered);
                if unasked.is_empty() {
                    return self.assess(view, asked, all_replies, all_unanswered);
                }
                self.ask(asked, unasked, all_replies, all_unanswered)
            }
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
            // Ends, since VMs that did not answer are not asked again for a time.
            self.attempts = 0;
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
        let has_peers = !peers.is_empty();
        let step = self.ask(0, peers, Vec::new(), Vec::new());
        if has_peers {
            step
        } else {
            self.record_replies(view, Vec::new(), &[])
        }
    }

    /// Returns VMs that may know more and were not asked: live members of the latest role known,
    /// or those that rank first and answer again if no role is known.
    fn unasked_members(
        &self,
        view: &HomeView<'_>,
        replies: &[AccountReply],
        unanswered: &[VmKey],
    ) -> Vec<MemberFacts> {
        let (members, now_ms) = (&view.members, view.now_ms);
        let wanted = if let Some(latest) = self.latest_role(view, replies) {
            let live = latest
                .members()
                .filter_map(|member| members.get_live(member.vm, member.incarnation, now_ms));
            live.cloned().collect()
        } else {
            peers_to_ask(view, self.program)
        };
        without_asked(wanted, replies, unanswered)
    }

    /// Returns VMs that may know what is missing, though they are silent or did not answer lately.
    fn silent_members(
        &self,
        view: &HomeView<'_>,
        replies: &[AccountReply],
        unanswered: &[VmKey],
    ) -> Vec<MemberFacts> {
        let latest = self.latest_role(view, replies);
        let members = latest.iter().flat_map(HomeRole::members);
        let ranked = view.members.ranked_keys(self.program, &[]);
        let first = ranked.into_iter().take(ASKED_VMS);
        let mut wanted: Vec<_> = members.map(|member| member.vm).chain(first).collect();
        wanted.sort_unstable();
        wanted.dedup();
        let wanted = wanted.into_iter().filter_map(|vm| view.members.get(vm));
        without_asked(wanted.cloned().collect(), replies, unanswered)
    }

    fn latest_role(&self, view: &HomeView<'_>, replies: &[AccountReply]) -> Option<HomeRole> {
        let own = own_reply(view, self.program);
        let copies = replies.iter().chain([&own]);
        let roles = copies.filter_map(|reply| reply.account.as_ref()?.role);
        roles.max_by_key(|role| role.epoch)
    }

    fn await_records(&mut self) -> HomeStep {
        if self.may_wait && self.share.is_some() {
            self.pending = PendingStep::Records;
            HomeStep::AwaitRecords
        } else {
            HomeStep::Decided(None)
        }
    }

    /// Asks further VMs for the role.
    fn ask(
        &mut self,
        asked: usize,
        peers: Vec<MemberFacts>,
        replies: Vec<AccountReply>,
        unanswered: Vec<VmKey>,
    ) -> HomeStep {
        self.pending = PendingStep::Role {
            asked: asked + peers.len(),
            replies,
            unanswered,
        };
        HomeStep::AskForRole(peers)
    }

    /// Makes this VM the home if it knows the stored records or does not need them.
    fn assess(
        &mut self,
        view: &mut HomeView<'_>,
        asked: usize,
        mut replies: Vec<AccountReply>,
        unanswered: Vec<VmKey>,
    ) -> HomeStep {
        let (program, now_ms) = (self.program, view.now_ms);
        if view.ledger.is_home(program) {
            return self.judge(view);
        }
        let answered = replies.len();
        replies.push(own_reply(view, program));
        let finding = find_missing(view, program, &replies, &unanswered);
        if finding.may_miss_tokens {
            replies.truncate(answered);
            let silent = self.silent_members(view, &replies, &unanswered);
            if !silent.is_empty() {
                return self.ask(asked, silent, replies, unanswered);
            }
        }
        self.merge_replies(view, &replies[..answered]);
        // A record from before the loss may be lower than what was granted since.
        if self.may_wait && finding.may_miss_tokens && !view.knows_records {
            return self.await_records();
        }
        if self.share.is_none() && finding.may_miss_tokens {
            return HomeStep::Decided(None);
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

    fn judge(&mut self, view: &mut HomeView<'_>) -> HomeStep {
        let (program, budget) = (self.program, self.budget);
        if let Some(share) = self.share {
            let verdict = view.ledger.decide(program, budget, share, view.now_ms);
            if let BudgetVerdict::NeedsCeiling { ceiling } = verdict {
                let claim = view.ledger.claim(program, ceiling);
                self.pending = PendingStep::Claim(claim);
                return HomeStep::Store(claim);
            }
            self.verdict = Some(verdict);
        }
        let witnesses = rank_witnesses(view, program);
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
            if self.grants() && !is_regular && !view.ledger.is_recorded(program) {
                return self.require_record(view);
            }
            if !peer.is_answering {
                continue;
            }
            let witness = VmProcess {
                vm: peer.facts.key(),
                incarnation: peer.facts.incarnation,
            };
            let members = &*view.members;
            let has_ended = |process: VmProcess| members.has_ended(process.vm, process.incarnation);
            let losses = &view.losses;
            let is_set = view
                .ledger
                .set_witness(program, witness, has_ended, losses, now_ms);
            if !is_set && (self.grants() || !view.ledger.is_home(program)) {
                return self.start(view);
            }
            let server = self.share.map(|share| share.vm);
            if server == Some(witness.vm) && witness.vm != view.ledger.process().vm {
                return HomeStep::Decided(self.verdict);
            }
            let Some(account) = view.ledger.copy(program, now_ms) else {
                return HomeStep::Decided(None);
            };
            self.pending = PendingStep::Witness {
                witness: peer.facts.clone(),
                total: view.ledger.total(program),
            };
            return HomeStep::AskWitness(peer.facts, Box::new(account));
        }
        if !self.grants() || view.ledger.is_alone(program) {
            HomeStep::Decided(self.verdict)
        } else {
            self.require_record(view)
        }
    }

    /// Returns whether the call may run once a witness accepts; only this needs a record.
    fn grants(&self) -> bool {
        matches!(self.verdict, Some(BudgetVerdict::Granted { .. }))
    }

    fn require_record(&mut self, view: &mut HomeView<'_>) -> HomeStep {
        view.ledger.require_record(self.program, view.now_ms);
        self.start(view)
    }
}
