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
            self.lists.entry(list).or_default().push(Listing::read(&line)?);
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
                let agreement = hallmux_agreement::agreement(line.text("options")?)?;
                let fresh = Instance::new(agreement, line.field("randomSeed")?);
                self.instances.insert(line.field("who")?, fresh);
            }
            "DOWN" => {
                self.instances.remove(&line.field("who")?);
            }
            _ => {
                let who: i64 = line.field("who")?;
                let instance = self.instances.get_mut(&who).ok_or("the instance was not started")?;
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
                    drill.reply.push_str(&format!("BAIL_OUT who={who} words={complaint}\n"));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: &str = r#"ATTACH who=3 randomSeed=7 options={"instances": 1, "rules": {}, "kinds": ["a"],
 "requestClasses": [{"aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable", "worth": 1}],
 "extra": {"sizeCores": [8], "memoryByKindMb": [16384]}}"#;

    fn play(lines: &[&str]) -> (Vec<String>, String) {
        let mut drill = Drill::default();
        let start = START.replace('\n', "");
        let mut all = vec!["BEGIN_BATCH clockMs=5.25", &start];
        all.extend(lines);
        let errors = all.iter().filter_map(|line| drill.take(line).err()).collect();
        (errors, drill.reply)
    }

    const FLEET: [&str; 3] = [
        "LEDGER ref=0 entries=1",
        "ENTRY engine=e1 campus=0 classOfHost=0 group=0 mode=Ready weight=1",
        "FLEET who=3 form=cached version=1 ref=0",
    ];

    #[test]
    fn a_statement_is_sent_under_its_own_id() {
        let mut lines = FLEET.to_vec();
        lines.extend(["JOB_IN who=3 req=1564119492 cls=0 expiresInMs=240.0 later=1", "EOF_BATCH"]);
        let (errors, reply) = play(&lines);
        assert!(errors.is_empty(), "{errors:?}");
        assert!(reply.contains("CALL_OUT who=3 req=1564119492 engine=e1"), "{reply}");
        assert!(reply.ends_with("FINISHED\n"));
    }

    #[test]
    fn unknown_and_ended_ids_are_passed_over() {
        let gone = [
            "GONE who=3 req=9",
            "RETURNED who=3 req=9 seqNo=0 engine=e1 status=pass delaySeenMs=1 settled=1",
        ];
        let (errors, reply) = play(&[&FLEET[..], &gone, &["RING who=3 ref=old", "EOF_BATCH"]].concat());
        assert!(errors.is_empty(), "{errors:?}");
        assert!(!reply.contains("req=9"), "{reply}");
    }

    #[test]
    fn bad_lines_are_named_and_end_nothing() {
        for (line, said) in [
            ("HELLO who=3", "unknown message 'HELLO'"),
            ("RING who=4 ref=x", "the instance was not started"),
            ("JOB_IN who=3 req=1 cls=0", "field 'expiresInMs' is missing"),
            ("JOB_IN who=3 req=1 cls=7 expiresInMs=5", "no workload 7"),
            ("JOB_IN who=3 req=x cls=0 expiresInMs=5", "field 'req' cannot be read: 'x'"),
            ("JOB_IN who=3 req=1 cls=0 expiresInMs=nan", "field 'expiresInMs' is no number"),
            ("FLEET who=3 form=odd version=1 ref=0", "form: unknown word 'odd'"),
            ("FLEET who=3 form=full version=1 ref=9", "list 9 was never sent"),
            ("ATTACH who=5 randomSeed=1 options={", "options: "),
        ] {
            let (errors, reply) = play(&[line, "EOF_BATCH"]);
            assert_eq!(errors.len(), 1, "{line}");
            assert!(errors[0].contains(said), "{line}: {errors:?}");
            assert!(reply.ends_with("FINISHED\n"));
        }
    }

    #[test]
    fn a_list_number_used_again_means_its_latest_list() {
        let again = [
            "LEDGER ref=0 entries=1",
            "ENTRY engine=e2 campus=0 classOfHost=0 group=0 mode=Ready weight=1",
            "FLEET who=3 form=full version=2 ref=0",
            "JOB_IN who=3 req=5 cls=0 expiresInMs=4000",
            "EOF_BATCH",
        ];
        let (_, reply) = play(&[&FLEET[..], &again].concat());
        assert!(reply.contains("CALL_OUT who=3 req=5 engine=e2"), "{reply}");
    }
}
