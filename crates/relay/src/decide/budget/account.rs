//! Account of one program as known to one VM.

use std::collections::HashMap;

use super::ceiling::StoredCeiling;
use super::share::{AccountCopy, BudgetShare, HomeRole, ShareKey, VmProcess};

/// Shares, role and ceiling of one program.
#[derive(Clone, Debug, Default)]
pub(super) struct ProgramAccount {
    pub(super) shares: HashMap<ShareKey, BudgetShare>,
    /// Number of this VM's current share; 0 if it has none.
    pub(super) own_series: u64,
    /// Tokens reserved in this VM's share for calls that are not granted yet.
    pub(super) pending: u64,
    /// Tokens that are assumed to be spent but are not part of any share.
    pub(super) assumed_spent: u64,
    pub(super) ceiling: u64,
    /// Identifier of the latest stored record known; 0 if none is known.
    pub(super) record: u64,
    /// Identifier of the records of the home before this one, which may have stored one
    /// that is not known.
    pub(super) previous_record: u64,
    pub(super) epoch: u64,
    pub(super) role: Option<HomeRole>,
    pub(super) role_since_ms: u64,
    /// Whether the home has to store a record of its epoch before it grants a call.
    pub(super) needs_record: bool,
    pub(super) updated_ms: u64,
}

impl ProgramAccount {
    /// Returns the tokens that are spent or reserved for granted calls.
    pub(super) fn total(&self) -> u64 {
        let totals = self.shares.values().map(BudgetShare::total);
        let total = totals.fold(self.assumed_spent, u64::saturating_add);
        total.saturating_sub(self.pending)
    }

    /// Returns the tokens that were delivered, without reservations and assumptions.
    pub(super) fn delivered(&self) -> u64 {
        let spent = self.shares.values().map(|share| share.spent);
        spent.fold(0, u64::saturating_add)
    }

    /// Stores `share` unless a newer version of it is known, or the same one with calls that
    /// have been granted since.
    pub(super) fn merge(&mut self, share: BudgetShare) {
        let known = self.shares.entry(share.key()).or_insert(share);
        if (share.sequence, share.total()) > (known.sequence, known.total()) {
            *known = share;
        }
    }

    /// Merges what another VM knows; the current share of `own` is ignored.
    pub(super) fn merge_copy(&mut self, copy: &AccountCopy, own: VmProcess, now_ms: u64) {
        for share in &copy.shares {
            if share.key() != (own, self.own_series) {
                self.merge(*share);
            }
        }
        self.assumed_spent = self.assumed_spent.max(copy.assumed_spent);
        self.epoch = self.epoch.max(copy.epoch);
        let role_epoch = self.role.map_or(0, |role| role.epoch);
        if copy.role_epoch() > role_epoch {
            self.role = copy.role;
            self.role_since_ms = now_ms.saturating_sub(copy.role_age_ms);
            self.ceiling = copy.ceiling;
            self.record = copy.record;
            self.needs_record = false;
        } else if copy.role_epoch() == role_epoch && copy.ceiling > self.ceiling {
            self.ceiling = copy.ceiling;
            self.record = copy.record;
        }
    }

    /// Returns what this VM tells others, without its calls that are not granted yet.
    pub(super) fn copy(&self, own: VmProcess, now_ms: u64) -> AccountCopy {
        let shares = self.shares.values().map(|share| {
            let mut share = *share;
            if share.key() == (own, self.own_series) {
                share.reserved = share.reserved.saturating_sub(self.pending);
            }
            share
        });
        AccountCopy {
            epoch: self.epoch,
            role: self.role,
            role_age_ms: now_ms.saturating_sub(self.role_since_ms),
            shares: shares.collect(),
            assumed_spent: self.assumed_spent,
            ceiling: self.ceiling,
            record: self.record,
        }
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
    /// delivered, `free` tokens at least.
    pub(super) fn assume_spent(&mut self, stored: Option<StoredCeiling>, free: u64) {
        let bound = stored.map_or(free, |stored| stored.ceiling.max(free));
        // All deliveries that are known were granted before the other home's counts were lost.
        let unknown = bound.saturating_sub(self.delivered());
        self.assumed_spent = self.assumed_spent.max(unknown);
        if let Some(stored) = stored {
            self.record = stored.owner;
        }
    }
}
