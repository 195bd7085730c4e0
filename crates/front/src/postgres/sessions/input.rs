//! Input of clients: the login, then units, one at a time.

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use hallmux_config::User;
use hallmux_dispatcher::Micros;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine;
use hallmux_postgres::pool::AccountId;
use hallmux_postgres::session::{Session, SessionEvent, Transaction, UnitPart, UNIT_TOO_LONG};
use hallmux_postgres::startup::{Client, StartupStep};
use hallmux_postgres::wire::{self, CancelKey};

use super::open_session::part_memory;
use super::{Arrival, Event, OpenSession, Sessions, Stage, Users};
use crate::clients::STATEMENT_OVERHEAD_BYTES;
use crate::postgres::ids::SessionId;
use crate::postgres::servers::Servers;

/// Upper limit of the units handled for one session before other sessions are served.
const UNITS_PER_ITERATION: usize = 64;

/// How much of a session's input was consumed.
struct Consumed {
    bytes: usize,
    /// More of the input may be consumed now.
    has_more: bool,
}

impl Consumed {
    const NOTHING: Consumed = Consumed {
        bytes: 0,
        has_more: false,
    };

    /// Consumed `bytes`; the rest waits for more input, or for an answer.
    fn awaiting_input(bytes: usize) -> Consumed {
        Consumed {
            bytes,
            has_more: false,
        }
    }

    /// Consumed `bytes`; the rest can be read at once.
    fn with_more_to_read(bytes: usize) -> Consumed {
        Consumed {
            bytes,
            has_more: true,
        }
    }
}

