//! Credit that one daemon has borrowed for one workspace.

use std::time::Duration;

use ibisdale_core::TimeStamp;

use super::amount::{CreditAmount, CreditRate};
use super::home::{CreditAnswer, CreditReturn, GrantId};

/// Time for whose demand credit is borrowed ahead.
const AHEAD: Duration = Duration::from_millis(500);
/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Time after which an order without an answer is given up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a home that could not be reached is asked again.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    grant: GrantId,
    left: CreditAmount,
    expires: TimeStamp,
}

/// An order under way.
#[derive(Clone, Copy, Debug)]
struct AskedOrder {
    number: u64,
    at: TimeStamp,
}

/// What a daemon knows of one part.
#[derive(Clone, Debug, Default)]
struct PartState {
    held: Vec<HeldGrant>,
    returns: Vec<CreditReturn>,
    asked: Option<AskedOrder>,
    closed_until: TimeStamp,
    is_unreachable: bool,
}

impl PartState {
    /// Closes the part until its home is asked again.
    fn close_unreachable(&mut self, now: TimeStamp) {
        self.asked = None;
        self.closed_until = now.plus(UNREACHABLE_RETRY);
        self.is_unreachable = true;
    }
}

/// Asks the home of a part for credit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditOrder {
    /// Index of the part.
    pub part: u64,
    /// Number of the order at the borrower, so that an answer counts once.
    pub number: u64,
    /// The amount wanted.
    pub wanted: CreditAmount,
    /// What became of earlier grants of the part.
    pub returns: Vec<CreditReturn>,
    /// When the order was made; validity counts from here.
    pub asked: TimeStamp,
}

/// What a request without credit may expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BorrowState {
    /// An order is under way or can be made.
    Pending,
    /// Every part is used up; come back after this time.
    Exhausted(Duration),
    /// No part has credit, and a home could not be reached; come back after
    /// this time.
    Unreachable(Duration),
}

/// Credit borrowed for one workspace.
#[derive(Clone, Debug)]
pub struct CreditBorrower {
    rate: CreditRate,
    parts: Vec<PartState>,
    demand: f64,
    demand_at: TimeStamp,
    next_part: usize,
    orders: u64,
}

impl CreditBorrower {
    /// Creates a borrower without credit.
    #[must_use]
    pub fn new(rate: CreditRate, now: TimeStamp) -> Self {
        let mut borrower = Self {
            rate,
            parts: Vec::new(),
            demand: 0.0,
            demand_at: now,
            next_part: 0,
            orders: 0,
        };
        borrower.set_rate(rate);
        borrower
    }

    /// Changes the rate; credit of parts that no longer exist dies.
    pub fn set_rate(&mut self, rate: CreditRate) {
        self.rate = rate;
        let parts = usize::try_from(rate.parts()).unwrap_or(1);
        self.parts.resize_with(parts, PartState::default);
        self.next_part %= parts;
    }

    /// Spends one request's credit, if there is any that has not expired.
    ///
    /// Counts as demand either way.
    pub fn take(&mut self, now: TimeStamp) -> bool {
        self.note_demand(now);
        self.take_waiting(now)
    }

    /// Spends credit for a request whose demand was counted before.
    pub fn take_waiting(&mut self, now: TimeStamp) -> bool {
        self.drop_expired(now);
        let grants = self.parts.iter_mut().flat_map(|part| part.held.iter_mut());
        let usable = grants.filter(|grant| grant.left >= CreditAmount::ONE);
        let Some(grant) = usable.min_by_key(|grant| grant.expires) else {
            return false;
        };
        grant.left = grant.left.minus(CreditAmount::ONE);
        self.return_spent();
        true
    }

    fn note_demand(&mut self, now: TimeStamp) {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        let window = DEMAND_WINDOW.as_secs_f64();
        self.demand = self.demand * (-elapsed / window).exp() + 1.0 / window;
        self.demand_at = now;
    }

    /// Moves used-up grants to the returns, which free the burst at their home.
    fn return_spent(&mut self) {
        for part in &mut self.parts {
            let returns = &mut part.returns;
            part.held.retain(|held| {
                let is_left = held.left > CreditAmount::ZERO;
                if !is_left {
                    returns.push(CreditReturn {
                        grant: held.grant,
                        unspent: CreditAmount::ZERO,
                    });
                }
                is_left
            });
        }
    }

    fn drop_expired(&mut self, now: TimeStamp) {
        for part in &mut self.parts {
            part.held.retain(|held| now < held.expires);
            let is_lost = |asked: AskedOrder| now.since(asked.at) >= ORDER_TIMEOUT;
            if part.asked.is_some_and(is_lost) {
                part.close_unreachable(now);
            }
        }
    }

    fn held(&self) -> CreditAmount {
        let grants = self.parts.iter().flat_map(|part| &part.held);
        grants.fold(CreditAmount::ZERO, |sum, grant| sum.plus(grant.left))
    }

