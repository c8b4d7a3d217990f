//! Budget and limits of a program and its sub-agents.

use serde::{Deserialize, Serialize};

/// Budget that a program and its sub-agents share; `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct ProgramBudget {
    /// Prompt and answer tokens.
    pub tokens: Option<u64>,
    /// Paid actions: non-idempotent calls, which must not be repeated.
    pub paid_actions: Option<u64>,
}

/// Limits that stop a runaway program; `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct ProgramLimits {
    /// Maximum number of attempts at steps that may have run. A root program's
    /// limit also counts the start of each sub-agent and its attempts.
    pub steps: Option<u32>,
    /// Maximum time since the start, in milliseconds.
    pub wall_clock_ms: Option<u64>,
}

/// Usage of one budgeted quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BudgetItemUsage {
    /// Maximum that may be spent; `None` is unlimited.
    pub limit: Option<u64>,
    /// Amount reserved for running calls: their maximum cost.
    pub reserved: u64,
    /// Amount spent by finished calls.
    pub spent: u64,
}

impl BudgetItemUsage {
    const fn new(limit: Option<u64>) -> Self {
        Self {
            limit,
            reserved: 0,
            spent: 0,
        }
    }

    /// Returns the amount that can still be reserved; `None` is unlimited.
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

/// Budget usage of a program and its sub-agents together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BudgetUsage {
    /// Prompt and answer tokens.
    pub tokens: BudgetItemUsage,
    /// Paid actions: non-idempotent calls, which must not be repeated.
    pub paid_actions: BudgetItemUsage,
}

/// An amount of each budgeted quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BudgetAmount {
    pub(crate) tokens: u64,
    pub(crate) paid_actions: u64,
}

impl BudgetUsage {
    pub(crate) const fn new(budget: ProgramBudget) -> Self {
        Self {
            tokens: BudgetItemUsage::new(budget.tokens),
            paid_actions: BudgetItemUsage::new(budget.paid_actions),
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
