//! Decisions of this VM as a program's home.

use std::rc::Rc;

use ibisdale_telemetry::record_event;
use smol::lock::Mutex;

use super::caller_request::BudgetRequest;
use super::ceilings::store_ceiling;
use super::message::PeerMessage;
use super::rpc::{call_peer, join_all};
use super::state::Gateway;
use crate::decide::{
    AccountReply, BudgetShare, BudgetVerdict, ClaimOutcome, LossFacts, MemberFacts, MemberTable,
    ProgramKey, TakeoverInput, VmKey, VmLoss, VmProcess, assess_takeover,
};

/// Maximum number of attempts to decide on a call, each with a takeover, a stored ceiling or
/// another witness.
const DECISION_ATTEMPTS_MAX: u32 = 6;
/// Number of other VMs that a new home asks for what they know of the program.
const ASKED_VMS: usize = 3;
/// Time after the first start of all VMs in which they find each other, in milliseconds; programs
/// begin later.
const FIRST_START_MS: u64 = 3_000;
/// Number of VMs that are asked in turn to be the witness of a home.
const WITNESSES_MAX: usize = 2;

/// Reply of the witness to a home.
enum WitnessReply {
    /// Another VM keeps what was granted, or the store bounds it.
    Confirmed,
    /// The account has changed, or another VM may act as home.
    Superseded,
    /// The regular witness does not reply, or no VM does.
    Unanswered,
}

/// Result of an attempt to become a program's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverOutcome {
    /// This VM is the home.
    Done,
    /// The other VMs are not known yet.
    UnknownFleet,
    /// Counts may be lost, and the stored ceilings have not been read since.
    NeedsCeilings,
}

/// Lets the decisions on one program follow each other; removes the lock when nobody waits.
struct ProgramLock<'a> {
    gateway: &'a Gateway,
    program: ProgramKey,
    mutex: Rc<Mutex<()>>,
}

impl<'a> ProgramLock<'a> {
    fn new(gateway: &'a Gateway, program: ProgramKey) -> Self {
        let mut locks = gateway.state.program_locks.borrow_mut();
        let mutex = Rc::clone(locks.entry(program).or_default());
        Self {
            gateway,
            program,
            mutex,
        }
    }
}

impl Drop for ProgramLock<'_> {
    fn drop(&mut self) {
        // The map and this value hold the last references.
        if Rc::strong_count(&self.mutex) == 2 {
            let mut locks = self.gateway.state.program_locks.borrow_mut();
            locks.remove(&self.program);
        }
    }
}

/// Decides on a reservation as the program's home.
///
/// Returns `None` if a ceiling or record could not be stored, if other VMs also claim the role,
/// or if not enough is known about the fleet or the stored ceilings after a start.
pub(crate) async fn decide_as_home(
    gateway: &Gateway,
    request: &BudgetRequest,
    share: BudgetShare,
) -> Option<BudgetVerdict> {
    let program = request.program;
    let budgets = &gateway.state.budgets;
    let lock = ProgramLock::new(gateway, program);
    let _guard = lock.mutex.lock().await;
    for _ in 0..DECISION_ATTEMPTS_MAX {
        let is_home = budgets.borrow().is_home(program);
        if !is_home && !take_over(gateway, program, request.budget).await {
            return None;
        }
        let now_ms = gateway.now_ms();
        let verdict = budgets
            .borrow_mut()
            .decide(program, request.budget, share, now_ms);
        if let BudgetVerdict::NeedsCeiling { ceiling } = verdict {
            if !raise_ceiling(gateway, request, ceiling).await {
                return None;
            }
            continue;
        }
        match confirm(gateway, program, share.vm).await {
            WitnessReply::Confirmed => return Some(verdict),
            WitnessReply::Superseded => {}
            WitnessReply::Unanswered => {
                let now_ms = gateway.now_ms();
                budgets.borrow_mut().require_record(program, now_ms);
            }
        }
    }
    None
}

