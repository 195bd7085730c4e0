//! Recognizes statements that control a session and read no table.

const KEYWORDS: [&str; 12] = [
    "begin",
    "start",
    "commit",
    "end",
    "rollback",
    "abort",
    "savepoint",
    "release",
    "set",
    "show",
    "reset",
    "discard",
];

/// Whether a text is a single statement that begins with a session control keyword, so that it
/// reads no table.
pub fn reads_no_table(text: &[u8]) -> bool {
    let text = text.trim_ascii();
    let text = text.strip_suffix(b";").unwrap_or(text);
    let keyword_len = text
        .iter()
        .position(|c| !c.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let is_keyword = |word: &&str| text[..keyword_len].eq_ignore_ascii_case(word.as_bytes());
    !text.contains(&b';') && KEYWORDS.iter().any(is_keyword)
}