    /// Returns the orders to send now: for the requests that wait, and ahead of
    /// demand where the credit held does not last.
    pub fn orders(&mut self, waiting: u64, now: TimeStamp) -> Vec<CreditOrder> {
        self.drop_expired(now);
        let waiting = CreditAmount::from_requests(waiting);
        let wanted = self.ahead().plus(waiting);
        let missing = wanted.minus(self.held()).minus(self.ordered());
        if missing < CreditAmount::ONE {
            return Vec::new();
        }
        self.order_missing(missing, waiting > CreditAmount::ZERO, now)
    }

    fn ahead(&self) -> CreditAmount {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let millis = (self.demand * AHEAD.as_secs_f64() * 1_000.0) as u64;
        CreditAmount::from_millis(millis)
    }

    /// Returns what is under way, counted as one request an order.
    fn ordered(&self) -> CreditAmount {
        let orders = self
            .parts
            .iter()
            .filter(|part| part.asked.is_some())
            .count();
        CreditAmount::from_requests(orders as u64)
    }

    /// Orders from the next free part, or from all free ones while requests
    /// wait.
    fn order_missing(
        &mut self,
        missing: CreditAmount,
        is_urgent: bool,
        now: TimeStamp,
    ) -> Vec<CreditOrder> {
        let mut orders = Vec::new();
        let count = self.parts.len();
        for offset in 0..count {
            let index = (self.next_part + offset) % count;
            let part = &mut self.parts[index];
            if part.asked.is_some() || now < part.closed_until {
                continue;
            }
            self.orders += 1;
            let number = self.orders;
            part.asked = Some(AskedOrder { number, at: now });
            let returns = std::mem::take(&mut part.returns);
            orders.push(CreditOrder {
                part: index as u64,
                number,
                wanted: missing,
                returns,
                asked: now,
            });
            if !is_urgent || missing <= CreditAmount::ONE {
                self.next_part = (index + 1) % count;
                break;
            }
        }
        orders
    }

    /// Takes in a home's answer to an order.
    ///
    /// Credit that is past its time when the answer comes dies here.
    pub fn answer(&mut self, order: &CreditOrder, answer: &CreditAnswer, now: TimeStamp) {
        let Some(part) = self.part_mut(order) else {
            return;
        };
        part.asked = None;
        part.is_unreachable = false;
        if answer.amount < CreditAmount::ONE {
            part.closed_until = now.plus(answer.retry_after);
            return;
        }
        let expires = order.asked.plus(answer.valid);
        if now < expires {
            part.held.push(HeldGrant {
                grant: answer.grant,
                left: answer.amount,
                expires,
            });
        }
    }

    /// Notes that an order had no answer.
    pub fn fail(&mut self, order: &CreditOrder, now: TimeStamp) {
        if let Some(part) = self.part_mut(order) {
            part.close_unreachable(now);
        }
    }

    /// Returns the part of an order, unless the order was given up.
    fn part_mut(&mut self, order: &CreditOrder) -> Option<&mut PartState> {
        let index = usize::try_from(order.part).ok()?;
        let part = self.parts.get_mut(index)?;
        let is_awaited = |asked: AskedOrder| asked.number == order.number;
        part.asked.is_some_and(is_awaited).then_some(part)
    }

    /// Tells what requests without credit may expect.
    #[must_use]
    pub fn state(&self, now: TimeStamp) -> BorrowState {
        let is_open = |part: &PartState| part.asked.is_some() || now >= part.closed_until;
        if self.parts.iter().any(is_open) {
            return BorrowState::Pending;
        }
        let opens = self.parts.iter().map(|part| part.closed_until).min();
        let delay = opens.unwrap_or(now).since(now);
        if self.parts.iter().any(|part| part.is_unreachable) {
            return BorrowState::Unreachable(delay);
        }
        BorrowState::Exhausted(delay)
    }

    /// Returns what to give back when this daemon stops or the workspace has
    /// gone quiet; the credit can't be spent afterwards.
    pub fn close(&mut self) -> Vec<CreditOrder> {
        let parts = self.parts.iter_mut().enumerate();
        parts
            .filter_map(|(index, part)| {
                let held = std::mem::take(&mut part.held);
                let mut returns = std::mem::take(&mut part.returns);
                let unspent = |grant: HeldGrant| CreditReturn {
                    grant: grant.grant,
                    unspent: grant.left,
                };
                returns.extend(held.into_iter().map(unspent));
                let is_empty = returns.is_empty();
                let order = CreditOrder {
                    part: index as u64,
                    number: 0,
                    wanted: CreditAmount::ZERO,
                    returns,
                    asked: TimeStamp::default(),
                };
                (!is_empty).then_some(order)
            })
            .collect()
    }
}
