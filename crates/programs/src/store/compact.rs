//! Compaction: gives back the disk space of dropped histories.

use std::fs;

use crate::store::disk::DiskOperation;
use crate::store::error::StoreError;
use crate::store::frame::{FrameHeader, FrameKind};
use crate::store::history::{FrameBatch, HistoryStore};

impl HistoryStore {
    /// Removes the oldest segment, after its records that count were copied to
    /// the last one, if more than half of all bytes are dead.
    ///
    /// Returns whether a segment was removed; a daemon calls it again then. The
    /// oldest goes first, so that no drop is forgotten before its records are.
    /// A damaged segment is kept, and with it all that are newer.
    ///
    /// # Errors
    ///
    /// Fails when the disk does or a record is damaged; nothing is lost then.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        let usage = self.usage();
        let is_worth = usage.live_bytes.saturating_mul(2) < usage.total_bytes;
        let Some((oldest, file)) = self.segments.first_key_value() else {
            return Ok(false);
        };
        if !is_worth || usage.segments < 2 || file.is_damaged {
            return Ok(false);
        }
        let oldest = *oldest;
        let batch = self.copy_live(oldest)?;
        self.write(batch)?;
        let Some(file) = self.segments.remove(&oldest) else {
            return Ok(false);
        };
        self.disk.run(DiskOperation::Remove, &file.path, || {
            fs::remove_file(&file.path)
        })?;
        self.disk.sync_folder(&self.folder)?;
        Ok(true)
    }

    /// Collects the records that count in a segment, and all epochs in force.
    fn copy_live(&self, segment: u64) -> Result<FrameBatch, StoreError> {
        let mut batch = FrameBatch::default();
        for (slot, epoch) in self.index.epochs() {
            let kind = FrameKind::Seal;
            batch.push(FrameHeader { slot, epoch, kind }, &[]);
        }
        for place in self.index.live_in(segment) {
            let frame = self.read_frame(place)?;
            batch.push(frame.header, &frame.payload);
        }
        Ok(batch)
    }
}
