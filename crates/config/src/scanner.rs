//! The tokens of a JSON or JSON5 text, each with its line. Any text is scanned to its end; whether it is
//! well-formed is for the readers to say.

use std::iter::Peekable;
use std::str::Chars;

/// A token; comments and white space are none.
#[derive(Debug, PartialEq)]
pub enum Token {
    /// A bracket, a brace, a comma or a colon.
    Punctuation(char),
    /// A string without its quotes and backslashes, or a run of any other characters.
    Word(String),
}

/// A token and the line on which it begins, counted from 1.
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

    /// Skips to the end of a block comment of which the slash is behind.
    fn skip_block_comment(&mut self) {
        self.advance(); // the star that opens it does not close it
        let mut last = ' ';
        while let Some(c) = self.advance() {
            if last == '*' && c == '/' {
                return;
            }
            last = c;
        }
    }

    /// The rest of a string of which the opening quote is behind.
    fn string(&mut self, quote: char) -> String {
        let mut text = String::new();
        while let Some(c) = self.advance().filter(|c| *c != quote) {
            text.extend(if c == '\\' { self.advance() } else { Some(c) });
        }
        text
    }

    /// The rest of a word that begins with a character.
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
