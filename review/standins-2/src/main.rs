//! The cases of the review: `review-cases NAME FOLDER` plays one and writes `record.txt` there.
//! Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With the variable
//! TROUBLE=0 the same is played without the disruption.

mod cases;
mod coordinator;
mod front;
mod lines;
mod net;
mod pg;
mod record;
mod settings;
mod thrift;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
}

pub struct Case {
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

pub type Outcome = Result<Verdict, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("review-cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {name}, with the disruption: {trouble}"));
    // Nothing may outlast the time of a case.
    let watched = record.clone();
    std::thread::spawn(move || {
        record::sleep_ms(115_000.0);
        watched.line("the case took too long");
        eprintln!("the case took too long");
        front::end_all();
        std::process::exit(2);
    });
    let case = Case {
        record: record.clone(),
        trouble,
    };
    let (text, code) = match cases::play(name, &case) {
        Ok(Verdict::Held(why)) => (format!("HELD: {why}"), 0),
        Ok(Verdict::Broken(why)) => (format!("BROKEN: {why}"), 1),
        Err(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