/// Stores a ceiling or waits until another call has; returns `false` if it can't be stored.
async fn raise_ceiling(gateway: &Gateway, request: &BudgetRequest, ceiling: u64) -> bool {
    let program = request.program;
    let pending = gateway.state.ceiling_writes.borrow().get(&program).cloned();
    // The channel is also closed when the call that started the write was cancelled;
    // then this call writes the ceiling.
    if let Some(pending) = pending.filter(|pending| !pending.is_closed()) {
        // Nothing is ever sent; `recv` returns when the write ends.
        let _ = pending.recv().await;
        return true;
    }
    let stored = match store_ceiling(gateway, program, ceiling).await {
        ClaimOutcome::Stored => return true,
        ClaimOutcome::Failed => return false,
        ClaimOutcome::Conflict(stored) => stored,
    };
    let peers = {
        let members = gateway.state.members.borrow();
        members.live(gateway.now_ms()).cloned().collect()
    };
    let (replies, _) = ask_for_role(gateway, program, peers).await;
    merge_replies(gateway, program, &replies);
    let mut budgets = gateway.state.budgets.borrow_mut();
    let copy = budgets.copy(program, gateway.now_ms());
    let is_known = copy.is_some_and(|copy| {
        let latest = copy.role.map(|role| role.record());
        copy.record == stored.owner || latest == Some(stored.owner)
    });
    if !is_known {
        budgets.adopt_record(program, request.budget, stored);
    }
    true
}

/// Asks VMs for the home's role of a program; returns what they know and those that did not
/// reply.
async fn ask_for_role(
    gateway: &Gateway,
    program: ProgramKey,
    peers: Vec<MemberFacts>,
) -> (Vec<AccountReply>, Vec<VmKey>) {
    let calls = peers.iter().map(|peer| {
        call_peer(gateway, peer.peer_address(), move |call_id| {
            PeerMessage::RequestRole { call_id, program }
        })
    });
    let results = join_all(calls).await;
    let mut replies = Vec::new();
    let mut unanswered = Vec::new();
    let mut members = gateway.state.members.borrow_mut();
    for (peer, result) in peers.iter().zip(results) {
        if let Some(PeerMessage::RoleYielded {
            incarnation,
            account,
            ..
        }) = result
        {
            let process = VmProcess {
                vm: peer.key(),
                incarnation,
            };
            replies.push(AccountReply { process, account });
        } else {
            members.record_unanswered(peer.key(), gateway.now_ms());
            unanswered.push(peer.key());
        }
    }
    (replies, unanswered)
}

/// Merges what other VMs know; each has ended the epoch that it knew.
fn merge_replies(gateway: &Gateway, program: ProgramKey, replies: &[AccountReply]) {
    let now_ms = gateway.now_ms();
    let mut budgets = gateway.state.budgets.borrow_mut();
    for account in replies.iter().filter_map(|reply| reply.account.as_ref()) {
        let mut account = account.clone();
        account.epoch = account.epoch.saturating_add(1);
        budgets.merge_copy(program, &account, now_ms);
    }
}

/// Makes this VM the program's home; returns `false` if it can't know yet what was granted.
async fn take_over(gateway: &Gateway, program: ProgramKey, budget: u64) -> bool {
    let mut outcome = try_take_over(gateway, program, budget, true).await;
    if outcome == TakeoverOutcome::NeedsCeilings {
        gateway.await_ceilings().await;
        outcome = try_take_over(gateway, program, budget, false).await;
    }
    outcome == TakeoverOutcome::Done
}

