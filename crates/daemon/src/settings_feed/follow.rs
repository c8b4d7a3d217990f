//! The feed's handle and the task that follows the head.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::FutureExt;
use ibisdale_core::admin::RevisionSummary;
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvChange, KvClient, KvRevision, KvWatch, WatchNotice};
use ibisdale_settings::SettingsSnapshot;
use ibisdale_settings::store::{ChunkedRevision, HEAD_KEY, RevisionRecord, WriteNonce};
use rand::SeedableRng;
use smol::{Task, Timer};

use super::error::FeedError;
use super::options::FeedOptions;
use super::shared::{FeedShared, check_text};
use super::state::StoredText;
use super::store::{SettingsStore, StoredHead};

/// First pause after a failure; doubled after each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest pause after a failure.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// The settings in force; clones share them.
#[derive(Clone, Debug)]
pub struct SettingsFeed {
    pub(crate) shared: Arc<FeedShared>,
}

/// The task that follows the head.
#[derive(Debug)]
pub struct FeedTask {
    task: Task<()>,
}

impl FeedTask {
    /// Stops following; what is in force stays so.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

impl SettingsFeed {
    /// Starts to follow the settings; nothing is in force until they are read.
    #[must_use]
    pub fn start(
        client: KvClient,
        options: FeedOptions,
        executor: &TrafficExecutor,
    ) -> (Self, FeedTask) {
        let shared = Arc::new(FeedShared::new(SettingsStore { client }, options));
        let follower = HeadFollower {
            shared: Arc::clone(&shared),
        };
        let task = executor.spawn(follower.run());
        (Self { shared }, FeedTask { task })
    }

    /// Returns the cell that always holds the settings in force.
    #[must_use]
    pub fn get_cell(&self) -> Arc<ArcSwap<SettingsSnapshot>> {
        Arc::clone(&self.shared.cell)
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn get_snapshot(&self) -> Arc<SettingsSnapshot> {
        self.shared.cell.load_full()
    }

    /// Returns the text in force.
    #[must_use]
    pub fn get_text(&self) -> StoredText {
        let state = self.shared.lock();
        StoredText {
            record: state.record.clone(),
            revision: state.revision,
            text: state.text.clone(),
        }
    }

    /// Returns the time since the revision in force was last known to be the
    /// newest; `None` where it never was.
    #[must_use]
    pub fn get_confirmed_age(&self) -> Option<Duration> {
        self.shared.lock().confirmed_age(Instant::now())
    }

    /// Returns the last error, if nothing succeeded since.
    #[must_use]
    pub fn get_last_error(&self) -> Option<String> {
        self.shared.lock().last_error.clone()
    }

    /// Returns each revision that comes into force from now on.
    #[must_use]
    pub fn subscribe(&self) -> Receiver<SettingsSnapshot> {
        self.shared.subscribe()
    }

    /// Notes that a peer has `revision`: none below it is taken any more, and a
    /// higher one than that in force is looked for at once.
    pub fn require_revision(&self, revision: u64) {
        let is_behind = {
            let mut state = self.shared.lock();
            state.floor = state.floor.max(revision);
            state.revision < state.floor
        };
        if is_behind {
            self.shared.nudge();
        }
    }

    /// Notes that a peer confirmed `revision` so long ago; counts only where the
    /// same revision is in force here.
    pub fn confirm_by_peer(&self, revision: u64, age: Duration) {
        let mut state = self.shared.lock();
        let instant = Instant::now().checked_sub(age);
        if let Some(instant) = instant.filter(|_| state.revision == revision) {
            state.confirm(instant);
        }
    }

    /// Puts a text that a peer has in force into force here, if its revision is
    /// higher; returns whether it is.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::Findings`].
    pub async fn take_from_peer(&self, revision: u64, text: Bytes) -> Result<bool, FeedError> {
        if revision <= self.shared.lock().revision {
            return Ok(false);
        }
        let nonce = WriteNonce::generate(&mut rand::rngs::SmallRng::from_os_rng());
        // The true record replaces this one when the head is read.
        let plan = ChunkedRevision::new(revision, text.clone(), "", "", nonce);
        let loaded = check_text(plan.record().clone(), text).await;
        let loaded = loaded.map_err(|findings| FeedError::Findings { findings })?;
        Ok(self.shared.publish(&loaded).is_ok())
    }

    /// Reads the text of a kept revision.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::UnknownRevision`] where it is not kept, and with
    /// the store's errors.
    pub async fn read_revision(&self, revision: u64) -> Result<StoredText, FeedError> {
        let record = self.shared.store.read_record(revision).await?;
        let text = self.shared.store.read_text(&record).await?;
        Ok(StoredText {
            record: Some(record),
            revision,
            text,
        })
    }

    /// Lists the kept revisions, the newest first.
    ///
    /// # Errors
    ///
    /// Fails with the store's errors.
    pub async fn list_revisions(&self) -> Result<Vec<RevisionSummary>, FeedError> {
        let records = self.shared.store.list_records().await?;
        Ok(records.into_iter().map(summarise).collect())
    }
}

fn summarise(record: RevisionRecord) -> RevisionSummary {
    RevisionSummary {
        revision: record.revision,
        digest: record.digest.to_string(),
        author: record.author,
        note: record.note,
        bytes: record.bytes,
    }
}

struct HeadFollower {
    shared: Arc<FeedShared>,
}

/// What the follower acts on.
enum FollowEvent {
    Notice(Option<WatchNotice>),
    /// Time to confirm, or a nudge.
    Look,
}

impl HeadFollower {
    async fn run(self) {
        let mut delay = RETRY_DELAY_MIN;
        loop {
            match self.shared.refresh().await {
                Ok(start) => {
                    delay = RETRY_DELAY_MIN;
                    self.follow(start).await;
                }
                Err(error) => {
                    self.shared.note_error(&error);
                    Timer::after(delay).await;
                    delay = (delay * 2).min(RETRY_DELAY_MAX);
                }
            }
        }
    }

