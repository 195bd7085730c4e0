//! Parses one line of the simulator into its message and fields.

use std::str::FromStr;

use hallmux::interface::{LoadReport, Micros};
use hallmux_config::micros;

use crate::error::LineError;
use crate::wire_names::field;

/// A line, split into its message and its `name=value` fields.
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

    /// The text of a field that extends to the end of the line.
    pub fn text(&self, name: &'static str) -> Result<&'a str, LineError> {
        let label = format!("{name}=");
        let starts_field = |at: usize| at == 0 || self.fields.as_bytes()[at - 1] == b' ';
        let mut matches = self.fields.match_indices(&label).map(|(at, _)| at);
        let at = matches
            .find(|at| starts_field(*at))
            .ok_or(LineError::MissingField(name))?;
        Ok(&self.fields[at + label.len()..])
    }

    /// The value of an optional field; None if it is missing.
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

    /// The value of a required field.
    pub fn field<T: FromStr>(&self, name: &'static str) -> Result<T, LineError> {
        self.optional(name)?.ok_or(LineError::MissingField(name))
    }

    /// The value of a required field that holds a finite number.
    pub fn number(&self, name: &'static str) -> Result<f64, LineError> {
        let value: f64 = self.field(name)?;
        if !value.is_finite() {
            return Err(LineError::NotANumber(name));
        }
        Ok(value)
    }

    /// The value of a field that holds a finite number; `absent` if it is missing.
    pub fn number_or(&self, name: &'static str, absent: f64) -> Result<f64, LineError> {
        if self.find(name).is_none() {
            return Ok(absent);
        }
        self.number(name)
    }

    /// The value of a required field that holds a time in milliseconds.
    pub fn time(&self, name: &'static str) -> Result<Micros, LineError> {
        self.number(name).map(micros)
    }

    /// The value of a field that holds 0 or 1; false if it is missing.
    pub fn flag(&self, name: &'static str) -> Result<bool, LineError> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(LineError::NotAFlag {
                field: name,
                value: other.to_string(),
            }),
        }
    }

    /// The load report of an engine; None if the line has none.
    pub fn load_report(&self) -> Result<Option<LoadReport>, LineError> {
        let Some(text) = self
            .find(field::LOAD_REPORT)
            .filter(|text| !text.is_empty())
        else {
            return Ok(None);
        };
        let figure = |text: &str| text.parse::<f64>().ok().filter(|value| value.is_finite());
        let report: Option<LoadReport> = text.split(',').map(figure).collect();
        let unreadable = || LineError::UnreadableField {
            field: field::LOAD_REPORT,
            value: text.to_string(),
        };
        report.map(Some).ok_or_else(unreadable)
    }
}
