//! Decision which transfers give way to one that needs memory or a connection.

use slotmap::new_key_type;

use crate::progress::ProgressRank;

/// Time without data from which a transfer may lose its place to a new connection, in
/// milliseconds.
const STALLED_MS: u64 = 1_000;

new_key_type! {
    /// Key of the body of a request in the account.
    pub struct BodyKey;
    /// Key of a response in the account.
    pub struct ResponseKey;
}

/// Key of a transfer that may give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferKey {
    /// The unfinished body of a request, which is then refused.
    Body(BodyKey),
    /// A response that waits for its client, whose connection is then closed.
    Response(ResponseKey),
}

/// A transfer that may give way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct YieldCandidate {
    pub(crate) key: TransferKey,
    pub(crate) held: usize,
    pub(crate) rank: ProgressRank,
    pub(crate) stalled_ms: u64,
}

/// Returns the transfers that give way to one of rank `own`, those with the least progress first;
/// `None` if all that have made less progress do not suffice.
///
/// `release` subtracts what a transfer holds and returns whether the rest fits; a transfer that
/// would not help is left out by `helps`.
pub(crate) fn choose_yielding(
    mut candidates: Vec<YieldCandidate>,
    own: ProgressRank,
    mut helps: impl FnMut(&YieldCandidate) -> bool,
    mut release: impl FnMut(&YieldCandidate) -> bool,
) -> Option<Vec<TransferKey>> {
    candidates.retain(|candidate| candidate.rank < own);
    candidates.sort_by_key(|candidate| candidate.rank);
    let mut chosen = Vec::new();
    for candidate in candidates {
        if !helps(&candidate) {
            continue;
        }
        chosen.push(candidate.key);
        if release(&candidate) {
            return Some(chosen);
        }
    }
    None
}

/// Returns the transfer that gives way to a new connection: the one that has been without data
/// for longest, if it is stalled.
pub(crate) fn choose_stalled(
    candidates: impl Iterator<Item = YieldCandidate>,
) -> Option<TransferKey> {
    let stalled = candidates.filter(|candidate| candidate.stalled_ms >= STALLED_MS);
    let longest = stalled.max_by_key(|candidate| candidate.stalled_ms)?;
    Some(longest.key)
}
