//! Choice of replicas, and the calls that wait for one.

use std::collections::HashMap;
use std::net::SocketAddr;

use async_channel::Receiver;
use ibisdale_core::{ProgramId, RefusalCode, RequestRefusal, TimeStamp, WorkspaceName};
use ibisdale_policy::{
    CallKey, CallOutcome, CallReport, CallRequest, DomainKey, FairQueue, LoadReport, PolicyProfile,
    PushError, RefusalReason, ReplicaKey, ReplicaSet, ReplicaSpec, ReplicaStatus, RoutingDecision,
    RoutingRefusal, RoutingRequest, SessionId, SharedPrefix, WorkspaceKey, choose_replica,
};
use ibisdale_programs::{CleanupKey, CleanupRequest, EngineAddress};
use ibisdale_telemetry::record_event;
use rand::rngs::SmallRng;
use slotmap::SecondaryMap;

use super::message::{CallRoute, ReplySender, RouteRequest, RoutedCall, UpstreamGroup, UpstreamVm};
use super::state::{ControlState, answer};
use crate::clock::unix_now;
use crate::history::StoreResult;

type RouteReply = ReplySender<Result<RoutedCall, RequestRefusal>>;

struct WaitingCall {
    request: RouteRequest,
    reply: RouteReply,
}

/// A call whose turn has come, and what was decided for it.
struct DecidedCall {
    call: WaitingCall,
    choice: RoutingRequest,
    decision: Result<RoutingDecision, RoutingRefusal>,
}

/// Replicas of one group and the calls that wait for them.
pub(super) struct UpstreamRouter {
    set: ReplicaSet,
    keys: HashMap<SocketAddr, ReplicaKey>,
    queue: FairQueue,
    shares: HashMap<WorkspaceName, WorkspaceKey>,
    waiting: SecondaryMap<CallKey, WaitingCall>,
    domain: DomainKey,
}

impl UpstreamRouter {
    fn new(profile: &PolicyProfile, failure_domain: &[u8]) -> Self {
        let mut set = ReplicaSet::new(profile.routing.clone());
        let domain = set.domain_key(failure_domain);
        Self {
            set,
            keys: HashMap::new(),
            queue: FairQueue::new(profile.queue.clone()),
            shares: HashMap::new(),
            waiting: SecondaryMap::new(),
            domain,
        }
    }

    fn set_vms(&mut self, vms: &[UpstreamVm]) {
        let gone: Vec<SocketAddr> = self
            .keys
            .keys()
            .filter(|address| !vms.iter().any(|vm| vm.address == **address))
            .copied()
            .collect();
        for address in gone {
            if let Some(key) = self.keys.remove(&address) {
                self.set.remove(key);
            }
        }
        for vm in vms {
            let domain = self.set.domain_key(&vm.failure_domain);
            let set = &mut self.set;
            let key = *self
                .keys
                .entry(vm.address)
                .or_insert_with(|| set.insert(ReplicaSpec::new(vm.address, domain)));
            let status = if vm.is_leaving {
                ReplicaStatus::Leaving
            } else {
                ReplicaStatus::Live
            };
            self.set.set_status(key, status);
        }
    }

    /// Lets a call wait for its turn.
    fn push(
        &mut self,
        request: RouteRequest,
        attained_tokens: u64,
        reply: RouteReply,
        now: TimeStamp,
    ) {
        let queue = &mut self.queue;
        let share = *self
            .shares
            .entry(request.workspace.clone())
            .or_insert_with(|| queue.insert_workspace(request.weight));
        self.queue.set_weight(share, request.weight);
        let mut call = CallRequest::new(share)
            .expected_tokens(request.prompt_tokens)
            .attained_tokens(attained_tokens);
        if let Some(deadline) = request.deadline {
            call = call.latest_start(deadline);
        }
        match self.queue.push(call, now) {
            Ok(outcome) => {
                self.waiting
                    .insert(outcome.call, WaitingCall { request, reply });
                if let Some(evicted) = outcome.evicted {
                    self.refuse(evicted, &overloaded("another workspace has the place"));
                }
            }
            Err(error) => answer(&reply, Err(push_refusal(error))),
        }
    }

