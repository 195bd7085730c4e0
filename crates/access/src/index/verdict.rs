//! The verdict on a statement, which may read several table groups.

/// The reason of a denial when the groups of a statement have no allowed location in common.
const NO_COMMON_LOCATION: &str =
    "the groups of tables that it reads may be read together in no region";

/// The verdict of a rule set on a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The version that gave the verdict; the same for every attempt.
    pub version: u64,
    /// The index of the deciding rule in the set; `None` if the default decided.
    pub rule: Option<usize>,
    /// The index of the rule that only counts the statement.
    pub counting_rule: Option<usize>,
    /// The indices of the rules whose limits apply to the statement.
    pub limits: Vec<usize>,
    /// The reason of the denial, if the statement is denied.
    pub denied: Option<String>,
    /// The indices of the allowed locations, ascending; `None` means all.
    pub allowed: Option<Vec<u16>>,
}

impl Verdict {
    /// Returns whether the statement may be read at a location. `None` stands for an unknown
    /// location, which is allowed only if all locations are.
    pub fn allows(&self, location: Option<u16>) -> bool {
        let is_named =
            |all: &Vec<u16>| location.is_some_and(|location| all.binary_search(&location).is_ok());
        self.denied.is_none() && self.allowed.as_ref().is_none_or(is_named)
    }
}

impl Verdict {
    /// Combines the verdicts for two table groups of one statement; only locations that both allow
    /// remain.
    pub(super) fn intersect(self, other: Verdict) -> Verdict {
        // The first rule in order of precedence is reported as deciding; a denial goes before all
        // others.
        let precedence = |v: &Verdict| (v.denied.is_none(), v.rule.is_none(), v.rule);
        let counting_rule = self
            .counting_rule
            .into_iter()
            .chain(other.counting_rule)
            .min();
        let (mut verdict, other) = if precedence(&self) <= precedence(&other) {
            (self, other)
        } else {
            (other, self)
        };
        verdict.counting_rule = counting_rule;
        verdict.limits.extend(other.limits);
        verdict.limits.sort_unstable();
        verdict.limits.dedup();
        if verdict.denied.is_some() {
            return verdict;
        }
        verdict.allowed = match (verdict.allowed, other.allowed) {
            (Some(mut locations), Some(others)) => {
                locations.retain(|location| others.contains(location));
                Some(locations)
            }
            (one, other) => one.or(other),
        };
        if verdict.allowed.as_ref().is_some_and(Vec::is_empty) {
            verdict.denied = Some(NO_COMMON_LOCATION.to_string());
        }
        verdict
    }
}
