//! What an engine says: its login, and its answers, told apart by the steps that they belong to.

use postgres_protocol::authentication::md5_hash;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use super::{EngineConnection, EngineEvent, Expected, Stage};
use crate::client_error::is_engine_fault;
use crate::unit::UnitOutcome;
use crate::wire::{self, CancelKey, Header};
use crate::ProtocolError;

const LONGEST_WHOLE: usize = 64 << 10; // bytes of a message that is read as one; errors take some hundred
const MOST_PARAMETERS: usize = 64; // of an engine that it tells of itself; servers have some fifteen

impl EngineConnection {
    /// Takes what the engine has said: what is the client's goes to `back`, up to `room` bytes and a little,
    /// what the engine is to hear to `out`. Says how much was taken, and what it means once it means
    /// something.
    pub fn read(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        back: &mut Vec<u8>,
        room: usize,
    ) -> Result<(usize, Option<EngineEvent>), ProtocolError> {
        let mut at = 0;
        while back.len() <= room {
            let rest = &input[at..];
            if self.passing > 0 {
                let len = self.passing.min(rest.len());
                if len == 0 {
                    break;
                }
                back.extend_from_slice(&rest[..len]);
                self.passing -= len;
                at += len;
                continue;
            }
            let Some(Header { tag, len }) = wire::header(rest)? else {
                break;
            };
            let login_or_settings = self.stage != Stage::Ready;
            // Rows and their like have no limit; they go on as they come.
            if matches!(tag, b'D' | b'd' | b'T' | b't' | b'N')
                && !login_or_settings
                && rest.len() < len
            {
                if rest.len() < LONGEST_WHOLE {
                    break;
                }
                self.begin(tag)?;
                self.passing = len;
                continue;
            }
            if len > LONGEST_WHOLE && rest.len() < len {
                return Err(ProtocolError::EngineTooLong {
                    tag,
                    bytes: len,
                    most: LONGEST_WHOLE,
                });
            }
            let Some(message) = rest.get(..len) else {
                break;
            };
            at += len;
            let heard = match self.stage {
                Stage::Login => self.login(tag, &message[5..], message, out)?,
                Stage::Setting => self.set(tag, message, out, back),
                Stage::Ready => self.said(tag, message, back)?,
            };
            if heard.is_some() {
                return Ok((at, heard));
            }
        }
        Ok((at, None))
    }

