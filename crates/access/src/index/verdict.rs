//! What holds for a statement, also where it reads several groups of tables.

/// Why a statement is denied whose groups have no place in common.
const NO_COMMON_LOCATION: &str =
    "the groups of tables that it reads may be read together in no region";

/// What holds for a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The version that it was judged by: the same at every try.
    pub version: u64,
    /// The rule that decided it, by its place in the set's order; None: the default.
    pub rule: Option<usize>,
    /// The rule that only counts it.
    pub counting_rule: Option<usize>,
    /// The rules that let it through within a limit.
    pub limits: Vec<usize>,
    /// Why it is denied.
    pub denied: Option<String>,
    /// The places where it may be read, ascending; None: all.
    pub allowed: Option<Vec<u16>>,
}

impl Verdict {
    /// Whether the statement may be read at a location. `None` stands for a location that is not known, which is
    /// allowed only where all are.
    pub fn allows(&self, location: Option<u16>) -> bool {
        let is_named =
            |all: &Vec<u16>| location.is_some_and(|location| all.binary_search(&location).is_ok());
        self.denied.is_none() && self.allowed.as_ref().is_none_or(is_named)
    }
}

impl Verdict {
    /// What holds for a statement about which two verdicts hold.
    pub(super) fn intersect(self, other: Verdict) -> Verdict {
        // The rule that stands first is the one that decided, a denial before all.
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
