//! Bounded queue that is fair over workspaces, then favours programs that got
//! little service and calls whose deadline is near.

use std::collections::{BTreeSet, HashMap};

use ibisdale_core::TimeStamp;
use slotmap::SlotMap;

use super::call::{CallKey, CallRequest, PoppedCall, PushError, PushOutcome, QueueWeights};
use super::share::{ShareKey, ShareState, ShareTable};

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    request: CallRequest,
    queued_at: TimeStamp,
    rank: CallRank,
}

/// Place within a workspace; less goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallRank {
    due_ms: u64,
    sequence: u64,
}

/// Calls tried at most before a look at the queue ends.
const TRIES_MAX: usize = 64;

/// Calls that wait for a replica of one model or service.
#[derive(Clone, Debug)]
pub struct FairQueue {
    weights: QueueWeights,
    shares: ShareTable,
    calls: SlotMap<CallKey, WaitingCall>,
    order: HashMap<ShareKey, BTreeSet<(CallRank, CallKey)>>,
    sequence: u64,
    /// Latest time seen.
    latest: TimeStamp,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(weights: QueueWeights) -> Self {
        Self {
            weights,
            shares: ShareTable::default(),
            calls: SlotMap::with_key(),
            order: HashMap::new(),
            sequence: 0,
            latest: TimeStamp::default(),
        }
    }

    /// Adds a workspace; its part of the service is in proportion to its weight.
    pub fn insert_workspace(&mut self, weight: f64) -> ShareKey {
        let key = self.shares.insert(weight);
        self.order.insert(key, BTreeSet::new());
        key
    }

    /// Changes a workspace's weight.
    pub fn set_weight(&mut self, key: ShareKey, weight: f64) {
        self.shares.set_weight(key, weight);
    }

    /// Removes a workspace and returns its waiting calls, which have not run.
    pub fn remove_workspace(&mut self, key: ShareKey) -> Vec<CallKey> {
        let order = self.order.remove(&key).unwrap_or_default();
        let calls: Vec<CallKey> = order.into_iter().map(|(_, call)| call).collect();
        for call in &calls {
            self.calls.remove(*call);
        }
        self.shares.remove(key);
        calls
    }

    /// Lets a call wait.
    ///
    /// # Errors
    ///
    /// Fails when the workspace or the queue is full. A full queue still takes a
    /// call of a workspace that has fewer waiting for its weight than another,
    /// and the last call of that other loses its place.
    pub fn push(&mut self, request: CallRequest, now: TimeStamp) -> Result<PushOutcome, PushError> {
        let share = self
            .shares
            .get(request.share)
            .ok_or(PushError::UnknownWorkspace)?;
        let waiting = share.waiting;
        self.latest = self.latest.max(now);
        if waiting >= self.weights.workspace_call_limit {
            return Err(PushError::WorkspaceFull);
        }
        let displaced = if self.calls.len() >= self.weights.call_limit {
            Some(self.displace(request.share)?)
        } else {
            None
        };
        let call = self.insert(request, now);
        self.shares.update_over_share(request.share, now);
        Ok(PushOutcome { call, displaced })
    }

    /// Returns the call whose turn it is, which goes on waiting.
    #[must_use]
    pub fn peek(&self) -> Option<PoppedCall> {
        let share = self.shares.in_order().next()?;
        let (_, call) = self.order.get(&share)?.first()?;
        self.popped(*call)
    }

    /// Takes the call whose turn it is and charges its workspace with the
    /// tokens expected of it.
    pub fn pop(&mut self) -> Option<PoppedCall> {
        self.pop_first(self.latest, |_| true)
    }

    /// Takes the first call, in order of turn, that `accept` says can be sent.
    ///
    /// Workspaces are asked in order of service; of each, the first few calls,
    /// and a bounded number in all.
    /// A call that waits for one replica so does not hold up the others.
    pub fn pop_first(
        &mut self,
        now: TimeStamp,
        accept: impl FnMut(&PoppedCall) -> bool,
    ) -> Option<PoppedCall> {
        self.latest = self.latest.max(now);
        let popped = self.find_first(accept)?;
        self.remove(popped.call);
        self.shares.raise_floor(popped.request.share);
        let tokens = f64::from(popped.request.expected_tokens);
        self.shares.record_sent(popped.request.share, self.latest);
        self.charge(popped.request.share, tokens);
        Some(popped)
    }

    /// Takes a call out of the queue; returns false when it no longer waits.
    pub fn cancel(&mut self, call: CallKey) -> bool {
        self.remove(call).is_some()
    }

