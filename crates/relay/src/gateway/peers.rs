//! Exchange of messages with the other daemons.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use ibisdale_telemetry::record_event;
use smol::Timer;

use super::budget::decide_as_home;
use super::call::millis;
use super::ceilings::store_in_batch;
use super::message::PeerMessage;
use super::plan_link::{self, LinkSubject};
use super::state::{Gateway, text};
use crate::decide::{
    BudgetShare, CeilingClaim, MemberFacts, ProgramKey, ProgramStage, QuotaReport, WindowReport,
    WorkspaceKey,
};

/// Time between rounds in a small fleet.
const ROUND: Duration = Duration::from_millis(250);
/// Peers that are told in each round; larger fleets take turns.
const ROUND_PEERS_MAX: usize = 64;
/// Largest datagram, in bytes.
const MESSAGE_MAX_BYTES: usize = 60_000;
/// Workspaces whose last window is told in one message; a window of a minute takes up to
/// a kilobyte each.
const KNOWN_WORKSPACES: usize = 50;
/// Workspaces whose counters one message holds; each takes at most 30 bytes.
const COUNTERS_MAX: usize = 2_000;
/// Time in which VMs count as started together, in milliseconds.
const SAME_START_MS: u64 = 3_000;
/// Age of counters that are still told, in milliseconds; several full turns.
const REPORT_AGE_MS: u64 = 10_000;

