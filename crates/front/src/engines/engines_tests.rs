//! Unit tests of the `engines` module.

use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hallmux_dispatcher::Terms;
use hallmux_native_codec::statement::Call;
use socket2::SockRef;

use super::cancels::CANCEL_LAG;
use super::writes::MOST_UNSENT;
use super::*;
use crate::link::Broken;

const PATIENCE: Duration = Duration::from_secs(20); // for any one wait; a busy machine takes some of it
const RECEIVE_BUFFER: usize = 4 << 10; // bytes asked for at an engine: little that it leaves unread fits
const DIAL_TIMEOUT: Micros = 250_000;

/// An engine that is there.
pub(super) fn listed(address: SocketAddr) -> ListedEngine<'static> {
    ListedEngine {
        id: "a",
        address,
        started_ms: 0.0,
        available: true,
    }
}

#[test]
fn what_is_given_up_ends_once_its_engine_has_read_so() {
    let event_loop: calloop::EventLoop<'static, LoopEvents> =
        calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let allowance = NetworkSettings {
        cancel: true,
        executions_per_connection: 32,
        ..NetworkSettings::default()
    };
    let mut engines = Engines::new(event_loop.handle(), allowance, &Names::default());
    engines.update_engine(0, listed(listener.local_addr().unwrap()));
    let call = Rc::new(Call {
        id: "1".into(),
        workload: "lookup".into(),
        ..Call::default()
    });
    engines.send(
        0,
        ExecutionId::new(1, 0),
        0,
        call,
        Terms {
            deadline: 1_000_000,
            send_by: Micros::MAX,
            grant_mb: 0.0,
            priority: 1,
        },
    );
    let mut peer = BufReader::new(listener.accept().unwrap().0);
    while engines.executions[&ExecutionId::new(1, 0)].stage != Stage::Out {
        engines.read(0, 1);
        engines.flush(0);
    }
    engines.cancel(0, ExecutionId::new(1, 0), Ending::GivenUp);
    // It was decided long before the command leaves: the front stood still.
    engines.expire_timeouts(5 * CANCEL_LAG);
    assert!(engines.events.is_empty());
    engines.flush(0);
    let mut heard = String::new();
    (0..3).for_each(|_| _ = peer.read_line(&mut heard).unwrap());
    assert!(heard.ends_with("never_mind 1\r\n"), "{heard}");
    engines.expire_timeouts(CANCEL_LAG - 1);
    assert!(engines.events.is_empty() && engines.next_timeout() == CANCEL_LAG);
    // A time that is up is: its client is owed the answer now.
    let call = Rc::new(Call {
        id: "2".into(),
        workload: "lookup".into(),
        ..Call::default()
    });
    engines.send(
        0,
        ExecutionId::new(2, 0),
        0,
        call,
        Terms {
            deadline: 1_000_000,
            send_by: Micros::MAX,
            grant_mb: 0.0,
            priority: 1,
        },
    );
    engines.flush(0);
    engines.cancel(0, ExecutionId::new(2, 0), Ending::TimeUp);
    let ended = |event: &Event| {
        matches!(
            event,
            Event::ExecutionEnded {
                execution_id: ExecutionId {
                    ticket: 2,
                    number: 0
                },
                ending: Ending::TimeUp,
                ..
            }
        )
    };
    assert!(engines.events.pop().is_some_and(|event| ended(&event)));
    engines.expire_timeouts(CANCEL_LAG);
    let over = |event: &Event| {
        matches!(
            event,
            Event::ExecutionEnded {
                execution_id: ExecutionId {
                    ticket: 1,
                    number: 0
                },
                ending: Ending::GivenUp,
                ..
            }
        )
    };
    assert!(engines.events.len() == 1 && over(&engines.events[0]));
}

#[test]
fn a_connection_that_came_up_while_the_front_stood_still_is_not_given_up() {
    let event_loop: calloop::EventLoop<'static, LoopEvents> =
        calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let allowance = NetworkSettings {
        dial_timeout: 250_000,
        executions_per_connection: 32,
        ..NetworkSettings::default()
    };
    let mut engines = Engines::new(event_loop.handle(), allowance, &Names::default());
    engines.update_engine(0, listed(listener.local_addr().unwrap()));
    let call = Rc::new(Call {
        id: "1".into(),
        workload: "lookup".into(),
        ..Call::default()
    });
    engines.send(
        0,
        ExecutionId::new(1, 0),
        0,
        call,
        Terms {
            deadline: 5_000_000,
            send_by: Micros::MAX,
            grant_mb: 0.0,
            priority: 1,
        },
    );
    let mut peer = BufReader::new(listener.accept().unwrap().0);
    // It was not looked at for a second: what has come up is not reported as never up.
    engines.expire_timeouts(1_000_000);
    assert!(engines.events.is_empty());
    engines.read(1_000_000, 1);
    engines.flush(1_000_000);
    let mut heard = String::new();
    peer.read_line(&mut heard).unwrap();
    assert!(heard.starts_with("want 1 "), "{heard}");
}

