//! Turns in segment files on the disk of a holder.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use ibisdale_segments::{
    DamageKind, DiskOperation, FrameLocation, SegmentFile, StoreDamage, StoreDisk, StoreError,
    encode_frame, frame_overhead, list_segments, segment_path, to_u64,
};

use crate::turn::{KeptTurn, TurnKey};

type TurnSegment = SegmentFile<{ TurnKey::BYTES }>;

/// What was found on opening a log.
#[derive(Clone, Debug, Default)]
pub struct LogRecovery {
    /// Number of turns read.
    pub turns: usize,
    /// Damage of any kind, including incomplete writes at the end.
    pub found_damage: Vec<StoreDamage>,
    /// Whether turns that were on disk may be missing.
    pub is_incomplete: bool,
}

/// Append-only log of turns in the segment files of a folder.
///
/// All functions block on disk I/O.
#[derive(Debug)]
pub struct TurnLog {
    folder: PathBuf,
    disk: StoreDisk,
    segment_bytes: u64,
    segments: BTreeMap<u64, TurnSegment>,
    /// Segment that is appended to, if one is usable.
    current: Option<u64>,
    next_number: u64,
}

impl TurnLog {
    /// Opens the log in a folder, creates the folder if needed, and passes each turn to
    /// `visit`.
    ///
    /// Turns are appended to a new segment, never behind the end of a segment from before
    /// the start: after a power failure, the part that was not synced may be missing or
    /// torn, and only that part, so the last segment is cut there.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a segment can't be read or written.
    pub fn open(
        folder: &Path,
        segment_bytes: u64,
        disk: StoreDisk,
        mut visit: impl FnMut(KeptTurn, FrameLocation),
    ) -> Result<(Self, LogRecovery), StoreError> {
        disk.run(DiskOperation::CreateFolder, folder, || {
            fs::create_dir_all(folder)
        })?;
        let numbers = list_segments(&disk, folder)?;
        let mut log = Self {
            folder: folder.to_owned(),
            disk,
            segment_bytes,
            segments: BTreeMap::new(),
            current: None,
            next_number: numbers.last().map_or(0, |last| last + 1),
        };
        let mut recovery = LogRecovery::default();
        for number in &numbers {
            let is_last = Some(number) == numbers.last();
            log.open_segment(*number, is_last, &mut recovery, &mut visit)?;
        }
        Ok((log, recovery))
    }

    fn open_segment(
        &mut self,
        number: u64,
        is_last: bool,
        recovery: &mut LogRecovery,
        visit: &mut impl FnMut(KeptTurn, FrameLocation),
    ) -> Result<(), StoreError> {
        let path = segment_path(&self.folder, number);
        let mut segment = TurnSegment::open(&self.disk, path)?;
        let found_damage =
            segment.scan(
                &self.disk,
                number,
                |fields, payload, location| match postcard::from_bytes::<KeptTurn>(&payload) {
                    Ok(turn) if *turn.key.as_bytes() == fields => {
                        recovery.turns += 1;
                        visit(turn, location);
                        true
                    }
                    _ => false,
                },
            )?;
        let tail = found_damage.iter().find(|damage| {
            matches!(
                damage.kind,
                DamageKind::BadHeader | DamageKind::IncompleteFrame
            )
        });
        if let Some(tail) = tail.filter(|_| is_last) {
            segment.truncate(&self.disk, tail.offset)?;
        }
        // A segment that is not the last one ended with a sync.
        recovery.is_incomplete |= !is_last && !found_damage.is_empty();
        recovery.found_damage.extend(found_damage);
        if segment.length == 0 {
            return self.remove_file(&segment);
        }
        self.segments.insert(number, segment);
        Ok(())
    }

    /// Appends turns and syncs them together; returns their locations.
    ///
    /// # Errors
    ///
    /// Returns an error if the write or the sync failed. None of the turns may be taken as
    /// stored then; the next call starts a new segment.
    pub fn append(&mut self, turns: &[KeptTurn]) -> Result<Vec<FrameLocation>, StoreError> {
        let mut buffer = Vec::new();
        let mut lengths = Vec::with_capacity(turns.len());
        for turn in turns {
            let start = buffer.len();
            let payload = postcard::to_stdvec(turn).map_err(|_| StoreError::Poisoned)?;
            encode_frame(turn.key.as_bytes(), &payload, &mut buffer);
            lengths.push(to_u64(buffer.len() - start));
        }
        let number = self.start_segment_if_needed()?;
        let Some(segment) = self.segments.get_mut(&number) else {
            return Err(StoreError::Poisoned);
        };
        let mut offset = segment.length;
        if let Err((error, _)) = segment.append(&self.disk, &buffer) {
            self.current = None;
            return Err(error);
        }
        let locations = lengths.into_iter().map(|length| {
            let location = FrameLocation {
                segment: number,
                offset,
                length,
            };
            offset += length;
            location
        });
        Ok(locations.collect())
    }

    fn start_segment_if_needed(&mut self) -> Result<u64, StoreError> {
        if let Some(number) = self.current
            && let Some(segment) = self.segments.get(&number)
            && segment.length < self.segment_bytes
        {
            return Ok(number);
        }
        let number = self.next_number;
        let path = segment_path(&self.folder, number);
        let segment = TurnSegment::open(&self.disk, path)?;
        self.disk.sync_folder(&self.folder)?;
        self.next_number += 1;
        self.segments.insert(number, segment);
        self.current = Some(number);
        Ok(number)
    }

    /// Reads one turn.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or the frame is damaged.
    pub fn read(&self, location: FrameLocation) -> Result<KeptTurn, StoreError> {
        let segment = self
            .segments
            .get(&location.segment)
            .ok_or(StoreError::Poisoned)?;
        let frame = segment.read(&self.disk, location)?;
        postcard::from_bytes(&frame.payload).map_err(|_| StoreError::Damaged {
            damage: StoreDamage {
                path: segment.path.clone(),
                offset: location.offset,
                length: location.length,
                kind: DamageKind::BadChecksum,
            },
        })
    }

    /// Returns the segments that are no longer appended to.
    pub fn closed_segments(&self) -> impl Iterator<Item = u64> {
        let numbers = self.segments.keys().copied();
        numbers.filter(|number| Some(*number) != self.current)
    }

    /// Removes a segment that holds no turn to be kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be removed.
    pub fn remove_segment(&mut self, number: u64) -> Result<(), StoreError> {
        let Some(segment) = self.segments.remove(&number) else {
            return Ok(());
        };
        self.remove_file(&segment)
    }

    fn remove_file(&self, segment: &TurnSegment) -> Result<(), StoreError> {
        let path = &segment.path;
        self.disk
            .run(DiskOperation::Remove, path, || fs::remove_file(path))?;
        self.disk.sync_folder(&self.folder)
    }

    /// Returns the length of all segments, in bytes.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Returns the space that a turn takes on disk beside its content, in bytes.
    #[must_use]
    pub const fn overhead_bytes() -> usize {
        frame_overhead::<{ TurnKey::BYTES }>()
    }

    /// Closes the log. Appended turns are already on disk.
    pub fn close(self) {
        drop(self);
    }
}
