//! The simulator's lines: reading fields, writing actions.

use std::fmt::Write;
use std::str::FromStr;

use hallmux::interface::{Action, Micros, Report};

use hallmux_config::micros;

/// One line, taken apart into its message and its fields.
pub struct Line<'a> {
    pub message: &'a str,
    fields: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        let (message, fields) = text.split_once(' ').unwrap_or((text, ""));
        Line { message, fields }
    }

    fn find(&self, name: &str) -> Option<&'a str> {
        self.fields
            .split(' ')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    /// A field that reaches to the end of the line.
    pub fn text(&self, name: &str) -> Result<&'a str, String> {
        let starts = |at: usize| at == 0 || self.fields.as_bytes()[at - 1] == b' ';
        let label = format!("{name}=");
        let found = self
            .fields
            .match_indices(&label)
            .find(|(at, _)| starts(*at));
        let (at, _) = found.ok_or_else(|| format!("field '{name}' is missing"))?;
        Ok(&self.fields[at + label.len()..])
    }

    pub fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        let read = |v: &str| {
            v.parse()
                .map_err(|_| format!("field '{name}' cannot be read: '{v}'"))
        };
        self.find(name).map(read).transpose()
    }

    pub fn field<T: FromStr>(&self, name: &str) -> Result<T, String> {
        self.optional(name)?
            .ok_or_else(|| format!("field '{name}' is missing"))
    }

    pub fn number(&self, name: &str) -> Result<f64, String> {
        let value: f64 = self.field(name)?;
        value
            .is_finite()
            .then_some(value)
            .ok_or_else(|| format!("field '{name}' is no number"))
    }

    pub fn number_or(&self, name: &str, absent: f64) -> Result<f64, String> {
        if self.find(name).is_some() {
            self.number(name)
        } else {
            Ok(absent)
        }
    }

    pub fn time(&self, name: &str) -> Result<Micros, String> {
        self.number(name).map(micros)
    }

    pub fn flag(&self, name: &str) -> Result<bool, String> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("field '{name}' is neither 0 nor 1: '{other}'")),
        }
    }

    pub fn report(&self) -> Result<Option<Report>, String> {
        let Some(row) = self.find("gauge").filter(|row| !row.is_empty()) else {
            return Ok(None);
        };
        let value = |v: &str| v.parse::<f64>().ok().filter(|v| v.is_finite());
        let read: Option<Report> = row.split(',').map(value).collect();
        read.map(Some)
            .ok_or_else(|| format!("field 'gauge' cannot be read: '{row}'"))
    }
}

fn ms(time: Micros) -> String {
    format!("{}.{:03}", time / 1000, time % 1000)
}

/// Appends the line for one action; `statements` and `engines` give back the wire's own ids.
pub fn write(out: &mut String, who: i64, action: &Action, statements: &[u32], engines: &[String]) {
    let req = |s: &u32| statements[*s as usize];
    let done = match action {
        Action::Terms {
            statement,
            grant_mb,
            priority,
        } => writeln!(
            out,
            "PROVIDE who={who} req={} memoryGrant={grant_mb:.1} prio={priority}",
            req(statement)
        ),
        Action::Execute { statement, engine } => {
            writeln!(
                out,
                "CALL_OUT who={who} req={} engine={}",
                req(statement),
                engines[*engine]
            )
        }
        Action::Cancel {
            statement,
            execution,
        } => {
            writeln!(
                out,
                "RETRACT who={who} req={} seqNo={execution}",
                req(statement)
            )
        }
        Action::Reject {
            statement,
            retry_after,
            ..
        } => {
            let _ = write!(out, "SHED who={who} req={}", req(statement));
            match retry_after {
                Some(time) => writeln!(out, " retryInMs={}", ms(*time)),
                None => writeln!(out),
            }
        }
        Action::Abort { statement, .. } => writeln!(out, "FAIL who={who} req={}", req(statement)),
        Action::Probe { engine } | Action::ProbeEvacuated { engine } => {
            writeln!(out, "PROBE who={who} engine={}", engines[*engine])
        }
        // The settings name no such budget here.
        Action::Pace { .. } => Ok(()),
        Action::Subscribe => writeln!(out, "SUBSCRIBE who={who} enable=1"),
        Action::Wake { at } => writeln!(out, "SET_ALARM who={who} fireAtMs={} ref=wake", ms(*at)),
    };
    debug_assert!(done.is_ok(), "writing to a string cannot fail");
}
