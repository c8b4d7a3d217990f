//! Which addresses callers are told to use.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Response;
use ibisdale_core::RequestId;
use ibisdale_entry::{AddressQuery, AddressesReply, AnswerHead, json_answer};
use ibisdale_net::BoxBody;
use ibisdale_policy::{MemberFacts, MemberUpdate};

use crate::context::DaemonContext;
use crate::members::MemberSnapshot;

/// Addresses in one answer at most.
const ADDRESSES_MAX: usize = 4;

/// Answers with the owner's address first, then this daemon's, then those of
/// other members: the same failure domain first, the less loaded before others.
///
/// Members that are suspected, dead or leaving are left out.
pub(super) fn list_addresses(
    context: &Arc<DaemonContext>,
    id: RequestId,
    query: &AddressQuery,
) -> Response<BoxBody> {
    let members = context.members.snapshot();
    let mut addresses = Vec::new();
    if let Some(owner) = find_owner(context, &members, query) {
        addresses.push(owner);
    }
    if !context.drain.is_started() {
        addresses.push(context.identity.entry_address);
    }
    addresses.extend(other_addresses(&members));
    let keep_ms = u64::try_from(context.address_keep.as_millis()).unwrap_or(u64::MAX);
    let addresses = distinct(addresses)
        .iter()
        .map(SocketAddr::to_string)
        .collect();
    json_answer(AnswerHead::new(id), &AddressesReply { addresses, keep_ms })
}

/// Returns the address of the program's owner, unless it is known to be away.
fn find_owner(
    context: &DaemonContext,
    members: &MemberSnapshot,
    query: &AddressQuery,
) -> Option<SocketAddr> {
    let owner = context.owners.load().get(query.program?.slot())?;
    let is_live = |update: &MemberUpdate| update.facts.entry_address == owner.entry_address;
    (owner.is_self || members.live().any(is_live)).then_some(owner.entry_address)
}

fn other_addresses(members: &MemberSnapshot) -> Vec<SocketAddr> {
    let own_domain = members.own.as_ref().map(|own| &own.facts.failure_domain);
    let mut others: Vec<&MemberFacts> = members.live().map(|update| &update.facts).collect();
    others.sort_by_key(|facts| {
        let is_far = Some(&facts.failure_domain) != own_domain;
        (is_far, facts.load_permille, facts.entry_address)
    });
    others.iter().map(|facts| facts.entry_address).collect()
}

fn distinct(addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let mut kept: Vec<SocketAddr> = Vec::with_capacity(ADDRESSES_MAX);
    for address in addresses {
        if kept.len() < ADDRESSES_MAX && !kept.contains(&address) {
            kept.push(address);
        }
    }
    kept
}
