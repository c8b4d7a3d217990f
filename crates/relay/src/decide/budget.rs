//! Token budgets of programs.
//!
//! The calls of a program may reach any VM. Each VM counts the tokens that it has
//! delivered and the tokens reserved for its running calls; this is its share of the
//! program's usage. The program's home VM adds up the shares and grants further calls.
//! Each reply of the home contains all shares, so that after its failure every VM that
//! has served the program still knows them. Beyond a fixed part of the budget, the home
//! stores a ceiling before it grants a call. After a failure of all VMs, the ceiling
//! bounds the tokens that may already have been delivered. The home grants one call
//! beyond the fixed part or the ceiling without a new ceiling: if counts are then lost,
//! the program may exceed its budget by this call, which is allowed.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::members::VmKey;
use ibisdale_core::rendezvous_weight;

/// Hash of a program's identifier.
pub type ProgramKey = u64;

/// Part of a budget that is granted without a stored ceiling, in percent. A program whose
/// counts may be lost is assumed to have spent it; most programs end below it.
const NO_CEILING_PERCENT: u64 = 33;
/// Part of a budget by which a new ceiling exceeds the current usage, in percent.
const CEILING_STEP_PERCENT: u64 = 33;
/// Retention time of programs with open reservations, as a multiple of the normal one.
const RESERVED_RETENTION_FACTOR: u64 = 4;

/// One VM's share of a program's usage: the tokens that it has delivered since the start
/// of its process and those that it holds reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct BudgetShare {
    /// VM that counted the tokens.
    pub vm: VmKey,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Version of the share; the highest one is valid.
    pub sequence: u64,
    /// Tokens delivered to the caller.
    pub spent: u64,
    /// Tokens reserved for running calls.
    pub reserved: u64,
}

impl BudgetShare {
    fn total(&self) -> u64 {
        self.spent + self.reserved
    }
}

/// Decision on a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum BudgetVerdict {
    /// The call may run.
    Granted {
        /// No other tokens of the program are counted.
        is_first: bool,
    },
    /// The remaining budget is too small for the call.
    Spent {
        /// Tokens spent or reserved.
        total: u64,
    },
    /// The call may run once this ceiling is stored.
    NeedsCeiling {
        /// Tokens that may be delivered under the ceiling.
        ceiling: u64,
    },
}

/// Request of a program's home VM to store a ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CeilingClaim {
    /// Hash of the program's identifier.
    pub program: ProgramKey,
    /// Tokens that may be delivered.
    pub ceiling: u64,
    /// Hash of the home VM and its incarnation.
    pub owner: u64,
    /// Highest stored ceiling of another owner that may be replaced.
    pub replaces: u64,
}

/// A stored ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredCeiling {
    /// Tokens that may be delivered.
    pub ceiling: u64,
    /// Hash of the VM that stored it and of its incarnation.
    pub owner: u64,
}

/// State of a claim compared with the stored ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The ceiling or a higher one is stored.
    Stored,
    /// The ceiling is not stored yet.
    Missing,
    /// Another home VM may be granting tokens under the stored ceiling.
    Conflict,
}

impl CeilingClaim {
    /// Compares the claim with the stored ceiling.
    #[must_use]
    pub fn compare(&self, stored: Option<StoredCeiling>) -> ClaimStatus {
        let Some(stored) = stored else {
            return ClaimStatus::Missing;
        };
        if stored.owner != self.owner && stored.ceiling > self.replaces {
            ClaimStatus::Conflict
        } else if stored.ceiling >= self.ceiling {
            ClaimStatus::Stored
        } else {
            ClaimStatus::Missing
        }
    }
}

/// Shares and ceiling of one program.
#[derive(Clone, Debug, Default)]
struct ProgramAccount {
    shares: HashMap<(VmKey, u64), BudgetShare>,
    /// Tokens that are assumed to be spent but are not part of any share.
    assumed_spent: u64,
    ceiling: u64,
    is_home: bool,
    /// Shares of other VMs may have been missing at the takeover; another VM may act as
    /// home at the same time.
    may_miss_shares: bool,
    updated_ms: u64,
}

