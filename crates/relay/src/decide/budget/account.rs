//! Account of one program as known to one VM.

use std::collections::{BTreeMap, BTreeSet};

use super::ceiling::StoredCeiling;
use super::share::{AccountCopy, BudgetShare, HomeRole, ShareKey, VmProcess};

/// Shares, role and ceiling of one program.
#[derive(Clone, Debug, Default)]
pub(super) struct ProgramAccount {
    /// Shares of granted and of ended calls.
    pub(super) shares: BTreeMap<ShareKey, BudgetShare>,
    /// Number of this VM's first call that this account counts.
    pub(super) own_first: Option<u64>,
    /// Numbers of this VM's calls that have not ended.
    pub(super) open_calls: BTreeSet<u64>,
    /// Tokens that are assumed to be spent but are not part of any share.
    pub(super) assumed_spent: u64,
    /// Whether counts were lost, and with them perhaps a call beyond the stored bound.
    pub(super) may_miss_call: bool,
    pub(super) ceiling: u64,
    /// Identifier of the latest stored record known; 0 if none is known.
    pub(super) record: u64,
    /// Tokens that had been delivered when a home stored that record, or when one took over that
    /// knew of no other home.
    pub(super) recorded_tokens: u64,
    /// Identifier of the records of the home before this one, which may have stored one
    /// that is not known.
    pub(super) previous_record: u64,
    pub(super) epoch: u64,
    pub(super) role: Option<HomeRole>,
    pub(super) role_since_ms: u64,
    /// Whether the home has to store a record of its epoch before it grants a call.
    pub(super) needs_record: bool,
    /// Identifiers of this VM's latest claims.
    pub(super) claimed: Vec<u64>,
    /// Identifiers of the records that were part of replies to processes that asked for the role, with
    /// the process, which may have granted calls under them.
    pub(super) passed_on: Vec<(u64, VmProcess)>,
    pub(super) updated_ms: u64,
}

impl ProgramAccount {
    /// Returns the tokens that are spent or reserved for granted calls.
    pub(super) fn total(&self) -> u64 {
        let totals = self.shares.values().map(BudgetShare::total);
        totals.fold(self.assumed_spent, u64::saturating_add)
    }

    /// Returns the tokens that were delivered, without reservations and assumptions.
    pub(super) fn delivered(&self) -> u64 {
        let spent = self.shares.values().map(|share| share.spent);
        spent.fold(0, u64::saturating_add)
    }

    /// Stores `share`, with which those of its calls are replaced, unless it is part of a known
    /// share or older.
    pub(super) fn merge(&mut self, share: BudgetShare) {
        let process = share.process();
        let (_, before) = self
            .shares
            .range(..=share.key())
            .next_back()
            .map_or((None, None), |(key, known)| (Some(*key), Some(*known)));
        if let Some(known) = before.filter(|known| known.process() == process) {
            let is_same = (known.first, known.last) == (share.first, share.last);
            let is_part = known.last >= share.last && !is_same;
            // A call that has ended is not reserved again.
            let is_older = is_same && known.reserved == 0;
            if is_part || is_older {
                return;
            }
        }
        let last = (process, share.last.max(share.first));
        let replaced: Vec<_> = self.shares.range(share.key()..=last).collect();
        let replaced: Vec<_> = replaced.into_iter().map(|(key, _)| *key).collect();
        for key in replaced {
            self.shares.remove(&key);
        }
        self.shares.insert(share.key(), share);
    }

    /// Joins this VM's shares of ended calls before the first one that has not ended.
    ///
    /// Shares from before this account was begun again are left as they are: others may know
    /// more calls of that time.
    pub(super) fn join_ended_calls(&mut self, own: VmProcess) {
        let Some(first) = self.own_first else {
            return;
        };
        let end = self.open_calls.first().copied().unwrap_or(u64::MAX);
        let ended = self.shares.range((own, first)..(own, end));
        let ended: Vec<_> = ended
            .map(|(_, share)| *share)
            .take_while(|share| share.reserved == 0)
            .collect();
        let (Some(oldest), Some(newest)) = (ended.first(), ended.last()) else {
            return;
        };
        let spent = ended.iter().map(|share| share.spent);
        let joined = BudgetShare {
            last: newest.last,
            spent: spent.fold(0, u64::saturating_add),
            ..*oldest
        };
        for share in &ended {
            self.shares.remove(&share.key());
        }
        self.shares.insert(joined.key(), joined);
    }

