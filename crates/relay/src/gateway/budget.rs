//! Token budgets of programs: requests to a program's home VM, which grants its
//! calls, and the decisions of this VM as a home.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddrV4;

use ibisdale_telemetry::record_event;

use super::caller_request::BudgetRequest;
use super::ceilings::store_ceiling;
use super::message::PeerMessage;
use super::peer_link;
use super::rpc::call_peer;
use super::state::Gateway;
use crate::decide::{BudgetShare, BudgetVerdict, MemberFacts, ProgramKey};

/// Maximum number of VMs, in order of preference as home, that are asked for a reservation
/// before the call is refused.
const RESERVE_ATTEMPTS_MAX: usize = 2;
/// Maximum number of programs in one handover message, which keeps the message within
/// one packet.
const HANDOVER_PROGRAMS_MAX: usize = 12;
/// Number of other VMs that may have been a program's home since the loss of all counts.
/// Reservations are requested from the first [`RESERVE_ATTEMPTS_MAX`] VMs, and two VMs'
/// views of which VMs are alive may differ by one.
const POSSIBLE_HOMES_AFTER_LOSS: usize = RESERVE_ATTEMPTS_MAX + 1;
/// Number of other VMs that a new home of a program asks for the shares that they know.
const PREVIOUS_HOMES_MAX: usize = 2;
/// Maximum number of ceiling writes that a call makes or waits for before it is refused.
const CEILING_ATTEMPTS_MAX: u32 = 3;

/// Outcome of a request to reserve tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReserveOutcome {
    /// The call may run; `is_first` if no earlier call of the program is known.
    Granted { is_first: bool },
    /// The budget has too few tokens left; `total` are spent or reserved.
    Spent { total: u64 },
    /// No home replied, or the home could not decide (see [`decide_as_home`]).
    Unknown,
}

/// Tokens reserved for a running call.
///
/// Dropping it ends the reservation and sends the tokens spent to the program's home.
pub(crate) struct BudgetReservation {
    gateway: Gateway,
    request: BudgetRequest,
    spent: Cell<u64>,
}

impl BudgetReservation {
    /// Records tokens that are passed to the caller.
    pub(crate) fn spend(&self, tokens: u64) {
        self.spent.set(self.spent.get() + tokens);
    }
}

impl Drop for BudgetReservation {
    fn drop(&mut self) {
        let gateway = self.gateway.clone();
        let request = self.request;
        let share = gateway.state.budgets.borrow_mut().settle(
            request.program,
            request.tokens,
            self.spent.get(),
            gateway.now_ms(),
        );
        let cloned = gateway.clone();
        gateway.spawn(async move { send_settlement(&cloned, request.program, share).await });
    }
}

/// Sends this VM's [`BudgetShare`] of a program to the home, unless this VM is the home.
async fn send_settlement(gateway: &Gateway, program: ProgramKey, share: BudgetShare) {
    if let Some(Some(home)) = ranked_homes(gateway, program).into_iter().next() {
        let build_message = |call_id| PeerMessage::Settle {
            call_id,
            program,
            share,
        };
        if call_peer(gateway, home.peer_address(), build_message)
            .await
            .is_none()
        {
            log::debug!("the home VM of a program did not confirm a settlement");
        }
    }
}

/// Returns the live VMs in order of preference as a program's home; `None` stands for
/// this VM.
fn ranked_homes(gateway: &Gateway, program: ProgramKey) -> Vec<Option<MemberFacts>> {
    let members = gateway.state.members.borrow();
    let own = gateway.state.options.facts.key();
    members.ranked_homes(own, program, gateway.now_ms())
}

/// Adds a call's tokens to this VM's share as reserved and asks the program's home to
/// grant the call.
///
/// Returns the reservation only if it is granted; otherwise it has been released.
pub(crate) async fn reserve(
    gateway: &Gateway,
    request: BudgetRequest,
) -> (ReserveOutcome, Option<BudgetReservation>) {
    let now_ms = gateway.now_ms();
    let share = {
        let mut budgets = gateway.state.budgets.borrow_mut();
        budgets.reserve(request.program, request.tokens, now_ms)
    };
    let reservation = BudgetReservation {
        gateway: gateway.clone(),
        request,
        spent: Cell::new(0),
    };
    for home in ranked_homes(gateway, request.program)
        .into_iter()
        .take(RESERVE_ATTEMPTS_MAX)
    {
        let verdict = match home {
            None => {
                decide_as_home(
                    gateway,
                    request.program,
                    request.budget,
                    request.tokens,
                    share,
                )
                .await
            }
            Some(home) => {
                let shares = gateway.state.budgets.borrow().shares(request.program);
                let build_message = |call_id| PeerMessage::Reserve {
                    call_id,
                    program: request.program,
                    budget: request.budget,
                    tokens: request.tokens,
                    share,
                    known: shares.clone(),
                };
                match call_peer(gateway, home.peer_address(), build_message).await {
                    Some(PeerMessage::Reserved {
                        verdict, shares, ..
                    }) => {
                        let now_ms = gateway.now_ms();
                        let mut budgets = gateway.state.budgets.borrow_mut();
                        budgets.merge(request.program, &shares, now_ms);
                        verdict
                    }
                    _ => continue,
                }
            }
        };
        record_event!(
            BudgetDecided,
            program = format!("{:x}", request.program),
            budget = request.budget,
            tokens = request.tokens,
            verdict = format!("{verdict:?}"),
            total = gateway.state.budgets.borrow().total(request.program),
        );
        return match verdict {
            Some(BudgetVerdict::Granted { is_first }) => {
                (ReserveOutcome::Granted { is_first }, Some(reservation))
            }
            Some(BudgetVerdict::Spent { total }) => (ReserveOutcome::Spent { total }, None),
            Some(BudgetVerdict::NeedsCeiling { .. }) | None => (ReserveOutcome::Unknown, None),
        };
    }
    (ReserveOutcome::Unknown, None)
}

