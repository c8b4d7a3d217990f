//! Storing of history records.

use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use ibisdale_core::WorkspaceName;
use ibisdale_programs::ProgramRecord;
use ibisdale_settings::SettingsSnapshot;

use crate::history::{AppendJob, StoreResult};

/// Takes the records of all programs, in order.
#[derive(Debug)]
pub(super) struct HistorySink {
    jobs: Sender<AppendJob>,
    settings: Arc<ArcSwap<SettingsSnapshot>>,
}

impl HistorySink {
    pub(super) fn new(jobs: Sender<AppendJob>, settings: Arc<ArcSwap<SettingsSnapshot>>) -> Self {
        Self { jobs, settings }
    }

    /// Appends records of one root program; the receiver yields when they are
    /// stored at as many holders as the workspace wants.
    pub(super) fn append(
        &self,
        workspace: Option<&WorkspaceName>,
        epoch: u64,
        records: Vec<ProgramRecord>,
    ) -> Receiver<StoreResult> {
        let (reply, result) = async_channel::bounded(1);
        let copies = workspace.map_or(0, |name| self.copies(name));
        if copies == 0 || records.is_empty() {
            let _ = reply.try_send(Ok(()));
            return result;
        }
        let job = AppendJob {
            records,
            epoch,
            copies,
            reply,
        };
        // The channel is unbounded; it closes only with the daemon.
        let _ = self.jobs.try_send(job);
        result
    }

    fn copies(&self, workspace: &WorkspaceName) -> usize {
        let settings = self.settings.load();
        let copies = settings
            .workspace(workspace)
            .map_or(0, |found| found.history_copies);
        usize::try_from(copies).unwrap_or(usize::MAX)
    }
}

/// Waits until records are stored.
pub(super) async fn stored(result: Receiver<StoreResult>) -> StoreResult {
    result.recv().await.unwrap_or(Ok(()))
}
