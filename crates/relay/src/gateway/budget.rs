//! Asking the home of a program for tokens, and answering as home.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddrV4;

use ibisdale_telemetry::record_event;

use super::call::BudgetRequest;
use super::ceilings::store_ceiling;
use super::message::PeerMessage;
use super::peers;
use super::rpc::call_peer;
use super::state::Gateway;
use crate::decide::{BudgetShare, BudgetVerdict, MemberFacts, ProgramKey};

/// Homes that are asked in turn before a call is refused.
const HOMES_MAX: usize = 2;
/// Accounts handed over in one message; keeps it below the size of a packet.
const HANDOVER_ACCOUNTS: usize = 12;
/// VMs next in rank that may have been a program's home since all counts were lost;
/// callers ask the first [`HOMES_MAX`], and VMs may differ by one on who lives.
const HOMES_SINCE_LOSS: usize = HOMES_MAX + 1;
/// VMs next in rank that are asked for what they know of a program.
const EARLIER_HOMES: usize = 2;
/// Ceilings that one call stores or waits for before it is refused.
const CEILING_TRIES: u32 = 3;

/// What became of a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BudgetAnswer {
    Granted { is_first: bool },
    Spent { total: u64 },
    Unknown,
}

/// Tokens reserved for a running call; dropping it settles the account.
pub(crate) struct BudgetHold {
    gateway: Gateway,
    need: BudgetRequest,
    spent: Cell<u64>,
}

impl BudgetHold {
    /// Counts tokens that are handed to the caller.
    pub(crate) fn spend(&self, tokens: u64) {
        self.spent.set(self.spent.get() + tokens);
    }
}

impl Drop for BudgetHold {
    fn drop(&mut self) {
        let gateway = self.gateway.clone();
        let need = self.need;
        let share = gateway.state.budgets.borrow_mut().settle(
            need.program,
            need.tokens,
            self.spent.get(),
            gateway.now_ms(),
        );
        let teller = gateway.clone();
        gateway.spawn(async move { tell_home(&teller, need.program, share).await });
    }
}

async fn tell_home(gateway: &Gateway, program: ProgramKey, share: BudgetShare) {
    if let Some(Some(home)) = homes(gateway, program).into_iter().next() {
        let question = |ask| PeerMessage::Settle {
            ask,
            program,
            share,
        };
        if call_peer(gateway, home.peer_address(), question)
            .await
            .is_none()
        {
            log::debug!("the home of a program did not confirm a settlement");
        }
    }
}

fn homes(gateway: &Gateway, program: ProgramKey) -> Vec<Option<MemberFacts>> {
    let members = gateway.state.members.borrow();
    let own = gateway.state.options.facts.key();
    members.homes(own, program, gateway.now_ms())
}

/// Reserves tokens for a call.
pub(crate) async fn reserve(
    gateway: &Gateway,
    need: BudgetRequest,
) -> (BudgetAnswer, Option<BudgetHold>) {
    let now_ms = gateway.now_ms();
    let share = {
        let mut budgets = gateway.state.budgets.borrow_mut();
        budgets.reserve(need.program, need.tokens, now_ms)
    };
    let hold = BudgetHold {
        gateway: gateway.clone(),
        need,
        spent: Cell::new(0),
    };
    for home in homes(gateway, need.program).into_iter().take(HOMES_MAX) {
        let verdict = match home {
            None => decide_as_home(gateway, need.program, need.budget, need.tokens, share).await,
            Some(home) => {
                let shares = gateway.state.budgets.borrow().shares(need.program);
                let question = |ask| PeerMessage::Reserve {
                    ask,
                    program: need.program,
                    budget: need.budget,
                    tokens: need.tokens,
                    share,
                    known: shares.clone(),
                };
                match call_peer(gateway, home.peer_address(), question).await {
                    Some(PeerMessage::Reserved {
                        verdict, shares, ..
                    }) => {
                        let now_ms = gateway.now_ms();
                        let mut budgets = gateway.state.budgets.borrow_mut();
                        budgets.merge(need.program, &shares, now_ms);
                        verdict
                    }
                    _ => continue,
                }
            }
        };
        record_event!(
            BudgetDecided,
            program = format!("{:x}", need.program),
            budget = need.budget,
            tokens = need.tokens,
            verdict = format!("{verdict:?}"),
            total = gateway.state.budgets.borrow().total(need.program),
        );
        return match verdict {
            Some(BudgetVerdict::Granted { is_first }) => {
                (BudgetAnswer::Granted { is_first }, Some(hold))
            }
            Some(BudgetVerdict::Spent { total }) => (BudgetAnswer::Spent { total }, None),
            Some(BudgetVerdict::NeedsCeiling { .. }) | None => (BudgetAnswer::Unknown, None),
        };
    }
    (BudgetAnswer::Unknown, None)
}

