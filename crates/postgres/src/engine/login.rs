//! The front's login at an engine: by password, MD5 or SCRAM-SHA-256, and the parameters that the
//! engine reports.

use postgres_protocol::authentication::md5_hash;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use super::{EngineConnection, EngineEvent, Stage};
use crate::scram;
use crate::wire::{self, CancelKey};
use crate::ProtocolError;

/// The maximum number of parameters kept of an engine; servers report about 15.
const MAX_PARAMETERS: usize = 64;

/// The codes of the protocol's authentication requests.
mod request {
    pub const OK: u32 = 0;
    pub const CLEARTEXT_PASSWORD: u32 = 3;
    pub const MD5_PASSWORD: u32 = 5;
    pub const SASL: u32 = 10;
    pub const SASL_CONTINUE: u32 = 11;
    pub const SASL_FINAL: u32 = 12;
}

/// Reads a big-endian u32 at an offset; None if the body is too short.
fn u32_at(body: &[u8], at: usize) -> Option<u32> {
    let bytes = body.get(at..at + 4)?.try_into().ok()?;
    Some(u32::from_be_bytes(bytes))
}

fn write_password(out: &mut Vec<u8>, password: &[u8]) {
    wire::write(out, b'p', |out| wire::write_string(out, password));
}

impl EngineConnection {
    /// Handles one message of the login: `message` includes its header, `body` does not.
    pub(super) fn login(
        &mut self,
        tag: u8,
        body: &[u8],
        message: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<Option<EngineEvent>, ProtocolError> {
        match tag {
            b'R' => self.authenticate(tag, body, out)?,
            b'S' => self.add_parameter(body),
            b'K' => {
                self.key = u32_at(body, 0)
                    .zip(u32_at(body, 4))
                    .map(|(process, secret)| CancelKey { process, secret });
            }
            b'E' => {
                let code = wire::field(body, b'C').unwrap_or(b"XX000");
                return Ok(Some(EngineEvent::LoginRefused {
                    code: String::from_utf8_lossy(code).into(),
                    error: message.to_vec(),
                }));
            }
            b'Z' => {
                self.stage = Stage::Ready;
                self.exchange = None;
                return Ok(Some(EngineEvent::Ready));
            }
            b'N' | b'v' => {}
            other => {
                return Err(ProtocolError::UnexpectedMessage {
                    tag: other,
                    when: "during login",
                })
            }
        }
        Ok(None)
    }

    /// Answers one authentication request of the engine.
    fn authenticate(
        &mut self,
        tag: u8,
        body: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<(), ProtocolError> {
        match u32_at(body, 0) {
            Some(request::OK) => {}
            Some(request::CLEARTEXT_PASSWORD) => write_password(out, self.password().as_bytes()),
            Some(request::MD5_PASSWORD) => self.answer_md5(body, out)?,
            Some(request::SASL) => self.start_scram(out),
            Some(request::SASL_CONTINUE) => {
                let exchange = self.scram_exchange(tag)?;
                let proof = exchange.update(&body[4..]);
                proof.map_err(|e| ProtocolError::AuthenticationFailed(e.to_string()))?;
                let message = exchange.message();
                wire::write(out, b'p', |out| out.extend_from_slice(message));
            }
            Some(request::SASL_FINAL) => {
                let proof = self.scram_exchange(tag)?.finish(&body[4..]);
                proof.map_err(|e| ProtocolError::AuthenticationFailed(e.to_string()))?;
            }
            Some(other) => return Err(ProtocolError::UnsupportedAuthentication(other)),
            None => {
                return Err(ProtocolError::Malformed(
                    "an authentication request without a type",
                ))
            }
        }
        Ok(())
    }

    fn password(&self) -> &str {
        self.account.password.as_deref().unwrap_or_default()
    }

    fn answer_md5(&self, body: &[u8], out: &mut Vec<u8>) -> Result<(), ProtocolError> {
        let salt = body.get(4..8).and_then(|salt| salt.try_into().ok());
        let salt = salt.ok_or(ProtocolError::Malformed(
            "an MD5 authentication request without a salt",
        ))?;
        let user = self.account.user.as_bytes();
        let hash = md5_hash(user, self.password().as_bytes(), salt);
        write_password(out, hash.as_bytes());
        Ok(())
    }

    fn start_scram(&mut self, out: &mut Vec<u8>) {
        let exchange = ScramSha256::new(self.password().as_bytes(), ChannelBinding::unsupported());
        wire::write(out, b'p', |out| {
            wire::write_string(out, scram::MECHANISM.as_bytes());
            out.extend_from_slice(&(exchange.message().len() as u32).to_be_bytes());
            out.extend_from_slice(exchange.message());
        });
        self.exchange = Some(Box::new(exchange));
    }

    /// Returns the SCRAM exchange in progress; an error if there is none.
    fn scram_exchange(&mut self, tag: u8) -> Result<&mut ScramSha256, ProtocolError> {
        let exchange = self.exchange.as_deref_mut();
        exchange.ok_or(ProtocolError::UnexpectedMessage {
            tag,
            when: "before SCRAM has started",
        })
    }

    fn add_parameter(&mut self, body: &[u8]) {
        let mut rest = body;
        let (Ok(name), Ok(value)) = (wire::read_string(&mut rest), wire::read_string(&mut rest))
        else {
            return;
        };
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if self.parameters.len() < MAX_PARAMETERS {
            self.parameters.push((text(name), text(value)));
        }
    }
}
