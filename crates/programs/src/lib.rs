//! Program state held by its owner: order, budget, attempts, history and clean-up.