    /// Adds to the tokens a workspace was served; negative when a call used
    /// less than was expected of it.
    pub fn charge(&mut self, share: ShareKey, tokens: f64) {
        self.shares.charge(share, tokens);
    }

    /// Returns whether a workspace has far more calls waiting and lately sent,
    /// for its weight, than the others.
    ///
    /// Its calls are to be routed with [`ChoiceRequest::over_share`], so that
    /// they leave room in the engines for those of other workspaces.
    ///
    /// [`ChoiceRequest::over_share`]: crate::ChoiceRequest::over_share
    #[must_use]
    pub fn is_over_share(&self, share: ShareKey, now: TimeStamp) -> bool {
        self.shares.is_over_share(share, now)
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the tokens expected of a workspace's waiting calls.
    #[must_use]
    pub fn get_waiting_tokens(&self, share: ShareKey) -> u64 {
        self.shares
            .get(share)
            .map_or(0, |state| state.waiting_tokens)
    }

    /// Returns the part of the service, from 0 to 1, that a workspace gets
    /// while the workspaces now waiting go on waiting.
    #[must_use]
    pub fn get_fraction(&self, share: ShareKey) -> f64 {
        self.shares.fraction(share)
    }

    fn find_first(&self, mut accept: impl FnMut(&PoppedCall) -> bool) -> Option<PoppedCall> {
        let mut tries = TRIES_MAX;
        for share in self.shares.in_order() {
            let Some(order) = self.order.get(&share) else {
                continue;
            };
            for (_, call) in order.iter().take(self.weights.tries_per_workspace) {
                let popped = self.popped(*call)?;
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

    fn popped(&self, call: CallKey) -> Option<PoppedCall> {
        self.calls.get(call).map(|waiting| PoppedCall {
            call,
            request: waiting.request,
            queued_at: waiting.queued_at,
            is_over_share: self.is_over_share(waiting.request.get_share(), self.latest),
        })
    }

    fn insert(&mut self, request: CallRequest, now: TimeStamp) -> CallKey {
        self.sequence += 1;
        let rank = CallRank {
            due_ms: self.due_ms(&request, now),
            sequence: self.sequence,
        };
        let call = self.calls.insert(WaitingCall {
            request,
            queued_at: now,
            rank,
        });
        self.order
            .entry(request.share)
            .or_default()
            .insert((rank, call));
        self.shares
            .enqueue(request.share, u64::from(request.expected_tokens));
        call
    }

    fn remove(&mut self, call: CallKey) -> Option<WaitingCall> {
        let waiting = self.calls.remove(call)?;
        let share = waiting.request.share;
        if let Some(order) = self.order.get_mut(&share) {
            order.remove(&(waiting.rank, call));
        }
        self.shares
            .dequeue(share, u64::from(waiting.request.expected_tokens));
        Some(waiting)
    }

    fn displace(&mut self, pushing: ShareKey) -> Result<CallKey, PushError> {
        let fullest = self.shares.most_waiting().ok_or(PushError::QueueFull)?;
        let fullest_backlog = self.shares.get(fullest).map_or(0.0, ShareState::backlog);
        let own_backlog = self.shares.get(pushing).map_or(0.0, ShareState::backlog);
        if fullest == pushing || own_backlog >= fullest_backlog {
            return Err(PushError::QueueFull);
        }
        let last = self.order.get(&fullest).and_then(BTreeSet::last);
        let (_, call) = *last.ok_or(PushError::QueueFull)?;
        self.remove(call);
        Ok(call)
    }

    /// Returns the time at which the call ranks as due: put back by the service
    /// its program got, but no later than its latest start.
    fn due_ms(&self, request: &CallRequest, now: TimeStamp) -> u64 {
        #[expect(clippy::cast_precision_loss)]
        let kilotokens = request.attained_tokens as f64 / 1_000.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let attained_ms = (kilotokens * self.weights.attained_ms_per_kilotoken) as u64;
        let priority_ms = u64::from(request.priority).saturating_mul(self.weights.priority_ms);
        let new_program_ms = if request.attained_tokens == 0 {
            self.weights.new_program_ms
        } else {
            0
        };
        let due_ms = now
            .as_millis()
            .saturating_add(attained_ms)
            .saturating_add(priority_ms)
            .saturating_add(new_program_ms);
        request
            .latest_start
            .map_or(due_ms, |latest| due_ms.min(latest.as_millis()))
    }
}