/// Makes this VM the program's home if it knows the stored ceilings or does not need them.
///
/// If `may_wait` is false, it also does so where only some VMs lost their counts, since it then
/// stores a record before it grants a call.
async fn try_take_over(
    gateway: &Gateway,
    program: ProgramKey,
    budget: u64,
    may_wait: bool,
) -> TakeoverOutcome {
    let has_lost_counts = gateway.has_recent_count_loss();
    if !gateway.knows_fleet() {
        return TakeoverOutcome::UnknownFleet;
    }
    if gateway.needs_ceilings() && has_lost_counts {
        return TakeoverOutcome::NeedsCeilings;
    }
    let peers = peers_to_ask(gateway, program);
    let asked = peers.len();
    let (mut replies, unanswered) = ask_for_role(gateway, program, peers).await;
    let now_ms = gateway.now_ms();
    let (own, copy) = {
        let budgets = gateway.state.budgets.borrow();
        if budgets.is_home(program) {
            return TakeoverOutcome::Done;
        }
        (budgets.process(), budgets.copy(program, now_ms))
    };
    let answered = replies.len();
    replies.push(AccountReply {
        process: own,
        account: copy,
    });
    let finding = {
        let members = gateway.state.members.borrow();
        let mut losses = gateway.recent_losses();
        losses.extend(unanswered.iter().map(|vm| VmLoss {
            vm: *vm,
            incarnation: 0,
            at_ms: now_ms,
        }));
        losses.extend(unknown_restarts(&members, &replies[..answered], now_ms));
        let known: Vec<_> = losses.iter().map(|loss| loss.vm).chain([own.vm]).collect();
        assess_takeover(&TakeoverInput {
            own,
            replies: &replies,
            ranked: &members.ranked_keys(program, &known),
            losses: &losses,
            is_down: &|vm| {
                vm != own.vm && (unanswered.contains(&vm) || !members.is_live(vm, now_ms))
            },
            has_ended: &|process| {
                let mut processes = replies.iter().map(|reply| reply.process);
                members.has_ended(process.vm, process.incarnation)
                    || processes.any(|reply| {
                        process.vm == reply.vm && process.incarnation < reply.incarnation
                    })
            },
            window_ms: gateway.loss_window_ms(),
            now_ms,
            has_lost_counts,
            knows_records: !gateway.needs_ceilings(),
        })
    };
    merge_replies(gateway, program, &replies[..answered]);
    if may_wait && finding.may_miss_tokens && gateway.needs_ceilings() {
        // A ceiling from before the loss may be lower than what was granted since.
        return TakeoverOutcome::NeedsCeilings;
    }
    let mut budgets = gateway.state.budgets.borrow_mut();
    budgets.take_over(program, budget, finding, now_ms);
    if asked > 0 || finding.needs_record {
        record_event!(
            BudgetTakenOver,
            program = format!("{program:x}"),
            epoch = budgets.copy(program, now_ms).map_or(0, |copy| copy.epoch),
            asked = asked,
            answered = answered,
            shares = budgets.shares(program).len(),
            total = budgets.total(program),
            needs_record = finding.needs_record,
            uncertain = finding.may_miss_tokens,
        );
    }
    TakeoverOutcome::Done
}

/// Returns the losses of VMs that replied and are not known to have restarted.
fn unknown_restarts(
    members: &MemberTable,
    replies: &[AccountReply],
    now_ms: u64,
) -> impl Iterator<Item = VmLoss> {
    replies.iter().filter_map(move |reply| {
        let known = members.incarnation(reply.process.vm);
        let earlier = known.filter(|known| *known < reply.process.incarnation)?;
        Some(VmLoss {
            vm: reply.process.vm,
            incarnation: earlier,
            at_ms: now_ms,
        })
    })
}

