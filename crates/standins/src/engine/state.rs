//! The engine's state, and the loop that advances it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use ibisdale_net::TrafficExecutor;
use smol::channel::{Receiver, Sender, bounded};

use super::batch::{BatchQueue, Sequence, StepOutcome};
use super::cache::{EvictedSession, PrefixCache};
use super::events::{CacheEventKind, EventLog};
use super::options::{EngineCounters, EngineFault, EngineOptions, EngineRole};
use super::reports::{LoadBody, LoadHistory};

/// An order or call came with an older fencing number than one before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StaleFence {
    pub(crate) current: u64,
}

/// The engine's state, behind one lock.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) options: EngineOptions,
    pub(crate) fault: EngineFault,
    pub(crate) counters: EngineCounters,
    pub(crate) cache: PrefixCache,
    pub(crate) batch: BatchQueue,
    pub(crate) events: EventLog,
    pub(crate) reports: LoadHistory,
    pub(crate) models: Vec<String>,
    pub(crate) role: EngineRole,
    pub(crate) is_leaving: bool,
    fences: BTreeMap<String, u64>,
}

impl EngineState {
    fn new(options: EngineOptions) -> Self {
        let event_delay = options.scale(options.get_event_delay());
        let load_lag = options.scale(options.get_load_lag());
        let mut state = Self {
            fault: options.get_fault(),
            counters: EngineCounters::default(),
            cache: PrefixCache::new(options.get_cache_tokens()),
            batch: BatchQueue::default(),
            events: EventLog::new(event_delay, options.get_event_loss_interval()),
            reports: LoadHistory::new(load_lag),
            models: options.get_models().to_vec(),
            role: EngineRole::default(),
            is_leaving: false,
            fences: BTreeMap::new(),
            options,
        };
        state.note_load();
        state
    }

    /// Accepts a fencing number for a name, or refuses an older one.
    pub(crate) fn check_fence(&mut self, name: &str, number: u64) -> Result<(), StaleFence> {
        let current = self.fences.entry(name.to_owned()).or_default();
        if number < *current && self.options.is_checking_fencing() {
            self.counters.stale_orders += 1;
            return Err(StaleFence { current: *current });
        }
        *current = number.max(*current);
        Ok(())
    }

    /// Returns the highest fencing number seen for a name.
    pub(crate) fn get_fence(&self, name: &str) -> u64 {
        self.fences.get(name).copied().unwrap_or(0)
    }

    /// Releases a session with its calls; tells whether anything was held.
    pub(crate) fn release(&mut self, session: &str) -> bool {
        let is_running = self.batch.iter_running().any(|(name, _)| name == session);
        self.batch.remove_session(session, &mut self.cache);
        let tokens = self.cache.remove_session(session);
        if let Some(tokens) = tokens {
            self.events.push(CacheEventKind::Removed, session, tokens);
        }
        let is_released = is_running || tokens.is_some();
        self.counters.releases += u64::from(is_released);
        self.note_load();
        is_released
    }

    /// Notes sessions that were evicted.
    pub(crate) fn note_evicted(&mut self, evicted: Vec<EvictedSession>) {
        for held in evicted {
            self.counters.evictions += 1;
            self.events
                .push(CacheEventKind::Removed, &held.session, held.tokens);
        }
    }

    /// Notes the load for the reports to come.
    pub(crate) fn note_load(&mut self) {
        let load = LoadBody {
            number: 0,
            running: self.batch.count_running() as u64,
            waiting: self.batch.count_waiting() as u64,
            held_tokens: self.cache.held_tokens(),
            capacity_tokens: self.cache.capacity_tokens(),
            capacity: self.options.get_batch_max() as u64,
            models: self.models.clone(),
            role: self.role,
            is_leaving: self.is_leaving,
        };
        self.reports.push(load);
    }

    fn plan_step(&mut self) -> Option<Duration> {
        let mut outcome = StepOutcome::default();
        let time = self
            .batch
            .plan_step(&mut self.cache, &self.options, &mut outcome);
        self.apply_outcome(outcome);
        time.map(|time| self.options.scale(time))
    }

    fn commit_step(&mut self) {
        let mut outcome = StepOutcome::default();
        self.batch.commit_step(&mut self.cache, &mut outcome);
        self.counters.steps += 1;
        self.apply_outcome(outcome);
    }

    fn apply_outcome(&mut self, outcome: StepOutcome) {
        self.counters.prefill_tokens += outcome.prefill_tokens;
        self.counters.cached_tokens += outcome.cached_tokens;
        self.counters.completion_tokens += outcome.completion_tokens;
        self.note_evicted(outcome.evicted);
        for (session, tokens) in outcome.stored {
            self.events.push(CacheEventKind::Stored, &session, tokens);
        }
        self.note_load();
    }
}

/// The engine's state as its tasks share it.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    state: Arc<Mutex<EngineState>>,
    executor: Weak<async_executor::Executor<'static>>,
    wake: Sender<()>,
}

impl SharedState {
    /// Creates the state, and the receiver that its loop waits on.
    pub(crate) fn new(options: EngineOptions, executor: &TrafficExecutor) -> (Self, Receiver<()>) {
        let (wake, woken) = bounded(1);
        let shared = Self {
            state: Arc::new(Mutex::new(EngineState::new(options))),
            executor: Arc::downgrade(executor),
            wake,
        };
        (shared, woken)
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the executor of the engine's tasks while the engine is open.
    pub(crate) fn get_executor(&self) -> Option<TrafficExecutor> {
        self.executor.upgrade()
    }

    /// Adds a call to those that wait.
    pub(crate) fn submit(&self, sequence: Sequence) {
        {
            let mut state = self.lock();
            state.batch.push(sequence);
            state.note_load();
        }
        // A full channel means that the loop is woken already.
        let _ = self.wake.try_send(());
    }

    /// Waits for a time that the options' scale applies to.
    pub(crate) async fn wait(&self, time: Duration) {
        let time = self.lock().options.scale(time);
        if !time.is_zero() {
            smol::Timer::after(time).await;
        }
    }
}

/// Runs the engine's steps while there is work, and waits for more.
pub(crate) async fn run_steps(shared: SharedState, woken: Receiver<()>) {
    loop {
        let time = shared.lock().plan_step();
        match time {
            None => {
                if woken.recv().await.is_err() {
                    return;
                }
            }
            Some(time) => {
                if time.is_zero() {
                    smol::future::yield_now().await;
                } else {
                    smol::Timer::after(time).await;
                }
                shared.lock().commit_step();
            }
        }
    }
}
