//! Plays hallmux on the simulator's wire: batches of events in, one reply for each out.

mod instance;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use instance::{Instance, Listing};
use wire::Line;

/// All instances of this process and the numbered engine lists of the wire.
#[derive(Default)]
struct Drill {
    instances: BTreeMap<i64, Instance>,
    lists: BTreeMap<u32, Vec<Listing>>,
    /// The list being read and how many of its entries are still to come.
    filling: Option<(u32, usize)>,
    now: i64,
    reply: String,
}

impl Drill {
    /// Takes one line; a whole batch leaves its reply in `reply` and answers true.
    fn take(&mut self, text: &str) -> Result<bool, String> {
        let line = Line::new(text);
        if let Some((list, left)) = self.filling {
            if line.message != "ENTRY" {
                self.filling = None;
                return Err(format!("list {list}: {left} more entries expected"));
            }
            self.filling = (left > 1).then_some((list, left - 1));
            self.lists
                .entry(list)
                .or_default()
                .push(Listing::read(&line)?);
            return Ok(false);
        }
        match line.message {
            "BEGIN_BATCH" => self.now = line.time("clockMs")?,
            "EOF_BATCH" => {
                for (who, instance) in &mut self.instances {
                    instance.answer(self.now, *who, &mut self.reply);
                }
                self.reply.push_str("FINISHED\n");
                return Ok(true);
            }
            "LEDGER" => {
                let list: u32 = line.field("ref")?;
                let entries: usize = line.field("entries")?;
                self.lists.insert(list, Vec::new());
                self.filling = (entries > 0).then_some((list, entries));
            }
            "ATTACH" => {
                let agreement = hallmux_config::Settings::parse(line.text("options")?)?.agreement;
                let fresh = Instance::new(agreement, line.field("randomSeed")?);
                self.instances.insert(line.field("who")?, fresh);
            }
            "DOWN" => {
                self.instances.remove(&line.field("who")?);
            }
            _ => {
                let who: i64 = line.field("who")?;
                let instance = self
                    .instances
                    .get_mut(&who)
                    .ok_or("the instance was not started")?;
                instance.take(&line, &self.lists)?;
            }
        }
        Ok(false)
    }
}

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut drill = Drill::default();
    let mut text = Vec::new();
    let mut number = 0u64;
    loop {
        text.clear();
        if input.read_until(b'\n', &mut text)? == 0 {
            return Ok(());
        }
        number += 1;
        let read = std::str::from_utf8(&text).map_err(|_| "not UTF-8".to_string());
        let read = read.map(|t| t.trim_end_matches(['\r', '\n']));
        let taken = match read {
            Ok("") => continue,
            Ok(line) => drill.take(line).map_err(|wrong| (line, wrong)),
            Err(wrong) => Err(("", wrong)),
        };
        match taken {
            Ok(false) => {}
            Ok(true) => {
                output.write_all(drill.reply.as_bytes())?;
                output.flush()?;
                drill.reply.clear();
            }
            Err((line, wrong)) => {
                let start: String = line.chars().take(120).collect();
                let complaint = format!("line {number}: {wrong}, in '{start}'");
                eprintln!("hallmux-drill: {complaint}");
                if let Ok(who) = Line::new(line).field::<i64>("who") {
                    drill
                        .reply
                        .push_str(&format!("BAIL_OUT who={who} words={complaint}\n"));
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "main_tests.rs"]
mod tests;
