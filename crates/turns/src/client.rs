//! Entry VM's side: makes copies of turns and looks up chains.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::FutureExt;
use ibisdale_telemetry::record_event;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded, unbounded};
use snafu::Snafu;

use crate::cache::TurnCache;
use crate::copies::CopyPlan;
use crate::holders::{HolderHealth, HolderInfo, HolderKey, HolderTable, rank_holders};
use crate::link::{CallError, HolderLinks};
use crate::lookup::{HolderAnswer, LookupVerdict, TurnLookup};
use crate::message::{HolderReply, HolderRequest, StoreOutcome};
use crate::metrics::ClientMetrics;
use crate::turn::{KeptTurn, TurnKey};

/// Time without an answer after which the next holder is asked as well; several times the
/// usual answer across failure domains.
const LOOKUP_HEDGE: Duration = Duration::from_millis(40);
/// Time without a confirmation after which the next holder gets a copy as well; several
/// times a sync and the way.
const STORE_HEDGE: Duration = Duration::from_millis(70);
/// Time limit of a request to empty a holder, which is repeated.
const RETIRE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of turns in a chain.
const CHAIN_TURNS_MAX: usize = 10_000;

/// Why a chain could not be put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ChainError {
    /// The turn does not exist in this workspace.
    #[snafu(display("no such turn"))]
    Missing,
    /// Holders that may have the turn did not reply in time.
    #[snafu(display("the turn can't be looked up"))]
    Unknown,
    /// The chain is longer than the limit.
    #[snafu(display("the chain is too long"))]
    TooLong,
}

/// Options of a client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Number of holders that may be lost at the same time without losing a turn.
    pub tolerated: usize,
    /// Failure domain of this VM.
    pub domain: Bytes,
    /// Memory for recent turns, in bytes.
    pub cache_bytes: usize,
}

/// A chain of turns.
#[derive(Clone, Debug, Default)]
pub struct TurnChain {
    /// The turns, oldest first.
    pub turns: Vec<KeptTurn>,
    /// Number of turns that were in this VM's memory.
    pub cached: usize,
}

/// Makes copies of turns and looks up chains.
#[derive(Clone, Debug)]
pub struct TurnClient {
    options: Rc<ClientOptions>,
    links: HolderLinks,
    state: Rc<RefCell<ClientState>>,
    metrics: ClientMetrics,
    started: Instant,
}

#[derive(Debug)]
struct ClientState {
    holders: HolderTable,
    health: HolderHealth,
    cache: TurnCache,
    /// Lookups in progress; each channel is closed when its lookup ends.
    lookups: HashMap<TurnKey, Receiver<()>>,
}

impl TurnClient {
    /// Creates a client that knows no holders yet.
    #[must_use]
    pub fn new(options: ClientOptions, links: HolderLinks, metrics: ClientMetrics) -> Self {
        let state = ClientState {
            holders: HolderTable::default(),
            health: HolderHealth::default(),
            cache: TurnCache::new(options.cache_bytes),
            lookups: HashMap::new(),
        };
        Self {
            options: Rc::new(options),
            links,
            state: Rc::new(RefCell::new(state)),
            metrics,
            started: Instant::now(),
        }
    }

    /// Replaces the registered holders.
    pub fn set_holders(&self, holders: HolderTable) {
        let mut state = self.state.borrow_mut();
        if state.holders != holders {
            record_event!(
                HoldersChanged,
                holders = holders.len(),
                digest = format!("{:x}", holders.digest())
            );
            state.holders = holders;
        }
    }

    /// Returns whether a holder is known.
    #[must_use]
    pub fn has_holders(&self) -> bool {
        !self.state.borrow().holders.is_empty()
    }

    /// Returns the registered holders.
    #[must_use]
    pub fn holders(&self) -> Vec<HolderInfo> {
        self.state.borrow().holders.iter().cloned().collect()
    }

