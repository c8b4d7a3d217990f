//! A holder with a disk and a process that may be down.

use std::net::Ipv4Addr;

use bytes::Bytes;
use ibisdale_segments::FrameLocation;
use ibisdale_turns::holder_core::HolderCore;
use ibisdale_turns::index::ChainLink;
use ibisdale_turns::{HolderInfo, HolderTable, KeptTurn, TurnKey};

/// Memory bound of the index, large enough for all turns of a play.
const MEMORY_BYTES: usize = 100_000_000;

/// A holder: its disk lasts, its process may be down, paused or cut off.
#[derive(Debug)]
pub(crate) struct PlayHolder {
    pub(crate) info: HolderInfo,
    pub(crate) disk: Vec<KeptTurn>,
    pub(crate) core: Option<HolderCore>,
    pub(crate) is_cut: bool,
    pub(crate) is_retired: bool,
    /// Time until which the process is paused.
    pub(crate) paused_until_ms: u64,
    /// Time at which the holder no longer counts as lost.
    pub(crate) whole_at_ms: u64,
    copies: usize,
}

impl PlayHolder {
    pub(crate) fn new(number: u8, copies: usize) -> Self {
        let info = HolderInfo {
            name: Bytes::from(format!("holder-{number}")),
            generation: u64::from(number),
            ip: Ipv4Addr::new(10, 0, 0, number),
            port: 7_780,
            domain: Bytes::from(format!("domain-{}", number % 4)),
        };
        Self {
            core: Some(HolderCore::new(info.clone(), copies, MEMORY_BYTES, true)),
            info,
            disk: Vec::new(),
            is_cut: false,
            is_retired: false,
            paused_until_ms: 0,
            whole_at_ms: 0,
            copies,
        }
    }

    pub(crate) fn is_reachable(&self) -> bool {
        self.core.is_some() && !self.is_cut && !self.is_retired
    }

    /// Ends the process; the disk is lost as well if `is_wiped`.
    pub(crate) fn kill(&mut self, is_wiped: bool) {
        self.core = None;
        if is_wiped {
            self.disk.clear();
            self.info.generation += 1_000;
        }
    }

    /// Starts the process, which reads the disk and the registered holders.
    pub(crate) fn start(&mut self, is_wiped: bool, registered: &HolderTable, now_ms: u64) {
        let mut core = HolderCore::new(self.info.clone(), self.copies, MEMORY_BYTES, !is_wiped);
        for turn in &self.disk {
            core.add_turn(turn.clone(), location(), now_ms);
        }
        core.set_holders(registered.clone(), now_ms);
        self.core = Some(core);
    }

    /// Stores turns; returns `false` if the holder is being emptied or down.
    pub(crate) fn store(&mut self, turns: &[KeptTurn], now_ms: u64) -> bool {
        let Some(core) = self.core.as_mut().filter(|core| !core.is_retiring()) else {
            return false;
        };
        for turn in turns {
            if !core.index().contains(turn.key) {
                self.disk.push(turn.clone());
                core.add_turn(turn.clone(), location(), now_ms);
            }
        }
        true
    }

    pub(crate) fn chain(&mut self, key: TurnKey, now_ms: u64) -> Vec<KeptTurn> {
        let Some(core) = &mut self.core else {
            return Vec::new();
        };
        let links = core.chain(key, now_ms).into_iter();
        let turns = links.filter_map(|link| match link {
            ChainLink::InMemory(turn) => Some(turn),
            ChainLink::OnDisk(_) => None,
        });
        turns.collect()
    }

    pub(crate) fn get(&self, key: TurnKey) -> Option<KeptTurn> {
        self.disk.iter().find(|turn| turn.key == key).cloned()
    }
}

fn location() -> FrameLocation {
    FrameLocation {
        segment: 0,
        offset: 0,
        length: 1,
    }
}