    fn refuse(&mut self, call: CallKey, refusal: &RequestRefusal) {
        if let Some(waiting) = self.waiting.remove(call) {
            answer(&waiting.reply, Err(refusal.clone()));
        }
    }

    /// Gives replicas to calls in their order until none can be sent.
    pub(super) fn drain(&mut self, now: TimeStamp, random: &mut SmallRng) {
        while let Some(decided) = self.next_decided(now, random) {
            self.answer_decided(decided, now);
        }
    }

    /// Takes the first waiting call that can be sent or must be refused.
    fn next_decided(&mut self, now: TimeStamp, random: &mut SmallRng) -> Option<DecidedCall> {
        let mut decided = None;
        let (set, waiting) = (&self.set, &self.waiting);
        let (keys, domain) = (&self.keys, self.domain);
        let popped = self.queue.pop_first(now, |popped| {
            let Some(call) = waiting.get(popped.call) else {
                return false;
            };
            let choice = choice(&call.request, keys, domain).over_share(popped.is_over_share);
            let decision = choose_replica(set, &choice, now, random);
            let is_busy = matches!(
                decision,
                Err(RoutingRefusal {
                    reason: RefusalReason::AllBusy | RefusalReason::PrefixBusy,
                    ..
                })
            );
            if !is_busy {
                decided = Some((choice, decision));
            }
            !is_busy
        })?;
        let call = self.waiting.remove(popped.call)?;
        let (choice, decision) = decided?;
        Some(DecidedCall {
            call,
            choice,
            decision,
        })
    }

    fn answer_decided(&mut self, decided: DecidedCall, now: TimeStamp) {
        let DecidedCall {
            call,
            choice,
            decision,
        } = decided;
        let result = match decision {
            Err(refusal) => Err(routing_refusal(refusal)),
            Ok(decision) => {
                let flight = self.set.begin_call(&choice, &decision, now);
                let address = self.set.get_address(decision.replica);
                let group = call.request.group;
                address
                    .map(|address| RoutedCall {
                        route: CallRoute { group, flight },
                        address,
                        priority: i32::from(choice.get_priority()),
                    })
                    .ok_or_else(|| overloaded("the replica is gone"))
            }
        };
        if let Err(unsent) = call.reply.try_send(result)
            && let Ok(routed) = unsent.into_inner()
        {
            let report = CallReport::new(CallOutcome::Cancelled);
            self.set.finish_call(routed.route.flight, report, now);
        }
    }

    /// Refuses calls whose deadline passed while they waited.
    pub(super) fn expire(&mut self, now: TimeStamp) {
        let late: Vec<CallKey> = self
            .waiting
            .iter()
            .filter(|(_, call)| {
                call.request
                    .deadline
                    .is_some_and(|deadline| deadline <= now)
            })
            .map(|(key, _)| key)
            .collect();
        for call in late {
            self.queue.cancel(call);
            let message = "the deadline passed before a replica was free";
            self.refuse(
                call,
                &RequestRefusal::new(RefusalCode::DeadlineExceeded, message),
            );
        }
    }
}

fn choice(
    request: &RouteRequest,
    keys: &HashMap<SocketAddr, ReplicaKey>,
    domain: DomainKey,
) -> RoutingRequest {
    let mut choice = RoutingRequest::new()
        .prompt_tokens(request.prompt_tokens)
        .domain(domain);
    if let Some(program) = request.program {
        let session = SessionId::from_program(program);
        let claim = SharedPrefix {
            session,
            tokens: request.known_tokens,
        };
        choice = choice.program(program).shared_prefix(claim);
    }
    if let Some(deadline) = request.deadline {
        choice = choice.first_token_deadline(deadline);
    }
    match request.avoid.and_then(|address| keys.get(&address)) {
        Some(key) => choice.avoid(*key),
        None => choice,
    }
}

fn overloaded(message: &str) -> RequestRefusal {
    RequestRefusal::new(RefusalCode::Overloaded, message).retry_after(OVERLOAD_RETRY_DELAY)
}

/// Time after which a full queue is worth another try.
const OVERLOAD_RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(1);

fn push_refusal(error: PushError) -> RequestRefusal {
    overloaded(&error.to_string())
}

