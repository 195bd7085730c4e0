//! Reads an engine's messages: each answer is matched with the operation it belongs to, and
//! forwarded to the client or dropped.

use super::{EngineConnection, EngineEvent, Expected, Stage};
use crate::client_error::is_engine_fault;
use crate::unit::UnitOutcome;
use crate::wire::{self, Header};
use crate::ProtocolError;

/// The maximum length of a message that is buffered as a whole, in bytes; error messages take some
/// hundred bytes.
const MAX_BUFFERED_MESSAGE: usize = 64 << 10;

impl EngineConnection {
    /// Reads the engine's bytes up to the first message that causes an event. Messages for the
    /// client are appended to `to_client`; reading stops once that exceeds `client_capacity` bytes.
    /// Messages for the engine are appended to `out`. Returns the number of bytes of `input` that
    /// were consumed, and the event, if any.
    pub fn read(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        to_client: &mut Vec<u8>,
        client_capacity: usize,
    ) -> Result<(usize, Option<EngineEvent>), ProtocolError> {
        let mut at = 0;
        while to_client.len() <= client_capacity {
            let rest = &input[at..];
            if self.remaining_bytes > 0 {
                let len = self.remaining_bytes.min(rest.len());
                if len == 0 {
                    break;
                }
                to_client.extend_from_slice(&rest[..len]);
                self.remaining_bytes -= len;
                at += len;
                continue;
            }
            let Some(Header { tag, len }) = wire::header(rest)? else {
                break;
            };
            let login_or_settings = self.stage != Stage::Ready;
            // Rows, descriptions and notices have no length limit; they are forwarded in pieces as
            // they arrive.
            if matches!(tag, b'D' | b'd' | b'T' | b't' | b'N')
                && !login_or_settings
                && rest.len() < len
            {
                if rest.len() < MAX_BUFFERED_MESSAGE {
                    break;
                }
                self.start_long_message(tag)?;
                self.remaining_bytes = len;
                continue;
            }
            if len > MAX_BUFFERED_MESSAGE && rest.len() < len {
                return Err(ProtocolError::EngineMessageTooLong {
                    tag,
                    bytes: len,
                    limit: MAX_BUFFERED_MESSAGE,
                });
            }
            let Some(message) = rest.get(..len) else {
                break;
            };
            at += len;
            let event = match self.stage {
                Stage::Login => self.login(tag, &message[5..], message, out)?,
                Stage::ApplyingSettings => self.settings_answer(tag, message),
                Stage::Ready => self.unit_answer(tag, message, to_client)?,
            };
            if event.is_some() {
                return Ok((at, event));
            }
        }
        Ok((at, None))
    }

    /// Handles an answer while settings are being applied. Nothing is forwarded to the client; only
    /// an error is kept, for the event.
    fn settings_answer(&mut self, tag: u8, message: &[u8]) -> Option<EngineEvent> {
        match tag {
            b'E' => _ = self.settings_error.get_or_insert(message.to_vec()),
            b'Z' if matches!(self.expected.front(), Some(Expected::Ping)) => {
                self.expected.pop_front();
                return Some(EngineEvent::PingAnswered);
            }
            b'Z' => {
                self.stage = Stage::Ready;
                if let Some(error) = self.settings_error.take() {
                    self.waiting_for_settings.clear();
                    return Some(EngineEvent::SettingsRefused { error });
                }
                let applied = self.waiting_for_settings.first();
                self.settings = applied.map(|first| first.settings.clone());
                return Some(EngineEvent::SettingsApplied);
            }
            _ => {}
        }
        None
    }

    /// Starts to forward a message in pieces; an error if no message of its kind is expected.
    fn start_long_message(&mut self, tag: u8) -> Result<(), ProtocolError> {
        let describe_expected = matches!(self.expected.front(), Some(Expected::Described));
        let rows_expected = matches!(
            self.expected.front(),
            Some(Expected::Executed | Expected::Query)
        );
        match tag {
            b'N' => {}
            b'T' if describe_expected => _ = self.expected.pop_front(),
            b't' if describe_expected => {}
            b'T' | b'D' | b'd' if rows_expected => {}
            other => {
                return Err(ProtocolError::UnexpectedMessage {
                    tag: other,
                    when: "in response to the pending operation",
                })
            }
        }
        Ok(())
    }

