//! Segment files of the store.

use std::fs::File;
use std::path::{Path, PathBuf};

use crate::store::disk::{DiskOperation, StoreDisk};
use crate::store::error::{DamageKind, StoreDamage, StoreError};
use crate::store::frame::{FrameFields, FrameHeader, HEADER_BYTES};
use crate::store::index::FrameLocation;

const SUFFIX: &str = ".segment";

/// Open segment file.
#[derive(Debug)]
pub(crate) struct SegmentFile {
    pub(crate) path: PathBuf,
    pub(crate) file: File,
    pub(crate) length: u64,
    pub(crate) is_damaged: bool,
}

/// Frame read from a segment, with a verified payload.
#[derive(Debug)]
pub(crate) struct Frame {
    pub(crate) fields: FrameFields,
    pub(crate) payload: Vec<u8>,
}

/// Returns the path of a segment.
pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016}{SUFFIX}"))
}

/// Returns the segment number in a path, or `None` if it is not a segment path.
pub(crate) fn number(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?;
    name.strip_suffix(SUFFIX)?.parse().ok()
}

impl SegmentFile {
    /// Opens a segment and creates it if it does not exist.
    pub(crate) fn open(disk: &StoreDisk, path: PathBuf) -> Result<Self, StoreError> {
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
    pub(crate) fn scan(
        &mut self,
        disk: &StoreDisk,
        number: u64,
        mut visit: impl FnMut(FrameFields, FrameLocation),
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
                visit(header.fields, location);
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
    pub(crate) fn read(
        &self,
        disk: &StoreDisk,
        location: FrameLocation,
    ) -> Result<Frame, StoreError> {
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
        Ok(Frame {
            fields: header.fields,
            payload,
        })
    }

    /// Appends bytes and syncs the file. After a failed write the file is
    /// truncated to its previous length.
    ///
    /// The flag in the error is `true` if the contents of the file are unknown:
    /// the truncation or the sync failed.
    pub(crate) fn append(
        &mut self,
        disk: &StoreDisk,
        bytes: &[u8],
    ) -> Result<(), (StoreError, bool)> {
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
    pub(crate) fn truncate(&mut self, disk: &StoreDisk, length: u64) -> Result<(), StoreError> {
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
    ) -> Result<Option<FrameHeader>, StoreError> {
        if self.length - offset < to_u64(HEADER_BYTES) {
            return Ok(None);
        }
        let mut bytes = [0; HEADER_BYTES];
        disk.read_at(&self.path, &self.file, offset, &mut bytes)?;
        Ok(FrameHeader::decode(&bytes))
    }

    fn read_payload(
        &self,
        disk: &StoreDisk,
        offset: u64,
        header: &FrameHeader,
    ) -> Result<Vec<u8>, StoreError> {
        let mut payload = vec![0; header.payload_length];
        let start = offset + to_u64(HEADER_BYTES);
        disk.read_at(&self.path, &self.file, start, &mut payload)?;
        Ok(payload)
    }

    fn header_damage(&self, offset: u64) -> StoreDamage {
        let is_short = self.length - offset < to_u64(HEADER_BYTES);
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

pub(crate) fn to_u64(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}
