//! Writes the decisions of a front as lines of the reply.

use std::fmt::{Result, Write};

use hallmux::interface::{Action, Micros};

use crate::wire_names::{field, output, value};

/// The simulator's names for a front and for its statements and engines.
pub struct ReplyNames<'a> {
    /// The front's number.
    pub front: i64,
    /// The numbers of the statements, by the front's indices.
    pub statements: &'a [u32],
    /// The ids of the engines, by the front's indices.
    pub engines: &'a [String],
}

/// Appends the line for one action.
pub fn write(out: &mut String, names: &ReplyNames, action: &Action) {
    let written = write_action(out, names, action);
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
}

fn write_action(out: &mut String, names: &ReplyNames, action: &Action) -> Result {
    match action {
        Action::SetResources {
            statement,
            grant_mb,
            priority,
        } => {
            names.begin_for_statement(out, output::TERMS, *statement)?;
            write!(out, " {}={grant_mb:.1}", field::GRANT_MB)?;
            writeln!(out, " {}={priority}", field::PRIORITY)
        }
        Action::Execute { statement, engine } => {
            names.begin_for_statement(out, output::EXECUTE, *statement)?;
            writeln!(out, " {}={}", field::ENGINE, names.engines[*engine])
        }
        Action::Cancel {
            statement,
            execution,
        } => {
            names.begin_for_statement(out, output::CANCEL, *statement)?;
            writeln!(out, " {}={execution}", field::EXECUTION)
        }
        Action::Reject {
            statement,
            retry_after,
            ..
        } => {
            names.begin_for_statement(out, output::REJECT, *statement)?;
            if let Some(time) = retry_after {
                write!(out, " {}={}", field::RETRY_AFTER, ms(*time))?;
            }
            writeln!(out)
        }
        Action::Abort { statement, .. } => {
            names.begin_for_statement(out, output::ABORT, *statement)?;
            writeln!(out)
        }
        Action::Probe { engine } | Action::ProbeEvacuated { engine } => {
            names.begin(out, output::PROBE)?;
            writeln!(out, " {}={}", field::ENGINE, names.engines[*engine])
        }
        // The simulator's settings contain no budget of new connections.
        Action::SetConnectionRate { .. } => Ok(()),
        Action::Subscribe => {
            names.begin(out, output::SUBSCRIBE)?;
            writeln!(out, " {}={}", field::FOLLOWS, value::YES)
        }
        Action::Wake { at } => {
            names.begin(out, output::WAKE_AT)?;
            write!(out, " {}={}", field::WAKE_AT, ms(*at))?;
            writeln!(out, " {}={}", field::WAKE_NAME, value::WAKE)
        }
    }
}

impl ReplyNames<'_> {
    fn begin(&self, out: &mut String, message: &str) -> Result {
        write!(out, "{message} {}={}", field::FRONT, self.front)
    }

    fn begin_for_statement(&self, out: &mut String, message: &str, statement: u32) -> Result {
        let number = self.statements[statement as usize];
        self.begin(out, message)?;
        write!(out, " {}={number}", field::STATEMENT)
    }
}

/// Formats a time in milliseconds, as the protocol writes it.
fn ms(time: Micros) -> String {
    format!("{}.{:03}", time / 1000, time % 1000)
}