/// Receives messages until the process ends.
pub(crate) async fn receive(gateway: Gateway) {
    let mut buffer = vec![0_u8; MESSAGE_MAX_BYTES];
    loop {
        match gateway.state.socket.recv_from(&mut buffer).await {
            Ok((size, sender)) => match postcard::from_bytes(&buffer[..size]) {
                Ok(message) => handle(&gateway, message, sender),
                Err(error) => log::debug!("unreadable message from {sender}: {error}"),
            },
            Err(error) => {
                log::debug!("receiving from peers failed: {error}");
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Tells the other daemons of this one until the process ends.
pub(crate) async fn run_rounds(gateway: Gateway) {
    let mut turn = 0_usize;
    loop {
        round(&gateway, &mut turn).await;
        Timer::after(ROUND).await;
    }
}

/// Tells all peers at once, for news that can't wait.
pub(crate) async fn announce(gateway: &Gateway) {
    let peers = peer_addresses(gateway);
    send_state(gateway, &peers).await;
}

/// Tells all peers that this VM leaves with nothing left to count.
pub(crate) async fn say_goodbye(gateway: &Gateway) {
    let facts = &gateway.state.options.facts;
    let message = PeerMessage::Left {
        vm: facts.key(),
        incarnation: facts.incarnation,
    };
    for peer in peer_addresses(gateway) {
        send(gateway, &message, peer).await;
    }
}

async fn round(gateway: &Gateway, turn: &mut usize) {
    let now_ms = gateway.now_ms();
    let (known, silent) = {
        let mut members = gateway.state.members.borrow_mut();
        members.forget(now_ms);
        members.count(now_ms)
    };
    // Before the first full round no peer can have been heard.
    if now_ms >= millis(ROUND) {
        let mut quota = gateway.state.quota.borrow_mut();
        let sharers = u32::try_from(known + 1).unwrap_or(u32::MAX);
        quota.set_sharers(sharers, u32::try_from(silent).unwrap_or(u32::MAX));
        quota.start_round(now_ms);
    }
    gateway.state.replicas.borrow_mut().expire_flights(now_ms);
    note_silent(gateway, now_ms);
    gateway.settle_counted_since();
    let peers = peer_addresses(gateway);
    if peers.is_empty() {
        return;
    }
    let size = peers.len().min(ROUND_PEERS_MAX);
    let chosen: Vec<_> = (0..size)
        .map(|step| peers[(*turn + step) % peers.len()])
        .collect();
    *turn = (*turn + size) % peers.len();
    send_state(gateway, &chosen).await;
}

fn note_silent(gateway: &Gateway, now_ms: u64) {
    let fallen = gateway.state.members.borrow_mut().take_fallen(now_ms);
    if fallen.is_empty() {
        return;
    }
    let (known, silent) = gateway.state.members.borrow().count(now_ms);
    for facts in fallen {
        gateway.note_loss(facts.key());
        record_event!(
            VmSilent,
            vm = text(&facts.name),
            known = known,
            silent = silent
        );
    }
    resign_homes(gateway);
}

/// Gives up the homes that another live VM now has.
fn resign_homes(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let own = gateway.state.options.facts.key();
    let members = gateway.state.members.borrow();
    let mut budgets = gateway.state.budgets.borrow_mut();
    budgets.resign(|program| {
        let homes = members.homes(own, program, now_ms);
        matches!(homes.first(), Some(None))
    });
}

fn peer_addresses(gateway: &Gateway) -> Vec<SocketAddrV4> {
    let members = gateway.state.members.borrow();
    let mut peers: Vec<_> = members.all().map(MemberFacts::peer_address).collect();
    let own = gateway.state.options.facts.peer_address();
    if peers.is_empty() {
        let seeds = gateway.state.options.seeds.iter().copied();
        peers.extend(seeds.filter(|seed| *seed != own));
    }
    peers.sort_unstable();
    peers
}

async fn send_state(gateway: &Gateway, peers: &[SocketAddrV4]) {
    let now_ms = gateway.now_ms();
    let plan_version = gateway.plan().map_or(0, |plan| plan.get_version());
    let message = PeerMessage::State {
        facts: gateway.own_facts(),
        plan_version,
        replicas_version: gateway.state.replicas_version.get(),
        feed_age_ms: gateway.feed_age().map(millis),
        quota: gateway
            .state
            .quota
            .borrow()
            .reports(now_ms.saturating_sub(REPORT_AGE_MS)),
        flights: gateway.state.replicas.borrow().flights(),
        counted_since: gateway.state.counted_since.get(),
    };
    let Some(data) = encode(&message) else {
        return;
    };
    for peer in peers {
        send_data(gateway, &data, *peer).await;
    }
}

fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    match postcard::to_stdvec(message) {
        Ok(data) => Some(data),
        Err(error) => {
            log::error!("a message to a peer can't be written: {error}");
            None
        }
    }
}

async fn send_data(gateway: &Gateway, data: &[u8], peer: SocketAddrV4) {
    // A peer that is down or unreachable is noticed by its silence.
    if let Err(error) = gateway.state.socket.send_to(data, peer).await {
        log::debug!("sending to {peer} failed: {error}");
    }
}

pub(crate) async fn send(gateway: &Gateway, message: &PeerMessage, peer: SocketAddrV4) {
    if let Some(data) = encode(message) {
        send_data(gateway, &data, peer).await;
    }
}

fn handle(gateway: &Gateway, message: PeerMessage, sender: SocketAddr) {
    let SocketAddr::V4(sender) = sender else {
        return;
    };
    if let Some(number) = message.answered_ask() {
        if let Some(waiting) = gateway.state.asks.borrow_mut().remove(&number) {
            // The asker may have left meanwhile.
            let _ = waiting.try_send(message);
        }
        return;
    }
    match message {
        PeerMessage::State {
            facts,
            plan_version,
            replicas_version,
            feed_age_ms,
            quota,
            flights,
            counted_since,
        } => {
            note_feed(gateway, feed_age_ms);
            let now_ms = gateway.now_ms();
            let mut replicas = gateway.state.replicas.borrow_mut();
            replicas.record_flights(facts.key(), flights, now_ms);
            drop(replicas);
            gateway.hear_counted_since(counted_since);
            let versions = (plan_version, replicas_version);
            hear_state(gateway, facts, versions, &quota, sender);
        }
        PeerMessage::Handover { accounts } => {
            let now_ms = gateway.now_ms();
            let mut budgets = gateway.state.budgets.borrow_mut();
            for (program, shares) in accounts {
                budgets.merge(program, &shares, now_ms);
            }
        }
        PeerMessage::Left { vm, incarnation } => {
            let now_ms = gateway.now_ms();
            let mut members = gateway.state.members.borrow_mut();
            if members.remove(vm, incarnation, now_ms) {
                record_event!(VmLeft, incarnation = incarnation);
            }
        }
        PeerMessage::Counters {
            vm,
            incarnation,
            counters,
        } => {
            let mut quota = gateway.state.quota.borrow_mut();
            quota.take_base(vm, incarnation, &counters);
        }
        PeerMessage::Known { peers, window } => hear_known(gateway, peers, &window),
        PeerMessage::Settle {
            ask,
            program,
            share,
        } => {
            let now_ms = gateway.now_ms();
            let mut budgets = gateway.state.budgets.borrow_mut();
            budgets.merge(program, &[share], now_ms);
            drop(budgets);
            reply(gateway, PeerMessage::Settled { ask }, sender);
        }
        PeerMessage::Gather { ask, program } => {
            let shares = gateway.state.budgets.borrow().shares(program);
            reply(gateway, PeerMessage::Gathered { ask, shares }, sender);
        }
        PeerMessage::Reserve {
            ask,
            program,
            budget,
            tokens,
            share,
            known,
        } => {
            merge_known(gateway, program, &share, &known);
            answer_reserve(gateway, ask, (program, budget, tokens), share, sender);
        }
        PeerMessage::Admit {
            ask,
            workspace,
            stage,
        } => answer_admit(gateway, ask, workspace, stage, sender),
        PeerMessage::Store { ask, claim } => answer_store(gateway, ask, claim, sender),
        PeerMessage::Reserved { .. }
        | PeerMessage::Settled { .. }
        | PeerMessage::Stored { .. }
        | PeerMessage::Gathered { .. }
        | PeerMessage::Admitted { .. } => {}
    }
}

fn answer_store(gateway: &Gateway, ask: u64, claim: CeilingClaim, sender: SocketAddrV4) {
    let writer = gateway.clone();
    gateway.spawn(async move {
        let stored = store_in_batch(&writer, claim).await;
        send(&writer, &PeerMessage::Stored { ask, stored }, sender).await;
    });
}

fn answer_admit(
    gateway: &Gateway,
    ask: u64,
    workspace: WorkspaceKey,
    stage: ProgramStage,
    sender: SocketAddrV4,
) {
    let now_ms = gateway.now_ms();
    let mut quota = gateway.state.quota.borrow_mut();
    let shortage = quota.admit_as_home(workspace, stage, now_ms).err();
    drop(quota);
    reply(gateway, PeerMessage::Admitted { ask, shortage }, sender);
}

fn answer_reserve(
    gateway: &Gateway,
    ask: u64,
    (program, budget, tokens): (ProgramKey, u64, u64),
    share: BudgetShare,
    sender: SocketAddrV4,
) {
    let home = gateway.clone();
    gateway.spawn(async move {
        let verdict = decide_as_home(&home, program, budget, tokens, share).await;
        let shares = home.state.budgets.borrow().shares(program);
        let message = PeerMessage::Reserved {
            ask,
            verdict,
            shares,
        };
        send(&home, &message, sender).await;
    });
}

/// Takes what an asker knows of the other VMs' shares.
///
/// Its own share counts only once it is granted.
fn merge_known(gateway: &Gateway, program: ProgramKey, own: &BudgetShare, known: &[BudgetShare]) {
    let others = known.iter().filter(|share| share.vm != own.vm);
    let others: Vec<_> = others.copied().collect();
    if !others.is_empty() {
        let now_ms = gateway.now_ms();
        let mut budgets = gateway.state.budgets.borrow_mut();
        budgets.merge(program, &others, now_ms);
    }
}

fn reply(gateway: &Gateway, message: PeerMessage, peer: SocketAddrV4) {
    let sender = gateway.clone();
    gateway.spawn(async move { send(&sender, &message, peer).await });
}

/// Takes what a peer tells a VM that was unknown to it.
fn hear_known(gateway: &Gateway, peers: Vec<SocketAddrV4>, window: &[WindowReport]) {
    let now_ms = gateway.now_ms();
    gateway.state.quota.borrow_mut().adopt(window, now_ms);
    let introducer = gateway.clone();
    gateway.spawn(async move {
        let gateway = introducer;
        let own = gateway.state.options.facts.peer_address();
        let known = peer_addresses(&gateway);
        let strangers = peers.into_iter();
        let strangers: Vec<_> = strangers
            .filter(|peer| *peer != own && !known.contains(peer))
            .collect();
        send_state(&gateway, &strangers).await;
    });
}

/// Tells a VM this VM's counters, so that it counts only what comes after them.
fn tell_counters(gateway: &Gateway, peer: SocketAddrV4) {
    let counters = gateway.state.quota.borrow().reports(0);
    // Without them the first counter that is told later is taken for the base.
    if counters.len() <= COUNTERS_MAX {
        let facts = &gateway.state.options.facts;
        let message = PeerMessage::Counters {
            vm: facts.key(),
            incarnation: facts.incarnation,
            counters,
        };
        reply(gateway, message, peer);
    }
}

/// Tells a VM of the others and of the last window, in messages of a packet's size.
fn tell_known(
    gateway: &Gateway,
    peers: Vec<SocketAddrV4>,
    window: &[WindowReport],
    peer: SocketAddrV4,
) {
    let mut parts = window.chunks(KNOWN_WORKSPACES);
    let first = parts.next().unwrap_or_default().to_vec();
    let message = PeerMessage::Known {
        peers,
        window: first,
    };
    reply(gateway, message, peer);
    for part in parts {
        let message = PeerMessage::Known {
            peers: Vec::new(),
            window: part.to_vec(),
        };
        reply(gateway, message, peer);
    }
}

/// Notes when the key-value service has last answered any peer.
fn note_feed(gateway: &Gateway, age_ms: Option<u64>) {
    let Some(age_ms) = age_ms else {
        return;
    };
    let Some(at) = Instant::now().checked_sub(Duration::from_millis(age_ms)) else {
        return;
    };
    let latest = &gateway.state.peers_confirmed;
    if latest.get().is_none_or(|known| known < at) {
        latest.set(Some(at));
    }
}

fn hear_state(
    gateway: &Gateway,
    facts: MemberFacts,
    (plan_version, replicas_version): (u64, u64),
    quota: &[QuotaReport],
    sender: SocketAddrV4,
) {
    if facts.key() == gateway.state.options.facts.key() {
        return;
    }
    let now_ms = gateway.now_ms();
    let (peer, incarnation) = (facts.key(), facts.incarnation);
    let name = text(&facts.name);
    let is_serving = facts.is_serving;
    let earlier = gateway.state.members.borrow().incarnation(peer);
    let is_news = gateway.state.members.borrow_mut().hear(facts, now_ms);
    let mut ledger = gateway.state.quota.borrow_mut();
    let is_older = incarnation + SAME_START_MS < gateway.state.options.facts.incarnation;
    ledger.record(peer, incarnation, is_older, quota, now_ms);
    drop(ledger);
    if is_news {
        record_event!(
            VmHeard,
            vm = name,
            incarnation = incarnation,
            serving = is_serving
        );
        if earlier.is_some_and(|earlier| earlier < incarnation) {
            gateway.note_loss(peer);
        }
        resign_homes(gateway);
        let peers = peer_addresses(gateway);
        let window = gateway.state.quota.borrow().snapshot(gateway.now_ms());
        tell_counters(gateway, sender);
        tell_known(gateway, peers, &window, sender);
    }
    let own_version = gateway.plan().map_or(0, |plan| plan.get_version());
    if plan_version > own_version {
        plan_link::fetch_soon(gateway, sender, LinkSubject::Plan, plan_version);
    }
    if replicas_version > gateway.state.replicas_version.get() {
        plan_link::fetch_soon(gateway, sender, LinkSubject::Replicas, replicas_version);
    }
}
