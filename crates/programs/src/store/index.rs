//! In-memory index of the records in the segment files.

use std::collections::{BTreeMap, HashMap};

use ibisdale_core::{ProgramId, SlotId};
use ibisdale_segments::FrameLocation;

use crate::store::frame::{FrameFields, FrameKind};

/// Location of a record and the epoch in which it was written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordEntry {
    pub(crate) epoch: u64,
    pub(crate) location: FrameLocation,
}

/// Index of the live records and the epoch of each slot.
#[derive(Debug, Default)]
pub(crate) struct StoreIndex {
    programs: HashMap<ProgramId, BTreeMap<u64, RecordEntry>>,
    epochs: HashMap<SlotId, u64>,
    live_bytes: u64,
}

impl StoreIndex {
    /// Applies a frame. Frames are applied in log order.
    ///
    /// A record with a newer epoch replaces the record at its sequence and
    /// removes the records with a lower epoch at higher sequences. A record with
    /// the same epoch is another copy of the stored record, for example one moved
    /// by compaction, and replaces only that record.
    pub(crate) fn apply(&mut self, fields: FrameFields, location: FrameLocation) {
        match fields.kind {
            FrameKind::Seal => self.raise_epoch(fields.slot, fields.epoch),
            FrameKind::Drop { program } => self.drop_program(program),
            FrameKind::Record { program, sequence } => {
                self.raise_epoch(fields.slot, fields.epoch);
                let entry = RecordEntry {
                    epoch: fields.epoch,
                    location,
                };
                self.insert_record(program, sequence, entry);
            }
        }
    }

    fn insert_record(&mut self, program: ProgramId, sequence: u64, entry: RecordEntry) {
        let entries = self.programs.entry(program).or_default();
        if entries
            .get(&sequence)
            .is_some_and(|old| old.epoch > entry.epoch)
        {
            return;
        }
        let mut freed = 0;
        let mut kept = entries.split_off(&sequence);
        kept.retain(|old_sequence, old| {
            let is_replaced = *old_sequence == sequence || old.epoch < entry.epoch;
            freed += if is_replaced { old.location.length } else { 0 };
            !is_replaced
        });
        entries.append(&mut kept);
        entries.insert(sequence, entry);
        self.live_bytes = self.live_bytes + entry.location.length - freed;
    }

    fn raise_epoch(&mut self, slot: SlotId, epoch: u64) {
        let known = self.epochs.entry(slot).or_default();
        *known = epoch.max(*known);
    }

    fn drop_program(&mut self, program: ProgramId) {
        let entries = self.programs.remove(&program).unwrap_or_default();
        let freed: u64 = entries.values().map(|entry| entry.location.length).sum();
        self.live_bytes -= freed;
    }

    /// Returns the current epoch of a slot, or zero if none is stored.
    pub(crate) fn epoch(&self, slot: SlotId) -> u64 {
        self.epochs.get(&slot).copied().unwrap_or_default()
    }

    pub(crate) fn epochs(&self) -> impl Iterator<Item = (SlotId, u64)> {
        self.epochs.iter().map(|(slot, epoch)| (*slot, *epoch))
    }

    pub(crate) fn entry(&self, program: ProgramId, sequence: u64) -> Option<RecordEntry> {
        self.programs.get(&program)?.get(&sequence).copied()
    }

    /// Returns the entries from sequence zero up to the first gap.
    pub(crate) fn contiguous_prefix(
        &self,
        program: ProgramId,
    ) -> impl Iterator<Item = RecordEntry> {
        let entries = self.programs.get(&program).into_iter().flatten();
        (0..)
            .zip(entries)
            .take_while(|(expected, (sequence, _))| expected == *sequence)
            .map(|(_, (_, entry))| *entry)
    }

    /// Returns the sequence number of the program's first missing record.
    pub(crate) fn next_sequence(&self, program: ProgramId) -> u64 {
        let Some(entries) = self.programs.get(&program) else {
            return 0;
        };
        let after_last = entries.last_key_value().map_or(0, |(last, _)| last + 1);
        if usize::try_from(after_last) == Ok(entries.len()) {
            return after_last;
        }
        self.contiguous_prefix(program)
            .fold(0, |count, _| count + 1)
    }

    /// Returns the first entry after the gap of each program that has one, with
    /// its sequence.
    pub(crate) fn first_entries_after_gaps(&self) -> Vec<(ProgramId, u64, FrameLocation)> {
        let mut found = Vec::new();
        for (program, entries) in &self.programs {
            let next = self.next_sequence(*program);
            if let Some((sequence, entry)) = entries.range(next..).next() {
                found.push((*program, *sequence, entry.location));
            }
        }
        found.sort_unstable_by_key(|(program, ..)| *program);
        found
    }

    pub(crate) fn has_gap(&self, program: ProgramId) -> bool {
        let entries = self.programs.get(&program);
        let count = entries.map_or(0, BTreeMap::len);
        u64::try_from(count).is_ok_and(|count| count != self.next_sequence(program))
    }

    pub(crate) fn contains(&self, program: ProgramId) -> bool {
        self.programs.contains_key(&program)
    }

    /// Returns the programs of a slot, sorted by identifier.
    pub(crate) fn programs_in_slot(&self, slot: SlotId) -> Vec<ProgramId> {
        let ids = self.programs.keys().copied();
        let mut ids: Vec<_> = ids.filter(|id| id.slot() == slot).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the frames of live records in one segment, in log order.
    pub(crate) fn live_frames_in(&self, segment: u64) -> Vec<FrameLocation> {
        let entries = self.programs.values().flat_map(BTreeMap::values);
        let locations = entries.map(|entry| entry.location);
        let mut locations: Vec<_> = locations
            .filter(|location| location.segment == segment)
            .collect();
        locations.sort_unstable_by_key(|location| location.offset);
        locations
    }

    pub(crate) fn program_count(&self) -> usize {
        self.programs.len()
    }

    pub(crate) const fn live_bytes(&self) -> u64 {
        self.live_bytes
    }
}
