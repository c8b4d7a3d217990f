//! Where the records of each program are.

use std::collections::{BTreeMap, HashMap};

use ibisdale_core::{ProgramId, SlotId};

use crate::store::frame::{FrameHeader, FrameKind};

/// Place of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FramePlace {
    pub(crate) segment: u64,
    pub(crate) offset: u64,
    pub(crate) length: u64,
}

/// A record's place and the epoch that it was written under.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordEntry {
    pub(crate) epoch: u64,
    pub(crate) place: FramePlace,
}

/// Index of all frames that count.
#[derive(Debug, Default)]
pub(crate) struct StoreIndex {
    programs: HashMap<ProgramId, BTreeMap<u64, RecordEntry>>,
    epochs: HashMap<SlotId, u64>,
    live_bytes: u64,
}

impl StoreIndex {
    /// Applies a frame, in the order of the log.
    ///
    /// A record of a newer epoch takes the place of an older one and voids what
    /// followed it; a record of the same epoch is a copy that was moved.
    pub(crate) fn apply(&mut self, header: FrameHeader, place: FramePlace) {
        match header.kind {
            FrameKind::Seal => self.raise(header.slot, header.epoch),
            FrameKind::Drop { program } => self.drop_program(program),
            FrameKind::Record { program, sequence } => {
                self.raise(header.slot, header.epoch);
                let entry = RecordEntry {
                    epoch: header.epoch,
                    place,
                };
                self.put(program, sequence, entry);
            }
        }
    }

    fn put(&mut self, program: ProgramId, sequence: u64, entry: RecordEntry) {
        let entries = self.programs.entry(program).or_default();
        if entries
            .get(&sequence)
            .is_some_and(|old| old.epoch > entry.epoch)
        {
            return;
        }
        let mut freed = 0;
        let mut kept = entries.split_off(&sequence);
        kept.retain(|at, old| {
            let is_void = *at == sequence || old.epoch < entry.epoch;
            freed += if is_void { old.place.length } else { 0 };
            !is_void
        });
        entries.append(&mut kept);
        entries.insert(sequence, entry);
        self.live_bytes = self.live_bytes + entry.place.length - freed;
    }

    fn raise(&mut self, slot: SlotId, epoch: u64) {
        let known = self.epochs.entry(slot).or_default();
        *known = epoch.max(*known);
    }

    fn drop_program(&mut self, program: ProgramId) {
        let entries = self.programs.remove(&program).unwrap_or_default();
        let freed: u64 = entries.values().map(|entry| entry.place.length).sum();
        self.live_bytes -= freed;
    }

    /// Returns the epoch in force for a slot; zero when none is.
    pub(crate) fn epoch(&self, slot: SlotId) -> u64 {
        self.epochs.get(&slot).copied().unwrap_or_default()
    }

    pub(crate) fn epochs(&self) -> impl Iterator<Item = (SlotId, u64)> {
        self.epochs.iter().map(|(slot, epoch)| (*slot, *epoch))
    }

    pub(crate) fn entry(&self, program: ProgramId, sequence: u64) -> Option<RecordEntry> {
        self.programs.get(&program)?.get(&sequence).copied()
    }

    /// Returns the entries from the first record up to the first that misses.
    pub(crate) fn whole_prefix(&self, program: ProgramId) -> impl Iterator<Item = RecordEntry> {
        let entries = self.programs.get(&program).into_iter().flatten();
        (0..)
            .zip(entries)
            .take_while(|(expected, (sequence, _))| expected == *sequence)
            .map(|(_, (_, entry))| *entry)
    }

    /// Returns the sequence that the program's next record must have.
    pub(crate) fn next_sequence(&self, program: ProgramId) -> u64 {
        let Some(entries) = self.programs.get(&program) else {
            return 0;
        };
        let after_last = entries.last_key_value().map_or(0, |(last, _)| last + 1);
        if usize::try_from(after_last) == Ok(entries.len()) {
            return after_last;
        }
        self.whole_prefix(program).fold(0, |count, _| count + 1)
    }

    /// Returns the entries that follow a missing record, with their sequences.
    pub(crate) fn after_gap(&self) -> Vec<(ProgramId, u64, FramePlace)> {
        let mut found = Vec::new();
        for (program, entries) in &self.programs {
            let next = self.next_sequence(*program);
            if let Some((sequence, entry)) = entries.range(next..).next() {
                found.push((*program, *sequence, entry.place));
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

    /// Returns the programs of a slot, in the order of their identifiers.
    pub(crate) fn programs_of(&self, slot: SlotId) -> Vec<ProgramId> {
        let ids = self.programs.keys().copied();
        let mut ids: Vec<_> = ids.filter(|id| id.slot() == slot).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the frames that count in one segment, in the order of the log.
    pub(crate) fn live_in(&self, segment: u64) -> Vec<FramePlace> {
        let entries = self.programs.values().flat_map(BTreeMap::values);
        let places = entries.map(|entry| entry.place);
        let mut places: Vec<_> = places.filter(|place| place.segment == segment).collect();
        places.sort_unstable_by_key(|place| place.offset);
        places
    }

    pub(crate) fn program_count(&self) -> usize {
        self.programs.len()
    }

    pub(crate) const fn live_bytes(&self) -> u64 {
        self.live_bytes
    }
}
