//! Input of clients: the login, then units, one after the other.

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use hallmux_config::User;
use hallmux_dispatcher::Micros;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine;
use hallmux_postgres::pool::AccountId;
use hallmux_postgres::session::{Session, SessionEvent, Transaction, UnitPart};
use hallmux_postgres::startup::{Client, StartupStep};
use hallmux_postgres::wire::{self, CancelKey};

use super::{Arrival, Event, OpenSession, Sessions, Stage, Users};
use crate::postgres::ids::SessionId;
use crate::postgres::servers::Servers;

/// Units answered here for one session before others are served.
const UNITS_PER_ITERATION: usize = 64;

/// How much of a session's input was taken.
struct Consumed {
    bytes: usize,
    /// There may be more to take now.
    goes_on: bool,
}

impl Consumed {
    const NOTHING: Consumed = Consumed {
        bytes: 0,
        goes_on: false,
    };

    /// So many bytes; the rest waits for more input, or for an answer.
    fn until_more_comes(bytes: usize) -> Consumed {
        Consumed {
            bytes,
            goes_on: false,
        }
    }

    /// So many bytes; the rest can be taken at once.
    fn and_more(bytes: usize) -> Consumed {
        Consumed {
            bytes,
            goes_on: true,
        }
    }
}

impl Sessions {
    /// Takes the units that have come, as far as they can be taken now.
    pub fn advance(&mut self, now: Micros, id: SessionId, users: &Users, servers: &mut Servers) {
        for _ in 0..UNITS_PER_ITERATION {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            if connection.closing {
                return;
            }
            let input = std::mem::take(&mut connection.link.input);
            let consumed = self.consume(now, id, &input, users, servers);
            let used = consumed.bytes;
            self.changed.insert(id);
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            connection.link.input = input;
            connection.link.consume(used);
            self.held_bytes -= used;
            taken(&mut connection.arrivals, used);
            if used > 0 {
                connection.last_active = now;
            }
            if connection.closing {
                let left = connection.link.input.len();
                self.held_bytes -= left;
                connection.link.input = Vec::new();
                self.abandon(id);
                return;
            }
            if !consumed.goes_on {
                return;
            }
        }
        // There may be more, after others have been served.
        self.ready.push(id);
    }

