//! Credit orders and answers as messages between daemons.

use std::time::Duration;

use ibisdale_core::{ProgramName, WorkspaceName};
use ibisdale_fleet::proto::{BorrowCreditReply, BorrowCreditRequest, CreditDemand, CreditGrant};
use ibisdale_policy::{BorrowReply, BorrowRequest, CreditAmount, CreditReturn, GrantId};

use super::handle::RateSubject;

/// Renders an order: one entry for what is wanted, one for each return.
pub(super) fn render_order(subject: &RateSubject, order: &BorrowRequest) -> BorrowCreditRequest {
    let program = subject
        .program
        .as_ref()
        .map(ToString::to_string)
        .unwrap_or_default();
    let wanted = CreditDemand {
        workspace: subject.workspace.to_string(),
        program: program.clone(),
        part: order.part,
        wanted_micro: order.wanted.as_micro_requests(),
        ..CreditDemand::default()
    };
    let returns = order.returns.iter().map(|returned| CreditDemand {
        workspace: subject.workspace.to_string(),
        program: program.clone(),
        part: order.part,
        wanted_micro: 0,
        returned_epoch: returned.grant.epoch,
        returned_grant: returned.grant.number,
        returned_micro: returned.unspent.as_micro_requests(),
    });
    let demands = std::iter::once(wanted).chain(returns).collect();
    BorrowCreditRequest { demands }
}

/// An order as its home reads it.
#[derive(Clone, Debug)]
pub(super) struct ReceivedOrder {
    pub(super) subject: RateSubject,
    pub(super) part: u64,
    pub(super) wanted: CreditAmount,
    pub(super) returns: Vec<CreditReturn>,
}

/// Reads an order; `None` when it is malformed.
pub(super) fn parse_order(request: &BorrowCreditRequest) -> Option<ReceivedOrder> {
    let (wanted, returns) = request.demands.split_first()?;
    let subject = parse_subject(wanted)?;
    let returns = returns.iter().map(|demand| CreditReturn {
        grant: GrantId {
            epoch: demand.returned_epoch,
            number: demand.returned_grant,
        },
        unspent: CreditAmount::from_micro_requests(demand.returned_micro),
    });
    Some(ReceivedOrder {
        subject,
        part: wanted.part,
        wanted: CreditAmount::from_micro_requests(wanted.wanted_micro),
        returns: returns.collect(),
    })
}

fn parse_subject(demand: &CreditDemand) -> Option<RateSubject> {
    let workspace = WorkspaceName::new(demand.workspace.clone().into_bytes()).ok()?;
    if demand.program.is_empty() {
        return Some(RateSubject {
            workspace,
            program: None,
        });
    }
    let program = ProgramName::new(demand.program.clone().into_bytes()).ok()?;
    Some(RateSubject {
        workspace,
        program: Some(program),
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Renders a home's answer.
pub(super) fn render_answer(answer: &BorrowReply) -> BorrowCreditReply {
    let grant = CreditGrant {
        epoch: answer.grant.epoch,
        grant: answer.grant.number,
        amount_micro: answer.amount.as_micro_requests(),
        valid_ms: millis(answer.valid),
        retry_after_ms: millis(answer.retry_after),
    };
    BorrowCreditReply {
        is_home: true,
        grant: Some(grant),
    }
}

/// Reads a home's answer; `None` when the daemon is not the home.
pub(super) fn parse_answer(reply: &BorrowCreditReply) -> Option<BorrowReply> {
    let grant = reply.grant.as_ref().filter(|_| reply.is_home)?;
    Some(BorrowReply {
        grant: GrantId {
            epoch: grant.epoch,
            number: grant.grant,
        },
        amount: CreditAmount::from_micro_requests(grant.amount_micro),
        valid: Duration::from_millis(grant.valid_ms),
        retry_after: Duration::from_millis(grant.retry_after_ms),
    })
}
