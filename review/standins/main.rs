//! Stand-ins and checks of the cases of the review: `standins CASE RECORD`. Exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run.

mod common;
mod lines;
mod order;
mod parts;
mod postgres;
mod shutdown;

use std::process::ExitCode;
use std::time::Duration;

use common::{Failure, Record};

/// Whether the rule held.
pub type Verdict = Result<bool, Failure>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("standins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(2);
        }
    };
    // No case takes longer than this; the fronts end with the process.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        eprintln!("could not run: it took too long");
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "parts" => parts::run(&record),
        "shutdown" => shutdown::run(&record),
        "order" => order::run(&record),
        other => Err(format!("no case '{other}'")),
    };
    let (text, code) = match verdict {
        Ok(true) => ("the rule held".to_string(), 0),
        Ok(false) => ("THE RULE WAS BROKEN".to_string(), 1),
        Err(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
