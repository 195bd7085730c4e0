//! The startup of a client's connection: encryption requests, protocol versions, the client's
//! parameters and its authentication.

use std::collections::BTreeMap;

use crate::client_error::ClientError;
use crate::scram::{Exchange, Verifier, MECHANISM};
use crate::wire::{self, CancelKey, InitialMessage, Message};
use crate::ProtocolError;

/// The maximum length of a message of the SCRAM exchange, in bytes; client libraries send some
/// hundred.
const MAX_PROOF_BYTES: usize = 4096;
/// The maximum number of encryption requests: there are two kinds, TLS and GSSAPI.
const MAX_ENCRYPTION_REQUESTS: usize = 2;

// Codes of the protocol's authentication messages.
const SASL: u32 = 10;
const SASL_CONTINUE: u32 = 11;
const SASL_FINAL: u32 = 12;

/// A client, described by the parameters of its startup message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Client {
    /// The user's name.
    pub user: String,
    /// The database's name; the user's name if the client sent none.
    pub database: String,
    /// All other parameters, including those in `options`.
    pub parameters: BTreeMap<String, String>,
}

/// The authentication that a user needs.
#[derive(Clone)]
pub enum Authentication {
    /// No authentication.
    Trust,
    /// SCRAM-SHA-256 with this verifier.
    Scram(Verifier),
}

/// The result of reading the input of a connection during startup.
pub enum StartupStep {
    /// The input holds no complete message.
    Incomplete,
    /// The connection carries a cancel request, and ends.
    Cancel(CancelKey),
    /// The client is authenticated; its session starts.
    Accepted(Client),
    /// The client is rejected with an error that was written; the connection ends.
    Refused,
}

#[derive(Default)]
enum Stage {
    /// The startup message has not yet arrived.
    #[default]
    Startup,
    /// The client's first SCRAM message is expected.
    InitialResponse(Client, Verifier),
    /// The client's final SCRAM message, with its proof, is expected.
    Proof(Client, Exchange),
}

/// The state of a connection during startup.
#[derive(Default)]
pub struct Startup {
    stage: Stage,
    encryption_requests: usize,
}

impl Startup {
    /// Reads `input` and writes the answers to `out`; returns the number of bytes consumed with the
    /// step reached. `authentication` returns how a user authenticates, None for an unknown user;
    /// `secret` is the key by which unknown users get a verifier, so that a client can't tell them
    /// apart; `nonce` must be new for each connection. Must not be called again after any step but
    /// `Incomplete`.
    pub fn read(
        &mut self,
        input: &[u8],
        authentication: impl Fn(&str) -> Option<Authentication>,
        secret: &[u8],
        nonce: &str,
        out: &mut Vec<u8>,
    ) -> Result<(usize, StartupStep), ProtocolError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            let step = match std::mem::take(&mut self.stage) {
                Stage::Startup => {
                    let Some((len, message)) = wire::initial_message(rest)? else {
                        return Ok((used, StartupStep::Incomplete));
                    };
                    used += len;
                    self.handle_startup(message, &authentication, secret, out)?
                }
                stage @ (Stage::InitialResponse(..) | Stage::Proof(..)) => {
                    let Some((body, len)) = password_message(rest)? else {
                        self.stage = stage;
                        return Ok((used, StartupStep::Incomplete));
                    };
                    used += len;
                    self.continue_scram(stage, body, nonce, out)
                }
            };
            if let Some(step) = step {
                return Ok((used, step));
            }
        }
    }

    /// Handles a message of the SCRAM exchange; None if another must follow.
    fn continue_scram(
        &mut self,
        stage: Stage,
        body: &[u8],
        nonce: &str,
        out: &mut Vec<u8>,
    ) -> Option<StartupStep> {
        match stage {
            Stage::Startup => None,
            Stage::InitialResponse(client, verifier) => {
                let exchange = initial_response(body).and_then(|initial_response| {
                    Exchange::begin(verifier, initial_response, nonce)
                });
                let Some((exchange, answer)) = exchange else {
                    return Some(reject(&client, out));
                };
                write_authentication(out, SASL_CONTINUE, answer.as_bytes());
                self.stage = Stage::Proof(client, exchange);
                None
            }
            Stage::Proof(client, exchange) => {
                let Some(answer) = exchange.finish(body) else {
                    return Some(reject(&client, out));
                };
                write_authentication(out, SASL_FINAL, answer.as_bytes());
                Some(StartupStep::Accepted(client))
            }
        }
    }

    /// Handles the first message; None if another must follow.
    fn handle_startup(
        &mut self,
        message: InitialMessage,
        authentication: impl Fn(&str) -> Option<Authentication>,
        secret: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<Option<StartupStep>, ProtocolError> {
        match message {
            InitialMessage::EncryptionRequest => {
                self.encryption_requests += 1;
                if self.encryption_requests > MAX_ENCRYPTION_REQUESTS {
                    return Err(ProtocolError::TooManyEncryptionRequests {
                        times: self.encryption_requests,
                    });
                }
                out.push(b'N');
                Ok(None)
            }
            InitialMessage::Cancel(key) => Ok(Some(StartupStep::Cancel(key))),
            InitialMessage::UnsupportedVersion { major } => {
                ClientError::UnsupportedVersion { major }.write(out, true);
                Ok(Some(StartupStep::Refused))
            }
            InitialMessage::StartUp { minor, parameters } => {
                let unknown: Vec<&str> = parameters
                    .iter()
                    .map(|p| p.0)
                    .filter(|n| n.starts_with("_pq_."))
                    .collect();
                if minor > 0 || !unknown.is_empty() {
                    wire::write_negotiate_version(out, &unknown);
                }
                let client = match client_from_parameters(&parameters) {
                    Ok(client) => client,
                    Err(why) => {
                        why.write(out, true);
                        return Ok(Some(StartupStep::Refused));
                    }
                };
                let verifier = match authentication(&client.user) {
                    Some(Authentication::Trust) => return Ok(Some(StartupStep::Accepted(client))),
                    Some(Authentication::Scram(verifier)) => verifier,
                    None => Verifier::for_unknown_user(&client.user, secret),
                };
                write_authentication(out, SASL, &[MECHANISM.as_bytes(), b"\0\0"].concat());
                self.stage = Stage::InitialResponse(client, verifier);
                Ok(None)
            }
        }
    }
}

