//! The median and range of several rounds.

/// A median with least and most; printed as `median (least to most)`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    pub median: f64,
    pub min: f64,
    pub max: f64,
}

/// Sorts the values and returns their spread, all `NaN` if there are none.
pub fn spread(values: &mut [f64]) -> Spread {
    values.sort_by(f64::total_cmp);
    let at = |place: usize| values.get(place).copied().unwrap_or(f64::NAN);
    Spread {
        median: at(values.len() / 2),
        min: at(0),
        max: at(values.len().saturating_sub(1)),
    }
}

impl std::fmt::Display for Spread {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:.0} ({:.0} to {:.0})", self.median, self.min, self.max)
    }
}

#[cfg(test)]
#[path = "spread_tests.rs"]
mod tests;
