//! What can be wrong with a file of rules or with its time, in words that say what to do about it.

use std::fmt;

use thiserror::Error;

const MOST_SHOWN: usize = 100; // faults that are shown; one wrong name may stand in each of many rules

/// What is wrong with a rule or a set.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum What {
    #[error("{0}; write the file as JSON5")]
    Form(String),
    #[error("is not known; the keys here are {known}")]
    Key { known: &'static str },
    #[error("is missing; give {needs}")]
    Missing { needs: &'static str },
    #[error("is no {needs}; give one")]
    Kind { needs: &'static str },
    #[error("'{name}' is not among the {list}: {known}; name one of them")]
    Name { name: String, list: &'static str, known: String },
    #[error(
        "rule `{rule}` is about customer '{customer}', which `rules.customers` of the operator's file does not name: a \
         front that is cut off would let it through; add it there at every front first"
    )]
    NotCovered { rule: String, customer: String },
    #[error("rule `{rule}` has the name of the rule on line {line}; give each rule a name of its own")]
    Twice { rule: String, line: usize },
    #[error("rule `{rule}` {why}; {remedy}")]
    Shape { rule: String, why: &'static str, remedy: &'static str },
    #[error(
        "rule `{rule}` can never match: rule `{by}` on line {line} goes before it wherever it would; take it out, or \
         give it a higher priority"
    )]
    Shadowed { rule: String, by: String, line: usize },
    #[error(
        "rule `{rule}` contradicts rule `{other}` on line {line}: both match some statements at the same height and \
         say different things of them; give one a priority, or fields that tell them apart"
    )]
    Contradicts { rule: String, other: String, line: usize },
    #[error(
        "rule `{rule}` bars every region that workload `{workload}` is bound to; name one of {bound}, or give the \
         rule a workload"
    )]
    NoEngine { rule: String, workload: String, bound: String },
    #[error(
        "rule `{rule}` leaves workload `{workload}` with no engine for anybody; give the rule a customer, tables or a \
         front, or add a rule before it that allows"
    )]
    AllDenied { rule: String, workload: String },
    #[error(
        "the default 'deny' leaves workload `{workload}` with no engine, as no rule allows it; add one that does, or \
         state the default 'allow'"
    )]
    NothingAllowed { workload: String },
    #[error("holds {count} rules, more than {most}; give fewer")]
    TooMany { count: usize, most: usize },
}

/// One fault, with the path and the line of what it is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub path: String,
    pub line: Option<usize>,
    pub what: What,
}

/// All faults of a file at once.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Faults {
    pub file: String,
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for (at, Fault { path, line, what }) in self.faults.iter().take(MOST_SHOWN).enumerate() {
            let lead = if at == 0 { "" } else { "\n" };
            let line = line.map_or(String::new(), |line| format!("{line}:"));
            // What names its rule needs no path beside it.
            let path = if what.to_string().starts_with("rule `") { "" } else { path };
            let path = if path.is_empty() { String::new() } else { format!(" {path}:") };
            write!(out, "{lead}{}:{line}{path} {what}", self.file)?;
        }
        match self.faults.len().saturating_sub(MOST_SHOWN) {
            0 => Ok(()),
            more => write!(out, "\nand {more} more faults"),
        }
    }
}

/// Why a set that is well in itself does not become the fleet's.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    #[error(
        "{file}: version {stated} is not above the fleet's {has}, which stays; state {next} to change it"
    )]
    Old { file: String, stated: u64, has: u64, next: u64 },
    #[error(
        "{file}: version {stated} is the fleet's already, with other contents, which stay; state {next} to change them"
    )]
    Other { file: String, stated: u64, next: u64 },
    #[error(
        "{file}: version {stated} lost to another front's change in the same moment, which stays; read it, and state \
         {next}"
    )]
    Lost { file: String, stated: u64, next: u64 },
    #[error("{file}: `roll_back_to` names version {to}, which is not among the last ones kept ({kept}); name one of them")]
    NotKept { file: String, to: u64, kept: String },
    #[error("{file}: holds {bytes} bytes, more than {most}; give fewer rules or shorter ones")]
    TooLong { file: String, bytes: usize, most: usize },
}
