//! Credit that one daemon has borrowed for one workspace or program.

use std::time::Duration;

use ibisdale_core::TimeStamp;

use super::amount::{CreditAmount, CreditRate};
use super::home::{BorrowReply, CreditReturn, GrantId};

/// Credit is borrowed in advance for the demand expected in this period.
const PREFETCH_TIME: Duration = Duration::from_millis(500);
/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Time after which a borrow request without a reply counts as failed.
const BORROW_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an unreachable home is asked again.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    id: GrantId,
    remaining: CreditAmount,
    expires_at: TimeStamp,
}

/// Borrow request that a home has not yet answered.
#[derive(Clone, Copy, Debug)]
struct PendingBorrow {
    number: u64,
    sent_at: TimeStamp,
}

/// State of one part at the borrower.
#[derive(Clone, Debug, Default)]
struct PartState {
    held: Vec<HeldGrant>,
    returns: Vec<CreditReturn>,
    pending: Option<PendingBorrow>,
    retry_at: TimeStamp,
    is_unreachable: bool,
}

impl PartState {
    /// Marks the home as unreachable and delays the next borrow request to it.
    fn back_off(&mut self, now: TimeStamp) {
        self.pending = None;
        self.retry_at = now.plus(UNREACHABLE_RETRY);
        self.is_unreachable = true;
    }
}

/// Request to the home of a part for credit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BorrowRequest {
    /// Index of the part.
    pub part: u64,
    /// Sequence number at the borrower, so that a duplicate reply is ignored.
    ///
    /// Zero for a request that expects no reply.
    pub number: u64,
    /// Requested amount.
    pub wanted: CreditAmount,
    /// Settled earlier grants of the part.
    pub returns: Vec<CreditReturn>,
    /// When the request was made; the validity of its grant counts from here.
    pub requested_at: TimeStamp,
}

/// Whether a request without credit can expect some.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BorrowState {
    /// A reply is outstanding or a home can be asked.
    Pending,
    /// No part has credit; retry after this time.
    Exhausted(Duration),
    /// No part has credit and at least one home is unreachable; retry after this
    /// time.
    Unreachable(Duration),
}

/// Credit borrowed for one workspace or program, and the requests for more.
#[derive(Clone, Debug)]
pub struct CreditBorrower {
    rate: CreditRate,
    parts: Vec<PartState>,
    demand_rate: f64,
    demand_updated_at: TimeStamp,
    next_part: usize,
    last_borrow_number: u64,
}

impl CreditBorrower {
    /// Creates a borrower without credit.
    #[must_use]
    pub fn new(rate: CreditRate, now: TimeStamp) -> Self {
        let mut borrower = Self {
            rate,
            parts: Vec::new(),
            demand_rate: 0.0,
            demand_updated_at: now,
            next_part: 0,
            last_borrow_number: 0,
        };
        borrower.set_rate(rate);
        borrower
    }

    /// Changes the rate. Credit of parts that no longer exist is discarded.
    pub fn set_rate(&mut self, rate: CreditRate) {
        self.rate = rate;
        let parts = usize::try_from(rate.parts()).unwrap_or(1);
        self.parts.resize_with(parts, PartState::default);
        self.next_part %= parts;
    }

    /// Spends credit for one request and returns whether a valid grant
    /// covered it.
    ///
    /// The request counts as demand in either case.
    pub fn try_spend(&mut self, now: TimeStamp) -> bool {
        self.record_demand(now);
        self.try_spend_for_waiting(now)
    }

    /// Spends credit for a waiting request, which was already counted as demand.
    pub fn try_spend_for_waiting(&mut self, now: TimeStamp) -> bool {
        self.expire(now);
        let grants = self.parts.iter_mut().flat_map(|part| part.held.iter_mut());
        let usable = grants.filter(|grant| grant.remaining >= CreditAmount::ONE);
        let Some(grant) = usable.min_by_key(|grant| grant.expires_at) else {
            return false;
        };
        grant.remaining = grant.remaining.minus(CreditAmount::ONE);
        self.return_spent();
        true
    }

    fn record_demand(&mut self, now: TimeStamp) {
        let elapsed = now.since(self.demand_updated_at).as_secs_f64();
        let window = DEMAND_WINDOW.as_secs_f64();
        self.demand_rate = self.demand_rate * (-elapsed / window).exp() + 1.0 / window;
        self.demand_updated_at = now;
    }

    /// Queues the return of fully spent grants, so that they no longer count against
    /// the burst at the home.
    fn return_spent(&mut self) {
        for part in &mut self.parts {
            let returns = &mut part.returns;
            part.held.retain(|held| {
                let has_remaining = held.remaining > CreditAmount::ZERO;
                if !has_remaining {
                    returns.push(CreditReturn {
                        grant: held.id,
                        unspent: CreditAmount::ZERO,
                    });
                }
                has_remaining
            });
        }
    }

    fn expire(&mut self, now: TimeStamp) {
        for part in &mut self.parts {
            part.held.retain(|held| now < held.expires_at);
            let is_timed_out =
                |pending: PendingBorrow| now.since(pending.sent_at) >= BORROW_TIMEOUT;
            if part.pending.is_some_and(is_timed_out) {
                part.back_off(now);
            }
        }
    }

