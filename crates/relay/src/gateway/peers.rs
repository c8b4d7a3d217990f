//! Gossip and other messages between VMs over UDP.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use ibisdale_telemetry::record_event;
use smol::Timer;

use super::admit::admit_as_home;
use super::budget_copies::{handle_budget_message, restore_copies};
use super::ceilings::store_in_batch;
use super::cold::{merge_cold, send_cold};
use super::evacuation::merge_evacuations;
use super::feed_contact::record_peer_feed;
use super::limits::{grant_as_home, merge_limits, send_limits};
use super::memory_spans::merge_spans;
use super::message::{GrantRequest, PeerMessage};
use super::origins::record_origin;
use super::peer_link::{
    peer_addresses, report_to_homes, send, send_state, spawn_send, spawn_send_state,
};
use super::peer_list::{handle_peer_list, send_counters, send_peer_list};
use super::plan_in_force::record_heard_plan;
use super::runs::{decide_run, end_run};
use super::speeds::{merge_speeds, update_speeds};
use super::state::{Gateway, lossy_string};
use super::state_transfer::{self, StatePart};
use super::suspects::{merge_suspects, send_suspects};
use crate::decide::{
    AdmissionCounters, CeilingClaim, InFlightCount, MemberFacts, NewProcess, PeerRotation,
    ProgramStage, ROUND_MS, RunQuery, VmKey, VmLoss, WorkspaceKey,
};

/// Maximum size of a datagram that can be received, in bytes.
const MESSAGE_MAX_BYTES: usize = 60_000;
/// Difference of start times up to which VMs count as started together, in milliseconds.
const SAME_START_MS: u64 = 3_000;
/// Delay of a gossip round from which on it is logged.
const TASK_DELAY_MIN: Duration = Duration::from_millis(100);

