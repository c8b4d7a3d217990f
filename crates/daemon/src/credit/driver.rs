//! The task that owns the credit of this daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use ibisdale_core::{RefusalCode, RequestRefusal, TimeStamp};
use ibisdale_fleet::proto::{BorrowCreditReply, BorrowCreditRequest};
use ibisdale_policy::{BorrowReply, CreditRate};

use super::borrowing::{CreditBook, SubjectOrder};
use super::handle::{CreditHandle, CreditMessage, RateSubject};
use super::homes::{CreditHomes, HomeSlot, part_slot};
use super::wire::{ReceivedOrder, parse_answer, parse_order, render_answer, render_order};
use crate::context::{DaemonContext, SlotOwner};
use crate::settings_watch::is_in_doubt;
use crate::slot_watch::is_lease_held;

/// Time between two looks at who has waited too long, while requests wait.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks at what may be forgotten, while none wait.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a home must answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Channel of the credit's messages.
pub(crate) struct CreditChannel {
    handle: CreditHandle,
    receiver: Receiver<CreditMessage>,
}

impl CreditChannel {
    /// Creates the channel.
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_channel::unbounded();
        Self {
            handle: CreditHandle::new(sender),
            receiver,
        }
    }

    /// Returns the sending side.
    pub(crate) fn get_handle(&self) -> CreditHandle {
        self.handle.clone()
    }
}

/// Starts the task on the control thread.
pub(crate) fn start_credit(channel: CreditChannel, context: &Arc<DaemonContext>) {
    let driver = CreditDriver {
        context: Arc::clone(context),
        handle: channel.handle,
        book: CreditBook::default(),
        homes: CreditHomes::default(),
    };
    context.control.spawn(driver.run(channel.receiver));
}

struct CreditDriver {
    context: Arc<DaemonContext>,
    handle: CreditHandle,
    book: CreditBook,
    homes: CreditHomes,
}

impl CreditDriver {
    /// Returns the monotonic time of the process.
    fn now(&self) -> TimeStamp {
        self.context.clock.now()
    }