    /// Asks a holder to copy its turns to the others, since its disk is to be removed.
    ///
    /// Returns how many copies are left, or `None` if the holder does not reply.
    pub async fn retire(&self, holder: &HolderInfo) -> Option<u64> {
        let request = HolderRequest::Retire;
        let reply = self
            .links
            .call(holder.address(), &request, RETIRE_TIMEOUT)
            .await;
        match reply {
            Ok(HolderReply::Retiring { left }) => Some(left),
            _ => None,
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the holders in order of rank, those that failed lately last.
    fn ranked(&self, placement: u64) -> Vec<HolderKey> {
        let mut state = self.state.borrow_mut();
        let mut ranked = rank_holders(placement, state.holders.iter());
        let now_ms = self.now_ms();
        state.health.demote_suspects(&mut ranked, now_ms);
        ranked
    }

    /// Makes copies of a turn on enough holders and returns whether they are on disk.
    ///
    /// A turn that continues another one is placed with it, whichever program continues it: a
    /// holder extends the retention of the earlier turns only if it has them. `limit` is the
    /// longest time to wait.
    pub async fn keep(&self, mut turn: KeptTurn, limit: Duration) -> bool {
        let started = Instant::now();
        if let Some(placement) = self.placement_of(turn.previous) {
            turn.placement = placement;
        }
        let mut plan = CopyPlan::new(self.ranked(turn.placement), self.options.tolerated);
        let request = Rc::new(HolderRequest::Store {
            turns: vec![turn.clone()],
        });
        let (sender, receiver) = unbounded();
        for holder in plan.first_holders() {
            self.spawn_call(holder, Rc::clone(&request), limit, sender.clone());
        }
        while !plan.is_complete() && !plan.is_failed() {
            let left = limit.saturating_sub(started.elapsed());
            if left.is_zero() {
                break;
            }
            let event = next_event(&receiver, STORE_HEDGE.min(left)).await;
            let is_stored = match &event {
                Some((_, Ok(HolderReply::Store(StoreOutcome::Stored)))) => true,
                Some((holder, reply)) => {
                    plan.record_failed();
                    self.log_refused_copy(&turn, *holder, reply);
                    false
                }
                None => false,
            };
            if is_stored {
                plan.record_stored();
            } else if let Some(next) = plan.next_holder() {
                self.spawn_call(next, Rc::clone(&request), left, sender.clone());
            }
        }
        let is_kept = plan.is_complete();
        self.metrics.observe_keep(is_kept, started.elapsed());
        if is_kept {
            self.state.borrow_mut().cache.insert(turn);
        } else {
            record_event!(
                TurnNotKept,
                turn = turn.key,
                copies = plan.stored(),
                holders = self.state.borrow().holders.len(),
                elapsed_ms = started.elapsed().as_millis(),
            );
        }
        is_kept
    }

    /// Returns the placement of a turn whose chain was looked up for a request.
    fn placement_of(&self, key: Option<TurnKey>) -> Option<u64> {
        let state = self.state.borrow();
        state.cache.get(key?).map(|turn| turn.placement)
    }

    fn log_refused_copy(
        &self,
        turn: &KeptTurn,
        holder: HolderKey,
        reply: &Result<HolderReply, CallError>,
    ) {
        let state = self.state.borrow();
        let name = state.holders.get(holder).map(|info| info.name.clone());
        record_event!(
            CopyRefused,
            turn = turn.key,
            holder = String::from_utf8_lossy(&name.unwrap_or_default()),
            reply = format!("{reply:?}"),
        );
    }

    /// Calls a holder in a task of its own, which outlives the request, and passes the
    /// result to `results`.
    fn spawn_call(
        &self,
        holder: HolderKey,
        request: Rc<HolderRequest>,
        timeout: Duration,
        results: Sender<(HolderKey, Result<HolderReply, CallError>)>,
    ) {
        let client = self.clone();
        self.links.spawn(async move {
            let address = {
                let state = client.state.borrow();
                state.holders.get(holder).map(HolderInfo::address)
            };
            let result = match address {
                Some(address) => client.links.call(address, &request, timeout).await,
                None => Err(CallError::Disconnected),
            };
            let now_ms = client.now_ms();
            let mut state = client.state.borrow_mut();
            match result {
                Ok(_) => state.health.record_reply(holder),
                Err(_) => state.health.record_failure(holder, now_ms),
            }
            drop(state);
            // Fails if the request has ended.
            let _ = results.try_send((holder, result));
        });
    }

    /// Returns a turn with the turns that it continues, oldest first.
    ///
    /// `placement` is the hash of the caller's program, by which its turns are placed.
    ///
    /// # Errors
    ///
    /// Returns an error if the turn does not exist, can't be looked up within `limit`, or
    /// the chain has more than `bytes_max` bytes.
    pub async fn chain(
        &self,
        key: TurnKey,
        placement: u64,
        limit: Duration,
        bytes_max: usize,
    ) -> Result<TurnChain, ChainError> {
        let started = Instant::now();
        let result = self.collect_chain(key, placement, limit, bytes_max).await;
        self.metrics.observe_lookup(&result, started.elapsed());
        result
    }

    async fn collect_chain(
        &self,
        key: TurnKey,
        placement: u64,
        limit: Duration,
        bytes_max: usize,
    ) -> Result<TurnChain, ChainError> {
        let started = Instant::now();
        let mut chain = TurnChain::default();
        let mut bytes = 0;
        let mut placement = placement;
        let mut cursor = Some(key);
        while let Some(key) = cursor {
            let cached = self.state.borrow().cache.get(key).cloned();
            let found = if let Some(turn) = cached {
                chain.cached += 1;
                vec![turn]
            } else {
                let left = limit.saturating_sub(started.elapsed());
                let found = self.joined_lookup(key, placement, left).await;
                // A turn is kept together with its chain, so a gap within one is a fault.
                found.map_err(|error| {
                    if error == ChainError::Missing && !chain.turns.is_empty() {
                        log::error!("turn {key}, which a kept turn continues, is missing");
                        return ChainError::Unknown;
                    }
                    error
                })?
            };
            for turn in found {
                bytes += turn.content_bytes();
                placement = turn.placement;
                cursor = turn.previous;
                chain.turns.push(turn);
            }
            if bytes > bytes_max || chain.turns.len() > CHAIN_TURNS_MAX {
                return Err(ChainError::TooLong);
            }
        }
        chain.turns.reverse();
        Ok(chain)
    }

    /// Looks up a turn, or waits for a lookup of the same turn that is in progress.
    async fn joined_lookup(
        &self,
        key: TurnKey,
        placement: u64,
        limit: Duration,
    ) -> Result<Vec<KeptTurn>, ChainError> {
        let in_progress = self.state.borrow().lookups.get(&key).cloned();
        if let Some(lookup) = in_progress.filter(|lookup| !lookup.is_closed()) {
            // Nothing is ever sent; `recv` returns when the lookup ends.
            let _ = lookup.recv().await;
            if let Some(turn) = self.state.borrow().cache.get(key) {
                return Ok(vec![turn.clone()]);
            }
        }
        let (_ended, lookup) = bounded(1);
        self.state.borrow_mut().lookups.insert(key, lookup);
        let result = self.lookup(key, placement, limit).await;
        let mut state = self.state.borrow_mut();
        state.lookups.remove(&key);
        if let Ok(turns) = &result {
            for turn in turns.iter().rev() {
                state.cache.insert(turn.clone());
            }
        }
        result
    }

    async fn lookup(
        &self,
        key: TurnKey,
        placement: u64,
        limit: Duration,
    ) -> Result<Vec<KeptTurn>, ChainError> {
        let started = Instant::now();
        let tolerated = self.options.tolerated;
        let mut lookup = TurnLookup::new(self.lookup_order(placement), tolerated);
        let request = Rc::new(HolderRequest::GetChain { key });
        let (sender, receiver) = unbounded();
        let mut next = lookup.next_holders();
        loop {
            let left = limit.saturating_sub(started.elapsed());
            for holder in next {
                self.spawn_call(holder, Rc::clone(&request), left, sender.clone());
            }
            let is_decided = lookup.get_verdict() != LookupVerdict::Unknown;
            if is_decided || !lookup.is_waiting() || left.is_zero() {
                break;
            }
            let event = next_event(&receiver, LOOKUP_HEDGE.min(left)).await;
            if let Some((holder, reply)) = event {
                match reply {
                    Ok(HolderReply::Chain { turns, .. }) if is_chain_from(&turns, key) => {
                        return Ok(turns);
                    }
                    reply => lookup.record_answer(holder, self.read_answer(&reply)),
                }
            }
            next = lookup.next_holders();
        }
        match lookup.get_verdict() {
            LookupVerdict::Missing => Err(ChainError::Missing),
            LookupVerdict::Found | LookupVerdict::Unknown => Err(ChainError::Unknown),
        }
    }

    /// Returns the holders in the order in which they are asked: among those that usually
    /// have the turn, first those of this VM's failure domain.
    fn lookup_order(&self, placement: u64) -> Vec<HolderKey> {
        let mut order = self.ranked(placement);
        let first_count = (self.options.tolerated + 1).min(order.len());
        let state = self.state.borrow();
        order[..first_count].sort_by_key(|holder| {
            let info = state.holders.get(*holder);
            info.is_none_or(|info| info.domain != self.options.domain)
        });
        order
    }

    fn read_answer(&self, reply: &Result<HolderReply, CallError>) -> HolderAnswer {
        match reply {
            Ok(HolderReply::Chain {
                is_whole,
                holders_digest,
                ..
            }) => HolderAnswer::Absent {
                is_certain: *is_whole && *holders_digest == self.state.borrow().holders.digest(),
            },
            _ => HolderAnswer::Silent,
        }
    }
}

/// Returns whether turns form a chain from `key` to the past.
fn is_chain_from(turns: &[KeptTurn], key: TurnKey) -> bool {
    let is_linked = turns
        .windows(2)
        .all(|pair| pair[0].previous == Some(pair[1].key));
    is_linked && turns.first().is_some_and(|turn| turn.key == key)
}

/// Waits for the next result; `None` if none arrives in time.
async fn next_event<T>(receiver: &Receiver<T>, timeout: Duration) -> Option<T> {
    let next = async { receiver.recv().await.ok() };
    let expire = async {
        Timer::after(timeout).await;
        None
    };
    next.or(expire).await
}
