//! Which addresses callers are told to use.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use ibisdale_core::RequestId;
use ibisdale_entry::{AddressQuery, AddressesReply, AnswerHead, json_answer};
use ibisdale_net::BoxBody;

use crate::context::DaemonContext;

/// Time for which callers keep an answer.
pub(crate) const ADDRESS_KEEP: Duration = Duration::from_secs(5);

/// Answers with the owner's address first, then this daemon's.
pub(super) fn list_addresses(
    context: &Arc<DaemonContext>,
    id: RequestId,
    query: &AddressQuery,
) -> Response<BoxBody> {
    let own = context.identity.entry_address;
    let owners = context.owners.load();
    let owner = query.program.and_then(|program| owners.get(program.slot()));
    let mut addresses = Vec::new();
    if let Some(owner) = owner {
        addresses.push(owner.entry_address.to_string());
    }
    if owner.is_none_or(|owner| owner.entry_address != own) {
        addresses.push(own.to_string());
    }
    let keep_ms = u64::try_from(ADDRESS_KEEP.as_millis()).unwrap_or(u64::MAX);
    json_answer(AnswerHead::new(id), &AddressesReply { addresses, keep_ms })
}
