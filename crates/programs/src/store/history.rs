//! Appends, seals, drops and reads of the history store.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

use bytes::Bytes;
use ibisdale_core::{ProgramId, SlotId};
use ibisdale_segments::{
    DamageKind, FrameLocation, MAX_PAYLOAD_BYTES, SegmentFile, StoreDamage, StoreDisk, StoreError,
    frame_overhead, segment_path, to_u64,
};

use crate::store::frame::{self, FIELD_BYTES, FrameFields, FrameKind};
use crate::store::index::StoreIndex;

const DEFAULT_SEGMENT_BYTES: u64 = 16 * 1024 * 1024;

/// Options of the history store.
#[derive(Clone, Copy, Debug)]
pub struct StoreOptions {
    pub(crate) segment_bytes: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }
}

impl StoreOptions {
    /// Sets the segment length in bytes at which a new segment is started.
    #[must_use]
    pub const fn segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = bytes;
        self
    }
}

/// History record as a holder stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The root program; its slot is the record's slot.
    pub program: ProgramId,
    /// Epoch of the owner that appended the record.
    pub epoch: u64,
    /// Position in the program's history, from zero.
    pub sequence: u64,
    /// The encoded record.
    pub payload: Bytes,
}

/// Result of appending one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendStatus {
    /// The record is on disk, written by this append or an earlier one.
    Stored,
    /// The record's epoch is lower than the slot's current epoch, or a different
    /// record is already stored at its sequence under the same or a newer epoch.
    StaleEpoch,
    /// Earlier records of the program are missing in this store.
    Gap,
    /// The disk is full; the record was not stored.
    DiskFull,
    /// A disk operation failed, the store rejects writes after an earlier failure,
    /// or the payload is too long. The record may or may not be on disk.
    DiskError,
}

/// Reply to a seal request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealReply {
    /// Whether the requested epoch is now the slot's current epoch.
    pub is_sealed: bool,
    /// The slot's current epoch.
    pub epoch: u64,
}

/// Records of one program in this store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHistory {
    /// Identifier of the root program.
    pub program: ProgramId,
    /// The records from sequence zero up to the first gap.
    pub records: Vec<StoredRecord>,
    /// False if records may be missing after the last one: records follow a gap, or
    /// the store was opened with damage.
    pub is_complete: bool,
}

/// Disk usage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreUsage {
    /// Number of programs with a history.
    pub programs: usize,
    /// Number of segment files.
    pub segments: usize,
    /// Total length of all segments, in bytes.
    pub total_bytes: u64,
    /// Length of the frames of live records, which are neither replaced nor
    /// dropped, in bytes.
    pub live_bytes: u64,
}

/// Segment file of histories.
pub(crate) type HistorySegment = SegmentFile<FIELD_BYTES>;

/// Frame with decoded fields and a verified payload.
#[derive(Debug)]
pub(crate) struct HistoryFrame {
    pub(crate) fields: FrameFields,
    pub(crate) payload: Vec<u8>,
}

/// Store of program histories in segment files.
#[derive(Debug)]
pub struct HistoryStore {
    pub(crate) folder: PathBuf,
    pub(crate) options: StoreOptions,
    pub(crate) disk: StoreDisk,
    pub(crate) index: StoreIndex,
    pub(crate) segments: BTreeMap<u64, HistorySegment>,
    pub(crate) is_poisoned: bool,
    pub(crate) has_damage: bool,
}

/// Encoded frames that are written and synced together.
#[derive(Debug, Default)]
pub(crate) struct FrameBatch {
    pub(crate) buffer: Vec<u8>,
    frames: Vec<(FrameFields, u64, u64)>,
}

impl FrameBatch {
    pub(crate) fn push(&mut self, fields: FrameFields, payload: &[u8]) {
        let offset = to_u64(self.buffer.len());
        frame::encode(fields, payload, &mut self.buffer);
        let length = to_u64(frame_overhead::<FIELD_BYTES>() + payload.len());
        self.frames.push((fields, offset, length));
    }
}

