//! Fleet budgets: this front's share of a budget of all fronts.
//!
//! Inputs: the budget, this front's demand relative to the mean of the fronts, and the number of
//! fronts.
//!
//! The sum of the shares must stay within the budget whatever demand fronts report.
//!
//! Source: our extension, `docs/design.md`, "Budgets".

use crate::random::positive_or;

/// Relative demand above which a front's share no longer grows.
const MAX_RELATIVE_DEMAND: f64 = 3.0;

/// A front's share of a budget, as a fraction of an even split: a fifth if its relative demand is
/// unknown, two fifths at the mean demand, four fifths at three times the mean or more. The rest
/// covers bursts of saved-up tokens.
pub fn budget_share(budget: f64, relative_demand: f64, fronts: f64) -> f64 {
    let demand = positive_or(relative_demand, 0.0).min(MAX_RELATIVE_DEMAND);
    budget * (1.0 + demand) / (5.0 * fronts.max(1.0))
}

#[cfg(test)]
#[path = "fleet_budget_tests.rs"]
mod tests;