    async fn run(mut self, receiver: Receiver<CreditMessage>) {
        let mut last_expiry = Instant::now();
        loop {
            let interval = if self.book.is_waiting() {
                EXPIRY_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            let timer = async {
                smol::Timer::at(last_expiry + interval).await;
                None
            };
            let message = async { Some(receiver.recv().await) };
            let orders = match message.or(timer).await {
                Some(Ok(message)) => self.handle(message),
                Some(Err(_)) => return,
                None => {
                    last_expiry = Instant::now();
                    self.expire()
                }
            };
            self.place(orders);
        }
    }

    fn handle(&mut self, message: CreditMessage) -> Vec<SubjectOrder> {
        let now = self.now();
        match message {
            CreditMessage::Take(subject, reply) => self.take(&subject, reply, now),
            CreditMessage::Answered(subject, order, answer) => {
                self.book.answer(&subject, &order, &answer, now)
            }
            CreditMessage::Unanswered(subject, order) => self.book.fail(&subject, &order, now),
            CreditMessage::Borrow(request, reply) => {
                let _ = reply.try_send(self.lend(&request));
                Vec::new()
            }
        }
    }

    fn expire(&mut self) -> Vec<SubjectOrder> {
        let owners = self.context.owners.load();
        self.homes
            .retain(|slot| owners.get(slot).is_some_and(|owner| owner.is_self));
        self.book.expire(self.now())
    }

    /// Places orders: at this daemon where it is the home, over the wire
    /// otherwise. An answer from here may call for further orders.
    fn place(&mut self, orders: Vec<SubjectOrder>) {
        let mut pending = orders;
        while let Some(SubjectOrder { subject, order }) = pending.pop() {
            let owner = self
                .context
                .owners
                .load()
                .get(part_slot(&subject, order.part));
            match owner {
                Some(owner) if owner.is_self => {
                    let received = ReceivedOrder {
                        subject: subject.clone(),
                        part: order.part,
                        wanted: order.wanted,
                        returns: order.returns.clone(),
                    };
                    let answer = self.lend_order(&received, owner);
                    let now = self.now();
                    let more = match answer {
                        Some(answer) => self.book.answer(&subject, &order, &answer, now),
                        None => self.book.fail(&subject, &order, now),
                    };
                    pending.extend(more);
                }
                Some(owner) => self.send(owner.fleet_address, SubjectOrder { subject, order }),
                None => {
                    let now = self.now();
                    pending.extend(self.book.fail(&subject, &order, now));
                }
            }
        }
    }

    fn send(&self, address: SocketAddr, order: SubjectOrder) {
        let links = self.context.links.clone();
        let handle = self.handle.clone();
        let task = async move {
            let request = render_order(&order.subject, &order.order);
            let result = links.borrow_credit(address, request, ORDER_TIMEOUT).await;
            let answer = result.ok().as_ref().and_then(parse_answer);
            handle.notify(match answer {
                Some(answer) => CreditMessage::Answered(order.subject, order.order, answer),
                None => CreditMessage::Unanswered(order.subject, order.order),
            });
        };
        self.context.executor.spawn(task).detach();
    }

    fn lend(&mut self, request: &BorrowCreditRequest) -> BorrowCreditReply {
        let Some(order) = parse_order(request) else {
            return BorrowCreditReply::default();
        };
        let owner = self
            .context
            .owners
            .load()
            .get(part_slot(&order.subject, order.part));
        let owner = owner.filter(|owner| owner.is_self);
        let answer = owner.and_then(|owner| self.lend_order(&order, owner));
        answer.as_ref().map(render_answer).unwrap_or_default()
    }

    fn lend_order(&mut self, order: &ReceivedOrder, owner: SlotOwner) -> Option<BorrowReply> {
        let rate = self.rate_of(&order.subject)?;
        if order.part >= rate.parts() {
            return None;
        }
        let share = self.lent_rate(rate.part_rate())?;
        let slot = HomeSlot {
            epoch: owner.epoch,
            since: owner.since,
        };
        Some(self.homes.borrow(order, share, slot, self.now()))
    }

    fn take(
        &mut self,
        subject: &RateSubject,
        reply: Sender<Result<(), RequestRefusal>>,
        now: TimeStamp,
    ) -> Vec<SubjectOrder> {
        let Some(rate) = self.rate_of(subject) else {
            let message = "the workspace or the program is not declared any more";
            let _ = reply.try_send(Err(RequestRefusal::new(RefusalCode::NotAllowed, message)));
            return Vec::new();
        };
        self.book.take(subject, rate, reply, now)
    }

    /// Returns the part of a rate that this daemon may lend as a home.
    ///
    /// With its lease and most of the fleet in sight, that is all of it. A home
    /// that sees less than half of the fleet, or that lost its lease while the
    /// key-value service is out for all that it sees, lends the part of the
    /// fleet that it sees: two homes on both sides of a cut then lend no more
    /// than the whole. A home whose lease others may have taken over lends
    /// nothing.
    fn lent_rate(&self, rate: CreditRate) -> Option<CreditRate> {
        let members = self.context.members.snapshot();
        let is_held = is_lease_held(&self.context);
        if is_held && !members.is_cut_off() {
            return Some(rate);
        }
        let is_out_for_all = is_in_doubt(&self.context) && !members.is_cut_off();
        if is_held || is_out_for_all {
            return Some(rate.scaled(members.answering() as u64, members.known() as u64));
        }
        None
    }

    fn rate_of(&self, subject: &RateSubject) -> Option<CreditRate> {
        let settings = self.context.settings();
        let workspace = settings.workspace(&subject.workspace)?;
        let limit = match &subject.program {
            Some(program) => workspace.program(program)?.rate_limit,
            None => workspace.rate_limit,
        };
        Some(CreditRate::new(limit.rate.as_thousandths(), limit.burst))
    }
}
