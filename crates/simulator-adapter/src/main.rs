//! Plays hallmux on the simulator's protocol, over standard input and output: batches of events in, one reply for each
//! out. `adapter` holds the protocol's state, `simulated_front` one front and its decisions, `line` and `reply` read
//! and write lines, and `wire_names` maps the protocol's names to the terms of the code.

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
