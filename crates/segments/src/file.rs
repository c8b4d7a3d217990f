//! Segment files of a store.

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use crate::disk::{DiskOperation, StoreDisk};
use crate::error::{DamageKind, StoreDamage, StoreError};
use crate::frame::{FrameHeader, frame_overhead};

const SUFFIX: &str = ".segment";

/// Location of a frame in the segment files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameLocation {
    /// Number of the segment.
    pub segment: u64,
    /// Offset of the frame in the segment, in bytes.
    pub offset: u64,
    /// Length of the frame, in bytes.
    pub length: u64,
}

/// Open segment file whose frames have `FIELDS` bytes of fields.
#[derive(Debug)]
pub struct SegmentFile<const FIELDS: usize> {
    /// Path of the file.
    pub path: PathBuf,
    /// Length of the file, in bytes.
    pub length: u64,
    /// Whether a frame in it is damaged.
    pub is_damaged: bool,
    file: File,
}

/// Frame read from a segment, with a verified payload.
#[derive(Debug)]
pub struct SegmentFrame<const FIELDS: usize> {
    /// The store's fields.
    pub fields: [u8; FIELDS],
    /// The payload.
    pub payload: Vec<u8>,
}

/// Returns the path of a segment.
#[must_use]
pub fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016}{SUFFIX}"))
}

/// Returns the segment number in a path, or `None` if it is not a segment path.
fn segment_number(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?;
    name.strip_suffix(SUFFIX)?.parse().ok()
}

/// Returns the numbers of the segments in a folder, in ascending order.
///
/// # Errors
///
/// Returns an error if the folder can't be read.
pub fn list_segments(disk: &StoreDisk, folder: &Path) -> Result<Vec<u64>, StoreError> {
    let paths: Vec<PathBuf> = disk.run(DiskOperation::List, folder, || {
        let entries = fs::read_dir(folder)?;
        entries
            .map(|entry| entry.map(|entry| entry.path()))
            .collect()
    })?;
    let mut numbers: Vec<_> = paths
        .iter()
        .filter_map(|path| segment_number(path))
        .collect();
    numbers.sort_unstable();
    Ok(numbers)
}

impl<const FIELDS: usize> SegmentFile<FIELDS> {
    /// Opens a segment and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn open(disk: &StoreDisk, path: PathBuf) -> Result<Self, StoreError> {
        let file = disk.open(&path)?;
        let length = disk.run(DiskOperation::Open, &path, || Ok(file.metadata()?.len()))?;
        Ok(Self {
            path,
            file,
            length,
            is_damaged: false,
        })
    }

    /// Reads frames up to the first invalid header or incomplete frame and passes
    /// the valid ones to `visit`. Returns the damage found.
    ///
    /// `visit` returns whether the store's fields are valid; if they are not, the header
    /// counts as invalid.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn scan(
        &mut self,
        disk: &StoreDisk,
        number: u64,
        mut visit: impl FnMut([u8; FIELDS], Vec<u8>, FrameLocation) -> bool,
    ) -> Result<Vec<StoreDamage>, StoreError> {
        let mut found_damage = Vec::new();
        let mut offset = 0;
        while offset < self.length {
            let Some(header) = self.read_header(disk, offset)? else {
                found_damage.push(self.header_damage(offset));
                break;
            };
            let length = to_u64(header.frame_length());
            if offset + length > self.length {
                found_damage.push(self.damage(offset, DamageKind::IncompleteFrame));
                break;
            }
            let payload = self.read_payload(disk, offset, &header)?;
            if header.payload_matches(&payload) {
                let location = FrameLocation {
                    segment: number,
                    offset,
                    length,
                };
                if !visit(header.fields, payload, location) {
                    found_damage.push(self.damage(offset, DamageKind::BadHeader));
                    break;
                }
            } else {
                let mut damage = self.damage(offset, DamageKind::BadChecksum);
                damage.length = length;
                found_damage.push(damage);
            }
            offset += length;
        }
        self.is_damaged = found_damage
            .iter()
            .any(|damage| damage.kind != DamageKind::IncompleteFrame);
        Ok(found_damage)
    }

    /// Reads one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or the frame is damaged.
    pub fn read(
        &self,
        disk: &StoreDisk,
        location: FrameLocation,
    ) -> Result<SegmentFrame<FIELDS>, StoreError> {
        let damaged = |kind| StoreError::Damaged {
            damage: self.damage(location.offset, kind),
        };
        let header = self
            .read_header(disk, location.offset)?
            .filter(|header| to_u64(header.frame_length()) == location.length)
            .ok_or_else(|| damaged(DamageKind::BadHeader))?;
        let payload = self.read_payload(disk, location.offset, &header)?;
        if !header.payload_matches(&payload) {
            return Err(damaged(DamageKind::BadChecksum));
        }
        Ok(SegmentFrame {
            fields: header.fields,
            payload,
        })
    }

    /// Appends bytes and syncs the file. After a failed write the file is
    /// truncated to its previous length.
    ///
    /// The flag in the error is `true` if the contents of the file are unknown:
    /// the truncation or the sync failed.
    ///
    /// # Errors
    ///
    /// Returns an error if the write or the sync failed.
    pub fn append(&mut self, disk: &StoreDisk, bytes: &[u8]) -> Result<(), (StoreError, bool)> {
        if let Err(error) = disk.write(&self.path, &self.file, bytes) {
            let is_content_unknown = self.truncate(disk, self.length).is_err();
            return Err((error, is_content_unknown));
        }
        disk.sync(&self.path, &self.file)
            .map_err(|error| (error, true))?;
        self.length += to_u64(bytes.len());
        Ok(())
    }

    /// Truncates the file and syncs it.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation failed.
    pub fn truncate(&mut self, disk: &StoreDisk, length: u64) -> Result<(), StoreError> {
        disk.run(DiskOperation::Truncate, &self.path, || {
            self.file.set_len(length)?;
            self.file.sync_all()
        })?;
        self.length = length;
        Ok(())
    }

    fn read_header(
        &self,
        disk: &StoreDisk,
        offset: u64,
    ) -> Result<Option<FrameHeader<FIELDS>>, StoreError> {
        let length = frame_overhead::<FIELDS>();
        if self.length - offset < to_u64(length) {
            return Ok(None);
        }
        let mut bytes = vec![0; length];
        disk.read_at(&self.path, &self.file, offset, &mut bytes)?;
        Ok(FrameHeader::decode(&bytes))
    }

    fn read_payload(
        &self,
        disk: &StoreDisk,
        offset: u64,
        header: &FrameHeader<FIELDS>,
    ) -> Result<Vec<u8>, StoreError> {
        let mut payload = vec![0; header.payload_length];
        let start = offset + to_u64(frame_overhead::<FIELDS>());
        disk.read_at(&self.path, &self.file, start, &mut payload)?;
        Ok(payload)
    }

    fn header_damage(&self, offset: u64) -> StoreDamage {
        let is_short = self.length - offset < to_u64(frame_overhead::<FIELDS>());
        let kind = if is_short {
            DamageKind::IncompleteFrame
        } else {
            DamageKind::BadHeader
        };
        self.damage(offset, kind)
    }

    fn damage(&self, offset: u64, kind: DamageKind) -> StoreDamage {
        StoreDamage {
            path: self.path.clone(),
            offset,
            length: self.length - offset,
            kind,
        }
    }
}

/// Converts a length to 64 bits.
#[must_use]
pub fn to_u64(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}
