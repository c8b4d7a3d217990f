//! The parts whose home this daemon is.

use std::collections::HashMap;

use ibisdale_core::{SlotId, TimeStamp};
use ibisdale_policy::{BorrowReply, CreditHome, CreditRate};

use super::handle::RateSubject;
use super::wire::ReceivedOrder;

/// First epoch of a slot, whose owner had none before it.
const FIRST_EPOCH: u64 = 1;

/// Names a part of a rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PartName {
    subject: RateSubject,
    part: u64,
}

/// The buckets at this daemon.
#[derive(Debug, Default)]
pub(super) struct CreditHomes {
    homes: HashMap<PartName, OwnedHome>,
}

#[derive(Debug)]
struct OwnedHome {
    home: CreditHome,
    epoch: u64,
    rate: CreditRate,
}

/// Returns the slot whose owner is the home of a part.
pub(super) fn part_slot(subject: &RateSubject, part: u64) -> SlotId {
    let workspace = &subject.workspace;
    let name = match &subject.program {
        Some(program) => format!("{workspace}/{program}#{part}"),
        None => format!("{workspace}#{part}"),
    };
    SlotId::from_name(name.as_bytes())
}

/// The slot of a part, as this daemon owns it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HomeSlot {
    /// Epoch of the slot.
    pub(super) epoch: u64,
    /// When this daemon took the slot, by the clock of its process.
    pub(super) since: TimeStamp,
}

fn new_home(rate: CreditRate, slot: HomeSlot) -> CreditHome {
    if slot.epoch == FIRST_EPOCH {
        return CreditHome::new(rate, slot.epoch, slot.since);
    }
    CreditHome::take_over(rate, slot.epoch, slot.since)
}

impl CreditHomes {
    /// Lends from a part whose slot this daemon owns; `rate` is the part's share.
    ///
    /// `now` is the time of the process's clock.
    pub(super) fn borrow(
        &mut self,
        order: &ReceivedOrder,
        rate: CreditRate,
        slot: HomeSlot,
        now: TimeStamp,
    ) -> BorrowReply {
        let name = PartName {
            subject: order.subject.clone(),
            part: order.part,
        };
        let open = || OwnedHome {
            home: new_home(rate, slot),
            epoch: slot.epoch,
            rate,
        };
        let owned = self.homes.entry(name).or_insert_with(open);
        if owned.epoch != slot.epoch {
            *owned = open();
        }
        if owned.rate != rate {
            owned.home.set_rate(rate, now);
            owned.rate = rate;
        }
        owned.home.borrow(order.wanted, &order.returns, now)
    }

    /// Forgets the parts of slots that this daemon does not own any more.
    pub(super) fn retain(&mut self, is_owned: impl Fn(SlotId) -> bool) {
        self.homes
            .retain(|name, _| is_owned(part_slot(&name.subject, name.part)));
    }
}