impl Sessions {
    /// Handles the units in a session's input, as far as that is possible now.
    pub fn advance(&mut self, now: Micros, id: SessionId, users: &Users, servers: &mut Servers) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.closing {
            return;
        }
        let input = std::mem::take(&mut connection.link.input);
        let Consumed { bytes, has_more } = self.consume_units(now, id, &input, users, servers);
        self.changed.insert(id);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.link.input = input;
        connection.link.consume(bytes);
        self.held_bytes -= bytes;
        if bytes > 0 {
            connection.last_active = now;
        }
        if connection.closing {
            let left = connection.link.input.len();
            self.held_bytes -= left;
            connection.link.input = Vec::new();
            self.abandon(id);
        } else if has_more {
            // There may be more; other sessions are served first.
            self.ready.push(id);
        }
    }

    /// Consumes the units at the start of the input, as far as that is possible now and fits into an
    /// iteration.
    fn consume_units(
        &mut self,
        now: Micros,
        id: SessionId,
        input: &[u8],
        users: &Users,
        servers: &mut Servers,
    ) -> Consumed {
        let mut offset = 0;
        for _ in 0..UNITS_PER_ITERATION {
            let consumed = self.consume(now, id, &input[offset..], users, servers);
            offset += consumed.bytes;
            let Some(connection) = self.connections.get_mut(&id) else {
                return Consumed::NOTHING;
            };
            consume_arrivals(&mut connection.arrivals, consumed.bytes);
            if connection.closing || !consumed.has_more {
                return Consumed::awaiting_input(offset);
            }
        }
        Consumed::with_more_to_read(offset)
    }

    /// Consumes as much of the input as is possible now.
    fn consume(
        &mut self,
        now: Micros,
        id: SessionId,
        input: &[u8],
        users: &Users,
        servers: &mut Servers,
    ) -> Consumed {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Consumed::NOTHING;
        };
        match &mut connection.stage {
            Stage::LoggingIn(_) if input.is_empty() => Consumed::NOTHING,
            Stage::LoggingIn(_) => self.advance_login(now, id, input, users, servers),
            Stage::Open(open_session) if open_session.skipping_to_sync => {
                match open_session.session.skip_to_sync(input, &self.bounds) {
                    Err(why) => {
                        why.write(connection.link.output(), true);
                        connection.closing = true;
                        Consumed::NOTHING
                    }
                    Ok((used, found_sync)) => {
                        open_session.skipping_to_sync = !found_sync;
                        if found_sync {
                            open_session.session.write_ready(connection.link.output());
                        }
                        Consumed {
                            bytes: used,
                            has_more: found_sync,
                        }
                    }
                }
            }
            // Units are handled one at a time: each may depend on how the previous one ended.
            Stage::Open(open_session)
                if open_session.running.is_some() && !open_session.session.is_in_unit() =>
            {
                Consumed::NOTHING
            }
            Stage::Open(_) => self.read_unit(now, id, input),
        }
    }

    /// Advances the login; the last step opens the session.
    fn advance_login(
        &mut self,
        now: Micros,
        id: SessionId,
        input: &[u8],
        users: &Users,
        servers: &mut Servers,
    ) -> Consumed {
        let (first, second) = (self.secret("nonce", id), self.secret("the rest of it", id));
        let nonce = format!("{first:016x}{second:016x}");
        let hidden = self.random_bytes();
        let Some(connection) = self.connections.get_mut(&id) else {
            return Consumed::NOTHING;
        };
        let Stage::LoggingIn(entry) = &mut connection.stage else {
            return Consumed::NOTHING;
        };
        let access = |user: &str| users.0.get(user).map(|(_, access)| access.clone());
        let out = connection.link.output();
        match entry.read(input, access, &hidden, &nonce, out) {
            Err(what) => {
                log::info!("session {id}: {what}; its connection is closed");
                connection.closing = true;
                Consumed::NOTHING
            }
            Ok((used, StartupStep::Incomplete)) => Consumed::awaiting_input(used),
            Ok((used, StartupStep::Refused)) => {
                connection.closing = true;
                Consumed::awaiting_input(used)
            }
            Ok((used, StartupStep::Cancel(key))) => {
                connection.closing = true;
                self.handle_cancel_request(key);
                Consumed::awaiting_input(used)
            }
            Ok((used, StartupStep::Accepted(client))) => {
                let is_open = self.open(now, id, &client, users, servers);
                Consumed {
                    bytes: used,
                    has_more: is_open,
                }
            }
        }
    }

    /// Handles a request to cancel the unit of another session; a request with a wrong key is
    /// ignored.
    fn handle_cancel_request(&mut self, key: CancelKey) {
        let id = SessionId::from(key.process);
        let target = self.connections.get(&id);
        if target.is_some_and(|connection| connection.secret == key.secret) {
            self.events.push(Event::Cancel(id));
        }
    }

    /// Opens the session of a client that has logged in. Returns false if there are too many
    /// accounts: the client has received an error.
    fn open(
        &mut self,
        now: Micros,
        id: SessionId,
        client: &Client,
        users: &Users,
        servers: &mut Servers,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let user = users.0.get(&client.user).map(|(user, _)| user.clone());
        let account = user
            .as_ref()
            .and_then(|user| account(servers, user, client));
        let Some((user, account)) = user.zip(account) else {
            ClientError::TooManySessions.write(connection.link.output(), true);
            connection.closing = true;
            return false;
        };
        let session = Session::new(client, &mut self.catalogue);
        let key = CancelKey {
            process: id as u32,
            secret: connection.secret,
        };
        write_welcome(connection.link.output(), client, &servers.parameters, key);
        connection.last_active = now;
        connection.stage = Stage::Open(Box::new(OpenSession {
            session,
            user,
            account,
            running: None,
            pin: None,
            held_order_keys: Vec::new(),
            touched_groups: BTreeSet::new(),
            skipping_to_sync: false,
        }));
        true
    }

    /// Reads a unit, or a further part of the one in flight.
    fn read_unit(&mut self, now: Micros, id: SessionId, input: &[u8]) -> Consumed {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Consumed::NOTHING;
        };
        let Stage::Open(open_session) = &mut connection.stage else {
            return Consumed::NOTHING;
        };
        match open_session
            .session
            .read(input, &mut self.catalogue, &self.bounds)
        {
            Err(why) => {
                log::info!("session {id}: {}; its connection is closed", why.code());
                why.write(connection.link.output(), true);
                connection.closing = true;
                Consumed::NOTHING
            }
            Ok((used, SessionEvent::Incomplete)) => Consumed::awaiting_input(used),
            Ok((used, SessionEvent::Terminated)) => {
                connection.closing = true;
                Consumed::awaiting_input(used)
            }
            Ok((used, SessionEvent::Part(part))) => self.handle_part(now, id, used, part),
        }
    }

    /// Handles a unit, or a further part of the one in flight. The session answers by itself where
    /// it can.
    fn handle_part(
        &mut self,
        now: Micros,
        id: SessionId,
        used: usize,
        part: Rc<UnitPart>,
    ) -> Consumed {
        let shutdown = self.shutdown;
        let Some(connection) = self.connections.get_mut(&id) else {
            return Consumed::NOTHING;
        };
        let Stage::Open(open_session) = &mut connection.stage else {
            return Consumed::NOTHING;
        };
        let since = arrival_time(&connection.arrivals, used).unwrap_or(now);
        let is_late = shutdown.is_late(since);
        let part = open_session.checked_part(part);
        if let Some(running) = &mut open_session.running {
            // Guards against a unit that grows without end, as all of its parts are kept to be sent again.
            let bytes = part_memory(&part);
            if running.held_bytes + bytes > self.bounds.bytes + STATEMENT_OVERHEAD_BYTES {
                self.close_with_error(id, &UNIT_TOO_LONG);
                return Consumed::awaiting_input(used);
            }
            running.held_bytes += bytes;
            self.held_bytes += bytes;
        }
        if let Some(event) = open_session.add_further_part(&part, is_late) {
            self.events.push(event);
            return Consumed::with_more_to_read(used);
        }
        let output = connection.link.output();
        let transaction = open_session.session.transaction;
        let is_answered = open_session
            .session
            .answer_locally(&part, &mut self.catalogue, output);
        if is_answered {
            return Consumed::with_more_to_read(used);
        }
        if transaction == Transaction::Lost {
            ClientError::InFailedTransaction.write(output, false);
            open_session.skipping_to_sync = true;
            return Consumed::with_more_to_read(used);
        }
        if is_late {
            ClientError::ShuttingDown.write(output, true);
            connection.closing = true;
            return Consumed::awaiting_input(used);
        }
        self.events.push(Event::Unit {
            session: id,
            part,
            since,
        });
        Consumed::awaiting_input(used)
    }

    fn random_bytes(&self) -> [u8; 8] {
        use std::hash::BuildHasher;
        self.random_state.hash_one("nobody").to_be_bytes()
    }
}

