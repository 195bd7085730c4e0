//! Fleet quotas: what is this front's share of a budget of all fronts?
//!
//! Inputs: the budget, this front's demand against the mean of the fronts, the number of fronts.
//! Reason: the shares must stay under the budget in sum, whatever fronts say of their demand.
//! Source: our extension, `docs/design.md`, "Budgets".

use crate::random::positive_or;

/// Demand against the mean beyond which a front's share grows no more.
const MAX_RELATIVE_DEMAND: f64 = 3.0;

/// A front's share of a budget: a fifth of an even part where it knows nothing, two fifths at the mean demand, four
/// fifths at three times the mean and more. What is left is for budgets that are saved up for a moment.
pub fn budget_share(budget: f64, relative_demand: f64, fronts: f64) -> f64 {
    let demand = positive_or(relative_demand, 0.0).min(MAX_RELATIVE_DEMAND);
    budget * (1.0 + demand) / (5.0 * fronts.max(1.0))
}

#[cfg(test)]
#[path = "fleet_budget_tests.rs"]
mod tests;
