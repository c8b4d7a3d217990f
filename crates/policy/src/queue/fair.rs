//! Bounded queue with weighted fair sharing between workspaces.
//!
//! Within a workspace, calls close to their deadline and calls of programs that have
//! been served few tokens go first; calls of programs not served yet are delayed.

use std::collections::{BTreeSet, HashMap};

use ibisdale_core::TimeStamp;
use slotmap::SlotMap;

use super::call::{CallKey, CallRequest, PushError, PushOutcome, QueueSettings, QueuedCall};
use super::workspace::{WorkspaceKey, WorkspaceState, WorkspaceTable};

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    request: CallRequest,
    queued_at: TimeStamp,
    rank: CallRank,
}

/// Sort key of a call within its workspace; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallRank {
    sort_ms: u64,
    sequence: u64,
}

/// Maximum number of calls tried in one pass over the queue.
const ACCEPT_TRIES_MAX: usize = 64;

/// Queue of the calls that wait for a replica of one model or service.
#[derive(Clone, Debug)]
pub struct FairQueue {
    settings: QueueSettings,
    workspaces: WorkspaceTable,
    calls: SlotMap<CallKey, WaitingCall>,
    order: HashMap<WorkspaceKey, BTreeSet<(CallRank, CallKey)>>,
    sequence: u64,
    /// Latest time given to `push` or `pop_first`.
    latest_time: TimeStamp,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            workspaces: WorkspaceTable::default(),
            calls: SlotMap::with_key(),
            order: HashMap::new(),
            sequence: 0,
            latest_time: TimeStamp::default(),
        }
    }

    /// Adds a workspace, which is served in proportion to its weight.
    pub fn insert_workspace(&mut self, weight: f64) -> WorkspaceKey {
        let key = self.workspaces.insert(weight);
        self.order.insert(key, BTreeSet::new());
        key
    }

    /// Changes a workspace's weight.
    pub fn set_weight(&mut self, key: WorkspaceKey, weight: f64) {
        self.workspaces.set_weight(key, weight);
    }

    /// Removes a workspace and returns its waiting calls, which have not run.
    pub fn remove_workspace(&mut self, key: WorkspaceKey) -> Vec<CallKey> {
        let order = self.order.remove(&key).unwrap_or_default();
        let calls: Vec<CallKey> = order.into_iter().map(|(_, call)| call).collect();
        for call in &calls {
            self.calls.remove(*call);
        }
        self.workspaces.remove(key);
        calls
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Fails when the workspace is unknown, or when the workspace or the queue is
    /// full. A full queue still accepts the call when another workspace has a larger
    /// backlog per weight: the last call of the workspace with the largest backlog
    /// is evicted.
    pub fn push(&mut self, request: CallRequest, now: TimeStamp) -> Result<PushOutcome, PushError> {
        let workspace = self
            .workspaces
            .get(request.workspace)
            .ok_or(PushError::UnknownWorkspace)?;
        let waiting = workspace.waiting;
        self.latest_time = self.latest_time.max(now);
        if waiting >= self.settings.workspace_call_limit {
            return Err(PushError::WorkspaceFull);
        }
        let evicted = if self.calls.len() >= self.settings.call_limit {
            Some(self.evict_from_largest_backlog(request.workspace)?)
        } else {
            None
        };
        let call = self.insert(request, now);
        self.workspaces.update_excess_demand(request.workspace, now);
        Ok(PushOutcome { call, evicted })
    }

    /// Returns the next call without removing it.
    #[must_use]
    pub fn peek(&self) -> Option<QueuedCall> {
        let workspace = self.workspaces.by_normalized_service().next()?;
        let (_, call) = self.order.get(&workspace)?.first()?;
        self.queued_call(*call)
    }

    /// Removes the next call and charges its workspace with the call's expected
    /// tokens.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.pop_first(self.latest_time, |_| true)
    }

    /// Removes the first call in queue order for which `accept` returns true, and
    /// charges its workspace with the call's expected tokens.
    ///
    /// Trying more than the first call prevents head-of-line blocking by a call that
    /// waits for one replica. Workspaces are tried in increasing order of service
    /// per weight; the number of calls tried is limited per workspace
    /// ([`QueueSettings::tries_per_workspace`]) and in total.
    pub fn pop_first(
        &mut self,
        now: TimeStamp,
        accept: impl FnMut(&QueuedCall) -> bool,
    ) -> Option<QueuedCall> {
        self.latest_time = self.latest_time.max(now);
        let popped = self.find_first(accept)?;
        self.remove(popped.call);
        self.workspaces
            .advance_virtual_time(popped.request.workspace);
        let tokens = f64::from(popped.request.expected_tokens);
        self.workspaces
            .record_sent(popped.request.workspace, self.latest_time);
        self.charge(popped.request.workspace, tokens);
        Some(popped)
    }

    /// Removes a call from the queue; returns false when it no longer waits.
    pub fn cancel(&mut self, call: CallKey) -> bool {
        self.remove(call).is_some()
    }

    /// Adds to the tokens a workspace was served; negative when a call consumed fewer
    /// than expected.
    pub fn charge(&mut self, workspace: WorkspaceKey, tokens: f64) {
        self.workspaces.charge(workspace, tokens);
    }

    /// Returns whether a workspace has far more waiting and recently sent calls per
    /// weight than the others.
    ///
    /// Calls of such a workspace are routed with [`RoutingRequest::over_share`], which
    /// keeps capacity in the engines free for other workspaces.
    ///
    /// [`RoutingRequest::over_share`]: crate::RoutingRequest::over_share
    #[must_use]
    pub fn is_over_share(&self, workspace: WorkspaceKey, now: TimeStamp) -> bool {
        self.workspaces.is_over_share(workspace, now)
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no calls are waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the total expected tokens of a workspace's waiting calls.
    #[must_use]
    pub fn get_waiting_tokens(&self, workspace: WorkspaceKey) -> u64 {
        self.workspaces
            .get(workspace)
            .map_or(0, |state| state.waiting_tokens)
    }

    /// Returns the fraction of the total service, from 0 to 1, that a workspace
    /// receives while the set of workspaces with waiting calls does not change.
    #[must_use]
    pub fn get_service_fraction(&self, workspace: WorkspaceKey) -> f64 {
        self.workspaces.service_fraction(workspace)
    }

    fn find_first(&self, mut accept: impl FnMut(&QueuedCall) -> bool) -> Option<QueuedCall> {
        let mut tries = ACCEPT_TRIES_MAX;
        for workspace in self.workspaces.by_normalized_service() {
            let Some(order) = self.order.get(&workspace) else {
                continue;
            };
            for (_, call) in order.iter().take(self.settings.tries_per_workspace) {
                let popped = self.queued_call(*call)?;
                if accept(&popped) {
                    return Some(popped);
                }
                tries -= 1;
                if tries == 0 {
                    return None;
                }
            }
        }
        None
    }

    fn queued_call(&self, call: CallKey) -> Option<QueuedCall> {
        self.calls.get(call).map(|waiting| QueuedCall {
            call,
            request: waiting.request,
            queued_at: waiting.queued_at,
            is_over_share: self.is_over_share(waiting.request.get_workspace(), self.latest_time),
        })
    }

    fn insert(&mut self, request: CallRequest, now: TimeStamp) -> CallKey {
        self.sequence += 1;
        let rank = CallRank {
            sort_ms: self.sort_ms(&request, now),
            sequence: self.sequence,
        };
        let call = self.calls.insert(WaitingCall {
            request,
            queued_at: now,
            rank,
        });
        self.order
            .entry(request.workspace)
            .or_default()
            .insert((rank, call));
        self.workspaces
            .enqueue(request.workspace, u64::from(request.expected_tokens));
        call
    }

    fn remove(&mut self, call: CallKey) -> Option<WaitingCall> {
        let waiting = self.calls.remove(call)?;
        let workspace = waiting.request.workspace;
        if let Some(order) = self.order.get_mut(&workspace) {
            order.remove(&(waiting.rank, call));
        }
        self.workspaces
            .dequeue(workspace, u64::from(waiting.request.expected_tokens));
        Some(waiting)
    }

    /// Removes the last call of the workspace with the largest backlog per weight,
    /// unless the pushing workspace's backlog is as large.
    fn evict_from_largest_backlog(&mut self, pushing: WorkspaceKey) -> Result<CallKey, PushError> {
        let largest = self
            .workspaces
            .largest_backlog()
            .ok_or(PushError::QueueFull)?;
        let largest_backlog = self
            .workspaces
            .get(largest)
            .map_or(0.0, WorkspaceState::normalized_backlog);
        let own_backlog = self
            .workspaces
            .get(pushing)
            .map_or(0.0, WorkspaceState::normalized_backlog);
        if largest == pushing || own_backlog >= largest_backlog {
            return Err(PushError::QueueFull);
        }
        let last = self.order.get(&largest).and_then(BTreeSet::last);
        let (_, call) = *last.ok_or(PushError::QueueFull)?;
        self.remove(call);
        Ok(call)
    }

    /// Returns the sort time of a call within its workspace: the time of
    /// queueing, delayed by the program's service and the call's priority, but no later
    /// than the latest start that meets the deadline.
    fn sort_ms(&self, request: &CallRequest, now: TimeStamp) -> u64 {
        #[expect(clippy::cast_precision_loss)]
        let kilotokens = request.attained_tokens as f64 / 1_000.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let attained_ms = (kilotokens * self.settings.attained_ms_per_kilotoken) as u64;
        let priority_ms = u64::from(request.priority).saturating_mul(self.settings.priority_ms);
        let new_program_ms = if request.attained_tokens == 0 {
            self.settings.new_program_ms
        } else {
            0
        };
        let sort_ms = now
            .as_millis()
            .saturating_add(attained_ms)
            .saturating_add(priority_ms)
            .saturating_add(new_program_ms);
        request
            .latest_start
            .map_or(sort_ms, |latest| sort_ms.min(latest.as_millis()))
    }
}
