//! A rule, a rule set in order of precedence, and the linear search that the index must agree with.

use std::cmp::Reverse;

use crate::Micros;

/// A range of table groups, including both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TableRange {
    /// The first group of the range.
    pub first: u32,
    /// The last group of the range; not below the first.
    pub last: u32,
}

impl TableRange {
    /// Returns whether the range includes a group.
    pub fn contains(&self, group: u32) -> bool {
        (self.first..=self.last).contains(&group)
    }

    fn width(&self) -> u32 {
        self.last - self.first
    }
}

/// The effect of a rule on the statements it matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleEffect {
    /// The statement is not run.
    Deny {
        /// The reason, which the client and the log receive.
        reason: String,
    },
    /// The statement may be read only at some locations.
    Allow {
        /// Indices of `KnownNames::locations`, ascending; `None` means all locations.
        locations: Option<Vec<u16>>,
    },
    /// The statement is counted in addition to the rule that decides it.
    Count,
}

impl RuleEffect {
    fn is_restrictive(&self) -> bool {
        !matches!(
            self,
            RuleEffect::Allow { locations: None } | RuleEffect::Count
        )
    }

    /// Orders rules of equal precedence: the more restrictive effect has the lower number and comes
    /// first.
    fn severity(&self) -> u8 {
        match self {
            RuleEffect::Deny { .. } => 0,
            RuleEffect::Allow { locations: Some(_) } => 1,
            RuleEffect::Allow { locations: None } => 2,
            RuleEffect::Count => 3,
        }
    }
}

/// One rule: the statements it matches and its effect on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The rule's name, unique within its set, which the log and the counts use.
    pub name: String,
    /// The customer that the rule applies to; `None` means all.
    pub customer: Option<String>,
    /// The workload that the rule applies to; `None` means all.
    pub workload: Option<String>,
    /// The table groups that the rule applies to; `None` means all statements, including those that
    /// read no table.
    pub tables: Option<TableRange>,
    /// The region of the receiving front that the rule applies to; `None` means all.
    pub front: Option<String>,
    /// The effect on matching statements.
    pub effect: RuleEffect,
    /// The rate at which allowed statements may begin; `None` means unlimited.
    pub limit: Option<RateLimit>,
    /// Rules with a higher priority take precedence.
    pub priority: i32,
    /// The start of the rule's period in Unix milliseconds, inclusive.
    pub from_ms: u64,
    /// The end of the rule's period in Unix milliseconds, exclusive; `u64::MAX` means never.
    pub until_ms: u64,
    /// Whether the rule is one phase of a move of tables. Such a rule applies by the time at which
    /// a statement was first evaluated, for every attempt.
    pub is_move_phase: bool,
    /// The rule's index in the file, for errors.
    pub file_index: usize,
}

/// The precedence of a rule; the smallest value takes precedence. Priority counts first, then how
/// specific the rule is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// A higher priority takes precedence.
    pub priority: Reverse<i32>,
    /// The rule that names more fields takes precedence.
    pub named_fields: Reverse<u32>,
    /// With as many fields named, customer outranks tables, workload and front, in this order.
    pub mask: Reverse<u8>,
    /// With the same fields named, the rule for fewer table groups takes precedence.
    pub table_width: u32,
}

/// A limit, over the whole fleet, on the statements that a rule allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// How many statements may begin in any window.
    pub max_statements: u32,
    /// The length of a window in microseconds.
    pub window: Micros,
}

/// The effect on statements that no rule decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultEffect {
    /// Statements that no rule decides may run anywhere.
    Allow,
    /// Statements that no rule decides are not run.
    Deny,
}

/// The attributes of a statement that rules are matched against.
#[derive(Clone, Copy, Debug)]
pub struct Attributes<'a> {
    /// The statement's customer.
    pub customer: &'a str,
    /// The statement's workload.
    pub workload: &'a str,
    /// A table group that the statement reads; `None` if it reads none or its groups are unknown.
    pub group: Option<u32>,
    /// Whether the statement's table groups are known. A statement with known groups and no `group`
    /// reads no table.
    pub tables_known: bool,
    /// The region of the front that received the statement.
    pub front: &'a str,
    /// Unix milliseconds of the statement's first evaluation, if this is a later one.
    pub first_evaluated_ms: Option<u64>,
}

impl Rule {
    /// Returns whether the rule is active for a statement now; a phase of a move goes by the
    /// statement's first evaluation.
    pub fn applies_at(&self, attributes: &Attributes, wall_ms: u64) -> bool {
        self.is_active(
            attributes
                .first_evaluated_ms
                .filter(|_| self.is_move_phase)
                .unwrap_or(wall_ms),
        )
    }

