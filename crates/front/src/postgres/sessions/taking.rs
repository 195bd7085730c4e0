//! What clients say becomes units, one after the other; and how they come in.

use std::collections::{BTreeSet, VecDeque};

use hallmux_agreement::User;
use hallmux_dispatcher::Micros;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine;
use hallmux_postgres::pool::AccountId;
use hallmux_postgres::session::{Session, SessionEvent, Transaction};
use hallmux_postgres::startup::{Client, StartupStep};
use hallmux_postgres::wire::{self, CancelKey};

use super::{Inside, Sessions, Stage, Told, Users};
use crate::postgres::servers::{Servers, SessionId};

const ONE_TURN: usize = 64; // units answered here for one session before others have their turn

impl Sessions {
    /// Takes the units that have come, as far as they can be taken now.
    pub fn advance(&mut self, now: Micros, id: SessionId, users: &Users, servers: &mut Servers) {
        for _ in 0..ONE_TURN {
            let enters = matches!(self.peers.get(&id), Some(p) if matches!(p.stage, Stage::Entering(_)));
            let mut nonce = String::new();
            let mut hidden = [0; 8];
            if enters {
                let (first, second) = (self.secret("nonce", id), self.secret("the rest of it", id));
                nonce = format!("{first:016x}{second:016x}");
                hidden = self.chance_bytes();
            }
            let Some(peer) = self.peers.get_mut(&id) else { return };
            if peer.ends {
                return;
            }
            let input = std::mem::take(&mut peer.link.input);
            let (used, goes_on) = match &mut peer.stage {
                Stage::Entering(_) if input.is_empty() => (0, false),
                Stage::Entering(entry) => {
                    let access = |user: &str| users.0.get(user).map(|(_, access)| access.clone());
                    let out = peer.link.output();
                    match entry.read(&input, access, &hidden, &nonce, out) {
                        Err(what) => {
                            log::info!("session {id}: {what}; its connection is closed");
                            peer.ends = true;
                            (0, false)
                        }
                        Ok((used, StartupStep::Incomplete)) => (used, false),
                        Ok((used, StartupStep::Refused)) => {
                            peer.ends = true;
                            (used, false)
                        }
                        Ok((used, StartupStep::Cancel(CancelKey { process, secret }))) => {
                            peer.ends = true;
                            let meant = SessionId::from(process);
                            if self.peers.get(&meant).is_some_and(|p| p.secret == secret) {
                                self.told.push(Told::Cancel(meant));
                            }
                            (used, false)
                        }
                        Ok((used, StartupStep::Accepted(welcome))) => {
                            let user = users.0.get(&welcome.user).map(|(user, _)| user.clone());
                            let account = user.as_ref().and_then(|user| account(servers, user, &welcome));
                            match user.zip(account) {
                                Some((user, account)) => {
                                    let session = Session::new(&welcome, &mut self.catalogue);
                                    let key = CancelKey { process: id as u32, secret: peer.secret };
                                    greet(peer.link.output(), &welcome, &servers.parameters, key);
                                    peer.heard = now;
                                    peer.stage = Stage::In(Box::new(Inside {
                                        session,
                                        user,
                                        account,
                                        running: None,
                                        pin: None,
                                        holds: Vec::new(),
                                        touched: BTreeSet::new(),
                                        skipping: false,
                                    }));
                                    (used, true)
                                }
                                None => {
                                    ClientError::TooManySessions.write(peer.link.output(), true);
                                    peer.ends = true;
                                    (used, false)
                                }
                            }
                        }
                    }
                }
                Stage::In(inside) if inside.skipping => match inside.session.skip(&input) {
                    Err(why) => {
                        why.write(peer.link.output(), true);
                        peer.ends = true;
                        (0, false)
                    }
                    Ok((used, over)) => {
                        inside.skipping = !over;
                        if over {
                            inside.session.ready(peer.link.output());
                        }
                        (used, over)
                    }
                },
                // One unit after the other: each may hang on how the last one ended.
                Stage::In(inside) if inside.running.is_some() && !inside.session.is_in_unit() => (0, false),
                Stage::In(inside) => match inside.session.read(&input, &mut self.catalogue, &self.bounds) {
                    Err(why) => {
                        log::info!("session {id}: {}; its connection is closed", why.code());
                        why.write(peer.link.output(), true);
                        peer.ends = true;
                        (0, false)
                    }
                    Ok((used, SessionEvent::Incomplete)) => (used, false),
                    Ok((used, SessionEvent::Terminated)) => {
                        peer.ends = true;
                        (used, false)
                    }
                    Ok((used, SessionEvent::Part(part))) => {
                        let since = came(&peer.marks, used).unwrap_or(now);
                        match &mut inside.running {
                            Some(running) => {
                                running.parts.push(part.clone());
                                running.commits |= part.commits;
                                self.told.push(Told::More { ticket: running.ticket, part });
                                (used, true)
                            }
                            None => {
                                let out = peer.link.output();
                                let was = inside.session.transaction;
                                if inside.session.answers(&part, &mut self.catalogue, out) {
                                    (used, true)
                                } else if was == Transaction::Lost {
                                    ClientError::InFailedTransaction.write(out, false);
                                    inside.skipping = true;
                                    (used, true)
                                } else {
                                    self.told.push(Told::Asked { session: id, part, since });
                                    (used, false)
                                }
                            }
                        }
                    }
                },
            };
            self.dirty.insert(id);
            let Some(peer) = self.peers.get_mut(&id) else { return };
            peer.link.input = input;
            peer.link.taken(used);
            self.held -= used;
            taken(&mut peer.marks, used);
            if used > 0 {
                peer.heard = now;
            }
            if peer.ends {
                let left = peer.link.input.len();
                self.held -= left;
                peer.link.input = Vec::new();
                self.leave(id);
                return;
            }
            if !goes_on {
                return;
            }
        }
        // There may be more, after others have had their turn.
        self.ready.push(id);
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
fn came(marks: &VecDeque<(usize, Micros)>, used: usize) -> Option<Micros> {
    let mut sum = 0;
    marks.iter().find_map(|(bytes, at)| {
        sum += bytes;
        (sum >= used).then_some(*at)
    })
}

fn taken(marks: &mut VecDeque<(usize, Micros)>, used: usize) {
    let mut left = used;
    while let Some((bytes, _)) = marks.front_mut() {
        let len = left.min(*bytes);
        *bytes -= len;
        left -= len;
        if *bytes > 0 {
            break;
        }
        marks.pop_front();
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
    let told = usual.iter().filter(|(name, _)| !known(name)).copied();
    let told = told.chain(parameters.iter().map(|(n, v)| (n.as_str(), v.as_str())));
    for (name, value) in told {
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
