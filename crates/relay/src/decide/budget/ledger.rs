//! Token usage of all programs that a VM knows, and the decisions of their homes.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::account::ProgramAccount;
use super::ceiling::{CeilingClaim, StoredCeiling};
use super::losses::LossFacts;
use super::share::{AccountCopy, BudgetShare, ProgramKey, VmProcess};
use super::takeover::TakeoverFinding;
use crate::decide::member_facts::VmKey;
use ibisdale_core::rendezvous_weight;

/// Part of a budget that is granted without a stored ceiling, in percent. A program whose
/// counts may be lost is assumed to have spent it; most programs end below it.
const NO_CEILING_PERCENT: u64 = 33;
/// Part of a budget by which a new ceiling exceeds the current usage, in percent.
const CEILING_STEP_PERCENT: u64 = 33;
/// Number of a program's claims that a VM remembers.
const CLAIMS_KEPT: usize = 8;
/// Retention time of programs with open reservations, as a multiple of the normal one.
const RESERVED_RETENTION_FACTOR: u64 = 4;

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

/// Token usage and ceilings of the programs known to this VM.
#[derive(Clone, Debug)]
pub struct BudgetLedger {
    own: VmProcess,
    programs: HashMap<ProgramKey, ProgramAccount>,
    ceilings: HashMap<ProgramKey, StoredCeiling>,
    /// Number of the last call of any program.
    last_call: u64,
}

impl BudgetLedger {
    /// Creates an empty ledger for one incarnation of a VM.
    #[must_use]
    pub fn new(vm: VmKey, incarnation: u64) -> Self {
        Self {
            own: VmProcess { vm, incarnation },
            programs: HashMap::new(),
            ceilings: HashMap::new(),
            last_call: 0,
        }
    }

    /// Returns the process whose ledger this is.
    #[must_use]
    pub fn process(&self) -> VmProcess {
        self.own
    }

    /// Begins a call of this VM and returns its share, which counts once it is granted.
    pub fn reserve(&mut self, program: ProgramKey, tokens: u64, now_ms: u64) -> BudgetShare {
        self.last_call += 1;
        let number = self.last_call;
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        account.own_first.get_or_insert(number);
        account.open_calls.insert(number);
        BudgetShare {
            vm: self.own.vm,
            incarnation: self.own.incarnation,
            first: number,
            last: number,
            spent: 0,
            reserved: tokens,
        }
    }

    /// Ends a call of this VM, whether it was granted or not, for which `spent` tokens were
    /// delivered; returns its share.
    pub fn settle(
        &mut self,
        program: ProgramKey,
        call: BudgetShare,
        spent: u64,
        now_ms: u64,
    ) -> BudgetShare {
        let ended = BudgetShare {
            spent,
            reserved: 0,
            ..call
        };
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        account.open_calls.remove(&call.first);
        account.merge(ended);
        account.join_ended_calls(self.own);
        ended
    }

    /// Merges a share that another VM reported.
    pub fn merge_share(&mut self, program: ProgramKey, share: BudgetShare, now_ms: u64) {
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        account.merge(share);
    }

    /// Merges what another VM knows of an account; returns whether it knows the latest epoch.
    pub fn merge_copy(&mut self, program: ProgramKey, copy: &AccountCopy, now_ms: u64) -> bool {
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        let is_latest = copy.epoch >= account.epoch;
        account.merge_copy(copy, now_ms);
        is_latest
    }

    /// Accepts the copy of a home as its witness; returns `false` if this VM knows a later
    /// epoch or a preferred home of the same epoch, or if the witness is another process.
    ///
    /// The shares are merged in both cases.
    pub fn accept(&mut self, program: ProgramKey, copy: &AccountCopy, now_ms: u64) -> bool {
        let account = self.programs.entry(program).or_default();
        let rival = account.role.filter(|role| role.epoch == account.epoch);
        let is_witness = copy.role.is_some_and(|role| role.witness == Some(self.own));
        let is_accepted = is_witness
            && match (copy.role, rival) {
                (Some(role), Some(rival)) if copy.epoch == account.epoch => {
                    let weight = |vm| rendezvous_weight(program, vm);
                    role.home == rival.home || weight(role.home.vm) > weight(rival.home.vm)
                }
                (Some(_), _) => copy.epoch > account.epoch,
                (None, _) => false,
            };
        if is_accepted {
            // Yields to the preferred home of the same epoch.
            account.role = None;
        }
        account.updated_ms = now_ms;
        if is_accepted {
            account.merge_copy(copy, now_ms);
            account.know_record();
        } else {
            for share in &copy.shares {
                account.merge(*share);
            }
        }
        is_accepted
    }

    /// Ends the epoch of a program for `requester`, which takes over the role of its home, and
    /// returns what this VM knew; `None` if it knows nothing.
    pub fn yield_role(
        &mut self,
        program: ProgramKey,
        requester: VmProcess,
        now_ms: u64,
    ) -> Option<AccountCopy> {
        let account = self.programs.get_mut(&program)?;
        let copy = account.copy_with_records(self.own, now_ms);
        account.epoch = account.epoch.saturating_add(1);
        account.pass_on(requester);
        Some(copy)
    }

