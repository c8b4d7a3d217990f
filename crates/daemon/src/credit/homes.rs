//! The parts whose home this daemon is.

use std::collections::HashMap;

use ibisdale_core::{SlotId, TimeStamp};
use ibisdale_policy::{CreditAnswer, CreditHome, CreditRate};

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

fn new_home(rate: CreditRate, epoch: u64, now: TimeStamp) -> CreditHome {
    if epoch == FIRST_EPOCH {
        return CreditHome::first(rate.share(), epoch, now);
    }
    CreditHome::take_over(rate.share(), epoch, now)
}

impl CreditHomes {
    /// Lends from a part whose slot this daemon owns under `epoch`.
    ///
    /// `now` is this daemon's monotonic time.
    pub(super) fn borrow(
        &mut self,
        order: &ReceivedOrder,
        rate: CreditRate,
        epoch: u64,
        now: TimeStamp,
    ) -> CreditAnswer {
        let name = PartName {
            subject: order.subject.clone(),
            part: order.part,
        };
        let open = || OwnedHome {
            home: new_home(rate, epoch, now),
            epoch,
            rate,
        };
        let owned = self.homes.entry(name).or_insert_with(open);
        if owned.epoch != epoch {
            *owned = open();
        }
        if owned.rate != rate {
            owned.home.set_rate(rate.share(), now);
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