    /// Returns whether the rule's period includes a time.
    pub fn is_active(&self, wall_ms: u64) -> bool {
        self.from_ms <= wall_ms && wall_ms < self.until_ms
    }

    /// Returns whether the rule's period has neither start nor end.
    pub fn is_always_active(&self) -> bool {
        self.from_ms == 0 && self.until_ms == u64::MAX
    }

    /// Returns whether the rule restricts the statements that it matches.
    pub fn is_restrictive(&self) -> bool {
        self.effect.is_restrictive() || self.limit.is_some()
    }

    /// Returns whether the rule is active whenever another is.
    pub fn covers_period_of(&self, other: &Rule) -> bool {
        self.from_ms <= other.from_ms && other.until_ms <= self.until_ms
    }

    /// Returns whether the rule matches a statement. If the statement's table groups are unknown, a
    /// rule about tables matches if it is restrictive, and does not match otherwise.
    pub fn matches(&self, attributes: &Attributes) -> bool {
        let matches_field =
            |field: &Option<String>, value: &str| field.as_ref().is_none_or(|name| name == value);
        matches_field(&self.customer, attributes.customer)
            && matches_field(&self.workload, attributes.workload)
            && matches_field(&self.front, attributes.front)
            && self.tables.is_none_or(|t| match attributes.group {
                Some(group) => t.contains(group),
                None => !attributes.tables_known && self.is_restrictive(),
            })
    }

    /// Returns a bit for each field that the rule names. With as many fields named, the greater
    /// mask takes precedence.
    pub fn field_mask(&self) -> u8 {
        u8::from(self.customer.is_some()) << 3
            | u8::from(self.tables.is_some()) << 2
            | u8::from(self.workload.is_some()) << 1
            | u8::from(self.front.is_some())
    }

    /// Returns the rule's precedence.
    pub fn precedence(&self) -> Precedence {
        let mask = self.field_mask();
        Precedence {
            priority: Reverse(self.priority),
            named_fields: Reverse(mask.count_ones()),
            mask: Reverse(mask),
            table_width: self.tables.map_or(u32::MAX, |tables| tables.width()),
        }
    }

    /// Returns whether two rules have the same effect. Denials are equal whatever their reasons.
    pub fn has_same_effect(&self, other: &Rule) -> bool {
        match (&self.effect, &other.effect) {
            (RuleEffect::Deny { .. }, RuleEffect::Deny { .. }) => true,
            (own_effect, other_effect) => own_effect == other_effect && self.limit == other.limit,
        }
    }
}

/// The rules that match a statement, by their indices in the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MatchedRules {
    /// The rule that decides the statement; `None` if the default does.
    pub deciding: Option<usize>,
    /// The rule that only counts the statement.
    pub counting: Option<usize>,
}

/// A rule set, in order of precedence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleSet {
    /// The version that the file states.
    pub version: u64,
    /// The effect on statements that no rule decides.
    pub default: DefaultEffect,
    /// The rules, with the highest precedence at index 0.
    pub rules: Vec<Rule>,
}

impl RuleSet {
    /// Returns the rule set of a fleet that has never had one.
    pub fn empty() -> RuleSet {
        RuleSet {
            version: 0,
            default: DefaultEffect::Allow,
            rules: Vec::new(),
        }
    }

    /// Sorts the rules by precedence, then the more restrictive effect first, then by start time
    /// and name.
    pub fn new(version: u64, default: DefaultEffect, mut rules: Vec<Rule>) -> RuleSet {
        rules.sort_by(|a, b| {
            let key = |r: &Rule| (r.precedence(), r.effect.severity(), r.from_ms);
            key(a).cmp(&key(b)).then_with(|| a.name.cmp(&b.name))
        });
        RuleSet {
            version,
            default,
            rules,
        }
    }

    /// Returns the rules that match a statement by a linear search; the index must return the same.
    pub fn find_linear(&self, attributes: &Attributes, wall_ms: u64) -> MatchedRules {
        let first = |is_counting: bool| {
            let decides = |r: &Rule| {
                (r.effect == RuleEffect::Count) == is_counting
                    && r.applies_at(attributes, wall_ms)
                    && r.matches(attributes)
            };
            self.rules.iter().position(decides)
        };
        MatchedRules {
            deciding: first(false),
            counting: first(true),
        }
    }
}