    fn held(&self) -> CreditAmount {
        let grants = self.parts.iter().flat_map(|part| &part.held);
        grants.fold(CreditAmount::ZERO, |sum, grant| sum.plus(grant.remaining))
    }

    /// Returns the borrow requests to send now, for the credit still missing for
    /// `waiting` requests and the expected demand.
    pub fn next_requests(&mut self, waiting: u64, now: TimeStamp) -> Vec<BorrowRequest> {
        self.expire(now);
        let waiting = CreditAmount::from_requests(waiting);
        let needed = self.prefetch_amount().plus(waiting);
        let missing = needed.minus(self.held()).minus(self.pending_amount());
        if missing < CreditAmount::ONE {
            return Vec::new();
        }
        self.request_missing(missing, waiting > CreditAmount::ZERO, now)
    }

    /// Returns the credit to borrow in advance for the expected demand.
    fn prefetch_amount(&self) -> CreditAmount {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let millis = (self.demand_rate * PREFETCH_TIME.as_secs_f64() * 1_000.0) as u64;
        CreditAmount::from_milli_requests(millis)
    }

    /// Returns the credit expected from pending requests, each counted as credit for
    /// one request.
    fn pending_amount(&self) -> CreditAmount {
        let pending = self
            .parts
            .iter()
            .filter(|part| part.pending.is_some())
            .count();
        CreditAmount::from_requests(pending as u64)
    }

    /// Asks the next available part, or all available parts if `is_urgent` and more
    /// than one request's credit is missing.
    fn request_missing(
        &mut self,
        missing: CreditAmount,
        is_urgent: bool,
        now: TimeStamp,
    ) -> Vec<BorrowRequest> {
        let mut requests = Vec::new();
        let count = self.parts.len();
        for offset in 0..count {
            let index = (self.next_part + offset) % count;
            let part = &mut self.parts[index];
            if part.pending.is_some() || now < part.retry_at {
                continue;
            }
            self.last_borrow_number += 1;
            let number = self.last_borrow_number;
            part.pending = Some(PendingBorrow {
                number,
                sent_at: now,
            });
            let returns = std::mem::take(&mut part.returns);
            requests.push(BorrowRequest {
                part: index as u64,
                number,
                wanted: missing,
                returns,
                requested_at: now,
            });
            if !is_urgent || missing <= CreditAmount::ONE {
                self.next_part = (index + 1) % count;
                break;
            }
        }
        requests
    }

    /// Handles a home's reply to a request.
    ///
    /// A grant that has expired when the reply arrives is discarded.
    pub fn handle_reply(&mut self, request: &BorrowRequest, reply: &BorrowReply, now: TimeStamp) {
        let Some(part) = self.part_mut(request) else {
            return;
        };
        part.pending = None;
        part.is_unreachable = false;
        if reply.amount < CreditAmount::ONE {
            part.retry_at = now.plus(reply.retry_after);
            return;
        }
        let expires_at = request.requested_at.plus(reply.valid);
        if now < expires_at {
            part.held.push(HeldGrant {
                id: reply.grant,
                remaining: reply.amount,
                expires_at,
            });
        }
    }

    /// Handles the failure of a request that got no reply.
    pub fn handle_failure(&mut self, request: &BorrowRequest, now: TimeStamp) {
        if let Some(part) = self.part_mut(request) {
            part.back_off(now);
        }
    }

    /// Returns the part of a request if its reply is still pending.
    fn part_mut(&mut self, request: &BorrowRequest) -> Option<&mut PartState> {
        let index = usize::try_from(request.part).ok()?;
        let part = self.parts.get_mut(index)?;
        let is_pending = |pending: PendingBorrow| pending.number == request.number;
        part.pending.is_some_and(is_pending).then_some(part)
    }

    /// Returns whether a request without credit can expect some.
    #[must_use]
    pub fn state(&self, now: TimeStamp) -> BorrowState {
        let is_available = |part: &PartState| part.pending.is_some() || now >= part.retry_at;
        if self.parts.iter().any(is_available) {
            return BorrowState::Pending;
        }
        let earliest = self.parts.iter().map(|part| part.retry_at).min();
        let delay = earliest.unwrap_or(now).since(now);
        if self.parts.iter().any(|part| part.is_unreachable) {
            return BorrowState::Unreachable(delay);
        }
        BorrowState::Exhausted(delay)
    }

    /// Gives up all credit, which can't be spent afterwards, and builds the requests
    /// that return it to the homes.
    ///
    /// Meant for a daemon that stops or a workspace that is idle.
    pub fn close(&mut self) -> Vec<BorrowRequest> {
        let parts = self.parts.iter_mut().enumerate();
        parts
            .filter_map(|(index, part)| {
                let held = std::mem::take(&mut part.held);
                let mut returns = std::mem::take(&mut part.returns);
                let unspent = |grant: HeldGrant| CreditReturn {
                    grant: grant.id,
                    unspent: grant.remaining,
                };
                returns.extend(held.into_iter().map(unspent));
                let is_empty = returns.is_empty();
                let request = BorrowRequest {
                    part: index as u64,
                    number: 0,
                    wanted: CreditAmount::ZERO,
                    returns,
                    requested_at: TimeStamp::default(),
                };
                (!is_empty).then_some(request)
            })
            .collect()
    }
}
