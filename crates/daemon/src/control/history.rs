//! Storing of history records.

use async_channel::Receiver;
use ibisdale_core::RequestRefusal;
use ibisdale_programs::ProgramRecord;

/// Result of storing records.
pub(crate) type StoreResult = Result<(), RequestRefusal>;

/// Takes the records of all programs, in order.
#[derive(Debug)]
pub(super) struct HistorySink;

impl HistorySink {
    /// Appends records; the receiver yields when they are stored.
    ///
    /// Nothing is copied to other VMs yet: the records live in the table only.
    #[expect(clippy::unused_self)]
    pub(super) fn append(&self, _records: Vec<ProgramRecord>) -> Receiver<StoreResult> {
        let (stored, result) = async_channel::bounded(1);
        let _ = stored.try_send(Ok(()));
        result
    }
}

/// Waits until records are stored.
pub(super) async fn stored(result: Receiver<StoreResult>) -> StoreResult {
    result.recv().await.unwrap_or(Ok(()))
}
