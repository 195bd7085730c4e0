//! Unit tests of the `scanner` module.

use super::{Scanner, Token};

fn tokens(text: &str) -> Vec<(String, usize)> {
    let shown = |token| match token {
        Token::Punctuation(c) => c.to_string(),
        Token::Word(word) => format!("<{word}>"),
    };
    Scanner::new(text)
        .map(|found| (shown(found.token), found.line))
        .collect()
}

fn expected(tokens: &[(&str, usize)]) -> Vec<(String, usize)> {
    tokens
        .iter()
        .map(|(token, line)| (token.to_string(), *line))
        .collect()
}

#[test]
fn each_token_has_its_first_line() {
    let text = "{ // a: 1\n a: 1.5e3, /* b:\n 2 */ 'c d'\n:[ \"e\\\"f\",true/**/]}";
    let found = [
        ("{", 1),
        ("<a>", 2),
        (":", 2),
        ("<1.5e3>", 2),
        (",", 2),
        ("<c d>", 3),
        (":", 4),
        ("[", 4),
    ];
    let more = [("<e\"f>", 4), (",", 4), ("<true>", 4), ("]", 4), ("}", 4)];
    assert_eq!(tokens(text), expected(&[&found[..], &more].concat()));
}

#[test]
fn line_break_within_a_string_is_counted() {
    assert_eq!(tokens("'a\\\nb' c"), expected(&[("<a\nb>", 1), ("<c>", 2)]));
}

#[test]
fn opening_star_of_a_comment_does_not_close_it() {
    assert_eq!(tokens("/*/ a */ b"), expected(&[("<b>", 1)]));
}

#[test]
fn unclosed_string_or_comment_ends_with_the_text() {
    for (text, found) in [
        ("'a", "<a>"),
        ("a /* b", "<a>"),
        ("a // b", "<a>"),
        ("'a\\", "<a>"),
        ("a /", "<a>"),
    ] {
        assert_eq!(tokens(text)[0], (found.to_string(), 1), "{text}");
    }
    assert!(tokens("").is_empty());
}
