//! A file of rules read as a whole: JSON5, every error at once with its path and line.

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

/// What a file asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RulesCommand {
    /// This set is to hold for the fleet.
    Replace(RuleSet),
    /// What this set would decide otherwise is reported; nothing changes.
    WhatIf(RuleSet),
    /// The set of an earlier version is to hold again, under a new one.
    RollBack {
        /// The version under which the earlier set is to hold.
        version: u64,
        /// The version of the earlier set.
        to: u64,
    },
}

impl RulesCommand {
    /// The version that the file states.
    pub fn version(&self) -> u64 {
        match self {
            RulesCommand::Replace(set) | RulesCommand::WhatIf(set) => set.version,
            RulesCommand::RollBack { version, .. } => *version,
        }
    }
}

/// Reads a file's text and checks it against what is known. `file` names it in the errors.
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

/// The errors with their lines, in the order of those.
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
    errors.dedup(); // a rule that moves is read as three
    errors
}