    /// Merges what another VM knows.
    pub(super) fn merge_copy(&mut self, copy: &AccountCopy, now_ms: u64) {
        for share in &copy.shares {
            self.merge(*share);
        }
        self.assumed_spent = self.assumed_spent.max(copy.assumed_spent);
        self.may_miss_call |= copy.may_miss_call;
        self.epoch = self.epoch.max(copy.epoch);
        let role_epoch = self.role.map_or(0, |role| role.epoch);
        if copy.role_epoch() > role_epoch {
            self.role = copy.role;
            self.role_since_ms = now_ms.saturating_sub(copy.role_age_ms);
            self.ceiling = copy.ceiling;
            self.record = copy.record;
            self.recorded_tokens = copy.recorded_tokens;
            self.needs_record = copy.needs_record;
        } else if copy.ceiling > self.ceiling && self.has_same_home(copy) {
            self.ceiling = copy.ceiling;
            self.record = copy.record;
            self.recorded_tokens = copy.recorded_tokens;
        }
    }

    /// Returns whether a copy is of the same role, or of none either; two homes that don't hear
    /// each other may begin the same epoch, and each has records of its own.
    fn has_same_home(&self, copy: &AccountCopy) -> bool {
        let identify = |role: HomeRole| role.record();
        self.role.map(identify) == copy.role.map(identify)
    }

    /// Returns the copy that is sent to other VMs.
    pub(super) fn copy(&self, now_ms: u64) -> AccountCopy {
        AccountCopy {
            epoch: self.epoch,
            role: self.role,
            role_age_ms: now_ms.saturating_sub(self.role_since_ms),
            shares: self.shares.values().copied().collect(),
            assumed_spent: self.assumed_spent,
            may_miss_call: self.may_miss_call,
            ceiling: self.ceiling,
            record: self.record,
            recorded_tokens: self.recorded_tokens,
            needs_record: self.needs_record,
            ..AccountCopy::default()
        }
    }

    /// Returns the copy for a home that takes over, with the records that `own`, this VM, knows: those
    /// that it has claimed, and those of the latest role if it is a member.
    pub(super) fn copy_with_records(&self, own: VmProcess, now_ms: u64) -> AccountCopy {
        let role = self.role.filter(|role| role.has_member(own));
        let members = role
            .into_iter()
            .flat_map(|role| [role.record(), self.record]);
        AccountCopy {
            known_records: self.claimed.iter().copied().chain(members).collect(),
            passed_on: self.passed_on.clone(),
            ..self.copy(now_ms)
        }
    }

    /// Records that `requester` may grant calls under the present record.
    pub(super) fn pass_on(&mut self, requester: VmProcess) {
        let passed = (self.record, requester);
        if self.record != 0 && !self.passed_on.contains(&passed) {
            self.passed_on.push(passed);
        }
    }

    /// Records that all calls are known that were granted under the present record.
    pub(super) fn know_record(&mut self) {
        let record = self.record;
        self.passed_on.retain(|(passed, _)| *passed != record);
    }

    /// Returns whether `process` acts as home.
    pub(super) fn is_home(&self, process: VmProcess) -> bool {
        self.role
            .is_some_and(|role| role.home == process && role.epoch == self.epoch)
    }

    /// Returns whether the home has stored a record of its epoch.
    pub(super) fn is_recorded(&self) -> bool {
        self.role.is_some_and(|role| role.record() == self.record)
    }

    /// Begins a new epoch with `home`.
    pub(super) fn begin_epoch(&mut self, home: VmProcess, now_ms: u64) {
        if let Some(role) = self.role {
            self.previous_record = role.record();
        }
        self.epoch = self.epoch.saturating_add(1);
        self.role = Some(HomeRole {
            epoch: self.epoch,
            home,
            witness: None,
        });
        self.role_since_ms = now_ms;
    }

    /// Assumes that all tokens under a record of a home whose grants are not known were
    /// delivered, `free` tokens at least; `counted` of those that are known are part of them.
    pub(super) fn assume_spent(&mut self, stored: Option<StoredCeiling>, free: u64, counted: u64) {
        let bound = stored.map_or(free, |stored| stored.ceiling.max(free));
        let unknown = bound.saturating_sub(counted);
        self.assumed_spent = self.assumed_spent.max(unknown);
        self.may_miss_call = true;
        if let Some(stored) = stored {
            self.record = stored.owner;
        }
    }
}