/// Returns the VMs that may know a program.
///
/// Returns none if this VM is the regular home and has been since the first start of all VMs or
/// for as long as programs are remembered: its witness knows whether another VM acts as home.
fn peers_to_ask(gateway: &Gateway, program: ProgramKey) -> Vec<MemberFacts> {
    let now_ms = gateway.now_ms();
    let members = gateway.state.members.borrow();
    let own = gateway.state.options.facts.key();
    let changed_ms = members.changed_ms();
    let is_unchanged = gateway.state.options.is_first_start && changed_ms < FIRST_START_MS;
    let age_ms = now_ms.saturating_sub(changed_ms);
    let is_regular = members.ranked_keys(program, &[own]).first() == Some(&own);
    if is_regular && (is_unchanged || age_ms >= gateway.program_retention_ms()) {
        return Vec::new();
    }
    let mut peers = members.ranked_peers(program, now_ms, ASKED_VMS);
    peers.truncate(ASKED_VMS);
    let is_cut_off = peers.iter().all(|peer| !peer.is_answering);
    let asked = peers.into_iter();
    let asked = asked.filter(|peer| is_cut_off || peer.is_answering);
    asked.map(|peer| peer.facts).collect()
}

/// Has another VM accept what this VM knows of a program and that it acts as home.
///
/// `server` serves the call and gets a copy with the home's reply.
async fn confirm(gateway: &Gateway, program: ProgramKey, server: VmKey) -> WitnessReply {
    let budgets = &gateway.state.budgets;
    let peers = {
        let members = gateway.state.members.borrow();
        members.ranked_peers(program, gateway.now_ms(), WITNESSES_MAX)
    };
    if peers.is_empty() {
        return WitnessReply::Confirmed;
    }
    for (rank, peer) in peers.iter().enumerate() {
        if rank > 0 && !budgets.borrow().is_recorded(program) {
            return WitnessReply::Unanswered;
        }
        if !peer.is_answering {
            continue;
        }
        let witness = VmProcess {
            vm: peer.facts.key(),
            incarnation: peer.facts.incarnation,
        };
        if !set_witness(gateway, program, witness) {
            return WitnessReply::Superseded;
        }
        if witness.vm == server && server != gateway.state.options.facts.key() {
            return WitnessReply::Confirmed;
        }
        if let Some(reply) = replicate(gateway, program, &peer.facts).await {
            return reply;
        }
    }
    if budgets.borrow().is_alone(program) {
        WitnessReply::Confirmed
    } else {
        WitnessReply::Unanswered
    }
}

fn set_witness(gateway: &Gateway, program: ProgramKey, witness: VmProcess) -> bool {
    let losses = gateway.recent_losses();
    let facts = LossFacts {
        losses: &losses,
        window_ms: gateway.loss_window_ms(),
    };
    let mut budgets = gateway.state.budgets.borrow_mut();
    budgets.set_witness(program, witness, &facts, gateway.now_ms())
}

/// Sends the account to its witness; returns `None` if it does not reply or has restarted.
async fn replicate(
    gateway: &Gateway,
    program: ProgramKey,
    witness: &MemberFacts,
) -> Option<WitnessReply> {
    let budgets = &gateway.state.budgets;
    let account = budgets.borrow().copy(program, gateway.now_ms())?;
    let total = budgets.borrow().total(program);
    let epoch = account.epoch;
    let build_message = |call_id| PeerMessage::Replicate {
        call_id,
        program,
        account: account.clone(),
    };
    let reply = call_peer(gateway, witness.peer_address(), build_message).await;
    let now_ms = gateway.now_ms();
    let reply = reply.filter(|reply| {
        matches!(reply, PeerMessage::Replicated { incarnation, .. }
            if *incarnation == witness.incarnation)
    });
    let Some(PeerMessage::Replicated {
        is_accepted,
        account,
        ..
    }) = reply
    else {
        let mut members = gateway.state.members.borrow_mut();
        members.record_unanswered(witness.key(), now_ms);
        return None;
    };
    let mut budgets = budgets.borrow_mut();
    budgets.merge_copy(program, &account, now_ms);
    let is_current = budgets.is_home(program) && budgets.total(program) <= total;
    if is_accepted && is_current {
        return Some(WitnessReply::Confirmed);
    }
    record_event!(
        BudgetRoleRefused,
        program = format!("{program:x}"),
        epoch = epoch,
        witness_epoch = account.epoch,
        total_before = total,
        total = budgets.total(program),
    );
    Some(WitnessReply::Superseded)
}
