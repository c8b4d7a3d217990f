//! Requests that wait for credit.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use async_channel::Sender;
use ibisdale_core::{RefusalCode, RequestRefusal, TimeStamp};
use ibisdale_policy::{BorrowReply, BorrowRequest, BorrowState, CreditBorrower, CreditRate};

use super::handle::RateSubject;

/// Longest time that a request waits for credit.
const WAIT_MAX: Duration = Duration::from_millis(500);
/// Time after which a subject without requests is forgotten; all its credit
/// has expired by then.
const FORGET_AFTER: Duration = Duration::from_secs(30);

type TakeReply = Sender<Result<(), RequestRefusal>>;

#[derive(Debug)]
struct WaitingTake {
    reply: TakeReply,
    until: TimeStamp,
}

#[derive(Debug)]
struct BorrowerState {
    borrower: CreditBorrower,
    rate: CreditRate,
    waiting: VecDeque<WaitingTake>,
    last_take: TimeStamp,
}

/// An order with what it is for.
#[derive(Clone, Debug)]
pub(super) struct SubjectOrder {
    pub(super) subject: RateSubject,
    pub(super) order: BorrowRequest,
}

/// Credit that this daemon holds, and the requests that wait for some.
#[derive(Debug, Default)]
pub(super) struct CreditBook {
    borrowers: HashMap<RateSubject, BorrowerState>,
}

fn rate_exceeded(retry_after: Duration) -> RequestRefusal {
    let message = "the workspace or the program is over its rate";
    RequestRefusal::new(RefusalCode::RateExceeded, message).retry_after(retry_after)
}

fn home_unreachable(retry_after: Duration) -> RequestRefusal {
    let message = "the home of the workspace's rate can't be reached";
    RequestRefusal::new(RefusalCode::OwnerUnavailable, message).retry_after(retry_after)
}

impl BorrowerState {
    /// Answers waiting requests: with credit, or for good where none will come.
    fn settle(&mut self, now: TimeStamp) {
        self.waiting.retain(|waiting| !waiting.reply.is_closed());
        while !self.waiting.is_empty() && self.borrower.try_spend_for_waiting(now) {
            if let Some(waiting) = self.waiting.pop_front() {
                let _ = waiting.reply.try_send(Ok(()));
            }
        }
        let refusal = match self.borrower.state(now) {
            BorrowState::Pending => None,
            BorrowState::Exhausted(retry_after) => Some(rate_exceeded(retry_after)),
            BorrowState::Unreachable(retry_after) => Some(home_unreachable(retry_after)),
        };
        if let Some(refusal) = refusal {
            for waiting in self.waiting.drain(..) {
                let _ = waiting.reply.try_send(Err(refusal.clone()));
            }
        }
        while self
            .waiting
            .front()
            .is_some_and(|waiting| waiting.until <= now)
        {
            if let Some(waiting) = self.waiting.pop_front() {
                let _ = waiting.reply.try_send(Err(home_unreachable(WAIT_MAX)));
            }
        }
    }

    fn orders(&mut self, now: TimeStamp) -> Vec<BorrowRequest> {
        self.borrower.next_requests(self.waiting.len() as u64, now)
    }
}

impl CreditBook {
    /// Takes credit for a request, or lets it wait; returns orders to send.
    pub(super) fn take(
        &mut self,
        subject: &RateSubject,
        rate: CreditRate,
        reply: TakeReply,
        now: TimeStamp,
    ) -> Vec<SubjectOrder> {
        let state = self
            .borrowers
            .entry(subject.clone())
            .or_insert_with(|| BorrowerState {
                borrower: CreditBorrower::new(rate, now),
                rate,
                waiting: VecDeque::new(),
                last_take: now,
            });
        if state.rate != rate {
            state.rate = rate;
            state.borrower.set_rate(rate);
        }
        state.last_take = now;
        if state.waiting.is_empty() && state.borrower.try_spend(now) {
            let _ = reply.try_send(Ok(()));
        } else {
            state.waiting.push_back(WaitingTake {
                reply,
                until: now.plus(WAIT_MAX),
            });
        }
        self.advance(subject, now)
    }

    /// Takes in a home's answer; returns further orders to send.
    pub(super) fn answer(
        &mut self,
        subject: &RateSubject,
        order: &BorrowRequest,
        answer: &BorrowReply,
        now: TimeStamp,
    ) -> Vec<SubjectOrder> {
        if let Some(state) = self.borrowers.get_mut(subject) {
            state.borrower.handle_reply(order, answer, now);
        }
        self.advance(subject, now)
    }

    /// Notes that an order had no answer; returns further orders to send.
    pub(super) fn fail(
        &mut self,
        subject: &RateSubject,
        order: &BorrowRequest,
        now: TimeStamp,
    ) -> Vec<SubjectOrder> {
        if let Some(state) = self.borrowers.get_mut(subject) {
            state.borrower.handle_failure(order, now);
        }
        self.advance(subject, now)
    }

    fn advance(&mut self, subject: &RateSubject, now: TimeStamp) -> Vec<SubjectOrder> {
        let Some(state) = self.borrowers.get_mut(subject) else {
            return Vec::new();
        };
        state.settle(now);
        let orders = state.orders(now).into_iter();
        orders
            .map(|order| SubjectOrder {
                subject: subject.clone(),
                order,
            })
            .collect()
    }

    /// Tells whether requests wait for credit.
    pub(super) fn is_waiting(&self) -> bool {
        self.borrowers
            .values()
            .any(|state| !state.waiting.is_empty())
    }

    /// Lets time pass: late waiters are refused, quiet subjects forgotten.
    pub(super) fn expire(&mut self, now: TimeStamp) -> Vec<SubjectOrder> {
        self.borrowers
            .retain(|_, state| now.since(state.last_take) < FORGET_AFTER);
        let waiting = self
            .borrowers
            .iter()
            .filter(|(_, state)| !state.waiting.is_empty());
        let subjects: Vec<RateSubject> = waiting.map(|(subject, _)| subject.clone()).collect();
        subjects
            .iter()
            .flat_map(|subject| self.advance(subject, now))
            .collect()
    }
}