/// Decides as home; `None` when a ceiling is needed and can't be stored.
pub(crate) async fn decide_as_home(
    gateway: &Gateway,
    program: ProgramKey,
    budget: u64,
    tokens: u64,
    share: BudgetShare,
) -> Option<BudgetVerdict> {
    if !gateway.state.budgets.borrow().is_home(program) {
        if gateway.needs_ceilings() && gateway.is_count_lost() {
            return None;
        }
        take_over(gateway, program, budget).await;
    }
    for _ in 0..CEILING_TRIES {
        let now_ms = gateway.now_ms();
        let verdict = {
            let mut budgets = gateway.state.budgets.borrow_mut();
            budgets.decide(program, budget, tokens, share, now_ms)
        };
        let BudgetVerdict::NeedsCeiling { ceiling } = verdict else {
            return Some(verdict);
        };
        let pending = gateway.state.ceiling_writes.borrow().get(&program).cloned();
        // A write whose caller has left is closed before its end.
        if let Some(pending) = pending.filter(|pending| !pending.is_closed()) {
            // Nothing is ever sent; the receiver wakes when the write has ended.
            let _ = pending.recv().await;
        } else if !store_ceiling(gateway, program, ceiling).await {
            return None;
        }
    }
    None
}

/// Learns what the other VMs know of a program before counting it.
async fn take_over(gateway: &Gateway, program: ProgramKey, budget: u64) {
    let is_lost = gateway.is_count_lost();
    let peers = if is_lost {
        // What was spent before the loss is bounded without the peers' counts.
        let members = gateway.state.members.borrow();
        let own = gateway.state.options.facts.key();
        members.next_homes(own, program, gateway.now_ms(), HOMES_SINCE_LOSS)
    } else if gateway.has_lost_home(program) {
        let members = gateway.state.members.borrow();
        members.live(gateway.now_ms()).cloned().collect()
    } else {
        earlier_homes(gateway, program)
    };
    let asks = peers.iter().map(|peer| {
        call_peer(gateway, peer.peer_address(), move |ask| {
            PeerMessage::Gather { ask, program }
        })
    });
    let answers = join_all(asks).await;
    let is_uncertain = is_lost || answers.iter().any(Option::is_none);
    let now_ms = gateway.now_ms();
    let mut budgets = gateway.state.budgets.borrow_mut();
    for answer in answers.into_iter().flatten() {
        if let PeerMessage::Gathered { shares, .. } = answer {
            budgets.merge(program, &shares, now_ms);
        }
    }
    budgets.take_over(program, budget, is_uncertain, now_ms);
    if is_uncertain {
        let shares = budgets.shares(program).len();
        record_event!(
            BudgetTakenOver,
            program = format!("{program:x}"),
            shares = shares,
            uncertain = is_uncertain,
        );
    }
}

/// Returns the VMs that were a program's home before this one joined.
fn earlier_homes(gateway: &Gateway, program: ProgramKey) -> Vec<MemberFacts> {
    let age_ms = {
        let members = gateway.state.members.borrow();
        gateway.now_ms().saturating_sub(members.changed_ms())
    };
    if age_ms >= gateway.remember_ms() {
        return Vec::new();
    }
    let members = gateway.state.members.borrow();
    let own = gateway.state.options.facts.key();
    members.next_homes(own, program, gateway.now_ms(), EARLIER_HOMES)
}

/// Hands what this VM has counted to the programs' next homes.
pub(crate) async fn hand_over(gateway: &Gateway) {
    let mut by_home: HashMap<SocketAddrV4, Vec<(ProgramKey, Vec<BudgetShare>)>> = HashMap::new();
    let accounts: Vec<_> = gateway.state.budgets.borrow().accounts().collect();
    for (program, shares) in accounts {
        let next = homes(gateway, program).into_iter().flatten().next();
        if let Some(home) = next {
            let accounts = by_home.entry(home.peer_address()).or_default();
            accounts.push((program, shares));
        }
    }
    for (home, accounts) in by_home {
        for part in accounts.chunks(HANDOVER_ACCOUNTS) {
            let accounts = part.to_vec();
            peers::send(gateway, &PeerMessage::Handover { accounts }, home).await;
        }
    }
}

/// Waits for all futures, which run at the same time.
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