    /// Follows the head until changes were missed.
    async fn follow(&self, start: KvRevision) {
        let client = &self.shared.store.client;
        let watch = client.watch_prefix(HEAD_KEY, start.next());
        loop {
            let result = match self.next_event(&watch).await {
                FollowEvent::Notice(Some(WatchNotice::Changes { changes, .. })) => {
                    self.take_changes(&changes).await
                }
                FollowEvent::Notice(Some(WatchNotice::Interrupted)) => Ok(()),
                FollowEvent::Notice(Some(WatchNotice::Resumed)) | FollowEvent::Look => {
                    self.look().await
                }
                FollowEvent::Notice(Some(WatchNotice::Gap { .. }) | None) => return,
            };
            if let Err(error) = result {
                self.shared.note_error(&error);
            }
        }
    }

    async fn look(&self) -> Result<(), FeedError> {
        self.shared.refresh().await.map(drop)
    }

    async fn next_event(&self, watch: &KvWatch) -> FollowEvent {
        let notice = async { FollowEvent::Notice(watch.next().await) };
        let nudge = async {
            // The sender lives as long as the task.
            let _ = self.shared.nudge.1.recv().await;
            FollowEvent::Look
        };
        let looked = Instant::now();
        let tick = async {
            loop {
                let left = self.time_to_look(looked);
                if left.is_zero() {
                    return FollowEvent::Look;
                }
                // Peers may confirm the revision meanwhile.
                Timer::after(left).await;
            }
        };
        notice.or(nudge).or(tick).await
    }

    /// Returns the time until the head must be looked at; confirmations by
    /// peers put it off, so that the calls need not grow with the fleet.
    fn time_to_look(&self, looked: Instant) -> Duration {
        let now = Instant::now();
        let interval = self.shared.options.get_confirm_interval();
        let since_look = now.saturating_duration_since(looked);
        let state = self.shared.lock();
        if state.last_error.is_some() {
            return interval.min(RETRY_DELAY_MAX).saturating_sub(since_look);
        }
        let age = state.confirmed_age(now).unwrap_or(since_look);
        interval.saturating_sub(age.min(since_look))
    }

    /// Takes the newest of some changes of the head.
    async fn take_changes(&self, changes: &[KvChange]) -> Result<(), FeedError> {
        match changes.last() {
            Some(KvChange::Put(entry)) if entry.key == HEAD_KEY => {
                let head = StoredHead::decode(entry)?;
                self.shared.take_head(head).await
            }
            _ => Ok(()),
        }
    }
}
