//! The tasks that watch the platform, upstreams and settings.

use std::sync::Arc;

use async_channel::Receiver;
use ibisdale_settings::DaemonSettings;

use crate::cleanup::CleanupTask;
use crate::context::DaemonContext;
use crate::load_watch::LoadWatch;
use crate::settings_watch::SettingsWatch;
use crate::slot_watch::SlotWatch;
use crate::upstream_watch::UpstreamWatch;

/// The tasks that watch the platform, upstreams and settings.
#[derive(Debug)]
pub(crate) struct DaemonWatches {
    upstreams: UpstreamWatch,
    load: LoadWatch,
    cleanup: CleanupTask,
    settings: SettingsWatch,
    slots: SlotWatch,
}

impl DaemonWatches {
    /// Starts all of them.
    pub(crate) fn start(
        settings: &DaemonSettings,
        context: &Arc<DaemonContext>,
        revisions: Receiver<u64>,
    ) -> Self {
        Self {
            upstreams: UpstreamWatch::start(settings.vm_list_address, context),
            load: LoadWatch::start(context),
            cleanup: CleanupTask::start(context),
            settings: SettingsWatch::start(context, revisions),
            slots: SlotWatch::start(context),
        }
    }

    /// Stops all of them.
    pub(crate) async fn close(self) {
        self.upstreams.close().await;
        self.cleanup.close().await;
        self.load.close().await;
        self.settings.close().await;
        self.slots.close().await;
    }
}
