//! A rule, a set of them in the order in which they decide, and the plain walk over it.

use std::cmp::Reverse;

use crate::Micros;

/// Groups of tables, both ends within.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TableRange {
    /// The first group of the range.
    pub first: u32,
    /// The last group of the range; not below the first.
    pub last: u32,
}

impl TableRange {
    /// Whether the range includes a group.
    pub fn contains(&self, group: u32) -> bool {
        (self.first..=self.last).contains(&group)
    }

    fn width(&self) -> u32 {
        self.last - self.first
    }
}

/// What a rule says of the statements it matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleEffect {
    /// The statement is not run.
    Deny {
        /// The reason that the client and the log get.
        reason: String,
    },
    /// Places (indices of `KnownNames::locations`) where it may be read, ascending; None: anywhere.
    Allow {
        /// Indices of `KnownNames::locations` where it may be read, ascending; `None`: anywhere.
        locations: Option<Vec<u16>>,
    },
    /// Counted beside whatever decides.
    Count,
}

impl RuleEffect {
    fn is_restrictive(&self) -> bool {
        !matches!(
            self,
            RuleEffect::Allow { locations: None } | RuleEffect::Count
        )
    }

    /// Of two rules at the same height, the one that lets less through goes first.
    fn severity(&self) -> u8 {
        match self {
            RuleEffect::Deny { .. } => 0,
            RuleEffect::Allow { locations: Some(_) } => 1,
            RuleEffect::Allow { locations: None } => 2,
            RuleEffect::Count => 3,
        }
    }
}

/// One rule: which statements it matches, and what it says of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The rule's name, unique within its set; the log and the counts use it.
    pub name: String,
    /// Whose statements; what is None matches all.
    pub customer: Option<String>,
    /// The workload that it is about; `None`: all.
    pub workload: Option<String>,
    /// The table groups that it is about; `None`: all statements, also those that read no table.
    pub tables: Option<TableRange>,
    /// The region of the front that was asked.
    pub front: Option<String>,
    /// What it says of the statements that it matches.
    pub effect: RuleEffect,
    /// How many of the statements that it lets through may begin in a time; `None`: any number.
    pub limit: Option<RateLimit>,
    /// Rules with a higher priority go first.
    pub priority: i32,
    /// Unix milliseconds: from the first on, before the second.
    pub from_ms: u64,
    /// When it ends, exclusive; `u64::MAX`: never.
    pub until_ms: u64,
    /// A time of a move: a statement goes by the time at which it was judged first, at every try.
    pub is_move_phase: bool,
    /// Its index in the file, for errors.
    pub file_index: usize,
}

/// How high a rule stands: the least goes first. Priority, then the more specific.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// A higher one goes first.
    pub priority: Reverse<i32>,
    /// The rule that names more fields goes first.
    pub named_fields: Reverse<u32>,
    /// Of as many fields, customer goes before tables, workload and front, in this order.
    pub mask: Reverse<u8>,
    /// Of the same fields, the rule about fewer tables goes first.
    pub table_width: u32,
}

/// A bound on the statements that a rule lets through, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// How many may begin in any window.
    pub max_statements: u32,
    /// The length of a window in microseconds.
    pub window: Micros,
}

/// What holds for a statement that no rule decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultEffect {
    /// Statements that no rule decides may run anywhere.
    Allow,
    /// Statements that no rule decides are not run.
    Deny,
}

/// Who asks for what.
#[derive(Clone, Copy, Debug)]
pub struct Attributes<'a> {
    /// The statement's customer.
    pub customer: &'a str,
    /// The statement's workload.
    pub workload: &'a str,
    /// A group of tables that it reads.
    pub group: Option<u32>,
    /// Whether the groups are known: without a group it then surely reads none.
    pub tables_known: bool,
    /// The region of the front that was asked.
    pub front: &'a str,
    /// When it was judged first, where that was before.
    pub first_judged_ms: Option<u64>,
}

impl Rule {
    /// Whether it holds for a statement now.
    pub fn applies_at(&self, attributes: &Attributes, wall_ms: u64) -> bool {
        self.is_active(
            attributes
                .first_judged_ms
                .filter(|_| self.is_move_phase)
                .unwrap_or(wall_ms),
        )
    }

    /// Whether it holds at a time.
    pub fn is_active(&self, wall_ms: u64) -> bool {
        self.from_ms <= wall_ms && wall_ms < self.until_ms
    }

    /// It has neither beginning nor end.
    pub fn is_always_active(&self) -> bool {
        self.from_ms == 0 && self.until_ms == u64::MAX
    }

    /// Whether it lets less through than if it were not there.
    pub fn is_restrictive(&self) -> bool {
        self.effect.is_restrictive() || self.limit.is_some()
    }

    /// Whether it holds whenever the other does.
    pub fn covers_period_of(&self, other: &Rule) -> bool {
        self.from_ms <= other.from_ms && other.until_ms <= self.until_ms
    }

    /// Whether it is about a statement. Where the groups of tables are unknown, a rule about tables that lets
    /// less through is about it, and one that lets more through is not.
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

    /// Which of its fields are named; the weight of each tells which goes first where as many are named.
    pub fn field_mask(&self) -> u8 {
        u8::from(self.customer.is_some()) << 3
            | u8::from(self.tables.is_some()) << 2
            | u8::from(self.workload.is_some()) << 1
            | u8::from(self.front.is_some())
    }

    /// How high it stands.
    pub fn precedence(&self) -> Precedence {
        let mask = self.field_mask();
        Precedence {
            priority: Reverse(self.priority),
            named_fields: Reverse(mask.count_ones()),
            mask: Reverse(mask),
            table_width: self.tables.map_or(u32::MAX, |tables| tables.width()),
        }
    }

    /// Whether both say the same of what they match.
    pub fn has_same_effect(&self, other: &Rule) -> bool {
        match (&self.effect, &other.effect) {
            (RuleEffect::Deny { .. }, RuleEffect::Deny { .. }) => true,
            (own_effect, other_effect) => own_effect == other_effect && self.limit == other.limit,
        }
    }
}

/// The rules about a statement, by their indices in the set's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MatchedRules {
    /// The rule that decides it; `None`: the default does.
    pub deciding: Option<usize>,
    /// The rule that only counts it.
    pub counting: Option<usize>,
}

/// A set of rules, in the order in which they decide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleSet {
    /// As its file states it.
    pub version: u64,
    /// What holds for statements that no rule decides.
    pub default: DefaultEffect,
    /// The rules, the one that goes first at index 0.
    pub rules: Vec<Rule>,
}

impl RuleSet {
    /// The set of a fleet that was never given one.
    pub fn empty() -> RuleSet {
        RuleSet {
            version: 0,
            default: DefaultEffect::Allow,
            rules: Vec::new(),
        }
    }

    /// Sorts the rules into the order in which they decide: by height, then the stricter first, then by the
    /// time from which they hold and by name.
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

    /// The rules about a statement, by going through all in order: what the index must equal.
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
