//! Opening and recovery of a data folder.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use ibisdale_segments::{
    DamageKind, DiskOperation, StoreDamage, StoreDisk, StoreError, list_segments, segment_path,
};

use crate::store::frame;
use crate::store::history::{HistorySegment, HistoryStore, StoreOptions};
use crate::store::index::StoreIndex;

impl HistoryStore {
    /// Opens the store in a data folder and creates the folder if needed.
    ///
    /// An incomplete frame at the end of the last segment was never acknowledged
    /// and is removed. All damage is returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a segment can't be read or written.
    pub fn open(
        folder: &Path,
        options: StoreOptions,
        disk: StoreDisk,
    ) -> Result<(Self, Vec<StoreDamage>), StoreError> {
        disk.run(DiskOperation::CreateFolder, folder, || {
            fs::create_dir_all(folder)
        })?;
        let numbers = list_segments(&disk, folder)?;
        let mut index = StoreIndex::default();
        let mut segments = BTreeMap::new();
        let mut found_damage = Vec::new();
        for number in &numbers {
            let mut file = HistorySegment::open(&disk, segment_path(folder, *number))?;
            let found = file.scan(&disk, *number, |fields, _, location| {
                let Some(fields) = frame::decode_fields(&fields) else {
                    return false;
                };
                index.apply(fields, location);
                true
            })?;
            let is_last = Some(number) == numbers.last();
            truncate_incomplete_tail(&disk, &mut file, &found, is_last)?;
            found_damage.extend(found);
            segments.insert(*number, file);
        }
        found_damage.extend(missing_record_damage(&index, &segments));
        let mut store = Self::from_parts(folder.to_owned(), options, disk, index, segments);
        store.has_damage = found_damage
            .iter()
            .any(|damage| damage.kind != DamageKind::IncompleteFrame);
        store.start_segment_if_needed()?;
        Ok((store, found_damage))
    }
}

/// Truncates an incomplete frame at the end of the last segment. Any other
/// segment that ends within a frame is marked as damaged.
fn truncate_incomplete_tail(
    disk: &StoreDisk,
    file: &mut HistorySegment,
    found_damage: &[StoreDamage],
    is_last: bool,
) -> Result<(), StoreError> {
    let tail = found_damage
        .iter()
        .find(|damage| damage.kind == DamageKind::IncompleteFrame);
    let Some(tail) = tail else {
        return Ok(());
    };
    if is_last {
        return file.truncate(disk, tail.offset);
    }
    file.is_damaged = true;
    Ok(())
}

fn missing_record_damage(
    index: &StoreIndex,
    segments: &BTreeMap<u64, HistorySegment>,
) -> Vec<StoreDamage> {
    let entries = index.first_entries_after_gaps().into_iter();
    let found_damage = entries.filter_map(|(_, _, location)| {
        Some(StoreDamage {
            path: segments.get(&location.segment)?.path.clone(),
            offset: location.offset,
            length: location.length,
            kind: DamageKind::MissingRecord,
        })
    });
    found_damage.collect()
}
