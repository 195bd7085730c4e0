//! Runs hallmux schedulers for the simulator over standard input and output: reads batches of
//! events and writes one reply to each.
//!
//! `adapter` holds the protocol's state, `simulated_front` the state of one front and its
//! decisions. `line` parses lines, `error` lists what can be wrong with them, and `reply` writes
//! decisions. `wire_names` maps the protocol's names to the terms of the code.

mod adapter;
mod error;
mod line;
mod reply;
mod simulated_front;
mod wire_names;

use std::io::{self, BufRead, Write};

use adapter::{Adapter, NextStep};
use error::LineError;

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    let mut line_number = 0u64;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        line_number += 1;
        let Ok(text) = std::str::from_utf8(&bytes) else {
            adapter.report_bad_line(line_number, "", &LineError::NotUtf8);
            continue;
        };
        let text = text.trim_end_matches(['\r', '\n']);
        if text.is_empty() {
            continue;
        }
        match adapter.handle_line(text) {
            Ok(NextStep::ReadLine) => {}
            Ok(NextStep::SendReply) => {
                output.write_all(adapter.take_reply().as_bytes())?;
                output.flush()?;
            }
            Err(error) => adapter.report_bad_line(line_number, text, &error),
        }
    }
}