impl HistoryStore {
    pub(crate) const fn from_parts(
        folder: PathBuf,
        options: StoreOptions,
        disk: StoreDisk,
        index: StoreIndex,
        segments: BTreeMap<u64, HistorySegment>,
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
    /// Returns one status for each record, in order. Appending a record that is
    /// already stored returns [`AppendStatus::Stored`] without writing it again.
    /// A record with a newer epoch replaces the stored record at its sequence
    /// and invalidates the records that follow it.
    pub fn append(&mut self, records: &[StoredRecord]) -> Vec<AppendStatus> {
        let mut batch = FrameBatch::default();
        let mut next_sequences = HashMap::new();
        let mut statuses = Vec::with_capacity(records.len());
        for record in records {
            let status = self.stage(record, &mut next_sequences, &mut batch);
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
        next_sequences: &mut HashMap<ProgramId, u64>,
        batch: &mut FrameBatch,
    ) -> AppendStatus {
        let slot = record.program.slot();
        if record.epoch < self.index.epoch(slot) {
            return AppendStatus::StaleEpoch;
        }
        if self.is_poisoned || record.payload.len() > MAX_PAYLOAD_BYTES {
            return AppendStatus::DiskError;
        }
        let next = next_sequences
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
        let fields = FrameFields {
            slot,
            epoch: record.epoch,
            kind: FrameKind::Record {
                program: record.program,
                sequence: record.sequence,
            },
        };
        batch.push(fields, &record.payload);
        next_sequences.insert(record.program, record.sequence + 1);
        AppendStatus::Stored
    }

    fn is_stored(&self, record: &StoredRecord) -> bool {
        let entry = self.index.entry(record.program, record.sequence);
        entry.is_some_and(|entry| {
            self.read_frame(entry.location)
                .is_ok_and(|stored| stored.payload == record.payload)
        })
    }

    /// Raises the epoch of a slot, so that appends with a lower epoch are
    /// rejected, also after a restart.
    ///
    /// # Errors
    ///
    /// Returns an error if the seal can't be stored; the epoch in this store is
    /// then unchanged.
    pub fn seal(&mut self, slot: SlotId, epoch: u64) -> Result<SealReply, StoreError> {
        let known = self.index.epoch(slot);
        if epoch > known {
            let mut batch = FrameBatch::default();
            let kind = FrameKind::Seal;
            batch.push(FrameFields { slot, epoch, kind }, &[]);
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
    /// Returns an error if the drop can't be stored; the histories then remain.
    pub fn drop_programs(&mut self, programs: &[ProgramId]) -> Result<(), StoreError> {
        let mut batch = FrameBatch::default();
        for program in programs {
            if !self.index.contains(*program) {
                continue;
            }
            let slot = program.slot();
            let fields = FrameFields {
                slot,
                epoch: self.index.epoch(slot),
                kind: FrameKind::Drop { program: *program },
            };
            batch.push(fields, &[]);
        }
        if batch.buffer.is_empty() {
            return Ok(());
        }
        self.write(batch)
    }

    /// Reads the history of a program, which is empty if none is stored.
    ///
    /// # Errors
    ///
    /// Returns an error if a disk operation fails or a record is damaged.
    pub fn read_program(&self, program: ProgramId) -> Result<StoredHistory, StoreError> {
        let mut records = Vec::new();
        for entry in self.index.contiguous_prefix(program) {
            let stored = self.read_frame(entry.location)?;
            records.push(StoredRecord {
                program,
                epoch: entry.epoch,
                sequence: to_u64(records.len()),
                payload: stored.payload.into(),
            });
        }
        let is_complete = !self.has_damage && !self.index.has_gap(program);
        Ok(StoredHistory {
            program,
            records,
            is_complete,
        })
    }

    /// Reads the histories of all programs of a slot.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as
    /// [`HistoryStore::read_program`].
    pub fn read_slot(&self, slot: SlotId) -> Result<Vec<StoredHistory>, StoreError> {
        let programs = self.index.programs_in_slot(slot).into_iter();
        programs.map(|program| self.read_program(program)).collect()
    }

    /// Returns the current epoch of a slot, or zero if none is stored.
    #[must_use]
    pub fn epoch(&self, slot: SlotId) -> u64 {
        self.index.epoch(slot)
    }

    /// Returns the sequence number of a program's first missing record.
    #[must_use]
    pub fn next_sequence(&self, program: ProgramId) -> u64 {
        self.index.next_sequence(program)
    }

    /// Returns the disk usage of the store.
    #[must_use]
    pub fn usage(&self) -> StoreUsage {
        StoreUsage {
            programs: self.index.program_count(),
            segments: self.segments.len(),
            total_bytes: self.segments.values().map(|segment| segment.length).sum(),
            live_bytes: self.index.live_bytes(),
        }
    }

    /// Closes the store. Acknowledged writes are already on disk.
    pub fn close(self) {
        drop(self);
    }

    pub(crate) fn read_frame(&self, location: FrameLocation) -> Result<HistoryFrame, StoreError> {
        let segment = self
            .segments
            .get(&location.segment)
            .ok_or(StoreError::Poisoned)?;
        let read = segment.read(&self.disk, location)?;
        let fields = frame::decode_fields(&read.fields).ok_or_else(|| StoreError::Damaged {
            damage: StoreDamage {
                path: segment.path.clone(),
                offset: location.offset,
                length: location.length,
                kind: DamageKind::BadHeader,
            },
        })?;
        Ok(HistoryFrame {
            fields,
            payload: read.payload,
        })
    }

    /// Writes and syncs a batch, then applies its frames to the index.
    pub(crate) fn write(&mut self, batch: FrameBatch) -> Result<(), StoreError> {
        if self.is_poisoned {
            return Err(StoreError::Poisoned);
        }
        self.start_segment_if_needed()?;
        let Some((number, file)) = self.segments.iter_mut().next_back() else {
            return Err(StoreError::Poisoned);
        };
        let start = file.length;
        if let Err((error, is_content_unknown)) = file.append(&self.disk, &batch.buffer) {
            self.is_poisoned = is_content_unknown;
            return Err(error);
        }
        for (fields, offset, length) in batch.frames {
            let location = FrameLocation {
                segment: *number,
                offset: start + offset,
                length,
            };
            self.index.apply(fields, location);
        }
        Ok(())
    }

    /// Starts a new segment if there is none or the last one is full or damaged.
    pub(crate) fn start_segment_if_needed(&mut self) -> Result<(), StoreError> {
        let last = self.segments.last_key_value();
        let is_usable = last
            .is_some_and(|(_, file)| file.length < self.options.segment_bytes && !file.is_damaged);
        if is_usable {
            return Ok(());
        }
        let number = last.map_or(0, |(number, _)| number + 1);
        let path = segment_path(&self.folder, number);
        let file = HistorySegment::open(&self.disk, path)?;
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
