//! Input of clients: reads messages from their connections and turns them into events.

use hallmux_dispatcher::Micros;
use hallmux_native_codec::statement::{self, Message, Reply, Request};
use hallmux_native_codec::Decoded;

use super::connection::{Client, ServingStatus};
use super::{ClientId, Clients, Event, MAX_UNSENT_BYTES};
use crate::events::SocketKind;
use crate::input_memory::HeldInput;
use crate::link::ReadOutcome;

/// The context that the messages of one read share.
struct ReadContext {
    client: ClientId,
    status: ServingStatus,
    /// Microseconds for which the input may have been unread.
    unread_for: Micros,
}

impl Clients {
    /// Reads up to `limit` bytes from a connection that the event loop reported, and marks it for flushing, as it may have become writable.
    /// Returns true if there is more to read in another iteration.
    pub fn read(
        &mut self,
        now: Micros,
        id: ClientId,
        status: ServingStatus,
        limit: usize,
        events: &mut Vec<Event>,
    ) -> bool {
        if let Some(has_more) = self.lingering.read(id) {
            return has_more;
        }
        let Some(client) = self.clients.get_mut(&id) else {
            return false;
        };
        self.flush_pending.insert(id);
        client.last_active = now;
        if client.link.unsent() > MAX_UNSENT_BYTES {
            self.paused.insert(id);
            client.unread_since.get_or_insert(now);
            return false;
        }
        let unread_for = client.unread_since.take().map_or(0, |since| now - since);
        let ReadOutcome { has_more, broken } = client.link.read_some(limit);
        if client.is_closing {
            client.link.input.clear();
            if broken.is_some() {
                self.disconnect(id, events);
            }
            return has_more;
        }
        let context = ReadContext {
            client: id,
            status,
            unread_for,
        };
        client.drop_answered_input();
        client.handle_messages(now, &context, events);
        self.close_if_faulty(id);
        if broken.is_some() {
            self.disconnect(id, events);
        } else if let Some(client) = self.clients.get_mut(&id).filter(|_| has_more) {
            client.unread_since = Some(now - unread_for);
        }
        has_more
    }
}

impl Clients {
    /// The input that connections hold: messages that are not complete.
    pub fn held_input(&self) -> impl Iterator<Item = HeldInput> + '_ {
        self.clients.iter().map(|(id, client)| HeldInput {
            socket: SocketKind::Client.id(*id),
            bytes: client.link.input_memory(),
            since: client.message_incomplete_since.unwrap_or(Micros::MAX),
        })
    }

    /// Rejects the statement that a client is sending, as input takes too much memory; what is still to come of it is
    /// dropped. A connection whose message can't be answered yet is closed.
    pub fn shed_input(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let incomplete = statement::read_incomplete(&client.link.input);
        client.link.drop_input();
        let Some(message) = incomplete else {
            log::info!("client {id}: input takes too much memory; its connection is closed");
            client.is_closing = true;
            self.flush_pending.insert(id);
            return;
        };
        client.bytes_to_drop = message.missing_bytes;
        log::info!("client {id}: input takes too much memory; its statement is rejected");
        match message.statement_number {
            Some(number) if client.open.contains_key(&number) => {
                self.answer_unusable(id, number, statement::SEQUENCE_NUMBER_FIELD)
            }
            Some(number) => self.reject(id, number),
            None => {}
        }
    }
}

impl Client {
    /// Handles all complete messages. After an unreadable one no more are handled, and the
    /// connection is closed.
    fn handle_messages(&mut self, now: Micros, context: &ReadContext, events: &mut Vec<Event>) {
        let mut consumed = 0;
        let unreadable = loop {
            match statement::read(&self.link.input[consumed..]) {
                Ok(None) => break None,
                Err(error) => break Some(error),
                Ok(Some(Decoded { len, message })) => {
                    consumed += len;
                    self.handle_message(message, context, events);
                }
            }
        };
        self.link.consume(consumed);
        self.has_sent_message |= consumed > 0;
        // Guards against messages that never end: the first message, and the rest of a started one, is awaited for a
        // limited time.
        let is_incomplete =
            !self.has_sent_message || !self.link.input.is_empty() || self.bytes_to_drop > 0;
        let incomplete_before = self.message_incomplete_since.filter(|_| consumed == 0);
        self.message_incomplete_since = is_incomplete.then(|| incomplete_before.unwrap_or(now));
        if let Some(error) = &unreadable {
            let client = context.client;
            log::info!("client {client}: {error}; its connection is closed");
            self.is_closing = true;
        }
    }

    fn handle_message(&mut self, message: Message, context: &ReadContext, events: &mut Vec<Event>) {
        let number = message.sequence_number;
        let client = context.client;
        match message.request {
            Request::HealthCheck => {
                let healthy = context.status == ServingStatus::Serving;
                statement::write(self.link.output(), number, &Reply::Health(healthy));
            }
            Request::UnknownMethod(name) => {
                let reply = Reply::UnknownMethod(&name);
                statement::write(self.link.output(), number, &reply);
                self.unusable_statements += 1;
            }
            Request::Cancel(number) => events.push(Event::Cancelled { client, number }),
            Request::Execute(call) => events.push(Event::Statement {
                client,
                number,
                call: Box::new(call),
                unread_for: context.unread_for,
            }),
        }
    }
}