/// The account at the engines of a client that has logged in. `None` if there are too many.
fn account(servers: &mut Servers, user: &User, client: &Client) -> Option<AccountId> {
    let who = engine::Account {
        user: user.engine_user.clone(),
        database: client.database.clone(),
        password: user.engine_password.clone(),
    };
    servers.account(who)
}

/// When the last of the first `used` bytes of the input was received.
fn arrival_time(arrivals: &VecDeque<Arrival>, used: usize) -> Option<Micros> {
    let mut sum = 0;
    arrivals.iter().find_map(|arrival| {
        sum += arrival.bytes;
        (sum >= used).then_some(arrival.at)
    })
}

/// Removes the first `used` bytes of the input from the arrivals.
fn consume_arrivals(arrivals: &mut VecDeque<Arrival>, used: usize) {
    let mut left = used;
    while let Some(arrival) = arrivals.front_mut() {
        let len = left.min(arrival.bytes);
        arrival.bytes -= len;
        left -= len;
        if arrival.bytes > 0 {
            break;
        }
        arrivals.pop_front();
    }
}

/// Writes the messages that a client receives after its login.
fn write_welcome(
    out: &mut Vec<u8>,
    client: &Client,
    parameters: &[(String, String)],
    key: CancelKey,
) {
    wire::write(out, b'R', |out| out.extend_from_slice(&0u32.to_be_bytes()));
    let defaults = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    let known = |name: &str| parameters.iter().any(|(n, _)| n == name);
    let parameter_values = defaults.iter().filter(|(name, _)| !known(name)).copied();
    let parameter_values =
        parameter_values.chain(parameters.iter().map(|(n, v)| (n.as_str(), v.as_str())));
    for (name, value) in parameter_values {
        let requested = client.parameters.get(&name.to_ascii_lowercase());
        let value = match name {
            "session_authorization" => &client.user,
            "is_superuser" => "off",
            _ => requested.map_or(value, String::as_str),
        };
        wire::write_parameter(out, name, value);
    }
    wire::write_backend_key(out, key);
    wire::write_ready(out, b'I');
}
