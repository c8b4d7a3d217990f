//! Budget of a program and its sub-agents.

use serde::{Deserialize, Serialize};

/// What a program and its sub-agents may spend together; `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct ProgramBudget {
    /// Prompt and answer tokens.
    pub tokens: Option<u64>,
    /// Calls that may not be repeated.
    pub paid_actions: Option<u64>,
}

/// Limits that end a program that loops; `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct ProgramLimits {
    /// Steps that may run. A root program's limit counts its sub-agents, their
    /// starts and their steps too.
    pub steps: Option<u32>,
    /// Longest life, in milliseconds.
    pub wall_clock_ms: Option<u64>,
}

/// Use of one quantity of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaUsage {
    /// Most that may be spent; `None` is unlimited.
    pub limit: Option<u64>,
    /// Held for calls that are running.
    pub reserved: u64,
    /// Spent by calls that have finished.
    pub spent: u64,
}

impl QuotaUsage {
    const fn new(limit: Option<u64>) -> Self {
        Self {
            limit,
            reserved: 0,
            spent: 0,
        }
    }

    /// Returns what may still be reserved; `None` is unlimited.
    #[must_use]
    pub fn remaining(&self) -> Option<u64> {
        let used = self.spent.saturating_add(self.reserved);
        self.limit.map(|limit| limit.saturating_sub(used))
    }

    fn can_reserve(&self, amount: u64) -> bool {
        self.remaining().is_none_or(|remaining| amount <= remaining)
    }

    fn reserve(&mut self, amount: u64) {
        self.reserved = self.reserved.saturating_add(amount);
    }

    fn settle(&mut self, reserved: u64, used: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(used);
    }
}

/// Use of a budget by a program and its sub-agents together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BudgetUsage {
    /// Prompt and answer tokens.
    pub tokens: QuotaUsage,
    /// Calls that may not be repeated.
    pub paid_actions: QuotaUsage,
}

/// An amount of each quantity of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BudgetAmount {
    pub(crate) tokens: u64,
    pub(crate) paid_actions: u64,
}

impl BudgetUsage {
    pub(crate) const fn new(budget: ProgramBudget) -> Self {
        Self {
            tokens: QuotaUsage::new(budget.tokens),
            paid_actions: QuotaUsage::new(budget.paid_actions),
        }
    }

    pub(crate) fn can_reserve(&self, amount: BudgetAmount) -> bool {
        self.tokens.can_reserve(amount.tokens) && self.paid_actions.can_reserve(amount.paid_actions)
    }

    pub(crate) fn reserve(&mut self, amount: BudgetAmount) {
        self.tokens.reserve(amount.tokens);
        self.paid_actions.reserve(amount.paid_actions);
    }

    pub(crate) fn settle(&mut self, reserved: BudgetAmount, used: BudgetAmount) {
        self.tokens.settle(reserved.tokens, used.tokens);
        self.paid_actions
            .settle(reserved.paid_actions, used.paid_actions);
    }
}
