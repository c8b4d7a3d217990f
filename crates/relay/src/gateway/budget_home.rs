//! Exchanges of this VM as a program's home with other VMs and the store.

use std::rc::Rc;

use ibisdale_telemetry::record_event;
use smol::lock::Mutex;

use super::caller_request::BudgetRequest;
use super::ceilings::store_ceiling;
use super::message::PeerMessage;
use super::rpc::{call_peer, join_all};
use super::state::Gateway;
use crate::decide::{
    AccountCopy, AccountReply, BudgetShare, BudgetVerdict, HomeDecision, HomeStep, HomeView,
    LossFacts, MemberFacts, ProgramKey, VmKey, VmProcess, WitnessReply,
};

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
/// Returns `None` in the cases of [`HomeStep::Decided`].
pub(crate) async fn decide_as_home(
    gateway: &Gateway,
    request: &BudgetRequest,
    share: BudgetShare,
) -> Option<BudgetVerdict> {
    let program = request.program;
    let decision = HomeDecision::new(program, request.budget, share);
    carry_out(gateway, program, decision).await
}

/// Has another VM keep a program's account in place of a home or a witness that is gone.
pub(crate) async fn keep_account(gateway: &Gateway, program: ProgramKey) {
    carry_out(gateway, program, HomeDecision::to_keep(program)).await;
}

/// Carries out the steps of a decision after those of earlier ones on the program.
async fn carry_out(
    gateway: &Gateway,
    program: ProgramKey,
    mut decision: HomeDecision,
) -> Option<BudgetVerdict> {
    let lock = ProgramLock::new(gateway, program);
    let _guard = lock.mutex.lock().await;
    let mut step = with_view(gateway, |view| decision.start(view));
    loop {
        record_takeover(gateway, program, &mut decision);
        step = match step {
            HomeStep::Decided(verdict) => return verdict,
            HomeStep::AskForRole(peers) => {
                let (replies, unanswered) = ask_for_role(gateway, program, &peers).await;
                with_view(gateway, |view| {
                    decision.record_replies(view, replies, &unanswered)
                })
            }
            HomeStep::AwaitRecords => {
                gateway.await_ceilings().await;
                with_view(gateway, |view| decision.record_read(view))
            }
            HomeStep::Store(claim) => {
                let outcome = store_ceiling(gateway, claim).await;
                with_view(gateway, |view| decision.record_outcome(view, outcome))
            }
            HomeStep::AskWitness(witness, account) => {
                let reply = replicate(gateway, program, &witness, &account).await;
                with_view(gateway, |view| decision.record_witness(view, reply))
            }
        };
    }
}

/// Takes a step with what this VM knows now.
fn with_view<T>(gateway: &Gateway, take: impl FnOnce(&mut HomeView<'_>) -> T) -> T {
    let losses = gateway.recent_losses();
    let facts = LossFacts {
        losses: &losses,
        window_ms: gateway.loss_window_ms(),
        has_lost_counts: gateway.has_recent_count_loss(),
    };
    take(&mut HomeView {
        ledger: &mut gateway.state.budgets.borrow_mut(),
        knows_fleet: gateway.knows_fleet(),
        members: &mut gateway.state.members.borrow_mut(),
        losses: facts,
        knows_records: !gateway.needs_ceilings(),
        is_first_start: gateway.state.options.is_first_start,
        retention_ms: gateway.program_retention_ms(),
        now_ms: gateway.now_ms(),
    })
}

/// Logs that this VM has taken over the role of a home, unless it knew the program alone.
fn record_takeover(gateway: &Gateway, program: ProgramKey, decision: &mut HomeDecision) {
    let takeover = decision.take_takeover();
    let is_logged = |asked: usize, needs_record: bool| asked > 0 || needs_record;
    let Some(takeover) =
        takeover.filter(|takeover| is_logged(takeover.asked, takeover.finding.needs_record))
    else {
        return;
    };
    let budgets = gateway.state.budgets.borrow();
    let now_ms = gateway.now_ms();
    record_event!(
        BudgetTakenOver,
        program = format!("{program:x}"),
        epoch = budgets.copy(program, now_ms).map_or(0, |copy| copy.epoch),
        asked = takeover.asked,
        answered = takeover.answered,
        shares = budgets.shares(program).len(),
        total = budgets.total(program),
        needs_record = takeover.finding.needs_record,
        uncertain = takeover.finding.may_miss_tokens,
    );
}

/// Asks VMs for the home's role of a program; returns what they know and those that did not
/// reply.
async fn ask_for_role(
    gateway: &Gateway,
    program: ProgramKey,
    peers: &[MemberFacts],
) -> (Vec<AccountReply>, Vec<VmKey>) {
    let requester = gateway.state.budgets.borrow().process();
    let calls = peers.iter().map(|peer| {
        call_peer(gateway, peer.peer_address(), move |call_id| {
            PeerMessage::RequestRole {
                call_id,
                program,
                requester,
            }
        })
    });
    let results = join_all(calls).await;
    let mut replies = Vec::new();
    let mut unanswered = Vec::new();
    for (peer, result) in peers.iter().zip(results) {
        if let Some(PeerMessage::RoleYielded {
            incarnation,
            account,
            absence_age_ms,
            ..
        }) = result
        {
            let process = VmProcess {
                vm: peer.key(),
                incarnation,
            };
            replies.push(AccountReply {
                process,
                account,
                absence_age_ms,
            });
        } else {
            unanswered.push(peer.key());
        }
    }
    (replies, unanswered)
}

/// Sends the account to its witness; returns `None` if it does not reply.
async fn replicate(
    gateway: &Gateway,
    program: ProgramKey,
    witness: &MemberFacts,
    account: &AccountCopy,
) -> Option<WitnessReply> {
    let build_message = |call_id| PeerMessage::Replicate {
        call_id,
        program,
        account: account.clone(),
    };
    let total_before = gateway.state.budgets.borrow().total(program);
    let reply = call_peer(gateway, witness.peer_address(), build_message).await;
    let Some(PeerMessage::Replicated {
        incarnation,
        is_accepted,
        account: known,
        ..
    }) = reply
    else {
        return None;
    };
    if !is_accepted {
        record_event!(
            BudgetRoleRefused,
            program = format!("{program:x}"),
            epoch = account.epoch,
            witness_epoch = known.epoch,
            total_before = total_before,
            total = gateway.state.budgets.borrow().total(program),
        );
    }
    Some(WitnessReply {
        incarnation,
        is_accepted,
        account: known,
    })
}