    fn login(
        &mut self,
        tag: u8,
        body: &[u8],
        message: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<Option<EngineEvent>, ProtocolError> {
        let word = |at: usize| {
            body.get(at..at + 4)
                .map(|n| u32::from_be_bytes([n[0], n[1], n[2], n[3]]))
        };
        let password = self.account.password.clone().unwrap_or_default();
        match tag {
            b'R' => match word(0) {
                Some(0) => {}
                Some(3) => wire::write(out, b'p', |out| {
                    wire::write_string(out, password.as_bytes())
                }),
                Some(5) => {
                    let salt = body.get(4..8).and_then(|s| s.try_into().ok());
                    let salt =
                        salt.ok_or(ProtocolError::Malformed("an MD5 login without its salt"))?;
                    let hash = md5_hash(self.account.user.as_bytes(), password.as_bytes(), salt);
                    wire::write(out, b'p', |out| wire::write_string(out, hash.as_bytes()));
                }
                Some(10) => {
                    let exchange =
                        ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
                    wire::write(out, b'p', |out| {
                        wire::write_string(out, crate::scram::MECHANISM.as_bytes());
                        out.extend_from_slice(&(exchange.message().len() as u32).to_be_bytes());
                        out.extend_from_slice(exchange.message());
                    });
                    self.exchange = Some(Box::new(exchange));
                }
                Some(step @ (11 | 12)) => {
                    let exchange = self.exchange.as_mut().ok_or(ProtocolError::NotDue {
                        tag,
                        when: "before SCRAM has begun",
                    })?;
                    let proof = match step {
                        11 => exchange.update(&body[4..]),
                        _ => exchange.finish(&body[4..]),
                    };
                    proof.map_err(|e| ProtocolError::Proof(e.to_string()))?;
                    if step == 11 {
                        let message = exchange.message();
                        wire::write(out, b'p', |out| out.extend_from_slice(message));
                    }
                }
                Some(other) => return Err(ProtocolError::Login(other)),
                None => return Err(ProtocolError::Malformed("a login of no kind")),
            },
            b'S' => self.parameter(body),
            b'K' => {
                self.key = word(0)
                    .zip(word(4))
                    .map(|(process, secret)| CancelKey { process, secret });
            }
            b'E' => {
                let code =
                    String::from_utf8_lossy(wire::field(body, b'C').unwrap_or(b"XX000")).into();
                return Ok(Some(EngineEvent::LoginRefused {
                    code,
                    error: message.to_vec(),
                }));
            }
            b'Z' => {
                (self.stage, self.exchange) = (Stage::Ready, None);
                return Ok(Some(EngineEvent::Ready));
            }
            b'N' | b'v' => {}
            other => {
                return Err(ProtocolError::NotDue {
                    tag: other,
                    when: "during login",
                })
            }
        }
        Ok(None)
    }

    fn parameter(&mut self, body: &[u8]) {
        let mut rest = body;
        let (Ok(name), Ok(value)) = (wire::read_string(&mut rest), wire::read_string(&mut rest))
        else {
            return;
        };
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if self.parameters.len() < MOST_PARAMETERS {
            self.parameters.push((text(name), text(value)));
        }
    }

    /// The answer to bringing settings over: none of it is a client's, but why it failed.
    fn set(
        &mut self,
        tag: u8,
        message: &[u8],
        out: &mut Vec<u8>,
        back: &mut Vec<u8>,
    ) -> Option<EngineEvent> {
        match tag {
            b'E' => _ = self.set_error.get_or_insert(message.to_vec()),
            b'Z' if matches!(self.expects.front(), Some(Expected::Ping)) => {
                self.expects.pop_front();
                return Some(EngineEvent::PingAnswered);
            }
            b'Z' => {
                self.stage = Stage::Ready;
                let waits = std::mem::take(&mut self.waits);
                if let Some(error) = self.set_error.take() {
                    return Some(EngineEvent::SettingsRefused { error });
                }
                self.settings = waits.first().map(|(_, settings)| settings.clone());
                for (part, settings) in waits {
                    self.send(&part, &settings, true, out, back);
                }
            }
            _ => {}
        }
        None
    }

    /// A message that goes on in pieces begins: it must be one that is due.
    fn begin(&mut self, tag: u8) -> Result<(), ProtocolError> {
        let described = matches!(self.expects.front(), Some(Expected::Described));
        let running = matches!(
            self.expects.front(),
            Some(Expected::Executed | Expected::Query)
        );
        match tag {
            b'N' => {}
            b'T' if described => _ = self.expects.pop_front(),
            b't' if described => {}
            b'T' | b'D' | b'd' if running => {}
            other => {
                return Err(ProtocolError::NotDue {
                    tag: other,
                    when: "in answer to what was asked",
                })
            }
        }
        Ok(())
    }

    fn said(
        &mut self,
        tag: u8,
        message: &[u8],
        back: &mut Vec<u8>,
    ) -> Result<Option<EngineEvent>, ProtocolError> {
        let mut passes = true;
        match (tag, self.expects.front()) {
            (b'N', _) => passes = !self.expects.is_empty(),
            (b'S', _) => passes = !self.expects.is_empty(),
            // Nobody listens through a front.
            (b'A', _) => passes = false,
            (b'E', _) => return self.error(message, back),
            (b'1', Some(Expected::Parsed { number, hidden })) => {
                if let Some(number) = *number {
                    self.coming.remove(&number);
                    self.prepared.put(number, ());
                }
                passes = !*hidden;
                self.done.parsed += usize::from(passes);
                self.expects.pop_front();
            }
            (b'3', Some(Expected::Closed { hidden })) => {
                passes = hidden.is_none();
                self.expects.pop_front();
            }
            (b'2', Some(Expected::Bound)) | (b'n', Some(Expected::Described)) => {
                _ = self.expects.pop_front()
            }
            (b'T', Some(Expected::Described)) => _ = self.expects.pop_front(),
            (b't', Some(Expected::Described)) => {}
            (b'D' | b'H' | b'd' | b'c', Some(Expected::Executed | Expected::Query)) => {}
            (b'T' | b'I', Some(Expected::Query)) => {}
            (b'C', Some(Expected::Executed | Expected::Query)) => {
                self.done.rolled_back |= message.starts_with(b"C\0\0\0\x0dROLLBACK\0");
                if !matches!(self.expects.front(), Some(Expected::Query)) {
                    self.expects.pop_front();
                }
            }
            (b'I' | b's', Some(Expected::Executed)) => _ = self.expects.pop_front(),
            (b'Z', Some(Expected::Ping)) => {
                self.expects.pop_front();
                self.make(back);
                return Ok(Some(EngineEvent::PingAnswered));
            }
            (b'Z', Some(Expected::Sync | Expected::Query)) => {
                self.expects.pop_front();
                back.extend_from_slice(message);
                self.unnamed = None;
                let done = std::mem::take(&mut self.done);
                let status = message.get(5).copied().unwrap_or(b'I');
                if status != b'I' && status != b'T' && status != b'E' {
                    return Err(ProtocolError::Malformed("a transaction in no known state"));
                }
                return Ok(Some(EngineEvent::UnitDone(UnitOutcome { status, ..done })));
            }
            (other, _) => {
                return Err(ProtocolError::NotDue {
                    tag: other,
                    when: "in answer to what was asked",
                });
            }
        }
        if passes {
            back.extend_from_slice(message);
        }
        self.make(back);
        Ok(None)
    }

    fn error(
        &mut self,
        message: &[u8],
        back: &mut Vec<u8>,
    ) -> Result<Option<EngineEvent>, ProtocolError> {
        let code = wire::field(&message[5..], b'C').unwrap_or(b"XX000");
        let fatal = wire::field(&message[5..], b'S') == Some(b"FATAL")
            || wire::field(&message[5..], b'V') == Some(b"FATAL");
        if fatal || self.expects.is_empty() {
            // It is the connection's end, not a statement's answer, and nothing for a client of the front.
            return Err(ProtocolError::Gone(String::from_utf8_lossy(code).into()));
        }
        match self.expects.front() {
            Some(Expected::Fail(why)) => {
                why.write(back, false);
                self.done.error = Some(why.code().to_string());
            }
            _ => {
                back.extend_from_slice(message);
                self.done.fault |= is_engine_fault(code);
                self.done
                    .error
                    .get_or_insert(String::from_utf8_lossy(code).into());
            }
        }
        // A simple query ends of itself; all else is passed over up to the Sync.
        if !matches!(self.expects.front(), Some(Expected::Query)) {
            loop {
                match self.expects.pop_front() {
                    Some(Expected::Sync) => {
                        self.expects.push_front(Expected::Sync);
                        break;
                    }
                    Some(Expected::Parsed {
                        number: Some(number),
                        ..
                    }) => _ = self.coming.remove(&number),
                    Some(Expected::Closed {
                        hidden: Some(number),
                    }) => _ = self.prepared.put(number, ()),
                    Some(_) => {}
                    None => {
                        self.skipping = true;
                        break;
                    }
                }
            }
        }
        Ok(None)
    }
}
