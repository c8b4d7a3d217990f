//! The home of one part: its bucket and what it has lent.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use serde::{Deserialize, Serialize};

use super::amount::{CreditAmount, CreditRate};

/// Time for which credit is lent.
const LEND_TIME: Duration = Duration::from_secs(1);
/// Part of the bucket that one borrower gets at most while others may ask.
const LEND_FRACTION: u64 = 2;

/// Names a grant; one of another home or epoch never matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct GrantId {
    /// Epoch of the home's slot.
    pub epoch: u64,
    /// Number of the grant at the home.
    pub number: u64,
}

/// Tells a home what became of a grant: the rest was spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CreditReturn {
    /// The grant.
    pub grant: GrantId,
    /// The amount that was not spent and never will be.
    pub unspent: CreditAmount,
}

/// A home's answer to a borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CreditAnswer {
    /// The grant.
    pub grant: GrantId,
    /// What is lent; zero when the part is used up.
    pub amount: CreditAmount,
    /// Time for which it may be spent, from before the borrower asked.
    pub valid: Duration,
    /// When one more request will have accrued, for a part that is used up.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct LentCredit {
    grant: GrantId,
    amount: CreditAmount,
    expires: TimeStamp,
}

/// The bucket of one part, at its home.
///
/// ```
/// use ibisdale_core::TimeStamp;
/// use ibisdale_policy::{CreditAmount, CreditHome, CreditRate};
///
/// let now = TimeStamp::from_millis(0);
/// let mut home = CreditHome::first(CreditRate::new(1_000, 4), 1, now);
/// let answer = home.borrow(CreditAmount::ONE, &[], now);
/// assert_eq!(answer.amount, CreditAmount::ONE);
/// ```
#[derive(Clone, Debug)]
pub struct CreditHome {
    rate: CreditRate,
    epoch: u64,
    level: CreditAmount,
    updated: TimeStamp,
    opens: TimeStamp,
    lent: Vec<LentCredit>,
    grants: u64,
}

impl CreditHome {
    /// Creates the home of a part that never had one: a full bucket.
    #[must_use]
    pub fn first(rate: CreditRate, epoch: u64, now: TimeStamp) -> Self {
        Self {
            rate,
            epoch,
            level: rate.burst,
            updated: now,
            opens: now,
            lent: Vec::new(),
            grants: 0,
        }
    }

    /// Creates the home of a part that has had another: an empty bucket, closed
    /// until all credit that the old home lent has expired.
    ///
    /// The old home must have stopped lending by `since`.
    #[must_use]
    pub fn take_over(rate: CreditRate, epoch: u64, since: TimeStamp) -> Self {
        let opens = since.plus(LEND_TIME);
        Self {
            level: CreditAmount::ZERO,
            updated: opens,
            opens,
            ..Self::first(rate, epoch, since)
        }
    }

    /// Returns the longest time for which any home lends credit.
    #[must_use]
    pub const fn lend_time() -> Duration {
        LEND_TIME
    }

    /// Changes the rate; what is lent already stays lent.
    pub fn set_rate(&mut self, rate: CreditRate, now: TimeStamp) {
        self.refill(now);
        self.rate = rate;
        self.cap();
    }

    fn lent_amount(&self) -> CreditAmount {
        self.lent
            .iter()
            .fold(CreditAmount::ZERO, |sum, lent| sum.plus(lent.amount))
    }

    /// Keeps what is in the bucket and what is lent within the burst together.
    fn cap(&mut self) {
        self.level = self.level.min(self.rate.burst.minus(self.lent_amount()));
    }

    fn refill(&mut self, now: TimeStamp) {
        if now <= self.updated {
            return;
        }
        // Credit that expires unreported counts as spent. Each expiry is passed
        // in its turn, since what is lent until then takes up the burst.
        while let Some(index) = self.next_expired(now) {
            let expires = self.lent[index].expires;
            self.accrue(expires.max(self.updated));
            self.lent.swap_remove(index);
        }
        self.accrue(now);
    }

    fn next_expired(&self, now: TimeStamp) -> Option<usize> {
        let expired = self
            .lent
            .iter()
            .enumerate()
            .filter(|(_, lent)| lent.expires <= now);
        expired
            .min_by_key(|(_, lent)| lent.expires)
            .map(|(index, _)| index)
    }

    fn accrue(&mut self, until: TimeStamp) {
        self.level = self
            .level
            .plus(self.rate.accrued(until.since(self.updated)));
        self.updated = until;
        self.cap();
    }

    /// Takes back what `returns` tells and lends up to `wanted`.
    pub fn borrow(
        &mut self,
        wanted: CreditAmount,
        returns: &[CreditReturn],
        now: TimeStamp,
    ) -> CreditAnswer {
        self.refill(now);
        for returned in returns {
            self.take_back(*returned);
        }
        let amount = if now < self.opens {
            CreditAmount::ZERO
        } else {
            self.lend(wanted)
        };
        self.grants += 1;
        let grant = GrantId {
            epoch: self.epoch,
            number: self.grants,
        };
        if amount > CreditAmount::ZERO {
            self.lent.push(LentCredit {
                grant,
                amount,
                expires: now.plus(LEND_TIME),
            });
        }
        let missing = CreditAmount::ONE.minus(self.level);
        let retry_after = self.opens.since(now) + self.rate.time_for(missing);
        CreditAnswer {
            grant,
            amount,
            valid: LEND_TIME,
            retry_after,
        }
    }

    fn take_back(&mut self, returned: CreditReturn) {
        let index = self
            .lent
            .iter()
            .position(|lent| lent.grant == returned.grant);
        let Some(index) = index else { return };
        let lent = self.lent.swap_remove(index);
        self.level = self.level.plus(returned.unspent.min(lent.amount));
        self.cap();
    }

    /// Lends whole requests only; one request always, more only within a part
    /// of the bucket, so that the next borrower finds some.
    fn lend(&mut self, wanted: CreditAmount) -> CreditAmount {
        if wanted == CreditAmount::ZERO {
            return CreditAmount::ZERO;
        }
        let whole = |amount: CreditAmount| {
            let requests = amount.as_micros() / CreditAmount::ONE.as_micros();
            CreditAmount::from_requests(requests)
        };
        let part = CreditAmount::from_millis(self.level.as_millis() / LEND_FRACTION);
        let limit = part.max(CreditAmount::ONE).min(self.level);
        let amount = whole(wanted.max(CreditAmount::ONE).min(limit));
        self.level = self.level.minus(amount);
        amount
    }
}
