//! Decisions on recent calls to a home.

use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Time for which decisions are remembered, in milliseconds; longer than a caller repeats its
/// call.
const REMEMBERED_MS: u64 = 1_000;

/// Decisions of a home on recent calls, so that a call that is sent again, since its reply was
/// late or lost, is counted once.
#[derive(Clone, Debug)]
pub struct RecentDecisions<T> {
    /// Decision and its time, by caller and call.
    decisions: HashMap<(SocketAddrV4, u64), (T, u64)>,
}

impl<T> Default for RecentDecisions<T> {
    fn default() -> Self {
        Self {
            decisions: HashMap::new(),
        }
    }
}

impl<T: Clone> RecentDecisions<T> {
    /// Returns the decision on a call; `decide` is called only if it is new.
    pub fn decide_once(
        &mut self,
        caller: SocketAddrV4,
        call_id: u64,
        now_ms: u64,
        decide: impl FnOnce() -> T,
    ) -> T {
        let entry = self.decisions.entry((caller, call_id));
        let (decision, _) = entry.or_insert_with(|| (decide(), now_ms));
        decision.clone()
    }

    /// Removes decisions that are no longer needed.
    pub fn expire(&mut self, now_ms: u64) {
        self.decisions
            .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < REMEMBERED_MS);
    }
}
