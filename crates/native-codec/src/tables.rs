//! Finds the table groups that a statement reads or writes, by the names of its schemas:
//! `sales_17.orders` is in group 17. Strings and comments are skipped.

/// The schema, without its number, whose tables belong to no group.
const UNGROUPED_SCHEMA: &[u8] = b"staging";

/// A table group found in a statement.
struct FoundGroup<'a> {
    number: u32,
    /// The text after the schema name.
    rest: &'a [u8],
}

/// Returns the first table group in a statement, if there is one.
pub fn group(statement: &[u8]) -> Option<u32> {
    next_group(statement).map(|found| found.number)
}

/// Returns the table groups in a statement, each once, in order of first use. The search ends after
/// `max + 1` groups, so that a caller can tell that there are more than `max`.
pub fn groups(statement: &[u8], max: usize) -> Vec<u32> {
    let mut groups = Vec::new();
    let mut rest = statement;
    while groups.len() <= max {
        let Some(found) = next_group(rest) else { break };
        if !groups.contains(&found.number) {
            groups.push(found.number);
        }
        rest = found.rest;
    }
    groups
}

/// Returns the next table group in the text.
fn next_group(statement: &[u8]) -> Option<FoundGroup<'_>> {
    let mut rest = statement;
    while let Some(&first) = rest.first() {
        rest = match first {
            b'\'' => after_quote(rest, b'\''),
            b'-' if rest.starts_with(b"--") => after(rest, b"\n", 2),
            b'/' if rest.starts_with(b"/*") => after_comment(rest),
            b'"' | b'`' => {
                let after_name = after_quote(rest, first);
                let quoted = &rest[1..rest.len() - after_name.len()];
                let name = quoted.strip_suffix(&[first]).unwrap_or(quoted);
                if let Some(number) = group_of_schema(name, after_name) {
                    return Some(FoundGroup {
                        number,
                        rest: after_name,
                    });
                }
                after_name
            }
            c if is_name_char(c) => {
                let len = rest
                    .iter()
                    .position(|c| !is_name_char(*c))
                    .unwrap_or(rest.len());
                let (name, after_name) = rest.split_at(len);
                if let Some(number) = group_of_schema(name, after_name) {
                    return Some(FoundGroup {
                        number,
                        rest: after_name,
                    });
                }
                after_name
            }
            _ => &rest[1..],
        };
    }
    None
}

/// Whether a byte may occur in an unquoted name.
fn is_name_char(c: u8) -> bool {
    c.is_ascii_alphanumeric() || c == b'_' || c == b'$' || c >= 0x80
}

/// Returns the number after the last underscore of a name, if the text after the name shows that it
/// is a schema name.
fn group_of_schema(name: &[u8], after_name: &[u8]) -> Option<u32> {
    let after_dot = after_name.trim_ascii_start().strip_prefix(b".")?;
    let first = after_dot.trim_ascii_start().first()?;
    let qualifies = is_name_char(*first) || matches!(first, b'"' | b'`');
    let underscore = name.iter().rposition(|c| *c == b'_')?;
    let digits = std::str::from_utf8(&name[underscore + 1..]).ok()?;
    let is_number = !digits.is_empty() && digits.bytes().all(|c| c.is_ascii_digit());
    let is_grouped = !name[..underscore].eq_ignore_ascii_case(UNGROUPED_SCHEMA);
    if !qualifies || !is_number || !is_grouped {
        return None;
    }
    digits.parse().ok()
}

/// Returns the text after the first `end` from an offset on; empty if there is none.
fn after<'a>(text: &'a [u8], end: &[u8], from: usize) -> &'a [u8] {
    let found = text[from..].windows(end.len()).position(|w| w == end);
    found.map_or(&[], |at| &text[from + at + end.len()..])
}

/// Returns the text after a quoted part; a quote within it is doubled.
fn after_quote(text: &[u8], quote: u8) -> &[u8] {
    let mut rest = after(text, &[quote], 1);
    while rest.first() == Some(&quote) {
        rest = after(rest, &[quote], 1);
    }
    rest
}

/// Returns the text after a comment; comments may be nested.
fn after_comment(text: &[u8]) -> &[u8] {
    let (mut rest, mut depth) = (&text[2..], 1);
    while depth > 0 && !rest.is_empty() {
        let step = if rest.starts_with(b"/*") {
            depth += 1;
            2
        } else if rest.starts_with(b"*/") {
            depth -= 1;
            2
        } else {
            1
        };
        rest = &rest[step..];
    }
    rest
}

#[cfg(test)]
#[path = "tables_tests.rs"]
mod tests;
