//! The start-up of a client's connection: requests for encryption, protocol versions, who the client is, and
//! its authentication.

use std::collections::BTreeMap;

use crate::client_error::ClientError;
use crate::scram::{Exchange, Verifier, MECHANISM};
use crate::wire::{self, CancelKey, InitialMessage, Message};
use crate::ProtocolError;

/// The longest message of the SCRAM exchange, in bytes; those of the library take some hundred.
const MAX_PROOF_BYTES: usize = 4096;
/// How often a client may ask for encryption: there are two kinds.
const MAX_ENCRYPTION_REQUESTS: usize = 2;

// Kinds of authentication messages, as the protocol numbers them.
const SASL: u32 = 10;
const SASL_CONTINUE: u32 = 11;
const SASL_FINAL: u32 = 12;

/// A client by the parameters of its start-up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Client {
    /// The user's name.
    pub user: String,
    /// The database's name; the user's where it gave none.
    pub database: String,
    /// All other parameters, those of `options` among them.
    pub parameters: BTreeMap<String, String>,
}

/// How a user proves who it is.
#[derive(Clone)]
pub enum Authentication {
    /// Not at all.
    Trust,
    /// By SCRAM-SHA-256.
    Scram(Verifier),
}

/// What the input of a connection that starts up comes to.
pub enum StartupStep {
    /// More has to come.
    Incomplete,
    /// It is a request to cancel; the connection ends.
    Cancel(CancelKey),
    /// The client is in; its session begins.
    Accepted(Client),
    /// It is refused, and the error is written; the connection ends.
    Refused,
}

#[derive(Default)]
enum Stage {
    /// The start-up message has yet to come.
    #[default]
    Startup,
    /// The client's first message of SCRAM is due.
    InitialResponse(Client, Verifier),
    /// The client's proof is due.
    Proof(Client, Exchange),
}

/// The state of a connection that starts up.
#[derive(Default)]
pub struct Startup {
    stage: Stage,
    encryption_requests: usize,
}

impl Startup {
    /// Reads `input` and writes the answers to `out`; returns how many bytes were used up. `access` is how a
    /// user authenticates, None for one that does not exist; `secret` hides which do; `nonce` is new for each
    /// connection. After any step but `Incomplete` it is not called again.
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

    /// Takes a message of the SCRAM exchange; None where another has to follow.
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

    /// Takes the first message; None where another has to follow.
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

/// Writes a message of the authentication: its kind and what belongs to it.
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

/// The client's first message of SASL, behind the mechanism that it chose.
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

/// `-c name=value` and `--name=value`, spaces within a value behind a backslash.
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
