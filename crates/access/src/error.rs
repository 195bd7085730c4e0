//! Errors of a rules file, and reasons to reject its version, each with a remedy.

use std::fmt;

use thiserror::Error;

/// The number of errors shown; one wrong name can appear in each of many rules.
const MAX_SHOWN_ERRORS: usize = 100;

/// An error in a rule or a rule set.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The file is not JSON5; holds the parser's message.
    #[error("{0}; write the file as JSON5")]
    Syntax(String),
    /// An unknown key.
    #[error("unknown key; the keys allowed here are {known}")]
    UnknownKey {
        /// The keys that are allowed at this path.
        known: &'static str,
    },
    /// A required key is missing.
    #[error("is missing; give {needs}")]
    Missing {
        /// The value that has to be given.
        needs: &'static str,
    },
    /// A value of the wrong type or out of range.
    #[error("has the wrong type or value; give {needs}")]
    WrongType {
        /// The type and range that are expected.
        needs: &'static str,
    },
    /// A name that neither the settings nor the operator's file lists.
    #[error("'{name}' is not among the {list}: {known}; name one of them")]
    UnknownName {
        /// The name as the file gives it.
        name: String,
        /// The list in which the name was looked up.
        list: &'static str,
        /// The names on that list, separated by commas.
        known: String,
    },
    /// A rule about a customer whose statements a front without a lease on the rules would admit.
    #[error(
        "rule `{rule}` is about customer '{customer}', which `rules.customers` of the operator's file does not name: a \
         front without a lease on the rules would admit its statements; add the customer there at every front first"
    )]
    CustomerNotCovered {
        /// The rule's name.
        rule: String,
        /// The customer that the operator's file has to list first.
        customer: String,
    },
    /// Two rules with one name.
    #[error("rule `{rule}` has the name of the rule on line {line}; give each rule a unique name")]
    DuplicateName {
        /// The name.
        rule: String,
        /// The line of the first rule with the name.
        line: usize,
    },
    /// Keys of one rule that cannot be combined.
    #[error("rule `{rule}` {why}; {remedy}")]
    ConflictingKeys {
        /// The rule's name.
        rule: String,
        /// What is wrong with the combination.
        why: &'static str,
        /// What the author of the file can do.
        remedy: &'static str,
    },
    /// A rule that can never decide a statement because another rule always takes precedence.
    #[error(
        "rule `{rule}` can never match: rule `{by}` on line {line} takes precedence wherever it would; remove it, or \
         give it a higher priority"
    )]
    Shadowed {
        /// The rule's name.
        rule: String,
        /// The rule that takes precedence.
        by: String,
        /// The line of that rule.
        line: usize,
    },
    /// Two rules that match some of the same statements with equal precedence and different
    /// effects.
    #[error(
        "rule `{rule}` contradicts rule `{other}` on line {line}: both match some statements with equal precedence and \
         have different effects; give one a priority, or fields that distinguish them"
    )]
    Contradicts {
        /// The rule's name.
        rule: String,
        /// The rule that it contradicts.
        other: String,
        /// The line of that rule.
        line: usize,
    },
    /// A rule that allows none of the locations that a workload is bound to.
    #[error(
        "rule `{rule}` bars every region that workload `{workload}` is bound to; name one of {bound}, or give the \
         rule a workload"
    )]
    NoLocation {
        /// The rule's name.
        rule: String,
        /// The workload that could run nowhere.
        workload: String,
        /// The locations that the workload is bound to, separated by commas.
        bound: String,
    },
    /// A rule that denies a workload to every customer.
    #[error(
        "rule `{rule}` leaves workload `{workload}` with no engine for any customer; give the rule a customer, tables or a \
         front, or add an allowing rule of higher precedence"
    )]
    WorkloadDenied {
        /// The rule's name.
        rule: String,
        /// The workload.
        workload: String,
    },
    /// A default that denies a workload which no rule allows.
    #[error(
        "the default 'deny' leaves workload `{workload}` with no engine, as no rule allows it; add one that does, or \
         state the default 'allow'"
    )]
    WorkloadNotAllowed {
        /// The workload.
        workload: String,
    },
    /// More rules than a file may hold.
    #[error("holds {count} rules, more than {max}; give fewer")]
    TooManyRules {
        /// The number of rules in the file.
        count: usize,
        /// The number of rules allowed.
        max: usize,
    },
}

/// An error with the path of the value that is wrong; its line is looked up later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LocatedProblem {
    /// The path in the file, such as `rules[2].name`; empty for the file as a whole.
    pub path: String,
    /// What is wrong with the value.
    pub problem: Problem,
}

/// An error with the path and the line of the value that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The path in the file, such as `rules[2].name`; empty for the file as a whole.
    pub path: String,
    /// The line on which the value begins, counted from 1, if it is known.
    pub line: Option<usize>,
    /// What is wrong with the value.
    pub problem: Problem,
}

impl fmt::Display for FileError {
    /// Writes the line, the path and the error. The path is left out where the error names its
    /// rule.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(out, "{line}:")?;
        }
        let text = self.problem.to_string();
        if !self.path.is_empty() && !text.starts_with("rule `") {
            write!(out, " {}:", self.path)?;
        }
        write!(out, " {text}")
    }
}

/// All errors of a file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct FileErrors {
    /// The file's name, as the operator gave it.
    pub file: String,
    /// The errors found, ordered by line.
    pub errors: Vec<FileError>,
}

impl fmt::Display for FileErrors {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for (at, error) in self.errors.iter().take(MAX_SHOWN_ERRORS).enumerate() {
            let separator = if at == 0 { "" } else { "\n" };
            write!(out, "{separator}{}:{error}", self.file)?;
        }
        match self.errors.len().saturating_sub(MAX_SHOWN_ERRORS) {
            0 => Ok(()),
            hidden => write!(out, "\nand {hidden} more errors"),
        }
    }
}

/// The reason why a valid rules file does not become the fleet's version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The stated version is lower than the fleet's.
    #[error(
        "{file}: version {stated} is not above the fleet's {current}, which stays; state {next} to change it"
    )]
    VersionTooLow {
        /// The file's name.
        file: String,
        /// The version that the file states.
        stated: u64,
        /// The fleet's version.
        current: u64,
        /// The version to state instead.
        next: u64,
    },
    /// The fleet already has the stated version, with a different text.
    #[error(
        "{file}: version {stated} is already the fleet's, with other contents, which stay; state {next} to change them"
    )]
    VersionTaken {
        /// The file's name.
        file: String,
        /// The version that the file states.
        stated: u64,
        /// The version to state instead.
        next: u64,
    },
    /// Another front's change to the same version won the compare-and-swap.
    #[error(
        "{file}: version {stated} lost to a concurrent change by another front, which stays; read it, and state \
         {next}"
    )]
    ConcurrentChange {
        /// The file's name.
        file: String,
        /// The version that the file states.
        stated: u64,
        /// The version to state instead.
        next: u64,
    },
    /// A roll-back to a version that is no longer kept.
    #[error("{file}: `roll_back_to` names version {to}, which is not among the last ones kept ({kept}); name one of them")]
    VersionNotKept {
        /// The file's name.
        file: String,
        /// The version to roll back to.
        to: u64,
        /// The versions that are kept, separated by commas.
        kept: String,
    },
    /// A text that is too long for the ledger.
    #[error("{file}: holds {bytes} bytes, more than {max}; give fewer rules or shorter ones")]
    TextTooLong {
        /// The file's name.
        file: String,
        /// The length of the text in bytes.
        bytes: usize,
        /// The length allowed, in bytes.
        max: usize,
    },
}