/// Connections to one engine, which takes connections but reads nothing unless the test does.
struct Deaf {
    _events: calloop::EventLoop<'static, LoopEvents>,
    engines: Engines,
    peer: TcpStream,
}

fn sends(engines: &mut Engines, ticket: Ticket, statement: Vec<u8>) {
    let call = Call {
        id: ticket.to_string(),
        workload: "lookup".into(),
        statement,
        ..Call::default()
    };
    let terms = Terms {
        deadline: 5_000_000,
        send_by: Micros::MAX,
        grant_mb: 0.0,
        priority: 1,
    };
    engines.send(0, ExecutionId::new(ticket, 0), 0, Rc::new(call), terms);
}

impl Deaf {
    /// With statement 1 out there.
    fn new() -> Deaf {
        let events: calloop::EventLoop<'static, LoopEvents> =
            calloop::EventLoop::try_new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener)
            .set_recv_buffer_size(RECEIVE_BUFFER)
            .unwrap();
        let allowance = NetworkSettings {
            cancel: true,
            dial_timeout: DIAL_TIMEOUT,
            executions_per_connection: 32,
            ..NetworkSettings::default()
        };
        let mut engines = Engines::new(events.handle(), allowance, &Names::default());
        engines.update_engine(0, listed(listener.local_addr().unwrap()));
        sends(&mut engines, 1, b"select 1".to_vec());
        let peer = listener.accept().unwrap().0;
        let begun = Instant::now();
        while engines.executions[&ExecutionId::new(1, 0)].stage != Stage::Out {
            assert!(begun.elapsed() < PATIENCE, "the statement does not leave");
            engines.read(0, 1);
            engines.flush(0);
        }
        Deaf {
            _events: events,
            engines,
            peer,
        }
    }

    /// Gives statement 1 up behind so many small commands that the socket is full, and flushes at the time
    /// given: the command is written, but its bytes have not left.
    fn gives_up_into_a_full_socket(&mut self, now: Micros) {
        let begun = Instant::now();
        while self.engines.connections[&1].link.unsent() == 0 {
            assert!(begun.elapsed() < PATIENCE, "the socket takes everything");
            (0..1_000).for_each(|_| self.engines.set_priority(ExecutionId::new(1, 0), 2));
            self.engines.flush(now);
        }
        self.engines
            .cancel(now, ExecutionId::new(1, 0), Ending::GivenUp);
        self.engines.flush(now);
        assert!(self.engines.connections[&1].link.unsent() > 0 && self.engines.events.is_empty());
    }

    /// The engine reads until the front has nothing left to send, which it flushes at the time given: what is
    /// heard.
    fn reads_all(&mut self, now: Micros) -> String {
        self.peer.set_nonblocking(true).unwrap();
        let (begun, mut heard, mut chunk) = (Instant::now(), Vec::new(), vec![0; 64 << 10]);
        while !heard.ends_with(b"never_mind 1\r\n") {
            assert!(begun.elapsed() < PATIENCE, "not all comes");
            match self.peer.read(&mut chunk) {
                Ok(len) => heard.extend_from_slice(&chunk[..len]),
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock, "{e}"),
            }
            self.engines.flush(now);
        }
        String::from_utf8(heard).unwrap()
    }

    /// How executions have ended since the last look.
    fn ended(&mut self) -> Vec<(Ticket, Ending)> {
        let ended = |event: Event| match event {
            Event::ExecutionEnded {
                execution_id,
                ending,
                ..
            } => Some((execution_id.ticket, ending)),
            _ => None,
        };
        std::mem::take(&mut self.engines.events)
            .into_iter()
            .filter_map(ended)
            .collect()
    }
}

#[test]
fn what_is_given_up_into_a_full_socket_ends_once_the_command_has_left_and_was_read() {
    let mut deaf = Deaf::new();
    deaf.gives_up_into_a_full_socket(0);
    // Its engine has not been told: nothing may go out by this end.
    deaf.engines.expire_timeouts(DIAL_TIMEOUT - 1);
    assert_eq!(deaf.ended(), [], "its command has not left");
    // What has come to the connection only now is read some round trips later.
    let left_at = DIAL_TIMEOUT - 1;
    deaf.reads_all(left_at);
    deaf.engines.expire_timeouts(left_at + CANCEL_LAG - 1);
    assert_eq!(deaf.ended(), [], "its engine may not have read the command");
    assert_eq!(deaf.engines.next_timeout(), left_at + CANCEL_LAG);
    deaf.engines.expire_timeouts(left_at + CANCEL_LAG);
    assert_eq!(deaf.ended(), [(1, Ending::GivenUp)]);
    assert_eq!(deaf.engines.connections.len(), 1);
}