impl ProgramAccount {
    fn total(&self) -> u64 {
        let known: u64 = self.shares.values().map(BudgetShare::total).sum();
        known + self.assumed_spent
    }

    /// Stores `share` unless a newer version of it is known.
    fn merge(&mut self, share: BudgetShare) {
        let known = self.shares.entry((share.vm, share.incarnation));
        let known = known.or_insert(share);
        if share.sequence > known.sequence {
            *known = share;
        }
    }
}

/// Token usage and ceilings of the programs known to this VM.
#[derive(Clone, Debug)]
pub struct BudgetLedger {
    vm: VmKey,
    incarnation: u64,
    programs: HashMap<ProgramKey, ProgramAccount>,
    ceilings: HashMap<ProgramKey, u64>,
}

impl BudgetLedger {
    /// Creates an empty ledger for one incarnation of a VM.
    #[must_use]
    pub fn new(vm: VmKey, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            programs: HashMap::new(),
            ceilings: HashMap::new(),
        }
    }

    /// Reserves `tokens` in this VM's share and returns the share.
    pub fn reserve(&mut self, program: ProgramKey, tokens: u64, now_ms: u64) -> BudgetShare {
        self.update_own_share(program, now_ms, |share| share.reserved += tokens)
    }

    /// Ends a reservation of `reserved` tokens, `spent` of which were delivered.
    pub fn settle(
        &mut self,
        program: ProgramKey,
        reserved: u64,
        spent: u64,
        now_ms: u64,
    ) -> BudgetShare {
        self.update_own_share(program, now_ms, |share| {
            share.reserved = share.reserved.saturating_sub(reserved);
            share.spent += spent;
        })
    }

    /// Changes this VM's share and increments its version.
    fn update_own_share(
        &mut self,
        program: ProgramKey,
        now_ms: u64,
        change: impl FnOnce(&mut BudgetShare),
    ) -> BudgetShare {
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        let own = (self.vm, self.incarnation);
        let share = account.shares.entry(own).or_insert(BudgetShare {
            vm: own.0,
            incarnation: own.1,
            sequence: 0,
            spent: 0,
            reserved: 0,
        });
        share.sequence += 1;
        change(share);
        *share
    }

    /// Merges shares that another VM reported; this VM's own share is ignored.
    pub fn merge(&mut self, program: ProgramKey, shares: &[BudgetShare], now_ms: u64) {
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        for share in shares {
            let is_own = (share.vm, share.incarnation) == (self.vm, self.incarnation);
            if !is_own {
                account.merge(*share);
            }
        }
    }

    /// Returns the tokens that are spent or reserved, as known to this VM.
    #[must_use]
    pub fn total(&self, program: ProgramKey) -> u64 {
        self.programs.get(&program).map_or(0, ProgramAccount::total)
    }

    /// Returns all known shares of a program.
    #[must_use]
    pub fn shares(&self, program: ProgramKey) -> Vec<BudgetShare> {
        let account = self.programs.get(&program);
        account.map_or_else(Vec::new, |account| {
            account.shares.values().copied().collect()
        })
    }

    /// Returns all known programs with their shares.
    pub fn programs(&self) -> impl Iterator<Item = (ProgramKey, Vec<BudgetShare>)> {
        self.programs
            .iter()
            .map(|(program, account)| (*program, account.shares.values().copied().collect()))
    }

    /// Records a stored ceiling.
    pub fn record_ceiling(&mut self, program: ProgramKey, ceiling: u64) {
        self.ceilings.insert(program, ceiling);
        if let Some(account) = self.programs.get_mut(&program) {
            account.ceiling = account.ceiling.max(ceiling);
        }
    }

    /// Returns this VM's claim of a ceiling as the program's home.
    #[must_use]
    pub fn claim(&self, program: ProgramKey, ceiling: u64) -> CeilingClaim {
        let account = self.programs.get(&program);
        let incomplete = account.filter(|account| account.may_miss_shares);
        CeilingClaim {
            program,
            ceiling,
            // Used as a plain hash of both values.
            owner: rendezvous_weight(self.incarnation, self.vm),
            // Highest ceiling known to this VM; the one known at the takeover already
            // counts as spent.
            replaces: incomplete.map_or(u64::MAX, |account| account.ceiling),
        }
    }

    /// Returns whether this VM already acts as the program's home.
    #[must_use]
    pub fn is_home(&self, program: ProgramKey) -> bool {
        self.programs
            .get(&program)
            .is_some_and(|account| account.is_home)
    }

    /// Makes this VM the program's home; the shares of its peers must be merged before.
    ///
    /// `may_miss_shares` is true if counts were lost or a VM did not report its shares.
    pub fn take_over(
        &mut self,
        program: ProgramKey,
        budget: u64,
        may_miss_shares: bool,
        now_ms: u64,
    ) {
        let stored = self.ceilings.get(&program).copied();
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        if account.is_home {
            return;
        }
        account.is_home = true;
        account.may_miss_shares = may_miss_shares;
        account.ceiling = stored.unwrap_or(0);
        // The assumed tokens were spent before the counts were lost. Shares of processes
        // that started later are not part of them, so none is subtracted.
        account.assumed_spent = match stored {
            _ if !may_miss_shares => 0,
            Some(ceiling) => ceiling,
            None => budget * NO_CEILING_PERCENT / 100,
        };
    }

    /// Stops acting as home of the programs that have another home now, so that a later
    /// takeover asks the peers again.
    pub fn retain_homes(&mut self, is_home_now: impl Fn(ProgramKey) -> bool) {
        for (program, account) in &mut self.programs {
            if account.is_home && !is_home_now(*program) {
                account.is_home = false;
            }
        }
    }

    /// Decides as home whether a call may run whose reservation of `tokens` is already
    /// included in `share`.
    ///
    /// The share is kept only if the call is granted.
    pub fn decide(
        &mut self,
        program: ProgramKey,
        budget: u64,
        tokens: u64,
        share: BudgetShare,
        now_ms: u64,
    ) -> BudgetVerdict {
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        let key = (share.vm, share.incarnation);
        let previous = account.shares.get(&key).copied();
        account.merge(share);
        let total = account.total();
        let no_ceiling_tokens = budget * NO_CEILING_PERCENT / 100;
        if total > budget {
            restore_share(account, key, previous);
            return BudgetVerdict::Spent {
                total: total.saturating_sub(tokens),
            };
        }
        if total <= no_ceiling_tokens.max(account.ceiling) + tokens {
            return BudgetVerdict::Granted {
                is_first: total <= tokens,
            };
        }
        restore_share(account, key, previous);
        let step = budget * CEILING_STEP_PERCENT / 100;
        BudgetVerdict::NeedsCeiling {
            ceiling: (total + step).min(budget),
        }
    }

    /// Removes programs that have not been updated for `retention_ms`; those with open
    /// reservations are kept longer.
    pub fn expire(&mut self, retention_ms: u64, now_ms: u64) {
        self.programs.retain(|_, account| {
            let reserved: u64 = account.shares.values().map(|share| share.reserved).sum();
            let age_ms = now_ms.saturating_sub(account.updated_ms);
            age_ms < retention_ms
                || (reserved > 0 && age_ms < RESERVED_RETENTION_FACTOR * retention_ms)
        });
    }
}

/// Restores the previous version of a share whose call was not granted.
fn restore_share(account: &mut ProgramAccount, key: (VmKey, u64), previous: Option<BudgetShare>) {
    match previous {
        Some(previous) => account.shares.insert(key, previous),
        None => account.shares.remove(&key),
    };
}
