//! Input of clients: the login, then units, one after the other.

use std::collections::{BTreeSet, VecDeque};

use hallmux_config::User;
use hallmux_dispatcher::Micros;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine;
use hallmux_postgres::pool::AccountId;
use hallmux_postgres::session::{Session, SessionEvent, Transaction};
use hallmux_postgres::startup::{Client, StartupStep};
use hallmux_postgres::wire::{self, CancelKey};

use super::{Event, OpenSession, Sessions, Stage, Users};
use crate::postgres::ids::SessionId;
use crate::postgres::servers::Servers;

const UNITS_PER_ITERATION: usize = 64; // units answered here for one session before others are served

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
            let (used, goes_on) = self.consume(now, id, &input, users, servers);
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
            if !goes_on {
                return;
            }
        }
        // There may be more, after others have been served.
        self.ready.push(id);
    }

    /// Takes what can be taken of the input now: how many bytes, and whether there may be more to take.
    fn consume(
        &mut self,
        now: Micros,
        id: SessionId,
        input: &[u8],
        users: &Users,
        servers: &mut Servers,
    ) -> (usize, bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return (0, false);
        };
        match &mut connection.stage {
            Stage::LoggingIn(_) if input.is_empty() => (0, false),
            Stage::LoggingIn(_) => self.log_in(now, id, input, users, servers),
            Stage::Open(open_session) if open_session.skipping => {
                match open_session.session.skip(input) {
                    Err(why) => {
                        why.write(connection.link.output(), true);
                        connection.closing = true;
                        (0, false)
                    }
                    Ok((used, over)) => {
                        open_session.skipping = !over;
                        if over {
                            open_session.session.ready(connection.link.output());
                        }
                        (used, over)
                    }
                }
            }
            // One unit after the other: each may hang on how the last one ended.
            Stage::Open(open_session)
                if open_session.running.is_some() && !open_session.session.is_in_unit() =>
            {
                (0, false)
            }
            Stage::Open(_) => self.read_unit(now, id, input),
        }
    }

    /// A step of the login; after the last one the session is open. Returns as `consume`.
    fn log_in(
        &mut self,
        now: Micros,
        id: SessionId,
        input: &[u8],
        users: &Users,
        servers: &mut Servers,
    ) -> (usize, bool) {
        let (first, second) = (self.secret("nonce", id), self.secret("the rest of it", id));
        let nonce = format!("{first:016x}{second:016x}");
        let hidden = self.chance_bytes();
        let Some(connection) = self.connections.get_mut(&id) else {
            return (0, false);
        };
        let Stage::LoggingIn(entry) = &mut connection.stage else {
            return (0, false);
        };
        let access = |user: &str| users.0.get(user).map(|(_, access)| access.clone());
        let out = connection.link.output();
        match entry.read(input, access, &hidden, &nonce, out) {
            Err(what) => {
                log::info!("session {id}: {what}; its connection is closed");
                connection.closing = true;
                (0, false)
            }
            Ok((used, StartupStep::Incomplete)) => (used, false),
            Ok((used, StartupStep::Refused)) => {
                connection.closing = true;
                (used, false)
            }
            Ok((used, StartupStep::Cancel(key))) => {
                connection.closing = true;
                self.take_cancel_request(key);
                (used, false)
            }
            Ok((used, StartupStep::Accepted(welcome))) => {
                (used, self.open(now, id, &welcome, users, servers))
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

    /// Reads a unit, or more of one that is out. Returns as `consume`.
    fn read_unit(&mut self, now: Micros, id: SessionId, input: &[u8]) -> (usize, bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return (0, false);
        };
        let Stage::Open(open_session) = &mut connection.stage else {
            return (0, false);
        };
        match open_session
            .session
            .read(input, &mut self.catalogue, &self.bounds)
        {
            Err(why) => {
                log::info!("session {id}: {}; its connection is closed", why.code());
                why.write(connection.link.output(), true);
                connection.closing = true;
                (0, false)
            }
            Ok((used, SessionEvent::Incomplete)) => (used, false),
            Ok((used, SessionEvent::Terminated)) => {
                connection.closing = true;
                (used, false)
            }
            Ok((used, SessionEvent::Part(part))) => {
                let since = came(&connection.arrivals, used).unwrap_or(now);
                match &mut open_session.running {
                    Some(running) => {
                        running.parts.push(part.clone());
                        running.commits |= part.commits;
                        self.events.push(Event::UnitPart {
                            ticket: running.ticket,
                            part,
                        });
                        (used, true)
                    }
                    None => {
                        let out = connection.link.output();
                        let was = open_session.session.transaction;
                        if open_session
                            .session
                            .answers(&part, &mut self.catalogue, out)
                        {
                            (used, true)
                        } else if was == Transaction::Lost {
                            ClientError::InFailedTransaction.write(out, false);
                            open_session.skipping = true;
                            (used, true)
                        } else {
                            self.events.push(Event::Unit {
                                session: id,
                                part,
                                since,
                            });
                            (used, false)
                        }
                    }
                }
            }
        }
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
fn came(arrivals: &VecDeque<(usize, Micros)>, used: usize) -> Option<Micros> {
    let mut sum = 0;
    arrivals.iter().find_map(|(bytes, at)| {
        sum += bytes;
        (sum >= used).then_some(*at)
    })
}

fn taken(arrivals: &mut VecDeque<(usize, Micros)>, used: usize) {
    let mut left = used;
    while let Some((bytes, _)) = arrivals.front_mut() {
        let len = left.min(*bytes);
        *bytes -= len;
        left -= len;
        if *bytes > 0 {
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
    wire::write_key(out, key);
    wire::write_ready(out, b'I');
}