/// Receives and handles messages until the process ends.
pub(crate) async fn receive(gateway: Gateway) {
    let mut buffer = vec![0_u8; MESSAGE_MAX_BYTES];
    loop {
        match gateway.state.socket.recv_from(&mut buffer).await {
            Ok((size, sender)) => match postcard::from_bytes(&buffer[..size]) {
                Ok(message) => handle(&gateway, message, sender),
                Err(error) => log::debug!("failed to decode a message from {sender}: {error}"),
            },
            Err(error) => {
                log::debug!("failed to receive from the peer socket: {error}");
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Sends this VM's state to its peers in rounds until the process ends.
pub(crate) async fn run_gossip(gateway: Gateway) {
    let mut rotation = PeerRotation::default();
    let pause = Duration::from_millis(ROUND_MS);
    loop {
        gossip_round(&gateway, &mut rotation).await;
        let paused = Instant::now();
        Timer::after(pause).await;
        record_task_delay(&gateway, paused.elapsed().saturating_sub(pause));
    }
}

/// Records how long the tasks of this process wait until they run.
fn record_task_delay(gateway: &Gateway, delay: Duration) {
    gateway.state.metrics.set_task_delay(delay);
    if delay >= TASK_DELAY_MIN {
        record_event!(
            TasksLate,
            late_ms = delay.as_millis(),
            in_flight = gateway.state.in_flight.get()
        );
    }
}

async fn gossip_round(gateway: &Gateway, rotation: &mut PeerRotation) {
    let now_ms = gateway.now_ms();
    gateway.state.members.borrow_mut().expire(now_ms);
    gateway.start_quota_round();
    let (overdue, silent_after_ms) = {
        let members = gateway.state.members.borrow();
        (members.overdue(now_ms), members.silent_after_ms())
    };
    let replicas = &gateway.state.replicas;
    replicas
        .borrow_mut()
        .expire_peer_in_flight(silent_after_ms, now_ms);
    gateway.state.quota_decisions.borrow_mut().expire(now_ms);
    gateway.state.grant_decisions.borrow_mut().expire(now_ms);
    gateway.state.run_decisions.borrow_mut().expire(now_ms);
    gateway.state.role_replies.borrow_mut().expire(now_ms);
    record_silent_vms(gateway, now_ms);
    update_speeds(gateway);
    gateway
        .state
        .losses
        .borrow_mut()
        .init_counts_lost_at(now_ms);
    if gateway.state.are_copies_due.take() {
        let cloned = gateway.clone();
        gateway.spawn(async move { restore_copies(&cloned).await });
    }
    for peer in overdue {
        send(gateway, &PeerMessage::Probe, peer).await;
    }
    report_to_homes(gateway).await;
    let chosen = rotation.next_round(&peer_addresses(gateway));
    send_state(gateway, &chosen).await;
}

impl Gateway {
    /// Starts a round of the rate limits, unless it can't be known yet how many VMs share them.
    pub(crate) fn start_quota_round(&self) {
        let now_ms = self.now_ms();
        let is_alone = peer_addresses(self).is_empty();
        // At the first start of all VMs, few of them have registered.
        let is_listed = self.state.has_registrations.get() && !self.state.options.is_first_start;
        // Before the first full round, no peer's state can have arrived.
        if !is_alone && !is_listed && now_ms < ROUND_MS {
            return;
        }
        let (known_count, silent_count) = self.state.members.borrow().count(now_ms);
        let vm_count = u32::try_from(known_count + 1).unwrap_or(u32::MAX);
        let silent_count = u32::try_from(silent_count).unwrap_or(u32::MAX);
        let mut quota = self.state.quota.borrow_mut();
        quota.set_vm_counts(vm_count, silent_count);
        quota.start_round(now_ms);
    }
}

/// Records VMs that have become silent since the last round as lost.
fn record_silent_vms(gateway: &Gateway, now_ms: u64) {
    let silent_vms = gateway.state.members.borrow_mut().take_newly_silent(now_ms);
    if silent_vms.is_empty() {
        return;
    }
    let (known_count, silent_count) = gateway.state.members.borrow().count(now_ms);
    for facts in silent_vms {
        let vm = facts.key();
        let last_heard_ms = gateway.state.members.borrow().last_heard_ms(vm);
        gateway.record_vm_silence(VmLoss {
            vm,
            incarnation: facts.incarnation,
            at_ms: last_heard_ms.unwrap_or(now_ms),
        });
        gateway.state.runs.borrow_mut().end_all(facts.key());
        record_event!(
            VmSilent,
            vm = lossy_string(&facts.name),
            known = known_count,
            silent = silent_count
        );
    }
    gateway.state.are_copies_due.set(true);
}

fn handle(gateway: &Gateway, message: PeerMessage, sender: SocketAddr) {
    let SocketAddr::V4(sender) = sender else {
        return;
    };
    if let Some(call_id) = message.reply_call_id() {
        let waiting = gateway.state.pending_peer_calls.borrow();
        if let Some(waiting) = waiting.get(&call_id) {
            // Fails if the call was cancelled or has got its reply.
            let _ = waiting.try_send(message);
        }
        return;
    }
    match message {
        PeerMessage::State {
            facts,
            plan_version,
            plan_age_ms,
            replicas_version,
            feed_age_ms,
            answers_ms,
            is_store_lost,
            quota,
            in_flight,
            counts_lost_at,
            limits,
            suspects,
            evacuations,
            speeds,
            spans,
        } => {
            merge_evacuations(gateway, evacuations);
            merge_limits(gateway, &limits);
            merge_suspects(gateway, &suspects, "peer");
            merge_speeds(gateway, &speeds);
            merge_spans(gateway, &spans);
            record_peer_feed(gateway, feed_age_ms, answers_ms);
            record_peer_in_flight(gateway, facts.key(), in_flight);
            record_peer_store_lost(gateway, facts.key(), is_store_lost);
            let losses = &gateway.state.losses;
            losses.borrow_mut().merge_counts_lost_at(counts_lost_at);
            let plan = (plan_version, plan_age_ms);
            handle_state(gateway, facts, plan, replicas_version, &quota, sender);
        }
        PeerMessage::Left { vm, incarnation } => handle_leave(gateway, vm, incarnation),
        PeerMessage::Counters {
            vm,
            incarnation,
            counters,
        } => record_baseline(gateway, vm, incarnation, &counters),
        PeerMessage::PeerList {
            peers,
            window_reports,
        } => handle_peer_list(gateway, peers, &window_reports),
        PeerMessage::Handover { .. }
        | PeerMessage::Settle { .. }
        | PeerMessage::RequestRole { .. }
        | PeerMessage::Replicate { .. }
        | PeerMessage::Reserve { .. } => handle_budget_message(gateway, message, sender),
        PeerMessage::Admit {
            call_id,
            workspace,
            stage,
            rank,
        } => handle_admit(gateway, call_id, (workspace, stage, rank), sender),
        PeerMessage::Admissions {
            vm,
            incarnation,
            counters,
        } => record_admissions(gateway, vm, incarnation, &counters),
        PeerMessage::Limits { limits } => merge_limits(gateway, &limits),
        PeerMessage::Cold { cold } => merge_cold(gateway, &cold),
        PeerMessage::RequestGrant {
            call_id,
            rank,
            request,
        } => handle_grant_request(gateway, call_id, &request, rank, sender),
        PeerMessage::Suspects { suspects } => merge_suspects(gateway, &suspects, "peer"),
        PeerMessage::RequestRun { .. } | PeerMessage::EndRun { .. } => {
            handle_run_message(gateway, message, sender);
        }
        PeerMessage::Probe => spawn_send_state(gateway, sender),
        PeerMessage::Store { call_id, claim } => handle_store(gateway, call_id, claim, sender),
        PeerMessage::StreamBegan { attempt, origin } => {
            record_origin(gateway, attempt, origin);
        }
        PeerMessage::GetOrigin { call_id, attempt } => {
            let origin = gateway.state.origins.borrow().get(attempt).cloned();
            spawn_send(gateway, PeerMessage::Origin { call_id, origin }, sender);
        }
        PeerMessage::Reserved { .. }
        | PeerMessage::Deciding { .. }
        | PeerMessage::Settled { .. }
        | PeerMessage::Stored { .. }
        | PeerMessage::HandedOver { .. }
        | PeerMessage::RoleYielded { .. }
        | PeerMessage::Replicated { .. }
        | PeerMessage::Admitted { .. }
        | PeerMessage::GrantDecided { .. }
        | PeerMessage::RunDecided { .. }
        | PeerMessage::RunEnded { .. }
        | PeerMessage::Origin { .. } => {}
    }
}

fn handle_admit(
    gateway: &Gateway,
    call_id: u64,
    (workspace, stage, rank): (WorkspaceKey, ProgramStage, u8),
    sender: SocketAddrV4,
) {
    let decide = || admit_as_home(gateway, workspace, stage, rank.into()).err();
    let mut decisions = gateway.state.quota_decisions.borrow_mut();
    let refusal = decisions.decide_once(sender, call_id, gateway.now_ms(), decide);
    drop(decisions);
    spawn_send(gateway, PeerMessage::Admitted { call_id, refusal }, sender);
}

fn handle_grant_request(
    gateway: &Gateway,
    call_id: u64,
    request: &GrantRequest,
    rank: u8,
    sender: SocketAddrV4,
) {
    let decide = || grant_as_home(gateway, request, rank.into());
    let mut decisions = gateway.state.grant_decisions.borrow_mut();
    let outcome = decisions.decide_once(sender, call_id, gateway.now_ms(), decide);
    drop(decisions);
    let message = PeerMessage::GrantDecided { call_id, outcome };
    spawn_send(gateway, message, sender);
}

/// Handles the messages of VMs that send suspected requests to the home of the suspects.
fn handle_run_message(gateway: &Gateway, message: PeerMessage, sender: SocketAddrV4) {
    match message {
        PeerMessage::RequestRun { call_id, query } => {
            handle_run_request(gateway, call_id, &query, sender);
        }
        PeerMessage::EndRun {
            call_id,
            vm,
            fingerprint,
            suspects,
        } => {
            end_run(gateway, vm, fingerprint, &suspects);
            spawn_send(gateway, PeerMessage::RunEnded { call_id }, sender);
        }
        _ => {}
    }
}

fn handle_run_request(gateway: &Gateway, call_id: u64, query: &RunQuery, sender: SocketAddrV4) {
    let decide = || decide_run(gateway, query);
    let mut decisions = gateway.state.run_decisions.borrow_mut();
    let reply = decisions.decide_once(sender, call_id, gateway.now_ms(), decide);
    drop(decisions);
    let message = PeerMessage::RunDecided { call_id, reply };
    spawn_send(gateway, message, sender);
}

fn handle_leave(gateway: &Gateway, vm: VmKey, incarnation: u64) {
    let now_ms = gateway.now_ms();
    let mut members = gateway.state.members.borrow_mut();
    if members.remove(vm, incarnation, now_ms) {
        gateway.state.are_copies_due.set(true);
        record_event!(VmLeft, incarnation = incarnation);
    }
}

fn handle_store(gateway: &Gateway, call_id: u64, claim: CeilingClaim, sender: SocketAddrV4) {
    let writer = gateway.clone();
    gateway.spawn(async move {
        let outcome = store_in_batch(&writer, claim).await;
        send(&writer, &PeerMessage::Stored { call_id, outcome }, sender).await;
    });
}

fn record_peer_in_flight(gateway: &Gateway, peer: VmKey, in_flight: Vec<InFlightCount>) {
    let now_ms = gateway.now_ms();
    let mut replicas = gateway.state.replicas.borrow_mut();
    replicas.record_peer_in_flight(peer, in_flight, now_ms);
}

/// Records whether a known VM is refused by the key-value service.
fn record_peer_store_lost(gateway: &Gateway, peer: VmKey, is_store_lost: bool) {
    let mut members = gateway.state.members.borrow_mut();
    members.set_store_lost(peer, is_store_lost);
}

/// Records a VM's counters of the time at which it learned of this process.
fn record_baseline(gateway: &Gateway, vm: VmKey, incarnation: u64, counters: &[AdmissionCounters]) {
    let mut quota = gateway.state.quota.borrow_mut();
    quota.set_baseline(vm, incarnation, counters);
}

/// Adds the requests that another VM has admitted since its last report.
fn record_admissions(
    gateway: &Gateway,
    vm: VmKey,
    incarnation: u64,
    counters: &[AdmissionCounters],
) {
    let is_older = incarnation + SAME_START_MS < gateway.state.options.facts.incarnation;
    let now_ms = gateway.now_ms();
    let mut quota = gateway.state.quota.borrow_mut();
    quota.record_peer_counters(vm, incarnation, is_older, counters, now_ms);
}

fn handle_state(
    gateway: &Gateway,
    facts: MemberFacts,
    (plan_version, plan_age_ms): (u64, Option<u64>),
    replicas_version: u64,
    quota: &[AdmissionCounters],
    sender: SocketAddrV4,
) {
    if facts.key() == gateway.state.options.facts.key() {
        return;
    }
    let now_ms = gateway.now_ms();
    let (peer, incarnation) = (facts.key(), facts.incarnation);
    let name = lossy_string(&facts.name);
    let is_serving = facts.is_serving;
    gateway.record_own_absence(peer, incarnation);
    let earlier = gateway.state.members.borrow().incarnation(peer);
    let is_new = gateway
        .state
        .members
        .borrow_mut()
        .record_heartbeat(facts, now_ms);
    record_admissions(gateway, peer, incarnation, quota);
    if is_new {
        record_event!(
            VmHeard,
            vm = name,
            incarnation = incarnation,
            serving = is_serving
        );
        gateway.record_new_process(NewProcess {
            vm: peer,
            incarnation,
            earlier,
        });
        let peers = peer_addresses(gateway);
        let window_reports = gateway.state.quota.borrow().snapshot(gateway.now_ms());
        send_counters(gateway, sender);
        send_peer_list(gateway, peers, &window_reports, sender);
        send_limits(gateway, sender);
        send_cold(gateway, sender);
        send_suspects(gateway, sender);
    }
    record_heard_plan(gateway, (plan_version, plan_age_ms), sender);
    let own_version = gateway.plan().map_or(0, |plan| plan.get_version());
    if plan_version > own_version {
        state_transfer::offer_source(gateway, sender, StatePart::Plan, plan_version);
    }
    if replicas_version > gateway.state.replicas_version.get() {
        state_transfer::offer_source(gateway, sender, StatePart::Replicas, replicas_version);
    }
}
