//! The state of the simulator's protocol: all simulated fronts of this process, and the engine
//! lists received for them.

use std::collections::BTreeMap;

use hallmux::interface::Micros;

use crate::error::LineError;
use crate::line::Line;
use crate::simulated_front::{ListedEngine, SimulatedFront};
use crate::wire_names::{field, input, output};

/// The number of characters of a bad line that its error report quotes.
const MAX_QUOTED: usize = 120;

/// What the caller must do after a line was handled.
#[derive(Debug, PartialEq)]
pub enum NextStep {
    /// Read the next line.
    ReadLine,
    /// Send the result of [`Adapter::take_reply`], because a batch has ended.
    SendReply,
}

/// An engine list of which not all entries were received.
#[derive(Clone, Copy)]
struct OpenList {
    number: u32,
    missing: usize,
}

/// The simulated fronts and the engine lists by their numbers in the protocol, and the reply to the
/// current batch.
#[derive(Default)]
pub struct Adapter {
    fronts: BTreeMap<i64, SimulatedFront>,
    lists: BTreeMap<u32, Vec<ListedEngine>>,
    open_list: Option<OpenList>,
    now: Micros,
    reply: String,
}

impl Adapter {
    /// Handles one line, without its line ending.
    pub fn handle_line(&mut self, text: &str) -> Result<NextStep, LineError> {
        let line = Line::new(text);
        if let Some(list) = self.open_list {
            self.add_list_entry(list, &line)?;
            return Ok(NextStep::ReadLine);
        }
        match line.message {
            input::BATCH_BEGINS => self.now = line.time(field::NOW)?,
            input::BATCH_ENDS => {
                self.write_reply();
                return Ok(NextStep::SendReply);
            }
            input::LIST_BEGINS => self.begin_list(&line)?,
            input::FRONT_STARTS => self.start_front(&line)?,
            input::FRONT_ENDS => {
                self.fronts.remove(&line.field(field::FRONT)?);
            }
            _ => {
                let number: i64 = line.field(field::FRONT)?;
                let front = self.fronts.get_mut(&number);
                let front = front.ok_or(LineError::UnknownFront)?;
                front.handle_line(&line, &self.lists)?;
            }
        }
        Ok(NextStep::ReadLine)
    }

    /// Removes and returns the reply so far.
    pub fn take_reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    /// Reports a bad line on standard error and, if it names a front, in the reply. `line_number`
    /// counts from 1.
    pub fn report_bad_line(&mut self, line_number: u64, text: &str, error: &LineError) {
        let quoted: String = text.chars().take(MAX_QUOTED).collect();
        let message = format!("line {line_number}: {error}, in '{quoted}'");
        eprintln!("hallmux-drill: {message}");
        if let Ok(front) = Line::new(text).field::<i64>(field::FRONT) {
            self.reply.push_str(&format!(
                "{} {}={front} {}={message}\n",
                output::BAD_LINE,
                field::FRONT,
                field::REASON
            ));
        }
    }

    fn begin_list(&mut self, line: &Line) -> Result<(), LineError> {
        let number: u32 = line.field(field::LIST)?;
        let missing: usize = line.field(field::LIST_LENGTH)?;
        self.lists.insert(number, Vec::new());
        self.open_list = (missing > 0).then_some(OpenList { number, missing });
        Ok(())
    }

    fn add_list_entry(&mut self, list: OpenList, line: &Line) -> Result<(), LineError> {
        let OpenList { number, missing } = list;
        if line.message != input::LIST_ENTRY {
            self.open_list = None;
            return Err(LineError::IncompleteList {
                list: number,
                missing,
            });
        }
        self.open_list = (missing > 1).then_some(OpenList {
            number,
            missing: missing - 1,
        });
        let engine = ListedEngine::read(line)?;
        self.lists.entry(number).or_default().push(engine);
        Ok(())
    }

    fn start_front(&mut self, line: &Line) -> Result<(), LineError> {
        let settings = hallmux_config::Settings::parse(line.text(field::SETTINGS)?)
            .map_err(LineError::Settings)?;
        let front = SimulatedFront::new(settings.agreement, line.field(field::SEED)?);
        self.fronts.insert(line.field(field::FRONT)?, front);
        Ok(())
    }

    fn write_reply(&mut self) {
        for (number, front) in &mut self.fronts {
            front.decide(self.now, *number, &mut self.reply);
        }
        self.reply.push_str(output::REPLY_ENDS);
        self.reply.push('\n');
    }
}

#[cfg(test)]
#[path = "adapter_tests.rs"]
mod tests;
