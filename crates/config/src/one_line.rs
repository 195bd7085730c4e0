//! Display of arbitrary text on a single line.

use std::fmt::{self, Write};

/// Displays a value on one line: line breaks and other control characters are written as escapes,
/// like `\n`.
///
/// Text quoted from a file, a client or an engine could otherwise split an error or a log record
/// into several lines, or send control sequences to an operator's terminal.
pub struct OneLine<T>(pub T);

impl<T: fmt::Display> fmt::Display for OneLine<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(Escaping(f), "{}", self.0)
    }
}

struct Escaping<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl Write for Escaping<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let mut rest = text;
        while let Some(at) = rest.find(breaks_line) {
            self.0.write_str(&rest[..at])?;
            let mut after = rest[at..].chars();
            for escaped in after.by_ref().take(1).flat_map(char::escape_default) {
                self.0.write_char(escaped)?;
            }
            rest = after.as_str();
        }
        self.0.write_str(rest)
    }
}

/// Whether a character is a control character or one of Unicode's line and paragraph separators.
fn breaks_line(c: char) -> bool {
    c.is_control() || matches!(c, '\u{2028}' | '\u{2029}')
}
