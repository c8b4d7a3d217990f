//! Faults that a seed injects, within what is tolerated.

use ibisdale_turns::holder_core::HolderCore;
use rand::Rng;

use crate::world::{PlayEvent, PlayWorld};

/// Time after a return for which a holder still counts as lost, in milliseconds.
const CATCH_UP_MS: u64 = 4_300;

/// A fault of one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlayFault {
    Kill,
    Wipe,
    Cut,
    Pause,
}

impl PlayWorld {
    /// Injects a fault, if one more holder may be lost now.
    pub(crate) fn inject_fault(&mut self) {
        let holder = self.random.random_range(0..self.holders.len());
        let fault = match self.random.random_range(0..5) {
            0 => PlayFault::Kill,
            1 | 2 => PlayFault::Wipe,
            3 => PlayFault::Cut,
            _ => PlayFault::Pause,
        };
        if self.random.random_ratio(1, 12) {
            self.kill_all();
            return;
        }
        let lost = self.holders.iter().filter(|holder| self.is_lost(holder));
        let is_allowed = lost.count() < self.options.tolerated;
        let target = &self.holders[holder];
        if !is_allowed || self.is_lost(target) || target.is_retired {
            return;
        }
        let down_ms = self.random.random_range(200..3_500);
        let end_ms = self.now_ms + down_ms;
        let target = &mut self.holders[holder];
        target.whole_at_ms = end_ms + CATCH_UP_MS;
        match fault {
            PlayFault::Kill => target.kill(false),
            PlayFault::Wipe => target.kill(true),
            PlayFault::Cut => target.is_cut = true,
            PlayFault::Pause => target.paused_until_ms = end_ms,
        }
        if fault != PlayFault::Pause {
            let is_wiped = fault == PlayFault::Wipe;
            self.schedule(down_ms, PlayEvent::Return { holder, is_wiped });
        }
    }

    /// Kills all holders at once, and wipes as many disks at the same moment as may be lost.
    ///
    /// While a holder is restoring its disk, that disk counts as lost until all are back.
    fn kill_all(&mut self) {
        let down_ms = self.random.random_range(300..1_500);
        let lost = self.holders.iter().filter(|holder| self.is_lost(holder));
        let may_be_wiped = self.options.tolerated.saturating_sub(lost.count());
        let mut wiped = self.random.random_range(0..=may_be_wiped);
        let first = self.random.random_range(0..self.holders.len());
        for step in 0..self.holders.len() {
            let holder = (first + step) % self.holders.len();
            let target = &mut self.holders[holder];
            if target.is_retired || target.core.is_none() {
                continue;
            }
            let is_whole = target.core.as_ref().is_some_and(HolderCore::is_whole);
            let is_wiped_now = is_whole && wiped > 0;
            wiped -= usize::from(is_wiped_now);
            target.kill(is_wiped_now);
            target.whole_at_ms = target.whole_at_ms.max(self.now_ms + down_ms + CATCH_UP_MS);
            let is_wiped = !is_whole || is_wiped_now;
            self.schedule(down_ms, PlayEvent::Return { holder, is_wiped });
        }
    }

    /// Orders a holder to be emptied, if enough others are left and none is lost.
    pub(crate) fn order_retirement(&mut self) {
        let others_lost = self.holders.iter().any(|holder| self.is_lost(holder));
        let left = self.holders.iter().filter(|holder| !holder.is_retired);
        if others_lost || left.count() <= self.options.tolerated + 2 {
            return;
        }
        let holder = self.random.random_range(0..self.holders.len());
        if !self.holders[holder].is_retired {
            self.schedule(0, PlayEvent::Retire { holder });
        }
    }
}