/// Writes an authentication message with its code and data.
fn write_authentication(out: &mut Vec<u8>, kind: u32, body: &[u8]) {
    wire::write(out, b'R', |out| {
        out.extend_from_slice(&kind.to_be_bytes());
        out.extend_from_slice(body);
    });
}

fn password_message(input: &[u8]) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    match wire::message(input, MAX_PROOF_BYTES)? {
        Some(Message {
            tag: b'p',
            body,
            len,
        }) => Ok(Some((body, len))),
        Some(Message { tag, .. }) => Err(ProtocolError::ExpectedPasswordMessage(tag)),
        None => match input.first() {
            Some(tag) if *tag != b'p' => Err(ProtocolError::ExpectedPasswordMessage(*tag)),
            _ => Ok(None),
        },
    }
}

/// Returns the client's first SCRAM message from its SASLInitialResponse; None if it chose another
/// mechanism or the lengths do not match.
fn initial_response(body: &[u8]) -> Option<&[u8]> {
    let mut rest = body;
    let mechanism = wire::read_string(&mut rest).ok()?;
    let len = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?) as usize;
    (mechanism == MECHANISM.as_bytes() && rest.len() - 4 == len).then_some(&rest[4..])
}

fn reject(client: &Client, out: &mut Vec<u8>) -> StartupStep {
    ClientError::WrongPassword {
        user: client.user.clone(),
    }
    .write(out, true);
    StartupStep::Refused
}

fn client_from_parameters(parameters: &[(&str, &str)]) -> Result<Client, ClientError> {
    let mut client = Client::default();
    for (name, value) in parameters {
        match *name {
            "user" => client.user = value.to_string(),
            "database" => client.database = value.to_string(),
            "replication" if !matches!(*value, "0" | "off" | "false" | "no") => {
                return Err(ClientError::Unsupported { why: "replication" });
            }
            "replication" => {}
            "options" => parse_options(value, &mut client.parameters),
            name if name.starts_with("_pq_.") => {}
            name => {
                _ = client
                    .parameters
                    .insert(name.to_ascii_lowercase(), value.to_string())
            }
        }
    }
    if client.user.is_empty() {
        return Err(ClientError::Protocol {
            why: ProtocolError::NoUser,
        });
    }
    if client.database.is_empty() {
        client.database = client.user.clone();
    }
    Ok(client)
}

/// Parses `-c name=value` and `--name=value` options; a backslash escapes a space within a value.
fn parse_options(text: &str, parameters: &mut BTreeMap<String, String>) {
    let mut words: Vec<String> = vec![String::new()];
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => words
                .last_mut()
                .into_iter()
                .for_each(|word| word.extend(chars.next())),
            c if c.is_whitespace() => words.push(String::new()),
            c => words.last_mut().into_iter().for_each(|word| word.push(c)),
        }
    }
    for word in words.iter().filter(|word| !word.is_empty()) {
        let pair = word
            .strip_prefix("--")
            .or(word.strip_prefix("-c"))
            .unwrap_or(word);
        if let Some((name, value)) = pair.split_once('=') {
            parameters.insert(
                name.replace('-', "_").to_ascii_lowercase(),
                value.to_string(),
            );
        }
    }
}

#[cfg(test)]
#[path = "startup_tests.rs"]
mod tests;
