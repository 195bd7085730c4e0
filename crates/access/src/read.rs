//! Reads a rules file in JSON5 and reports all its errors at once, each with its path and line.

mod file;
mod moves;
mod reader;
mod rule;

use crate::check;
use crate::error::{FileError, FileErrors, LocatedProblem};
use crate::known::KnownNames;
use crate::lines::LineLookup;
use crate::rule::RuleSet;

use reader::Reader;

/// The change that a rules file asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RulesCommand {
    /// Make this rule set the fleet's.
    Replace(RuleSet),
    /// Report the decisions that this rule set would change; nothing else happens.
    WhatIf(RuleSet),
    /// Make the rule set of an earlier version the fleet's again, under a new version.
    RollBack {
        /// The new version of the earlier set.
        version: u64,
        /// The version under which the set was kept.
        to: u64,
    },
}

impl RulesCommand {
    /// Returns the version that the file states.
    pub fn version(&self) -> u64 {
        match self {
            RulesCommand::Replace(set) | RulesCommand::WhatIf(set) => set.version,
            RulesCommand::RollBack { version, .. } => *version,
        }
    }
}

/// Parses a rules file and checks it against the known names. `file` names it in the errors.
pub fn read(
    file: &str,
    text: &str,
    known: &KnownNames,
    lines: LineLookup,
) -> Result<RulesCommand, FileErrors> {
    let mut reader = Reader {
        known,
        errors: Vec::new(),
    };
    let command = reader.read_file(text);
    let mut errors = reader.errors;
    if errors.is_empty() {
        if let Some(RulesCommand::Replace(set) | RulesCommand::WhatIf(set)) = &command {
            errors = check::check(set, known, lines);
        }
    }
    match command {
        Some(command) if errors.is_empty() => Ok(command),
        _ => Err(FileErrors {
            file: file.to_string(),
            errors: with_lines(errors, lines),
        }),
    }
}

/// Adds the line of each error and sorts the errors by line.
fn with_lines(errors: Vec<LocatedProblem>, lines: LineLookup) -> Vec<FileError> {
    let mut errors: Vec<FileError> = errors
        .into_iter()
        .map(|LocatedProblem { path, problem }| FileError {
            line: lines(&path),
            path,
            problem,
        })
        .collect();
    errors.sort_by_key(|error| error.line);
    errors.dedup(); // a rule that moves tables is read as three rules, whose errors repeat
    errors
}
