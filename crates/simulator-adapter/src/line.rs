//! One line of the simulator, taken apart into its message and its fields.

use std::str::FromStr;

use hallmux::interface::{LoadReport, Micros};
use hallmux_config::micros;

use crate::error::LineError;
use crate::wire_names::field;

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
    pub fn text(&self, name: &'static str) -> Result<&'a str, LineError> {
        let label = format!("{name}=");
        let begins_field = |at: usize| at == 0 || self.fields.as_bytes()[at - 1] == b' ';
        let mut places = self.fields.match_indices(&label).map(|(at, _)| at);
        let at = places
            .find(|at| begins_field(*at))
            .ok_or(LineError::MissingField(name))?;
        Ok(&self.fields[at + label.len()..])
    }

    /// A field that may be missing.
    pub fn optional<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, LineError> {
        let Some(value) = self.find(name) else {
            return Ok(None);
        };
        let unreadable = |_| LineError::UnreadableField {
            field: name,
            value: value.to_string(),
        };
        value.parse().map(Some).map_err(unreadable)
    }

    pub fn field<T: FromStr>(&self, name: &'static str) -> Result<T, LineError> {
        self.optional(name)?.ok_or(LineError::MissingField(name))
    }

    /// A finite number.
    pub fn number(&self, name: &'static str) -> Result<f64, LineError> {
        let value: f64 = self.field(name)?;
        if !value.is_finite() {
            return Err(LineError::NoNumber(name));
        }
        Ok(value)
    }

    /// A finite number; `absent` where the field is missing.
    pub fn number_or(&self, name: &'static str, absent: f64) -> Result<f64, LineError> {
        if self.find(name).is_none() {
            return Ok(absent);
        }
        self.number(name)
    }

    /// A time, which the line has in milliseconds.
    pub fn time(&self, name: &'static str) -> Result<Micros, LineError> {
        self.number(name).map(micros)
    }

    /// 0 or 1; 0 where the field is missing.
    pub fn flag(&self, name: &'static str) -> Result<bool, LineError> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(LineError::NoFlag {
                field: name,
                value: other.to_string(),
            }),
        }
    }

    /// The load report of an engine, where the line has one.
    pub fn load_report(&self) -> Result<Option<LoadReport>, LineError> {
        let Some(row) = self.find(field::LOAD_REPORT).filter(|row| !row.is_empty()) else {
            return Ok(None);
        };
        let figure = |text: &str| text.parse::<f64>().ok().filter(|value| value.is_finite());
        let report: Option<LoadReport> = row.split(',').map(figure).collect();
        let unreadable = || LineError::UnreadableField {
            field: field::LOAD_REPORT,
            value: row.to_string(),
        };
        report.map(Some).ok_or_else(unreadable)
    }
}
