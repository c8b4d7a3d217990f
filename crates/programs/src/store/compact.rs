//! Compaction, which reclaims the disk space of dropped histories.

use std::fs;

use ibisdale_segments::{DiskOperation, StoreError};

use crate::store::frame::{FrameFields, FrameKind};
use crate::store::history::{FrameBatch, HistoryStore};

impl HistoryStore {
    /// If more than half of all bytes are dead, copies the live records of the
    /// oldest segment to the last one and removes the oldest segment.
    ///
    /// Returns whether a segment was removed; if so, call `compact` again.
    /// Segments are removed oldest first, so that a drop frame never disappears
    /// before the records that it drops. A damaged segment is kept, together
    /// with all newer ones.
    ///
    /// # Errors
    ///
    /// Returns an error if a disk operation fails or a record is damaged. No
    /// data is lost in that case.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        let usage = self.usage();
        let is_worthwhile = usage.live_bytes.saturating_mul(2) < usage.total_bytes;
        let Some((oldest, file)) = self.segments.first_key_value() else {
            return Ok(false);
        };
        if !is_worthwhile || usage.segments < 2 || file.is_damaged {
            return Ok(false);
        }
        let oldest = *oldest;
        let batch = self.collect_live_frames(oldest)?;
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

    /// Collects the live records of a segment and the current epoch of every
    /// slot.
    fn collect_live_frames(&self, segment: u64) -> Result<FrameBatch, StoreError> {
        let mut batch = FrameBatch::default();
        for (slot, epoch) in self.index.epochs() {
            let kind = FrameKind::Seal;
            batch.push(FrameFields { slot, epoch, kind }, &[]);
        }
        for location in self.index.live_frames_in(segment) {
            let frame = self.read_frame(location)?;
            batch.push(frame.fields, &frame.payload);
        }
        Ok(batch)
    }
}
