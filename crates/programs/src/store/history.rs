//! The store: appends, seals, drops and reads.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

use bytes::Bytes;
use ibisdale_core::{ProgramId, SlotId};

use crate::store::disk::StoreDisk;
use crate::store::error::StoreError;
use crate::store::frame::{self, FrameHeader, FrameKind, HEADER_BYTES, PAYLOAD_MAX_BYTES};
use crate::store::index::{FramePlace, StoreIndex};
use crate::store::segment::{self, SegmentFile, to_u64};

const SEGMENT_BYTES: u64 = 16 * 1024 * 1024;

/// Bounds of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreOptions {
    pub(crate) segment_bytes: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            segment_bytes: SEGMENT_BYTES,
        }
    }
}

impl StoreOptions {
    /// Sets the length in bytes from which on a new segment is begun.
    #[must_use]
    pub const fn segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = bytes;
        self
    }
}

/// A history record as holders keep it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The root program; its slot is the record's slot.
    pub program: ProgramId,
    /// Epoch of the owner that appends it.
    pub epoch: u64,
    /// Position in the program's history, from zero.
    pub sequence: u64,
    /// The record's bytes.
    pub payload: Bytes,
}

/// What became of one record of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendStatus {
    /// On disk, by this append or an earlier one.
    Stored,
    /// The epoch is below the one in force for the slot.
    StaleEpoch,
    /// Records before it are missing here.
    Gap,
    /// The disk has no space left; nothing was stored.
    DiskFull,
    /// The disk failed; the record is not known to be stored.
    DiskError,
}

/// Answer to a seal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealReply {
    /// Whether the epoch asked for is in force now.
    pub is_sealed: bool,
    /// The epoch in force.
    pub epoch: u64,
}

/// Records of one program as this holder has them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHistory {
    /// The program.
    pub program: ProgramId,
    /// The records from the first on, without a gap.
    pub records: Vec<StoredRecord>,
    /// Whether nothing is known or feared to be missing at the end.
    pub is_whole: bool,
}

/// Use of the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreUsage {
    /// Programs held.
    pub programs: usize,
    /// Segment files.
    pub segments: usize,
    /// Bytes of all segments.
    pub total_bytes: u64,
    /// Bytes of the records that count.
    pub live_bytes: u64,
}

/// Histories in segment files.
#[derive(Debug)]
pub struct HistoryStore {
    pub(crate) folder: PathBuf,
    pub(crate) options: StoreOptions,
    pub(crate) disk: StoreDisk,
    pub(crate) index: StoreIndex,
    pub(crate) segments: BTreeMap<u64, SegmentFile>,
    pub(crate) is_poisoned: bool,
    pub(crate) has_damage: bool,
}

/// Frames of one batch, not yet written.
#[derive(Debug, Default)]
pub(crate) struct FrameBatch {
    pub(crate) buffer: Vec<u8>,
    headers: Vec<(FrameHeader, u64, u64)>,
}

impl FrameBatch {
    pub(crate) fn push(&mut self, header: FrameHeader, payload: &[u8]) {
        let offset = to_u64(self.buffer.len());
        frame::encode(header, payload, &mut self.buffer);
        let length = to_u64(HEADER_BYTES + payload.len());
        self.headers.push((header, offset, length));
    }
}

impl HistoryStore {
    pub(crate) const fn assemble(
        folder: PathBuf,
        options: StoreOptions,
        disk: StoreDisk,
        index: StoreIndex,
        segments: BTreeMap<u64, SegmentFile>,
    ) -> Self {
        Self {
            folder,
            options,
            disk,
            index,
            segments,
            is_poisoned: false,
            has_damage: false,
        }
    }

    /// Appends records and syncs them together.
    ///
    /// Returns one status for each record, in order. A record that is stored
    /// already is confirmed again; one of a newer epoch takes the place of
    /// another record at its sequence, and voids what followed.
    pub fn append(&mut self, records: &[StoredRecord]) -> Vec<AppendStatus> {
        let mut batch = FrameBatch::default();
        let mut staged = HashMap::new();
        let mut statuses = Vec::with_capacity(records.len());
        for record in records {
            let status = self.stage(record, &mut staged, &mut batch);
            statuses.push(status);
        }
        if batch.buffer.is_empty() {
            return statuses;
        }
        if let Err(error) = self.write(batch) {
            let failed = failure_status(&error);
            for status in &mut statuses {
                if *status == AppendStatus::Stored {
                    *status = failed;
                }
            }
        }
        statuses
    }

    fn stage(
        &self,
        record: &StoredRecord,
        staged: &mut HashMap<ProgramId, u64>,
        batch: &mut FrameBatch,
    ) -> AppendStatus {
        let slot = record.program.slot();
        if record.epoch < self.index.epoch(slot) {
            return AppendStatus::StaleEpoch;
        }
        if self.is_poisoned || record.payload.len() > PAYLOAD_MAX_BYTES {
            return AppendStatus::DiskError;
        }
        let next = staged
            .get(&record.program)
            .copied()
            .unwrap_or_else(|| self.index.next_sequence(record.program));
        if record.sequence > next {
            return AppendStatus::Gap;
        }
        if record.sequence < next && self.is_stored(record) {
            return AppendStatus::Stored;
        }
        let old = self.index.entry(record.program, record.sequence);
        if old.is_some_and(|old| old.epoch >= record.epoch) && record.sequence < next {
            return AppendStatus::StaleEpoch;
        }
        let header = FrameHeader {
            slot,
            epoch: record.epoch,
            kind: FrameKind::Record {
                program: record.program,
                sequence: record.sequence,
            },
        };
        batch.push(header, &record.payload);
        staged.insert(record.program, record.sequence + 1);
        AppendStatus::Stored
    }