    /// Returns what this VM knows of a program that it takes over.
    pub(super) fn copy_with_records(
        &self,
        program: ProgramKey,
        now_ms: u64,
    ) -> Option<AccountCopy> {
        let account = self.programs.get(&program)?;
        Some(account.copy_with_records(self.own, now_ms))
    }

    pub(super) fn account(&self, program: ProgramKey) -> Option<&ProgramAccount> {
        self.programs.get(&program)
    }

    /// Returns the tokens that are spent or reserved, as known to this VM.
    #[must_use]
    pub fn total(&self, program: ProgramKey) -> u64 {
        self.programs.get(&program).map_or(0, ProgramAccount::total)
    }

    /// Returns what this VM knows of a program; `None` if it knows nothing.
    #[must_use]
    pub fn copy(&self, program: ProgramKey, now_ms: u64) -> Option<AccountCopy> {
        let account = self.programs.get(&program)?;
        Some(account.copy(now_ms))
    }

    /// Returns all known shares of a program.
    #[must_use]
    pub fn shares(&self, program: ProgramKey) -> Vec<BudgetShare> {
        let account = self.programs.get(&program);
        account.map_or_else(Vec::new, |account| {
            account.shares.values().copied().collect()
        })
    }

    /// Returns all known programs.
    pub fn programs(&self) -> impl Iterator<Item = ProgramKey> {
        self.programs.keys().copied()
    }

    /// Returns the programs of whose latest role this VM is a member.
    pub fn member_programs(&self) -> impl Iterator<Item = ProgramKey> {
        let own = self.own;
        let programs = self.programs.iter();
        programs
            .filter(move |(_, account)| account.role.is_some_and(|role| role.has_member(own)))
            .map(|(program, _)| *program)
    }

    /// Records a ceiling that was read from the store.
    pub fn record_ceiling(&mut self, program: ProgramKey, stored: StoredCeiling) {
        self.ceilings.insert(program, stored);
    }

    /// Records that this VM has stored a claim as the program's home.
    pub fn record_claim(&mut self, claim: CeilingClaim) {
        let Some(account) = self.programs.get_mut(&claim.program) else {
            return;
        };
        let is_current = account
            .role
            .is_some_and(|role| role.home == self.own && role.record() == claim.owner);
        if is_current {
            account.ceiling = account.ceiling.max(claim.ceiling);
            account.record = claim.owner;
            account.recorded_tokens = account.delivered();
            account.needs_record = false;
        }
    }

    /// Returns this VM's claim of a ceiling as the program's home.
    pub fn claim(&mut self, program: ProgramKey, ceiling: u64) -> CeilingClaim {
        let account = self.programs.entry(program).or_default();
        let owner = account.role.map_or(0, |role| role.record());
        if !account.claimed.contains(&owner) {
            account.claimed.push(owner);
            let surplus = account.claimed.len().saturating_sub(CLAIMS_KEPT);
            account.claimed.drain(..surplus);
        }
        CeilingClaim {
            program,
            ceiling,
            owner,
            replaces: [account.record, account.previous_record],
        }
    }

    /// Records that all that was granted under a stored record is known, so that it may be replaced.
    pub fn record_known(&mut self, program: ProgramKey, stored: StoredCeiling) {
        if let Some(account) = self.programs.get_mut(&program) {
            account.record = stored.owner;
        }
    }

    /// Counts a record that another home has stored and whose grants are not known here as
    /// spent.
    pub fn adopt_record(&mut self, program: ProgramKey, budget: u64, stored: StoredCeiling) {
        if let Some(account) = self.programs.get_mut(&program) {
            // The other home has not counted what was granted here meanwhile.
            let counted = account.recorded_tokens.min(account.delivered());
            account.assume_spent(Some(stored), free_tokens(budget), counted);
        }
    }

    /// Returns whether this VM acts as the program's home.
    #[must_use]
    pub fn is_home(&self, program: ProgramKey) -> bool {
        let account = self.programs.get(&program);
        account.is_some_and(|account| account.is_home(self.own))
    }

    /// Returns whether the home has stored a record of its epoch.
    #[must_use]
    pub fn is_recorded(&self, program: ProgramKey) -> bool {
        let account = self.programs.get(&program);
        account.is_some_and(ProgramAccount::is_recorded)
    }

    /// Makes this VM the program's home; the copies of its peers must be merged before.
    pub fn take_over(
        &mut self,
        program: ProgramKey,
        budget: u64,
        finding: TakeoverFinding,
        now_ms: u64,
    ) {
        let stored = self.ceilings.get(&program).copied();
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        if account.is_home(self.own) {
            return;
        }
        if account.role.is_none() {
            account.recorded_tokens = account.delivered();
        }
        account.begin_epoch(self.own, now_ms);
        if finding.may_miss_tokens {
            // All deliveries that are known were granted before the other home's counts were lost.
            let counted = account.delivered();
            account.assume_spent(stored, free_tokens(budget), counted);
            // Only a record that counts as spent may be replaced; a higher one may be stored since
            // it was read.
            let known = stored.filter(|_| !finding.needs_record);
            account.record = known.map_or(0, |stored| stored.owner);
            account.previous_record = 0;
        } else {
            account.know_record();
        }
        account.needs_record = finding.needs_record;
    }

