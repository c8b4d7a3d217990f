//! What follows from settings that come into force, and from doubt about them.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use ibisdale_core::{RefusalCode, RequestRefusal};
use ibisdale_fleet::FleetHandlers;
use ibisdale_fleet::proto::{FetchSettingsReply, FetchSettingsRequest};
use ibisdale_programs::KeyLabel;
use ibisdale_settings::{DeactivatedKey, SettingsSnapshot};
use smol::Task;

use crate::context::DaemonContext;

/// Time without confirmation after which settings are in doubt.
const DOUBT_AFTER: Duration = Duration::from_secs(10);
/// Time in which a peer must hand over settings.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a daemon in doubt is worth another try.
const DOUBT_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The running watch.
#[derive(Debug)]
pub(crate) struct SettingsWatch {
    tasks: [Task<()>; 2],
}

impl SettingsWatch {
    /// Starts the watch; `revision_seen` gets revisions that peers have.
    pub(crate) fn start(context: &Arc<DaemonContext>, revision_seen: Receiver<u64>) -> Self {
        let follow = follow_revisions(Arc::clone(context));
        let fetch = fetch_revisions(Arc::clone(context), revision_seen);
        Self {
            tasks: [
                context.executor.spawn(follow),
                context.executor.spawn(fetch),
            ],
        }
    }

    /// Stops the watch.
    pub(crate) async fn close(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

async fn follow_revisions(context: Arc<DaemonContext>) {
    let revisions = context.feed.subscribe();
    let mut known = SettingsSnapshot::empty();
    take_revision(&context, &mut known, (*context.settings()).clone());
    while let Ok(snapshot) = revisions.recv().await {
        take_revision(&context, &mut known, snapshot);
    }
}

fn take_revision(
    context: &DaemonContext,
    known: &mut SettingsSnapshot,
    snapshot: SettingsSnapshot,
) {
    context.members.set_revision(snapshot.revision());
    context.metrics.set_settings_revision(snapshot.revision());
    for DeactivatedKey { workspace, key } in snapshot.deactivated_since(known) {
        let label = KeyLabel::new(Bytes::copy_from_slice(key.as_bytes()));
        context.control.end_withdrawn(workspace, label);
    }
    *known = snapshot;
}

/// Looks for revisions that peers have: in the key-value service, and at the
/// peers themselves when the service does not answer.
async fn fetch_revisions(context: Arc<DaemonContext>, revision_seen: Receiver<u64>) {
    while let Ok(revision) = revision_seen.recv().await {
        if revision <= context.settings().revision() {
            continue;
        }
        context.feed.require_revision(revision);
        fetch_from_peers(&context, revision).await;
    }
}

async fn fetch_from_peers(context: &DaemonContext, revision: u64) {
    let members = context.members.snapshot();
    let holders = members
        .live()
        .filter(|update| update.facts.settings_revision >= revision);
    for holder in holders {
        let request = FetchSettingsRequest { revision };
        let address = holder.facts.fleet_address;
        let fetched = context
            .links
            .fetch_settings(address, request, FETCH_TIMEOUT)
            .await;
        let Ok(reply) = fetched else { continue };
        if !reply.found {
            continue;
        }
        match context
            .feed
            .take_from_peer(reply.revision, reply.text)
            .await
        {
            Ok(_) => return,
            Err(error) => log::warn!("a peer's settings are not taken: {error}"),
        }
    }
}

/// Adds the handler of peers' requests for settings.
pub(crate) fn add_handlers(handlers: FleetHandlers, context: &Arc<DaemonContext>) -> FleetHandlers {
    let context = Arc::clone(context);
    handlers.fetch_settings(move |request| {
        let reply = settings_reply(&context, request);
        async move { Ok(reply) }
    })
}

fn settings_reply(context: &DaemonContext, request: FetchSettingsRequest) -> FetchSettingsReply {
    let stored = context.feed.get_text();
    if stored.revision < request.revision {
        return FetchSettingsReply::default();
    }
    FetchSettingsReply {
        found: true,
        revision: stored.revision,
        text: stored.text,
    }
}

/// Refuses closed routes while keys may have been withdrawn unseen.
///
/// Settings that neither the key-value service nor a peer confirmed for long
/// are in doubt only at a daemon that is cut off from most of the fleet: when
/// the service is out for all, no key can have been withdrawn.
pub(crate) fn check_settings(context: &DaemonContext) -> Result<(), RequestRefusal> {
    if !is_in_doubt(context) || !context.members.snapshot().is_cut_off() {
        return Ok(());
    }
    let message = "this daemon is cut off and cannot tell which keys are in force";
    let refusal = RequestRefusal::new(RefusalCode::SettingsStale, message);
    Err(refusal.retry_after(DOUBT_RETRY_DELAY))
}

/// Tells whether nobody confirmed the settings for long.
pub(crate) fn is_in_doubt(context: &DaemonContext) -> bool {
    let age = context.feed.get_confirmed_age();
    age.is_none_or(|age| age >= DOUBT_AFTER)
}