    fn is_stored(&self, record: &StoredRecord) -> bool {
        let entry = self.index.entry(record.program, record.sequence);
        entry.is_some_and(|entry| {
            self.read_frame(entry.place)
                .is_ok_and(|stored| stored.payload == record.payload)
        })
    }

    /// Refuses appends below `epoch` for a slot from now on, also after a
    /// restart.
    ///
    /// # Errors
    ///
    /// Fails when the seal can't be stored; then it does not hold.
    pub fn seal(&mut self, slot: SlotId, epoch: u64) -> Result<SealReply, StoreError> {
        let known = self.index.epoch(slot);
        if epoch > known {
            let mut batch = FrameBatch::default();
            let kind = FrameKind::Seal;
            batch.push(FrameHeader { slot, epoch, kind }, &[]);
            self.write(batch)?;
        }
        Ok(SealReply {
            is_sealed: epoch >= known,
            epoch: epoch.max(known),
        })
    }

    /// Drops the histories of programs that ended.
    ///
    /// # Errors
    ///
    /// Fails when the drop can't be stored; then the histories remain.
    pub fn drop_programs(&mut self, programs: &[ProgramId]) -> Result<(), StoreError> {
        let mut batch = FrameBatch::default();
        for program in programs {
            if !self.index.contains(*program) {
                continue;
            }
            let slot = program.slot();
            let header = FrameHeader {
                slot,
                epoch: self.index.epoch(slot),
                kind: FrameKind::Drop { program: *program },
            };
            batch.push(header, &[]);
        }
        if batch.buffer.is_empty() {
            return Ok(());
        }
        self.write(batch)
    }

    /// Reads the history of a program; it is empty when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the disk does or a record is damaged.
    pub fn read_program(&self, program: ProgramId) -> Result<StoredHistory, StoreError> {
        let mut records = Vec::new();
        for entry in self.index.whole_prefix(program) {
            let stored = self.read_frame(entry.place)?;
            records.push(StoredRecord {
                program,
                epoch: entry.epoch,
                sequence: to_u64(records.len()),
                payload: stored.payload.into(),
            });
        }
        let is_whole = !self.has_damage && !self.index.has_gap(program);
        Ok(StoredHistory {
            program,
            records,
            is_whole,
        })
    }

    /// Reads the histories of a slot's programs.
    ///
    /// # Errors
    ///
    /// Fails as [`HistoryStore::read_program`] does.
    pub fn read_slot(&self, slot: SlotId) -> Result<Vec<StoredHistory>, StoreError> {
        let programs = self.index.programs_of(slot).into_iter();
        programs.map(|program| self.read_program(program)).collect()
    }

    /// Returns the epoch in force for a slot; zero when none is.
    #[must_use]
    pub fn epoch(&self, slot: SlotId) -> u64 {
        self.index.epoch(slot)
    }

    /// Returns the sequence that a program's next record must have.
    #[must_use]
    pub fn next_sequence(&self, program: ProgramId) -> u64 {
        self.index.next_sequence(program)
    }

    /// Returns the use of the disk.
    #[must_use]
    pub fn usage(&self) -> StoreUsage {
        StoreUsage {
            programs: self.index.program_count(),
            segments: self.segments.len(),
            total_bytes: self.segments.values().map(|segment| segment.length).sum(),
            live_bytes: self.index.live_bytes(),
        }
    }

    /// Closes the store; everything confirmed is on disk already.
    pub fn close(self) {
        drop(self);
    }

    pub(crate) fn read_frame(&self, place: FramePlace) -> Result<segment::ReadFrame, StoreError> {
        let segment = self
            .segments
            .get(&place.segment)
            .ok_or(StoreError::Poisoned)?;
        segment.read(&self.disk, place)
    }

    /// Writes and syncs a batch, and only then counts its frames.
    pub(crate) fn write(&mut self, batch: FrameBatch) -> Result<(), StoreError> {
        if self.is_poisoned {
            return Err(StoreError::Poisoned);
        }
        self.start_segment_if_needed()?;
        let Some((number, file)) = self.segments.iter_mut().next_back() else {
            return Err(StoreError::Poisoned);
        };
        let start = file.length;
        if let Err((error, is_unknown)) = file.append(&self.disk, &batch.buffer) {
            self.is_poisoned = is_unknown;
            return Err(error);
        }
        for (header, offset, length) in batch.headers {
            let place = FramePlace {
                segment: *number,
                offset: start + offset,
                length,
            };
            self.index.apply(header, place);
        }
        Ok(())
    }

    /// Begins a new segment when there is none, or the last one is full or
    /// damaged.
    pub(crate) fn start_segment_if_needed(&mut self) -> Result<(), StoreError> {
        let last = self.segments.last_key_value();
        let is_usable = last
            .is_some_and(|(_, file)| file.length < self.options.segment_bytes && !file.is_damaged);
        if is_usable {
            return Ok(());
        }
        let number = last.map_or(0, |(number, _)| number + 1);
        let path = segment::path(&self.folder, number);
        let file = SegmentFile::open(&self.disk, path)?;
        self.disk.sync_folder(&self.folder)?;
        self.segments.insert(number, file);
        Ok(())
    }
}

fn failure_status(error: &StoreError) -> AppendStatus {
    if error.is_disk_full() {
        AppendStatus::DiskFull
    } else {
        AppendStatus::DiskError
    }
}
