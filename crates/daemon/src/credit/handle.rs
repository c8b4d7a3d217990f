//! The other parts' side of the rate limits.

use std::sync::Arc;

use async_channel::Sender;
use ibisdale_core::{ProgramName, RefusalCode, RequestRefusal, WorkspaceName};
use ibisdale_fleet::FleetHandlers;
use ibisdale_fleet::proto::{BorrowCreditReply, BorrowCreditRequest};
use ibisdale_policy::{BorrowReply, BorrowRequest};

/// What has a rate of its own: a workspace, or one of its programs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RateSubject {
    /// The workspace.
    pub(crate) workspace: WorkspaceName,
    /// The program; `None` for the workspace as a whole.
    pub(crate) program: Option<ProgramName>,
}

/// What the rate limits are told.
#[derive(Debug)]
pub(super) enum CreditMessage {
    /// A request wants to start.
    Take(RateSubject, Sender<Result<(), RequestRefusal>>),
    /// A home answered an order.
    Answered(RateSubject, BorrowRequest, BorrowReply),
    /// An order had no answer.
    Unanswered(RateSubject, BorrowRequest),
    /// Another daemon borrows.
    Borrow(BorrowCreditRequest, Sender<BorrowCreditReply>),
}

/// Talks to the rate limits; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct CreditHandle {
    sender: Sender<CreditMessage>,
}

impl CreditHandle {
    pub(super) fn new(sender: Sender<CreditMessage>) -> Self {
        Self { sender }
    }

    pub(super) fn notify(&self, message: CreditMessage) {
        // The channel is unbounded; it fails only when the daemon stops.
        let _ = self.sender.try_send(message);
    }

    /// Lets a request start, or refuses it with when to come back.
    pub(crate) async fn take(&self, subject: RateSubject) -> Result<(), RequestRefusal> {
        let (reply, answer) = async_channel::bounded(1);
        self.notify(CreditMessage::Take(subject, reply));
        answer.recv().await.unwrap_or_else(|_| {
            let message = "the daemon is stopping";
            Err(RequestRefusal::new(RefusalCode::Draining, message))
        })
    }

    /// Adds the handler of other daemons' orders.
    pub(crate) fn add_handlers(&self, handlers: FleetHandlers) -> FleetHandlers {
        let credit = Arc::new(self.clone());
        handlers.borrow_credit(move |request| {
            let credit = Arc::clone(&credit);
            async move {
                let (reply, answer) = async_channel::bounded(1);
                credit.notify(CreditMessage::Borrow(request, reply));
                Ok(answer.recv().await.unwrap_or_default())
            }
        })
    }
}
