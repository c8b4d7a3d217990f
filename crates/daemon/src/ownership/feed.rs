//! Changes of records, passed on to the control task.

use async_channel::Sender;
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvChange, KvClient, KvRevision, WatchNotice};
use ibisdale_policy::ownership::{DAEMON_PREFIX, KeyChange, SLOT_PREFIX};
use smol::Task;

use super::message::{ControlMessage, FollowStart};

/// The feeds of both kinds of records; dropping them ends the watches.
#[derive(Debug)]
pub(crate) struct RecordFeeds {
    _daemons: Task<()>,
    _slots: Task<()>,
}

impl RecordFeeds {
    pub(crate) fn open(
        client: &KvClient,
        executor: &TrafficExecutor,
        start: FollowStart,
        messages: &Sender<ControlMessage>,
    ) -> Self {
        let open = |prefix: &'static str, after: i64| {
            let watch = client.watch_prefix(prefix, KvRevision::new(after).next());
            let messages = messages.clone();
            executor.spawn(async move {
                while let Some(notice) = watch.next().await {
                    let message = match notice {
                        WatchNotice::Changes { changes, .. } => ControlMessage::Changes {
                            changes: changes.into_iter().map(change_of).collect(),
                        },
                        WatchNotice::Gap { .. } => ControlMessage::Gap,
                        WatchNotice::Interrupted | WatchNotice::Resumed => continue,
                    };
                    if messages.send(message).await.is_err() {
                        return;
                    }
                }
            })
        };
        Self {
            _daemons: open(DAEMON_PREFIX, start.daemons),
            _slots: open(SLOT_PREFIX, start.slots),
        }
    }
}

fn change_of(change: KvChange) -> KeyChange {
    match change {
        KvChange::Put(entry) => KeyChange {
            key: entry.key,
            value: Some(entry.value),
            revision: entry.mod_revision.get(),
        },
        KvChange::Delete { key, revision } => KeyChange {
            key,
            value: None,
            revision: revision.get(),
        },
    }
}
