//! What a VM knows of a program when it takes over the role of its home.

use super::losses::{LossFacts, VmLoss, may_have_lost_pair};
use super::share::{AccountCopy, VmProcess};
use crate::decide::member_facts::VmKey;

/// What a VM knows of an account; `None` if it knows nothing.
#[derive(Clone, Debug)]
pub struct AccountReply {
    /// Process that replied.
    pub process: VmProcess,
    /// Its copy of the account.
    pub account: Option<AccountCopy>,
    /// Time since it last returned from an absence, in milliseconds; `None` if it was not absent.
    pub absence_age_ms: Option<u64>,
}

/// What a VM has learned before it takes over the role of a program's home.
#[derive(Clone, Copy)]
pub struct TakeoverInput<'a> {
    /// The process that takes over.
    pub own: VmProcess,
    /// The replies of the VMs that were asked and the copy of the VM itself.
    pub replies: &'a [AccountReply],
    /// All VMs known, those of recent losses included, the most preferred home first.
    pub ranked: &'a [VmKey],
    /// Recent losses.
    pub losses: &'a [VmLoss],
    /// Whether a VM is silent or did not reply.
    pub is_down: &'a dyn Fn(VmKey) -> bool,
    /// Whether the process of a VM has started, or returned from an absence, since a time, in
    /// milliseconds.
    pub has_joined: &'a dyn Fn(VmKey, u64) -> bool,
    /// Whether a process is known to have ended.
    pub has_ended: &'a dyn Fn(VmProcess) -> bool,
    /// Time within which losses count as one, in milliseconds.
    pub window_ms: u64,
    /// Current time, in milliseconds.
    pub now_ms: u64,
    /// Whether most VMs have lost their counts recently.
    pub has_lost_counts: bool,
    /// Whether the stored records have been read since the last loss.
    pub knows_records: bool,
}

/// What follows from it for the new home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverFinding {
    /// Tokens may have been delivered that nobody knows.
    pub may_miss_tokens: bool,
    /// Another VM may act or have acted as home and have stored a record that is not known.
    pub needs_record: bool,
}

/// Judges whether the new home knows all tokens that were granted.
#[must_use]
pub fn assess_takeover(input: &TakeoverInput<'_>) -> TakeoverFinding {
    let copies = || {
        let replies = input.replies.iter();
        replies.filter_map(|reply| Some((reply.process, reply.account.as_ref()?)))
    };
    let latest = copies()
        .filter(|(_, copy)| copy.role.is_some())
        .max_by_key(|(_, copy)| copy.role_epoch());
    let known_since_ms =
        latest.map_or(0, |(_, copy)| input.now_ms.saturating_sub(copy.role_age_ms));
    let facts = LossFacts {
        losses: input.losses,
        window_ms: input.window_ms,
        has_lost_counts: input.has_lost_counts,
    };
    let has_lost_role = latest.is_some() && facts.may_have_lost_role(input.own, known_since_ms);
    let may_miss_tokens = if let Some(role) = latest.and_then(|(_, copy)| copy.role) {
        // What others know of the account may be old.
        let has_member_replied = copies().any(|(process, _)| role.has_member(process));
        // A VM that was asked for the role has granted without a record if it knew all.
        let was_asked = copies().any(|(_, copy)| copy.epoch > role.epoch);
        !has_member_replied || (was_asked && has_lost_role)
    } else {
        input.has_lost_counts
            || may_have_lost_pair(
                input.ranked,
                input.losses,
                input.is_down,
                input.has_joined,
                input.window_ms,
            )
    };
    TakeoverFinding {
        may_miss_tokens,
        needs_record: (may_miss_tokens && !input.knows_records)
            || has_lost_role
            || latest.is_some_and(|(_, copy)| copy.needs_record)
            || may_have_other_home(input, latest.map(|(_, copy)| copy)),
    }
}

/// Returns whether a VM that did not reply may act as home, with or without a role known here.
fn may_have_other_home(input: &TakeoverInput<'_>, latest: Option<&AccountCopy>) -> bool {
    let has_replied = |vm: VmKey| input.replies.iter().any(|reply| reply.process.vm == vm);
    if let Some(role) = latest.and_then(|copy| copy.role) {
        let members = [Some(role.home), role.witness];
        let mut members = members.into_iter().flatten();
        members.any(|member| !has_replied(member.vm) && !(input.has_ended)(member))
    } else {
        let mut first = input.ranked.iter().take(2);
        first.any(|vm| (input.is_down)(*vm) && !has_replied(*vm))
    }
}
