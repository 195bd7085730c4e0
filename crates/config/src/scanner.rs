//! Tokenizer for JSON and JSON5 texts that records the line of each token. Any text is scanned to
//! its end; the parsers decide whether it is well-formed.

use std::iter::Peekable;
use std::str::Chars;

/// A token of a text. Comments and white space produce no token.
#[derive(Debug, PartialEq)]
pub enum Token {
    /// A bracket, a brace, a comma or a colon.
    Punctuation(char),
    /// A string without its quotes and escaping backslashes, or a run of any other characters.
    Word(String),
}

/// A token and its first line, counted from 1.
#[derive(Debug, PartialEq)]
pub struct TokenOnLine {
    pub token: Token,
    pub line: usize,
}

/// Iterates over the tokens of a text.
pub struct Scanner<'a> {
    rest: Peekable<Chars<'a>>,
    line: usize,
}

impl<'a> Scanner<'a> {
    pub fn new(text: &'a str) -> Scanner<'a> {
        Scanner {
            rest: text.chars().peekable(),
            line: 1,
        }
    }

    fn advance(&mut self) -> Option<char> {
        let next = self.rest.next();
        self.line += usize::from(next == Some('\n'));
        next
    }

    fn skip_line(&mut self) {
        while self.rest.next_if(|c| *c != '\n').is_some() {}
    }

    /// Skips to the end of a block comment whose opening slash has been consumed.
    fn skip_block_comment(&mut self) {
        self.advance(); // the opening star is not part of the closing `*/`
        let mut last = ' ';
        while let Some(c) = self.advance() {
            if last == '*' && c == '/' {
                return;
            }
            last = c;
        }
    }

    /// Reads the rest of a string whose opening quote has been consumed.
    fn string(&mut self, quote: char) -> String {
        let mut text = String::new();
        while let Some(c) = self.advance().filter(|c| *c != quote) {
            text.extend(if c == '\\' { self.advance() } else { Some(c) });
        }
        text
    }

    /// Reads the rest of a word whose first character has been consumed.
    fn word(&mut self, first: char) -> String {
        let ends = |c: char| c.is_whitespace() || "{}[],:\"'/".contains(c);
        let mut text = String::from(first);
        while let Some(c) = self.rest.next_if(|c| !ends(*c)) {
            text.push(c);
        }
        text
    }
}

impl Iterator for Scanner<'_> {
    type Item = TokenOnLine;

    fn next(&mut self) -> Option<TokenOnLine> {
        loop {
            let line = self.line;
            let token = match self.advance()? {
                '/' if self.rest.peek() == Some(&'/') => {
                    self.skip_line();
                    continue;
                }
                '/' if self.rest.peek() == Some(&'*') => {
                    self.skip_block_comment();
                    continue;
                }
                quote @ ('"' | '\'') => Token::Word(self.string(quote)),
                c @ ('{' | '}' | '[' | ']' | ',' | ':') => Token::Punctuation(c),
                c if c.is_whitespace() => continue,
                c => Token::Word(self.word(c)),
            };
            return Some(TokenOnLine { token, line });
        }
    }
}

#[cfg(test)]
#[path = "scanner_tests.rs"]
mod tests;
