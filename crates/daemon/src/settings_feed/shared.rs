//! What the feed's handles and its task share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use ibisdale_platform::KvRevision;
use ibisdale_settings::store::RevisionRecord;
use ibisdale_settings::{CheckedSettings, SettingsFindings, SettingsSnapshot};
use ibisdale_telemetry::record_event;

use super::error::FeedError;
use super::options::FeedOptions;
use super::state::{FeedState, LoadedSettings, TakeRefusal};
use super::store::{HeadState, SettingsStore, StoredHead};

#[derive(Debug)]
pub(crate) struct FeedShared {
    pub(crate) store: SettingsStore,
    pub(crate) options: FeedOptions,
    pub(crate) cell: Arc<ArcSwap<SettingsSnapshot>>,
    pub(crate) nudge: (Sender<()>, Receiver<()>),
    state: Mutex<FeedState>,
    subscribers: Mutex<Vec<Sender<SettingsSnapshot>>>,
}

impl FeedShared {
    pub(crate) fn new(store: SettingsStore, options: FeedOptions) -> Self {
        Self {
            store,
            options,
            cell: Arc::new(ArcSwap::from_pointee(SettingsSnapshot::empty())),
            nudge: async_channel::bounded(1),
            state: Mutex::default(),
            subscribers: Mutex::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn subscribe(&self) -> Receiver<SettingsSnapshot> {
        let (sender, receiver) = async_channel::unbounded();
        self.subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        receiver
    }

    /// Puts settings into force, unless they are lower than allowed.
    pub(crate) fn publish(&self, loaded: &LoadedSettings) -> Result<(), TakeRefusal> {
        let mut state = self.lock();
        state.check(&loaded.record)?;
        state.take(loaded);
        // The cell is written under the lock, so that it never goes back.
        self.cell.store(Arc::new(loaded.snapshot.clone()));
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        subscribers.retain(|sender| sender.try_send(loaded.snapshot.clone()).is_ok());
        record_event!(SettingsInForce, revision = loaded.record.revision);
        Ok(())
    }

    /// Compares the head with what is in force and loads what is newer.
    ///
    /// Returns the store's revision from which changes are to be followed.
    pub(crate) async fn refresh(&self) -> Result<KvRevision, FeedError> {
        let started = Instant::now();
        let known = self.lock().head_written_at;
        let check = self.store.check_head(known).await?;
        match check.state {
            HeadState::Same => {}
            HeadState::Other(head) => self.take_head(head).await?,
            HeadState::Gone => {
                let revision = self.lock().revision;
                return Err(FeedError::HeadGone { revision });
            }
        }
        let mut state = self.lock();
        state.last_error = None;
        // A head that was refused as too low confirms nothing.
        if state.revision >= state.floor && state.head_written_at >= known {
            state.confirm(started);
        }
        Ok(check.checked_at)
    }

    /// Loads the revision of a head and puts it into force.
    pub(crate) async fn take_head(&self, head: StoredHead) -> Result<(), FeedError> {
        let allowed = self.lock().check(&head.record);
        let taken = match allowed {
            Ok(()) => self.publish(&self.load(head.record.clone()).await?),
            Err(refusal) => Err(refusal),
        };
        let mut state = self.lock();
        if taken == Err(TakeRefusal::Lower) {
            let offered = head.record.revision;
            record_event!(SettingsOlder, offered = offered, revision = state.revision);
            return Ok(());
        }
        state.head_written_at = state.head_written_at.max(head.written_at);
        if state.revision == head.record.revision {
            // A text that came from a peer or an apply has its true record now.
            state.record = Some(head.record);
        }
        Ok(())
    }

    async fn load(&self, record: RevisionRecord) -> Result<LoadedSettings, FeedError> {
        let text = self.store.read_text(&record).await?;
        let revision = record.revision;
        let loaded = check_text(record, text).await;
        loaded.map_err(|findings| {
            let count = findings.as_slice().len();
            record_event!(SettingsRefused, revision = revision, findings = count);
            FeedError::Findings { findings }
        })
    }

    pub(crate) fn note_error(&self, error: &FeedError) {
        self.lock().last_error = Some(error.to_string());
    }

    /// Makes the task look at the head now.
    pub(crate) fn nudge(&self) {
        // A full channel means that the task is about to look anyway.
        let _ = self.nudge.0.try_send(());
    }
}

/// Checks a text away from the control thread: a large tree takes long.
pub(crate) async fn check_text(
    record: RevisionRecord,
    text: Bytes,
) -> Result<LoadedSettings, SettingsFindings> {
    smol::unblock(move || {
        let name = format!("revision {}", record.revision);
        let checked = CheckedSettings::parse(&name, &String::from_utf8_lossy(&text))?;
        Ok(LoadedSettings::new(record, text, &checked))
    })
    .await
}