    /// Takes what can be taken of the input now.
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
            Stage::LoggingIn(_) => self.log_in(now, id, input, users, servers),
            Stage::Open(open_session) if open_session.skipping => {
                match open_session.session.skip_to_sync(input) {
                    Err(why) => {
                        why.write(connection.link.output(), true);
                        connection.closing = true;
                        Consumed::NOTHING
                    }
                    Ok((used, over)) => {
                        open_session.skipping = !over;
                        if over {
                            open_session.session.write_ready(connection.link.output());
                        }
                        Consumed {
                            bytes: used,
                            goes_on: over,
                        }
                    }
                }
            }
            // One unit after the other: each may hang on how the last one ended.
            Stage::Open(open_session)
                if open_session.running.is_some() && !open_session.session.is_in_unit() =>
            {
                Consumed::NOTHING
            }
            Stage::Open(_) => self.read_unit(now, id, input),
        }
    }

    /// A step of the login; after the last one the session is open.
    fn log_in(
        &mut self,
        now: Micros,
        id: SessionId,
        input: &[u8],
        users: &Users,
        servers: &mut Servers,
    ) -> Consumed {
        let (first, second) = (self.secret("nonce", id), self.secret("the rest of it", id));
        let nonce = format!("{first:016x}{second:016x}");
        let hidden = self.chance_bytes();
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
            Ok((used, StartupStep::Incomplete)) => Consumed::until_more_comes(used),
            Ok((used, StartupStep::Refused)) => {
                connection.closing = true;
                Consumed::until_more_comes(used)
            }
            Ok((used, StartupStep::Cancel(key))) => {
                connection.closing = true;
                self.take_cancel_request(key);
                Consumed::until_more_comes(used)
            }
            Ok((used, StartupStep::Accepted(welcome))) => {
                let is_open = self.open(now, id, &welcome, users, servers);
                Consumed {
                    bytes: used,
                    goes_on: is_open,
                }
            }
        }
    }

    /// A request to cancel what another session has out; one with a wrong key means nothing.
    fn take_cancel_request(&mut self, key: CancelKey) {
        let id = SessionId::from(key.process);
        let meant = self.connections.get(&id);
        if meant.is_some_and(|connection| connection.secret == key.secret) {
            self.events.push(Event::Cancel(id));
        }
    }

    /// Opens the session of a client that has logged in. False if there are too many: then it has its answer.
    fn open(
        &mut self,
        now: Micros,
        id: SessionId,
        welcome: &Client,
        users: &Users,
        servers: &mut Servers,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let user = users.0.get(&welcome.user).map(|(user, _)| user.clone());
        let account = user
            .as_ref()
            .and_then(|user| account(servers, user, welcome));
        let Some((user, account)) = user.zip(account) else {
            ClientError::TooManySessions.write(connection.link.output(), true);
            connection.closing = true;
            return false;
        };
        let session = Session::new(welcome, &mut self.catalogue);
        let key = CancelKey {
            process: id as u32,
            secret: connection.secret,
        };
        greet(connection.link.output(), welcome, &servers.parameters, key);
        connection.last_active = now;
        connection.stage = Stage::Open(Box::new(OpenSession {
            session,
            user,
            account,
            running: None,
            pin: None,
            held_keys: Vec::new(),
            touched: BTreeSet::new(),
            skipping: false,
        }));
        true
    }

    /// Reads a unit, or more of one that is out.
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
            Ok((used, SessionEvent::Incomplete)) => Consumed::until_more_comes(used),
            Ok((used, SessionEvent::Terminated)) => {
                connection.closing = true;
                Consumed::until_more_comes(used)
            }
            Ok((used, SessionEvent::Part(part))) => self.take_part(now, id, used, part),
        }
    }

    /// Takes a unit, or more of the one that is out. What the session can answer by itself is answered.
    fn take_part(
        &mut self,
        now: Micros,
        id: SessionId,
        used: usize,
        part: Rc<UnitPart>,
    ) -> Consumed {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Consumed::NOTHING;
        };
        let Stage::Open(open_session) = &mut connection.stage else {
            return Consumed::NOTHING;
        };
        let since = came(&connection.arrivals, used).unwrap_or(now);
        if let Some(running) = &mut open_session.running {
            running.parts.push(part.clone());
            running.commits |= part.commits_transaction;
            self.events.push(Event::UnitPart {
                ticket: running.ticket,
                part,
            });
            return Consumed::and_more(used);
        }
        let output = connection.link.output();
        let transaction = open_session.session.transaction;
        let is_answered = open_session
            .session
            .answer_locally(&part, &mut self.catalogue, output);
        if is_answered {
            return Consumed::and_more(used);
        }
        if transaction == Transaction::Lost {
            ClientError::InFailedTransaction.write(output, false);
            open_session.skipping = true;
            return Consumed::and_more(used);
        }
        self.events.push(Event::Unit {
            session: id,
            part,
            since,
        });
        Consumed::until_more_comes(used)
    }

    fn chance_bytes(&self) -> [u8; 8] {
        use std::hash::BuildHasher;
        self.chance.hash_one("nobody").to_be_bytes()
    }
}

/// The account at the engines of one that came in, unless there are too many.
fn account(servers: &mut Servers, user: &User, welcome: &Client) -> Option<AccountId> {
    let who = engine::Account {
        user: user.engine_user.clone(),
        database: welcome.database.clone(),
        password: user.engine_password.clone(),
    };
    servers.account(who)
}

/// When the byte that ends so many bytes of the input came.
fn came(arrivals: &VecDeque<Arrival>, used: usize) -> Option<Micros> {
    let mut sum = 0;
    arrivals.iter().find_map(|arrival| {
        sum += arrival.bytes;
        (sum >= used).then_some(arrival.at)
    })
}

/// So many bytes of the input were taken.
fn taken(arrivals: &mut VecDeque<Arrival>, used: usize) {
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

/// What a client hears when it has come in.
fn greet(out: &mut Vec<u8>, welcome: &Client, parameters: &[(String, String)], key: CancelKey) {
    wire::write(out, b'R', |out| out.extend_from_slice(&0u32.to_be_bytes()));
    let usual = [
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
    let events = usual.iter().filter(|(name, _)| !known(name)).copied();
    let events = events.chain(parameters.iter().map(|(n, v)| (n.as_str(), v.as_str())));
    for (name, value) in events {
        let own = welcome.parameters.get(&name.to_ascii_lowercase());
        let value = match name {
            "session_authorization" => &welcome.user,
            "is_superuser" => "off",
            _ => own.map_or(value, String::as_str),
        };
        wire::write_parameter(out, name, value);
    }
    wire::write_backend_key(out, key);
    wire::write_ready(out, b'I');
}
