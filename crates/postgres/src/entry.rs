//! How a client comes in: questions for encryption, versions, who it is and its proof.

use std::collections::BTreeMap;

use crate::answer::Final;
use crate::scram::{Exchange, Verifier, MECHANISM};
use crate::wire::{self, Opening};
use crate::ProtocolError;

const LONGEST_PROOF: usize = 4096; // bytes; those of the library's take some hundred
const MOST_QUESTIONS: usize = 2; // for encryption: there are two kinds

/// Who came in and what it said about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Welcome {
    pub user: String,
    pub database: String,
    /// All other parameters, those of `options` among them.
    pub parameters: BTreeMap<String, String>,
}

/// How a user proves who it is.
#[derive(Clone)]
pub enum Access {
    Trusted,
    Verifier(Verifier),
}

pub enum Step {
    /// More has to come.
    More,
    Cancel {
        process: u32,
        secret: u32,
    },
    Welcome(Welcome),
    /// The reason is written; the connection ends.
    Refused,
}

#[derive(Default)]
enum Stage {
    #[default]
    Opening,
    First(Welcome, Verifier),
    Last(Welcome, Exchange),
}

#[derive(Default)]
pub struct Entry {
    stage: Stage,
    questions: usize,
}

impl Entry {
    /// Takes what has come and writes what is to go back. `access` tells how a user proves itself, None for
    /// one that does not exist; `secret` hides which do; `nonce` is new for each connection.
    pub fn read(
        &mut self,
        input: &[u8],
        access: impl Fn(&str) -> Option<Access>,
        secret: &[u8],
        nonce: &str,
        out: &mut Vec<u8>,
    ) -> Result<(usize, Step), ProtocolError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match std::mem::take(&mut self.stage) {
                Stage::Opening => {
                    let Some((len, opening)) = wire::opening(rest)? else { return Ok((used, Step::More)) };
                    used += len;
                    match opening {
                        Opening::Encrypt => {
                            self.questions += 1;
                            if self.questions > MOST_QUESTIONS {
                                return Err(ProtocolError::Encryption { times: self.questions });
                            }
                            out.push(b'N');
                        }
                        Opening::Cancel { process, secret } => {
                            return Ok((used, Step::Cancel { process, secret }));
                        }
                        Opening::Other { major } => {
                            Final::NoSuchVersion { major }.write(out, true);
                            return Ok((used, Step::Refused));
                        }
                        Opening::StartUp { minor, parameters } => {
                            let unknown: Vec<&str> =
                                parameters.iter().map(|p| p.0).filter(|n| n.starts_with("_pq_.")).collect();
                            if minor > 0 || !unknown.is_empty() {
                                wire::write_version(out, &unknown);
                            }
                            let welcome = match welcome(&parameters) {
                                Ok(welcome) => welcome,
                                Err(why) => {
                                    why.write(out, true);
                                    return Ok((used, Step::Refused));
                                }
                            };
                            let verifier = match access(&welcome.user) {
                                Some(Access::Trusted) => return Ok((used, Step::Welcome(welcome))),
                                Some(Access::Verifier(verifier)) => verifier,
                                None => Verifier::of_nobody(&welcome.user, secret),
                            };
                            wire::write(out, b'R', |out| {
                                out.extend_from_slice(&10u32.to_be_bytes());
                                wire::write_string(out, MECHANISM.as_bytes());
                                out.push(0);
                            });
                            self.stage = Stage::First(welcome, verifier);
                        }
                    }
                }
                Stage::First(welcome, verifier) => {
                    let Some((body, len)) = proof(rest)? else {
                        self.stage = Stage::First(welcome, verifier);
                        return Ok((used, Step::More));
                    };
                    used += len;
                    let begun = first(body).and_then(|first| Exchange::begin(verifier, first, nonce));
                    let Some((exchange, answer)) = begun else {
                        return Ok((used, refused(&welcome, out)));
                    };
                    wire::write(out, b'R', |out| {
                        out.extend_from_slice(&11u32.to_be_bytes());
                        out.extend_from_slice(answer.as_bytes());
                    });
                    self.stage = Stage::Last(welcome, exchange);
                }
                Stage::Last(welcome, exchange) => {
                    let Some((body, len)) = proof(rest)? else {
                        self.stage = Stage::Last(welcome, exchange);
                        return Ok((used, Step::More));
                    };
                    used += len;
                    let Some(answer) = exchange.finish(body) else {
                        return Ok((used, refused(&welcome, out)));
                    };
                    wire::write(out, b'R', |out| {
                        out.extend_from_slice(&12u32.to_be_bytes());
                        out.extend_from_slice(answer.as_bytes());
                    });
                    return Ok((used, Step::Welcome(welcome)));
                }
            }
        }
    }
}

fn proof(input: &[u8]) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    match wire::message(input, LONGEST_PROOF)? {
        Some((b'p', body, len)) => Ok(Some((body, len))),
        Some((tag, ..)) => Err(ProtocolError::NoProof(tag)),
        None => match input.first() {
            Some(tag) if *tag != b'p' => Err(ProtocolError::NoProof(*tag)),
            _ => Ok(None),
        },
    }
}

/// The client's first words, behind the mechanism that it chose.
fn first(body: &[u8]) -> Option<&[u8]> {
    let mut rest = body;
    let mechanism = wire::string(&mut rest).ok()?;
    let len = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?) as usize;
    (mechanism == MECHANISM.as_bytes() && rest.len() - 4 == len).then_some(&rest[4..])
}

fn refused(welcome: &Welcome, out: &mut Vec<u8>) -> Step {
    Final::WrongPassword { user: welcome.user.clone() }.write(out, true);
    Step::Refused
}

fn welcome(parameters: &[(&str, &str)]) -> Result<Welcome, Final> {
    let mut welcome = Welcome::default();
    for (name, value) in parameters {
        match *name {
            "user" => welcome.user = value.to_string(),
            "database" => welcome.database = value.to_string(),
            "replication" if !matches!(*value, "0" | "off" | "false" | "no") => {
                return Err(Final::NotHere { why: "replication" });
            }
            "replication" => {}
            "options" => options(value, &mut welcome.parameters),
            name if name.starts_with("_pq_.") => {}
            name => _ = welcome.parameters.insert(name.to_ascii_lowercase(), value.to_string()),
        }
    }
    if welcome.user.is_empty() {
        return Err(Final::Protocol { why: ProtocolError::NoUser });
    }
    if welcome.database.is_empty() {
        welcome.database = welcome.user.clone();
    }
    Ok(welcome)
}

/// `-c name=value` and `--name=value`, spaces within a value behind a backslash.
fn options(text: &str, parameters: &mut BTreeMap<String, String>) {
    let mut words: Vec<String> = vec![String::new()];
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => words.last_mut().into_iter().for_each(|word| word.extend(chars.next())),
            c if c.is_whitespace() => words.push(String::new()),
            c => words.last_mut().into_iter().for_each(|word| word.push(c)),
        }
    }
    for word in words.iter().filter(|word| !word.is_empty()) {
        let pair = word.strip_prefix("--").or(word.strip_prefix("-c")).unwrap_or(word);
        if let Some((name, value)) = pair.split_once('=') {
            parameters.insert(name.replace('-', "_").to_ascii_lowercase(), value.to_string());
        }
    }
}

#[cfg(test)]
#[path = "entry_tests.rs"]
mod tests;