#[test]
fn an_engine_that_never_takes_that_an_execution_is_given_up_is_told_by_the_end_of_its_connection() {
    let mut deaf = Deaf::new();
    deaf.gives_up_into_a_full_socket(1_000);
    sends(&mut deaf.engines, 2, b"select 2".to_vec());
    deaf.engines.expire_timeouts(1_000 + DIAL_TIMEOUT - 1);
    assert_eq!(deaf.ended(), []);
    assert_eq!(deaf.engines.next_timeout(), 1_000 + DIAL_TIMEOUT);
    let closed_at = 1_000 + DIAL_TIMEOUT;
    deaf.engines.expire_timeouts(closed_at);
    assert!(deaf.engines.connections.is_empty());
    deaf.engines.flush(closed_at);
    // What had not begun to leave surely never ran; the other may have.
    assert_eq!(deaf.ended(), [(2, Ending::Withdrawn)]);
    deaf.engines.expire_timeouts(closed_at + CANCEL_LAG - 1);
    assert_eq!(deaf.ended(), []);
    deaf.engines.expire_timeouts(closed_at + CANCEL_LAG);
    assert_eq!(deaf.ended(), [(1, Ending::ClosedHere)]);
}

#[test]
fn what_is_given_up_on_a_connection_that_is_lost_before_the_command_has_left_ends_with_it() {
    let mut deaf = Deaf::new();
    deaf.gives_up_into_a_full_socket(0);
    // The engine leaves with much unread: whether that is found as a reset or as the end depends on who looks
    // first.
    let Deaf {
        engines,
        peer,
        _events,
    } = deaf;
    drop(peer);
    let (begun, mut engines) = (Instant::now(), engines);
    while !engines.connections.is_empty() {
        assert!(begun.elapsed() < PATIENCE, "the connection is not lost");
        engines.flush(1);
    }
    let lost = |event: &Event| {
        let Event::ExecutionEnded {
            execution_id,
            ending,
            ..
        } = event
        else {
            return false;
        };
        *execution_id == ExecutionId::new(1, 0) && matches!(ending, Ending::Reset | Ending::Closed)
    };
    assert!(engines.events.len() == 1 && lost(&engines.events[0]));
    engines.expire_timeouts(DIAL_TIMEOUT);
    assert_eq!(engines.events.len(), 1, "an execution ends once");
}

#[test]
fn a_time_that_is_up_does_not_wait_for_an_engine_to_take_the_command() {
    let mut deaf = Deaf::new();
    deaf.gives_up_into_a_full_socket(0);
    deaf.engines
        .cancel(1, ExecutionId::new(1, 0), Ending::GivenUp);
    assert_eq!(deaf.ended(), [], "given up once more it is still out");
    deaf.engines
        .cancel(2, ExecutionId::new(1, 0), Ending::TimeUp);
    assert_eq!(deaf.ended(), [(1, Ending::TimeUp)]);
    deaf.reads_all(3);
    deaf.engines.expire_timeouts(3 + CANCEL_LAG);
    assert_eq!(deaf.ended(), [], "an execution ends once");
}

#[test]
fn a_statement_whose_end_left_as_timeouts_were_looked_at_may_have_run() {
    let mut deaf = Deaf::new();
    sends(&mut deaf.engines, 2, vec![b'x'; MOST_UNSENT - 1_000]);
    deaf.engines.flush(0);
    assert!(
        deaf.engines.connections[&1].link.unsent() > 0,
        "its end has not left"
    );
    // The engine reads as fast as it can; each look at the timeouts sends on, until its end has left.
    deaf.peer.set_nonblocking(true).unwrap();
    let (begun, mut chunk) = (Instant::now(), vec![0; 64 << 10]);
    while deaf.engines.connections[&1].link.unsent() > 0 {
        assert!(begun.elapsed() < PATIENCE, "not all comes");
        let _ = deaf.peer.read(&mut chunk);
        deaf.engines.expire_timeouts(1);
    }
    deaf.engines
        .cancel(2, ExecutionId::new(2, 0), Ending::TimeUp);
    assert_eq!(deaf.ended(), [(2, Ending::TimeUp)]);
    assert_eq!(deaf.engines.connections.len(), 1, "others go on there");
}

#[test]
fn an_engine_that_leaves_too_much_untaken_has_its_executions_end_once_it_may_know() {
    let mut deaf = Deaf::new();
    let begun = Instant::now();
    while !deaf.engines.connections.is_empty() {
        assert!(begun.elapsed() < PATIENCE, "the socket takes everything");
        (0..20_000).for_each(|_| deaf.engines.set_priority(ExecutionId::new(1, 0), 2));
        deaf.engines.flush(0);
    }
    assert_eq!(
        deaf.ended(),
        [],
        "its engine has yet to read that the connection is closed"
    );
    deaf.engines.expire_timeouts(CANCEL_LAG);
    assert_eq!(deaf.ended(), [(1, Ending::ClosedHere)]);
}

#[test]
fn what_was_out_on_a_connection_that_this_system_gave_up_ends_once_its_engine_can_have_read_so() {
    let mut deaf = Deaf::new();
    deaf.engines.close(0, 1, replies::ending_of(Broken::Lost));
    deaf.engines.flush(0);
    deaf.engines.expire_timeouts(CANCEL_LAG - 1);
    assert_eq!(deaf.ended(), [], "its engine may run it still");
    deaf.engines.expire_timeouts(CANCEL_LAG);
    assert_eq!(deaf.ended(), [(1, Ending::ClosedHere)]);
}
