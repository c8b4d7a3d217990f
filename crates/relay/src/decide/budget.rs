//! Token budgets of programs.
//!
//! A program's calls reach any VM. Each VM counts what it has handed out and
//! what its running calls may still hand out, as its share; the program's home
//! adds the shares up and grants further calls. Every reply of the home carries
//! all shares, so that what a dead home knew is known wherever the program has
//! been. Beyond a free part of the budget the home stores a ceiling before it
//! grants, which bounds what may be handed out after all VMs have died. One call
//! beyond the free part or the ceiling needs none: a program may exceed its budget
//! by one call at most.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::hash::rendezvous_rank;
use super::members::VmKey;

/// Hash of a program's identifier.
pub type ProgramKey = u64;

/// Part of a budget that is granted without a stored ceiling, in percent; a
/// program whose count may be lost is taken to have spent it. Most programs end
/// below it.
const FREE_PERCENT: u64 = 33;
/// Part of a budget by which a stored ceiling exceeds the present use, in percent.
const CEILING_STEP_PERCENT: u64 = 33;
/// Factor by which a program with open reservations is remembered longer.
const OPEN_FACTOR: u64 = 4;

/// What one start of a VM has handed out for a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct BudgetShare {
    /// VM.
    pub vm: VmKey,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the change; the greatest holds.
    pub sequence: u64,
    /// Tokens handed to the caller.
    pub spent: u64,
    /// Tokens that running calls may still hand out.
    pub reserved: u64,
}

impl BudgetShare {
    fn total(&self) -> u64 {
        self.spent + self.reserved
    }
}

/// Answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum BudgetVerdict {
    /// The call may run.
    Granted {
        /// No call of the program is known before.
        is_first: bool,
    },
    /// The budget does not hold the call.
    Spent {
        /// Tokens spent or reserved.
        total: u64,
    },
    /// The call may run once this ceiling is stored.
    NeedsCeiling {
        /// Tokens that may be handed out under the ceiling.
        ceiling: u64,
    },
}

/// A ceiling that a program's home wants to have stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CeilingClaim {
    /// Program.
    pub program: ProgramKey,
    /// Tokens that may be handed out.
    pub ceiling: u64,
    /// Start of the VM that acts as home.
    pub owner: u64,
    /// Highest ceiling of another owner that may be replaced.
    pub replaces: u64,
}

/// A ceiling that is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredCeiling {
    /// Tokens that may be handed out.
    pub ceiling: u64,
    /// Start of the VM that stored it.
    pub owner: u64,
}

/// What becomes of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// The ceiling holds.
    Done,
    /// It is to be written.
    Write,
    /// Another home may be handing out tokens under the stored ceiling.
    Taken,
}

impl CeilingClaim {
    /// Compares the claim with what is stored.
    #[must_use]
    pub fn compare(&self, stored: Option<StoredCeiling>) -> ClaimStep {
        let Some(stored) = stored else {
            return ClaimStep::Write;
        };
        if stored.owner != self.owner && stored.ceiling > self.replaces {
            ClaimStep::Taken
        } else if stored.ceiling >= self.ceiling {
            ClaimStep::Done
        } else {
            ClaimStep::Write
        }
    }
}

#[derive(Clone, Debug, Default)]
struct ProgramAccount {
    shares: HashMap<(VmKey, u64), BudgetShare>,
    /// Tokens taken to be spent that no share accounts for.
    lost: u64,
    ceiling: u64,
    is_home: bool,
    /// Another VM may act as home as well.
    is_uncertain: bool,
    touched_ms: u64,
}

impl ProgramAccount {
    fn total(&self) -> u64 {
        let known: u64 = self.shares.values().map(BudgetShare::total).sum();
        known + self.lost
    }

    fn merge(&mut self, share: BudgetShare) {
        let known = self.shares.entry((share.vm, share.incarnation));
        let known = known.or_insert(share);
        if share.sequence > known.sequence {
            *known = share;
        }
    }
}

/// The budgets of the programs that have come to this VM.
#[derive(Clone, Debug)]
pub struct BudgetBook {
    vm: VmKey,
    incarnation: u64,
    programs: HashMap<ProgramKey, ProgramAccount>,
    ceilings: HashMap<ProgramKey, u64>,
}