fn routing_refusal(refusal: RoutingRefusal) -> RequestRefusal {
    let code = match refusal.reason {
        RefusalReason::NoReplica | RefusalReason::AllFailing => RefusalCode::NoUpstream,
        RefusalReason::AllBusy | RefusalReason::PrefixBusy | RefusalReason::DeadlineTooClose => {
            RefusalCode::Overloaded
        }
    };
    RequestRefusal::new(code, refusal.to_string()).retry_after(refusal.retry_after)
}

impl ControlState {
    pub(super) fn set_upstreams(&mut self, vms: Vec<UpstreamVm>) {
        let mut groups: HashMap<UpstreamGroup, Vec<UpstreamVm>> = HashMap::new();
        for vm in vms {
            groups.entry(vm.group.clone()).or_default().push(vm);
        }
        for (group, router) in &mut self.routers {
            if !groups.contains_key(group) {
                router.set_vms(&[]);
            }
        }
        let now = unix_now();
        for (group, vms) in groups {
            let profile = &self.profile;
            let domain = &self.failure_domain;
            let router = self
                .routers
                .entry(group)
                .or_insert_with(|| UpstreamRouter::new(profile, domain));
            router.set_vms(&vms);
            router.drain(now, &mut self.random);
        }
    }

    pub(super) fn record_load(&mut self, address: SocketAddr, report: LoadReport) {
        let now = unix_now();
        for router in self.routers.values_mut() {
            if let Some(key) = router.keys.get(&address) {
                router.set.record_load(*key, report);
                router.drain(now, &mut self.random);
            }
        }
    }

    pub(super) fn route_call(&mut self, request: RouteRequest, reply: RouteReply) {
        let now = unix_now();
        let attained_tokens = request
            .program
            .map_or(0, |program| self.attained_tokens(program));
        let Some(router) = self.routers.get_mut(&request.group) else {
            let message = "no upstream VM is listed for this model or service";
            let refusal = RequestRefusal::new(RefusalCode::NoUpstream, message);
            return answer(&reply, Err(refusal.retry_after(OVERLOAD_RETRY_DELAY)));
        };
        router.push(request, attained_tokens, reply, now);
        router.drain(now, &mut self.random);
    }

    /// Returns the tokens that a program and its sub-agents have used.
    fn attained_tokens(&self, program: ProgramId) -> u64 {
        let summary = self.table.summary_in_any_workspace(program);
        summary.map_or(0, |summary| summary.budget.tokens.spent)
    }

    /// Notes that an engine is about to hold a session of a program; the
    /// receiver yields when that is stored.
    pub(super) fn open_session(
        &mut self,
        program: ProgramId,
        address: SocketAddr,
    ) -> Result<Receiver<StoreResult>, RequestRefusal> {
        let engine = EngineAddress::new(address.to_string());
        let record = self.table.record_session(program, engine)?;
        Ok(self.append(record.into_iter().collect()))
    }

    pub(super) fn cleanups(&self) -> Vec<(CleanupKey, CleanupRequest)> {
        let requests = self.table.cleanup_requests();
        requests
            .map(|(key, request)| (key, request.clone()))
            .collect()
    }

    pub(super) fn confirm_cleanup(&mut self, key: CleanupKey) {
        match self.table.confirm_cleanup(key) {
            Ok(record) => drop(self.append(record.into_iter().collect())),
            Err(refusal) => log::debug!("release not noted: {}", refusal.get_message()),
        }
    }

    pub(super) fn sweep_engine(&mut self, address: SocketAddr, held: &[ProgramId]) {
        let engine = EngineAddress::new(address.to_string());
        let found = self.table.queue_orphan_cleanups(&engine, held);
        if found > 0 {
            record_event!(SessionOrphaned, upstream = address, session = found);
        }
    }

    pub(super) fn note_first_token(&mut self, route: &CallRoute) {
        if let Some(router) = self.routers.get_mut(&route.group) {
            router.set.record_first_token(route.flight, unix_now());
        }
    }

    pub(super) fn end_call(&mut self, route: &CallRoute, report: CallReport) {
        let now = unix_now();
        if let Some(router) = self.routers.get_mut(&route.group) {
            router.set.finish_call(route.flight, report, now);
            router.drain(now, &mut self.random);
        }
    }
}