/// Decides on a reservation as the program's home.
///
/// Returns `None` if a ceiling could not be stored, if one is still needed after
/// [`CEILING_ATTEMPTS_MAX`] attempts, or if the stored ceilings have not been read since
/// all counts were lost.
pub(crate) async fn decide_as_home(
    gateway: &Gateway,
    program: ProgramKey,
    budget: u64,
    tokens: u64,
    share: BudgetShare,
) -> Option<BudgetVerdict> {
    if !gateway.state.budgets.borrow().is_home(program) {
        if gateway.needs_ceilings() && gateway.has_recent_count_loss() {
            return None;
        }
        take_over(gateway, program, budget).await;
    }
    for _ in 0..CEILING_ATTEMPTS_MAX {
        let now_ms = gateway.now_ms();
        let verdict = {
            let mut budgets = gateway.state.budgets.borrow_mut();
            budgets.decide(program, budget, tokens, share, now_ms)
        };
        let BudgetVerdict::NeedsCeiling { ceiling } = verdict else {
            return Some(verdict);
        };
        let pending = gateway.state.ceiling_writes.borrow().get(&program).cloned();
        // The channel is also closed when the call that started the write was cancelled;
        // then this call writes the ceiling.
        if let Some(pending) = pending.filter(|pending| !pending.is_closed()) {
            // Nothing is ever sent; `recv` returns when the write ends.
            let _ = pending.recv().await;
        } else if !store_ceiling(gateway, program, ceiling).await {
            return None;
        }
    }
    None
}

/// Makes this VM the program's home, after merging the shares that other VMs know.
async fn take_over(gateway: &Gateway, program: ProgramKey, budget: u64) {
    let has_recent_loss = gateway.has_recent_count_loss();
    let peers = if has_recent_loss {
        // What was spent before the loss is bounded by the stored ceiling or, without one,
        // by the part of the budget that needs no ceiling. So only VMs that may have been
        // home since then are asked.
        let members = gateway.state.members.borrow();
        let own = gateway.state.options.facts.key();
        members.home_candidates(own, program, gateway.now_ms(), POSSIBLE_HOMES_AFTER_LOSS)
    } else if gateway.may_have_lost_home(program) {
        let members = gateway.state.members.borrow();
        members.live(gateway.now_ms()).cloned().collect()
    } else {
        previous_homes(gateway, program)
    };
    let calls = peers.iter().map(|peer| {
        call_peer(gateway, peer.peer_address(), move |call_id| {
            PeerMessage::GetShares { call_id, program }
        })
    });
    let replies = join_all(calls).await;
    let is_uncertain = has_recent_loss || replies.iter().any(Option::is_none);
    let asked = replies.len();
    let answered = replies.iter().flatten().count();
    let now_ms = gateway.now_ms();
    let mut budgets = gateway.state.budgets.borrow_mut();
    for reply in replies.into_iter().flatten() {
        if let PeerMessage::Shares { shares, .. } = reply {
            budgets.merge(program, &shares, now_ms);
        }
    }
    budgets.take_over(program, budget, is_uncertain, now_ms);
    if asked > 0 || is_uncertain {
        record_event!(
            BudgetTakenOver,
            program = format!("{program:x}"),
            asked = asked,
            answered = answered,
            shares = budgets.shares(program).len(),
            total = budgets.total(program),
            uncertain = is_uncertain,
        );
    }
}

/// Returns the VMs that may have been a program's home before this one joined.
///
/// Returns none if the members have not changed for as long as programs are remembered.
fn previous_homes(gateway: &Gateway, program: ProgramKey) -> Vec<MemberFacts> {
    let age_ms = {
        let members = gateway.state.members.borrow();
        gateway.now_ms().saturating_sub(members.changed_ms())
    };
    if age_ms >= gateway.program_retention_ms() {
        return Vec::new();
    }
    let members = gateway.state.members.borrow();
    let own = gateway.state.options.facts.key();
    members.home_candidates(own, program, gateway.now_ms(), PREVIOUS_HOMES_MAX)
}

/// Sends the shares that this VM knows to the programs' next homes.
pub(crate) async fn hand_over(gateway: &Gateway) {
    let mut by_home: HashMap<SocketAddrV4, Vec<(ProgramKey, Vec<BudgetShare>)>> = HashMap::new();
    let programs: Vec<_> = gateway.state.budgets.borrow().programs().collect();
    for (program, shares) in programs {
        let next = ranked_homes(gateway, program).into_iter().flatten().next();
        if let Some(home) = next {
            let programs = by_home.entry(home.peer_address()).or_default();
            programs.push((program, shares));
        }
    }
    for (home, programs) in by_home {
        for chunk in programs.chunks(HANDOVER_PROGRAMS_MAX) {
            let programs = chunk.to_vec();
            peer_link::send(gateway, &PeerMessage::Handover { programs }, home).await;
        }
    }
}

/// Runs all futures concurrently and returns their results in order.
async fn join_all<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = futures.map(|future| executor.spawn(future)).collect();
    let collect = async {
        let mut results = Vec::with_capacity(tasks.len());
        for task in tasks {
            results.push(task.await);
        }
        results
    };
    executor.run(collect).await
}