    /// Begins an epoch whose record has to be stored, since the regular witness of the
    /// program does not reply.
    pub fn require_record(&mut self, program: ProgramKey, now_ms: u64) {
        let own = self.own;
        if let Some(account) = self.programs.get_mut(&program)
            && account.is_home(own)
        {
            account.begin_epoch(own, now_ms);
            account.needs_record = true;
        }
    }

    /// Makes `witness` the witness of the program, in a new epoch if it replaces another one;
    /// returns `false` if a record has to be stored first or this VM is no longer home.
    ///
    /// A former witness that may still run, which `has_ended` tells, does not learn of the new epoch
    /// and finds the record. After `losses` that may have taken a later home and its witness, only
    /// the store shows whether there was one.
    pub fn set_witness(
        &mut self,
        program: ProgramKey,
        witness: VmProcess,
        has_ended: impl Fn(VmProcess) -> bool,
        losses: &LossFacts<'_>,
        now_ms: u64,
    ) -> bool {
        let own = self.own;
        let Some(account) = self.programs.get_mut(&program) else {
            return false;
        };
        if !account.is_home(own) {
            return false;
        }
        let known = account.role.and_then(|role| role.witness);
        if let Some(known) = known.filter(|known| *known != witness) {
            // A record that another home may replace must not allow it to ask the former
            // witness only.
            let is_recorded = account.is_recorded();
            let has_lost_role = losses.may_have_lost_role(own, account.role_since_ms);
            account.begin_epoch(own, now_ms);
            account.needs_record |= is_recorded || has_lost_role || !has_ended(known);
        }
        if let Some(role) = account.role.as_mut() {
            role.witness = Some(witness);
        }
        !account.needs_record
    }

    /// Returns whether a record of the home's epoch is stored and no other VM knows of the
    /// epoch.
    #[must_use]
    pub fn is_alone(&self, program: ProgramKey) -> bool {
        let account = self.programs.get(&program);
        account.is_some_and(|account| {
            account.is_recorded() && account.role.is_some_and(|role| role.witness.is_none())
        })
    }

    /// Decides as home whether the call of `share` may run.
    ///
    /// The share is kept only if the call is granted.
    pub fn decide(
        &mut self,
        program: ProgramKey,
        budget: u64,
        share: BudgetShare,
        now_ms: u64,
    ) -> BudgetVerdict {
        let account = self.programs.entry(program).or_default();
        account.updated_ms = now_ms;
        let was_known = account.shares.contains_key(&share.key());
        account.merge(share);
        let verdict = judge_total(account, budget, share.reserved);
        let is_granted = matches!(verdict, BudgetVerdict::Granted { .. });
        if !is_granted && !was_known {
            account.shares.remove(&share.key());
        }
        verdict
    }

    /// Removes programs that have not been updated for `retention_ms`; those with open
    /// reservations are kept longer.
    pub fn expire(&mut self, retention_ms: u64, now_ms: u64) {
        self.programs.retain(|_, account| {
            let has_reservations = account.shares.values().any(|share| share.reserved > 0);
            let age_ms = now_ms.saturating_sub(account.updated_ms);
            age_ms < retention_ms
                || (has_reservations && age_ms < RESERVED_RETENTION_FACTOR * retention_ms)
        });
    }
}

/// Returns `percent` of `tokens`, which callers choose.
fn percent_of(tokens: u64, percent: u64) -> u64 {
    tokens / 100 * percent + tokens % 100 * percent / 100
}

/// Returns the part of a budget that is granted without a stored ceiling, in tokens.
fn free_tokens(budget: u64) -> u64 {
    percent_of(budget, NO_CEILING_PERCENT)
}

/// Decides on a call of `tokens` that is already part of the account.
fn judge_total(account: &ProgramAccount, budget: u64, tokens: u64) -> BudgetVerdict {
    let total = account.total();
    // Without a record, tokens that are only assumed to be spent prove nothing.
    let proven = if account.needs_record {
        total.saturating_sub(account.assumed_spent)
    } else {
        total
    };
    if proven > budget {
        return BudgetVerdict::Spent {
            total: total.saturating_sub(tokens),
        };
    }
    let bound = free_tokens(budget).max(account.ceiling);
    // The rule allows one call beyond the budget, which a loss of counts may have used up.
    let beyond = if account.may_miss_call { 0 } else { tokens };
    if !account.needs_record && total <= bound.saturating_add(beyond) {
        return BudgetVerdict::Granted {
            is_first: total <= tokens,
        };
    }
    let step = percent_of(budget, CEILING_STEP_PERCENT);
    let ceiling = total.saturating_add(step).max(bound);
    BudgetVerdict::NeedsCeiling {
        ceiling: ceiling.min(budget),
    }
}
