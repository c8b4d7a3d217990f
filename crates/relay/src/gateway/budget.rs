//! Token budgets of programs: requests to a program's home VM, which grants its calls.

use std::cell::Cell;
use std::time::{Duration, Instant};

use ibisdale_telemetry::record_event;
use smol::Timer;

use super::budget_home::decide_as_home;
use super::caller_request::BudgetRequest;
use super::message::PeerMessage;
use super::rpc::{call_peer, call_peer_for};
use super::state::Gateway;
use crate::decide::{
    BudgetShare, BudgetVerdict, HomeSearch, MemberFacts, ProgramKey, SearchTarget,
};

/// Part of a call's time in which a VM is searched that decides on it, in percent; the rest is left
/// for the caller's next attempt.
const SEARCH_TIME_PERCENT: u32 = 50;
/// Pause before VMs are asked again that answered and could not decide.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a home that has confirmed the call may decide; it may have to replace a
/// witness that does not reply and to store a ceiling.
const DECISION_TIME: Duration = Duration::from_millis(600);
/// Number of VMs, in order of preference as home, that keep a program's account.
const ACCOUNT_VMS: usize = 2;

/// Outcome of a request to reserve tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReserveOutcome {
    /// The call may run; `is_first` if no earlier call of the program is known.
    Granted { is_first: bool },
    /// The budget has too few tokens left; `total` are spent or reserved.
    Spent { total: u64 },
    /// No VM replied that could decide (see [`decide_as_home`]).
    Unknown,
}

/// Reply of a VM that was asked to decide on a call.
#[derive(Clone, Copy, Debug)]
enum HomeReply {
    Decided(BudgetVerdict),
    /// It could not decide (see [`decide_as_home`]).
    Undecided,
    Unanswered,
}

impl HomeReply {
    fn new(verdict: Option<BudgetVerdict>) -> Self {
        match verdict {
            None | Some(BudgetVerdict::NeedsCeiling { .. }) => Self::Undecided,
            Some(verdict) => Self::Decided(verdict),
        }
    }
}

/// Tokens reserved for a running call.
///
/// Dropping it ends the reservation and sends the tokens spent to the program's home.
pub(crate) struct BudgetReservation {
    gateway: Gateway,
    program: ProgramKey,
    share: BudgetShare,
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
        let (program, share) = (self.program, self.share);
        let mut budgets = gateway.state.budgets.borrow_mut();
        let share = budgets.settle(program, share, self.spent.get(), gateway.now_ms());
        drop(budgets);
        let cloned = gateway.clone();
        gateway.spawn(async move { send_settlement(&cloned, program, share).await });
    }
}

/// Sends this VM's [`BudgetShare`] of a program to the VMs that keep its account.
async fn send_settlement(gateway: &Gateway, program: ProgramKey, share: BudgetShare) {
    let homes = {
        let members = gateway.state.members.borrow();
        let own = gateway.state.options.facts.key();
        members.first_homes(own, program, gateway.now_ms())
    };
    let homes = homes.into_iter().take(ACCOUNT_VMS);
    for home in homes.filter_map(|home| home.facts) {
        let build_message = |call_id| PeerMessage::Settle {
            call_id,
            program,
            share,
        };
        if call_peer(gateway, home.peer_address(), build_message)
            .await
            .is_none()
        {
            log::debug!("a home VM of a program did not confirm a settlement");
        }
    }
}

/// Asks the program's home to grant a call that has `time_left`.
///
/// Returns the reservation only if it is granted; otherwise it has been released.
pub(crate) async fn reserve(
    gateway: &Gateway,
    request: BudgetRequest,
    time_left: Duration,
) -> (ReserveOutcome, Option<BudgetReservation>) {
    let now_ms = gateway.now_ms();
    let share = {
        let mut budgets = gateway.state.budgets.borrow_mut();
        budgets.reserve(request.program, request.tokens, now_ms)
    };
    let reservation = BudgetReservation {
        gateway: gateway.clone(),
        program: request.program,
        share,
        spent: Cell::new(0),
    };
    let until = Instant::now() + time_left * SEARCH_TIME_PERCENT / 100;
    match search_verdict(gateway, request, share, until).await {
        Some(BudgetVerdict::Granted { is_first }) => {
            (ReserveOutcome::Granted { is_first }, Some(reservation))
        }
        Some(BudgetVerdict::Spent { total }) => (ReserveOutcome::Spent { total }, None),
        Some(BudgetVerdict::NeedsCeiling { .. }) | None => (ReserveOutcome::Unknown, None),
    }
}

/// Asks VMs to decide on a call until one does; `None` if none can before `until`.
///
/// While the store is away, a VM that can't decide without it will not within that time either.
async fn search_verdict(
    gateway: &Gateway,
    request: BudgetRequest,
    share: BudgetShare,
    until: Instant,
) -> Option<BudgetVerdict> {
    loop {
        let verdict = search_once(gateway, request, share, until).await;
        let is_over = Instant::now() + SEARCH_PAUSE >= until;
        if verdict.is_some() || is_over || gateway.is_store_unavailable() {
            return verdict;
        }
        Timer::after(SEARCH_PAUSE).await;
    }
}

/// Asks each VM that answers once, the preferred home first.
async fn search_once(
    gateway: &Gateway,
    request: BudgetRequest,
    share: BudgetShare,
    until: Instant,
) -> Option<BudgetVerdict> {
    let own = gateway.state.options.facts.key();
    let mut search = HomeSearch::default();
    while Instant::now() < until {
        let target = {
            let members = gateway.state.members.borrow();
            search.next_target(&members, own, request.program, gateway.now_ms())?
        };
        let reply = match &target {
            SearchTarget::Own => HomeReply::new(decide_as_home(gateway, &request, share).await),
            SearchTarget::Peer(facts) => request_grant(gateway, &request, share, facts).await,
        };
        record_event!(
            BudgetDecided,
            program = format!("{:x}", request.program),
            budget = request.budget,
            tokens = request.tokens,
            verdict = format!("{reply:?}"),
            total = gateway.state.budgets.borrow().total(request.program),
        );
        match reply {
            HomeReply::Decided(verdict) => return Some(verdict),
            HomeReply::Undecided => search.record_undecided(),
            HomeReply::Unanswered => {}
        }
    }
    None
}

/// Requests a grant from another VM; one that knows less than this VM counts as undecided.
async fn request_grant(
    gateway: &Gateway,
    request: &BudgetRequest,
    share: BudgetShare,
    home: &MemberFacts,
) -> HomeReply {
    let program = request.program;
    let known = {
        let budgets = gateway.state.budgets.borrow();
        budgets.copy(program, gateway.now_ms())
    };
    let build_message = |call_id| PeerMessage::Reserve {
        call_id,
        program,
        budget: request.budget,
        share,
        known: known.clone().unwrap_or_default(),
    };
    let reply = call_peer_for(gateway, home.peer_address(), DECISION_TIME, build_message).await;
    let now_ms = gateway.now_ms();
    let Some(PeerMessage::Reserved {
        verdict, account, ..
    }) = reply
    else {
        let mut members = gateway.state.members.borrow_mut();
        members.record_unanswered(home.key(), now_ms);
        return HomeReply::Unanswered;
    };
    let mut budgets = gateway.state.budgets.borrow_mut();
    let is_latest = budgets.merge_copy(program, &account, now_ms);
    HomeReply::new(verdict.filter(|_| is_latest))
}