impl BudgetBook {
    /// Creates the book of one start of a VM.
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
        self.change_own(program, now_ms, |share| share.reserved += tokens)
    }

    /// Ends a reservation of `reserved` tokens, `spent` of which were handed out.
    pub fn settle(
        &mut self,
        program: ProgramKey,
        reserved: u64,
        spent: u64,
        now_ms: u64,
    ) -> BudgetShare {
        self.change_own(program, now_ms, |share| {
            share.reserved = share.reserved.saturating_sub(reserved);
            share.spent += spent;
        })
    }

    fn change_own(
        &mut self,
        program: ProgramKey,
        now_ms: u64,
        change: impl FnOnce(&mut BudgetShare),
    ) -> BudgetShare {
        let account = self.programs.entry(program).or_default();
        account.touched_ms = now_ms;
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

    /// Takes shares that another VM knows.
    pub fn merge(&mut self, program: ProgramKey, shares: &[BudgetShare], now_ms: u64) {
        let account = self.programs.entry(program).or_default();
        account.touched_ms = now_ms;
        for share in shares {
            let is_own = (share.vm, share.incarnation) == (self.vm, self.incarnation);
            if !is_own {
                account.merge(*share);
            }
        }
    }

    /// Returns the tokens spent and reserved, as far as this VM knows.
    #[must_use]
    pub fn total(&self, program: ProgramKey) -> u64 {
        self.programs.get(&program).map_or(0, ProgramAccount::total)
    }

    /// Returns all shares known of a program.
    #[must_use]
    pub fn shares(&self, program: ProgramKey) -> Vec<BudgetShare> {
        let account = self.programs.get(&program);
        account.map_or_else(Vec::new, |account| {
            account.shares.values().copied().collect()
        })
    }

    /// Returns all accounts with what is known of them.
    pub fn accounts(&self) -> impl Iterator<Item = (ProgramKey, Vec<BudgetShare>)> {
        self.programs
            .iter()
            .map(|(program, account)| (*program, account.shares.values().copied().collect()))
    }

    /// Takes a ceiling that is stored.
    pub fn record_ceiling(&mut self, program: ProgramKey, ceiling: u64) {
        self.ceilings.insert(program, ceiling);
        if let Some(account) = self.programs.get_mut(&program) {
            account.ceiling = account.ceiling.max(ceiling);
        }
    }

    /// Returns the claim of a ceiling by this VM as the program's home.
    #[must_use]
    pub fn claim(&self, program: ProgramKey, ceiling: u64) -> CeilingClaim {
        let account = self.programs.get(&program);
        let uncertain = account.filter(|account| account.is_uncertain);
        CeilingClaim {
            program,
            ceiling,
            owner: rendezvous_rank(self.incarnation, self.vm),
            // What was stored before the takeover counts as spent.
            replaces: uncertain.map_or(u64::MAX, |account| account.ceiling),
        }
    }

    /// Tells whether this VM acts as the program's home already.
    #[must_use]
    pub fn is_home(&self, program: ProgramKey) -> bool {
        self.programs
            .get(&program)
            .is_some_and(|account| account.is_home)
    }

    /// Makes this VM the program's home, after its peers' shares were merged.
    ///
    /// `is_uncertain` tells whether what the VMs had counted may be lost.
    pub fn take_over(&mut self, program: ProgramKey, budget: u64, is_uncertain: bool, now_ms: u64) {
        let stored = self.ceilings.get(&program).copied();
        let account = self.programs.entry(program).or_default();
        account.touched_ms = now_ms;
        if account.is_home {
            return;
        }
        account.is_home = true;
        account.is_uncertain = is_uncertain;
        account.ceiling = stored.unwrap_or(0);
        // Shares of processes that started after a loss are no part of it, so none
        // is taken off.
        account.lost = match stored {
            _ if !is_uncertain => 0,
            Some(ceiling) => ceiling,
            None => budget * FREE_PERCENT / 100,
        };
    }

    /// Gives up being the home, so that a later return asks the peers again.
    pub fn resign(&mut self, is_home_now: impl Fn(ProgramKey) -> bool) {
        for (program, account) in &mut self.programs {
            if account.is_home && !is_home_now(*program) {
                account.is_home = false;
            }
        }
    }

    /// Decides as home on a share that already holds a reservation of `tokens`.
    ///
    /// The share counts from the grant on; a refused one is not kept.
    pub fn decide(
        &mut self,
        program: ProgramKey,
        budget: u64,
        tokens: u64,
        share: BudgetShare,
        now_ms: u64,
    ) -> BudgetVerdict {
        let account = self.programs.entry(program).or_default();
        account.touched_ms = now_ms;
        let key = (share.vm, share.incarnation);
        let previous = account.shares.get(&key).copied();
        account.merge(share);
        let total = account.total();
        let free = budget * FREE_PERCENT / 100;
        if total > budget {
            restore(account, key, previous);
            return BudgetVerdict::Spent {
                total: total.saturating_sub(tokens),
            };
        }
        if total <= free.max(account.ceiling) + tokens {
            return BudgetVerdict::Granted {
                is_first: total <= tokens,
            };
        }
        restore(account, key, previous);
        let step = budget * CEILING_STEP_PERCENT / 100;
        BudgetVerdict::NeedsCeiling {
            ceiling: (total + step).min(budget),
        }
    }

    /// Forgets programs that have not been heard of for `remember_ms`.
    pub fn forget(&mut self, remember_ms: u64, now_ms: u64) {
        self.programs.retain(|_, account| {
            let reserved: u64 = account.shares.values().map(|share| share.reserved).sum();
            let age_ms = now_ms.saturating_sub(account.touched_ms);
            age_ms < remember_ms || (reserved > 0 && age_ms < OPEN_FACTOR * remember_ms)
        });
    }
}

fn restore(account: &mut ProgramAccount, key: (VmKey, u64), previous: Option<BudgetShare>) {
    match previous {
        Some(previous) => account.shares.insert(key, previous),
        None => account.shares.remove(&key),
    };
}
