//! Copies of programs' accounts on other VMs, and messages about budgets.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use super::budget_home::{decide_as_home, keep_account};
use super::caller_request::BudgetRequest;
use super::message::PeerMessage;
use super::peer_link::{send, spawn_send};
use super::rpc::{call_peer, join_all};
use super::state::Gateway;
use crate::decide::{
    AccountCopy, BudgetShare, MemberFacts, ProgramKey, has_lost_partner, missing_copies,
};

/// Maximum number of programs in one handover message, which keeps the message within
/// one packet.
const HANDOVER_PROGRAMS_MAX: usize = 12;
/// Number of VMs, in order of preference as home, that get a copy of an account.
const COPIES: usize = 2;

type ProgramCopies = HashMap<SocketAddrV4, Vec<(ProgramKey, AccountCopy)>>;

/// Sends the accounts that this VM knows to the VMs that rank first without it.
pub(crate) async fn hand_over(gateway: &Gateway) {
    let programs: Vec<_> = gateway.state.budgets.borrow().programs().collect();
    let own = gateway.state.options.facts.key();
    let mut copies = ProgramCopies::new();
    for program in programs {
        let peers = {
            let members = gateway.state.members.borrow();
            members.first_homes(own, program, gateway.now_ms())
        };
        let others = peers.into_iter().filter_map(|peer| peer.facts);
        add_copies(gateway, program, others.take(COPIES), &mut copies);
    }
    send_copies(gateway, copies).await;
}

/// Has two VMs keep each account again since VMs have joined, restarted or died, and tells the VMs
/// that rank first which two they are.
pub(crate) async fn restore_copies(gateway: &Gateway) {
    let programs: Vec<_> = gateway.state.budgets.borrow().member_programs().collect();
    let lost = programs.iter().filter(|program| {
        let budgets = gateway.state.budgets.borrow();
        let members = gateway.state.members.borrow();
        has_lost_partner(&budgets, &members, **program, gateway.now_ms())
    });
    let lost: Vec<_> = lost.copied().collect();
    join_all(lost.iter().map(|program| keep_account(gateway, *program))).await;
    let mut copies = ProgramCopies::new();
    for program in programs {
        let targets = {
            let budgets = gateway.state.budgets.borrow();
            let members = gateway.state.members.borrow();
            missing_copies(&budgets, &members, program, COPIES, gateway.now_ms())
        };
        add_copies(gateway, program, targets.into_iter(), &mut copies);
    }
    send_copies(gateway, copies).await;
}

fn add_copies(
    gateway: &Gateway,
    program: ProgramKey,
    targets: impl Iterator<Item = MemberFacts>,
    copies: &mut ProgramCopies,
) {
    let budgets = gateway.state.budgets.borrow();
    let Some(copy) = budgets.copy(program, gateway.now_ms()) else {
        return;
    };
    for target in targets {
        let programs = copies.entry(target.peer_address()).or_default();
        programs.push((program, copy.clone()));
    }
}

async fn send_copies(gateway: &Gateway, copies: ProgramCopies) {
    let chunks = copies.into_iter().flat_map(|(target, programs)| {
        let chunks = programs.chunks(HANDOVER_PROGRAMS_MAX);
        let chunks: Vec<_> = chunks.map(<[_]>::to_vec).collect();
        chunks.into_iter().map(move |programs| (target, programs))
    });
    let calls = chunks.map(|(target, programs)| async move {
        let build_message = |call_id| PeerMessage::Handover {
            call_id,
            programs: programs.clone(),
        };
        call_peer(gateway, target, build_message).await
    });
    let replies = join_all(calls).await;
    let lost = replies.iter().filter(|reply| reply.is_none()).count();
    if lost > 0 {
        log::info!(
            "{lost} of {} messages with programs' accounts were not confirmed",
            replies.len()
        );
    }
}

/// Handles the messages about budgets of programs.
pub(crate) fn handle_budget_message(gateway: &Gateway, message: PeerMessage, sender: SocketAddrV4) {
    let now_ms = gateway.now_ms();
    let budgets = &gateway.state.budgets;
    match message {
        PeerMessage::Handover { call_id, programs } => {
            for (program, account) in programs {
                budgets.borrow_mut().merge_copy(program, &account, now_ms);
            }
            spawn_send(gateway, PeerMessage::HandedOver { call_id }, sender);
        }
        PeerMessage::Settle {
            call_id,
            program,
            share,
        } => {
            budgets.borrow_mut().merge_share(program, share, now_ms);
            spawn_send(gateway, PeerMessage::Settled { call_id }, sender);
        }
        PeerMessage::RequestRole {
            call_id,
            program,
            requester,
        } => {
            let mut replies = gateway.state.role_replies.borrow_mut();
            let account = replies.decide_once(sender, call_id, now_ms, || {
                budgets.borrow_mut().yield_role(program, requester, now_ms)
            });
            drop(replies);
            let message = PeerMessage::RoleYielded {
                call_id,
                incarnation: gateway.state.options.facts.incarnation,
                account,
                absence_age_ms: gateway.state.losses.borrow().absence_age_ms(now_ms),
            };
            spawn_send(gateway, message, sender);
        }
        PeerMessage::Replicate {
            call_id,
            program,
            account,
        } => {
            let is_accepted = budgets.borrow_mut().accept(program, &account, now_ms);
            let account = budgets.borrow().copy(program, now_ms);
            let message = PeerMessage::Replicated {
                call_id,
                incarnation: gateway.state.options.facts.incarnation,
                is_accepted,
                account: account.unwrap_or_default(),
            };
            spawn_send(gateway, message, sender);
        }
        PeerMessage::Reserve {
            call_id,
            program,
            budget,
            share,
            known,
        } => {
            merge_known(gateway, program, &known);
            let request = BudgetRequest {
                program,
                budget,
                tokens: share.reserved,
            };
            handle_reserve(gateway, call_id, request, share, sender);
        }
        _ => {}
    }
}

/// Merges what the sender of a reservation knows, if it knows anything.
fn merge_known(gateway: &Gateway, program: ProgramKey, known: &AccountCopy) {
    if known.epoch > 0 || !known.shares.is_empty() {
        let mut budgets = gateway.state.budgets.borrow_mut();
        budgets.merge_copy(program, known, gateway.now_ms());
    }
}

fn handle_reserve(
    gateway: &Gateway,
    call_id: u64,
    request: BudgetRequest,
    share: BudgetShare,
    sender: SocketAddrV4,
) {
    let call = (sender, call_id);
    if !gateway.state.reserve_calls.borrow_mut().insert(call) {
        // The call was sent again before it was decided.
        spawn_send(gateway, PeerMessage::Deciding { call_id }, sender);
        return;
    }
    let home = gateway.clone();
    gateway.spawn(async move {
        let verdict = decide_as_home(&home, &request, share).await;
        home.state.reserve_calls.borrow_mut().remove(&call);
        let account = home
            .state
            .budgets
            .borrow()
            .copy(request.program, home.now_ms());
        let message = PeerMessage::Reserved {
            call_id,
            verdict,
            account: account.unwrap_or_default(),
        };
        send(&home, &message, sender).await;
    });
}