    /// Handles an answer to a unit or a health check.
    fn unit_answer(
        &mut self,
        tag: u8,
        message: &[u8],
        to_client: &mut Vec<u8>,
    ) -> Result<Option<EngineEvent>, ProtocolError> {
        let mut forward = true;
        match (tag, self.expected.front()) {
            (b'N', _) => forward = !self.expected.is_empty(),
            (b'S', _) => forward = !self.expected.is_empty(),
            // LISTEN is rejected by the front, so no client expects a notification.
            (b'A', _) => forward = false,
            (b'E', _) => return self.unit_error(message, to_client),
            (b'1', Some(Expected::Parsed { number, hidden })) => {
                if let Some(number) = *number {
                    self.unconfirmed.remove(&number);
                    self.prepared.put(number, ());
                }
                forward = !*hidden;
                self.outcome.parsed_count += usize::from(forward);
                self.expected.pop_front();
            }
            (b'3', Some(Expected::Closed { hidden })) => {
                forward = hidden.is_none();
                self.expected.pop_front();
            }
            (b'2', Some(Expected::Bound)) | (b'n', Some(Expected::Described)) => {
                _ = self.expected.pop_front()
            }
            (b'T', Some(Expected::Described)) => _ = self.expected.pop_front(),
            (b't', Some(Expected::Described)) => {}
            (b'D' | b'H' | b'd' | b'c', Some(Expected::Executed | Expected::Query)) => {}
            (b'T' | b'I', Some(Expected::Query)) => {}
            (b'C', Some(Expected::Executed | Expected::Query)) => {
                self.outcome.completed += 1;
                if message.get(5..) == Some(b"ROLLBACK\0") {
                    self.outcome.rolled_back.push(self.outcome.completed);
                }
                if !matches!(self.expected.front(), Some(Expected::Query)) {
                    self.expected.pop_front();
                }
            }
            (b'I' | b's', Some(Expected::Executed)) => {
                self.outcome.completed += 1;
                self.expected.pop_front();
            }
            (b'Z', Some(Expected::Ping)) => {
                self.expected.pop_front();
                self.write_local_answers(to_client);
                return Ok(Some(EngineEvent::PingAnswered));
            }
            (b'Z', Some(Expected::Sync | Expected::Query)) => {
                self.expected.pop_front();
                return self.finish_unit(message, to_client).map(Some);
            }
            (other, _) => {
                return Err(ProtocolError::UnexpectedMessage {
                    tag: other,
                    when: "in response to the pending operation",
                });
            }
        }
        if forward {
            to_client.extend_from_slice(message);
        }
        self.write_local_answers(to_client);
        Ok(None)
    }

    fn unit_error(
        &mut self,
        message: &[u8],
        to_client: &mut Vec<u8>,
    ) -> Result<Option<EngineEvent>, ProtocolError> {
        let code = wire::field(&message[5..], b'C').unwrap_or(b"XX000");
        let fatal = wire::field(&message[5..], b'S') == Some(b"FATAL")
            || wire::field(&message[5..], b'V') == Some(b"FATAL");
        if fatal || self.expected.is_empty() {
            // The error ends the connection; it is not the answer to a statement and is not
            // forwarded.
            return Err(ProtocolError::ConnectionEnded(
                String::from_utf8_lossy(code).into(),
            ));
        }
        match self.expected.front() {
            Some(Expected::Fail(why)) => {
                why.write(to_client, false);
                self.outcome.error = Some(why.code().to_string());
            }
            _ => {
                to_client.extend_from_slice(message);
                self.outcome.engine_fault |= is_engine_fault(code);
                self.outcome
                    .error
                    .get_or_insert(String::from_utf8_lossy(code).into());
            }
        }
        if !matches!(self.expected.front(), Some(Expected::Query)) {
            self.skip_to_sync();
        }
        Ok(None)
    }

    /// Drops the answers expected up to the next Sync, as an engine skips all messages up to it
    /// after an error. Not called for a simple query, which ends without a Sync.
    fn skip_to_sync(&mut self) {
        loop {
            match self.expected.pop_front() {
                Some(Expected::Sync) => {
                    self.expected.push_front(Expected::Sync);
                    return;
                }
                Some(Expected::Parsed {
                    number: Some(number),
                    ..
                }) => _ = self.unconfirmed.remove(&number),
                Some(Expected::Closed {
                    hidden: Some(number),
                }) => _ = self.prepared.put(number, ()),
                Some(_) => {}
                None => {
                    self.skipping = true;
                    return;
                }
            }
        }
    }

    /// Handles ReadyForQuery: returns the outcome of the unit that has ended.
    fn finish_unit(
        &mut self,
        message: &[u8],
        to_client: &mut Vec<u8>,
    ) -> Result<EngineEvent, ProtocolError> {
        to_client.extend_from_slice(message);
        self.unnamed = None;
        let outcome = std::mem::take(&mut self.outcome);
        let status = message.get(5).copied().unwrap_or(b'I');
        if !matches!(status, b'I' | b'T' | b'E') {
            return Err(ProtocolError::Malformed("an unknown transaction status"));
        }
        Ok(EngineEvent::UnitDone(UnitOutcome { status, ..outcome }))
    }
}
