//! Splits SQL text into tokens; comments and white space are skipped.

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Kind {
    Word,
    /// A string, or a quoted identifier.
    Quoted,
    Number,
    Sign(u8),
    End,
}

#[derive(Clone, Copy)]
pub(super) struct Token<'a> {
    pub(super) kind: Kind,
    pub(super) text: &'a [u8],
    pub(super) at: usize,
}

impl Token<'_> {
    pub(super) fn is(&self, word: &str) -> bool {
        self.kind == Kind::Word && self.text.eq_ignore_ascii_case(word.as_bytes())
    }
}

pub(super) struct Tokens<'a> {
    pub(super) text: &'a [u8],
    pub(super) at: usize,
}

fn is_word_char(c: u8) -> bool {
    c.is_ascii_alphanumeric() || c == b'_' || c == b'$' || c >= 0x80
}

impl<'a> Tokens<'a> {
    /// Returns the offset after the quoted part that starts at `start`. A quote within it is
    /// doubled, or escaped by a backslash if `escapes`.
    fn quoted_end(&self, start: usize, quote: u8, escapes: bool) -> usize {
        let mut at = start + 1;
        while let Some(&c) = self.text.get(at) {
            at += match c {
                b'\\' if escapes => 2,
                c if c == quote && self.text.get(at + 1) == Some(&quote) => 2,
                c if c == quote => return at + 1,
                _ => 1,
            };
        }
        self.text.len()
    }

    fn comment_end(&self, start: usize) -> usize {
        let (mut at, mut depth) = (start + 2, 1);
        while depth > 0 && at < self.text.len() {
            at += match &self.text[at..] {
                [b'/', b'*', ..] => {
                    depth += 1;
                    2
                }
                [b'*', b'/', ..] => {
                    depth -= 1;
                    2
                }
                _ => 1,
            };
        }
        at.min(self.text.len())
    }

    /// Returns the offset after a string quoted by a delimiter such as `$tag$`; None if none starts
    /// here.
    fn dollar_quoted_end(&self, start: usize) -> Option<usize> {
        let rest = &self.text[start + 1..];
        let len = rest.iter().position(|c| !is_word_char(*c) || *c == b'$')?;
        if rest[len] != b'$' || rest.first().is_some_and(u8::is_ascii_digit) {
            return None;
        }
        let delimiter = &self.text[start..start + len + 2];
        let body = start + delimiter.len();
        let end = memchr::memmem::find(&self.text[body..], delimiter);
        Some(end.map_or(self.text.len(), |end| body + end + delimiter.len()))
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let at = self.at;
            let c = *self.text.get(at)?;
            let next = self.text.get(at + 1).copied().unwrap_or(0);
            let (kind, end) = match c {
                c if c.is_ascii_whitespace() => {
                    self.at += 1;
                    continue;
                }
                b'-' if next == b'-' => {
                    let end = memchr::memchr(b'\n', &self.text[at..]);
                    self.at = end.map_or(self.text.len(), |end| at + end + 1);
                    continue;
                }
                b'/' if next == b'*' => {
                    self.at = self.comment_end(at);
                    continue;
                }
                b'\'' | b'"' => (Kind::Quoted, self.quoted_end(at, c, false)),
                b'e' | b'E' if next == b'\'' => {
                    (Kind::Quoted, self.quoted_end(at + 1, b'\'', true))
                }
                b'$' => match self.dollar_quoted_end(at) {
                    Some(end) => (Kind::Quoted, end),
                    None => (Kind::Sign(c), at + 1),
                },
                b';' => (Kind::End, at + 1),
                c if c.is_ascii_digit() => {
                    let len = self.text[at..]
                        .iter()
                        .position(|c| !is_word_char(*c) && *c != b'.');
                    (Kind::Number, len.map_or(self.text.len(), |len| at + len))
                }
                c if is_word_char(c) => {
                    let len = self.text[at..].iter().position(|c| !is_word_char(*c));
                    (Kind::Word, len.map_or(self.text.len(), |len| at + len))
                }
                c => (Kind::Sign(c), at + 1),
            };
            self.at = end;
            return Some(Token {
                kind,
                text: &self.text[at..end],
                at,
            });
        }
    }
}
