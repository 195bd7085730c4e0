//! Unit tests of the `engines` module.

use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hallmux_dispatcher::Terms;
use hallmux_native_codec::statement::Call;
use socket2::SockRef;

use super::cancels::CANCEL_DELIVERY_TIME;
use super::writes::MAX_UNSENT_BYTES;
use super::*;
use crate::link::Broken;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20); // for one wait, on a busy machine
const RECEIVE_BUFFER_BYTES: usize = 4 << 10; // small, so that the socket fills soon while the engine does not read
const DIAL_TIMEOUT: Micros = 250_000;

/// An available engine at an address.
pub(super) fn listed(address: SocketAddr) -> ListedEngine<'static> {
    ListedEngine {
        id: "a",
        address,
        started_ms: 0.0,
        available: true,
    }
}

#[test]
fn a_cancelled_execution_ends_once_its_engine_has_read_the_cancel() {
    let event_loop: calloop::EventLoop<'static, LoopEvents> =
        calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let network = NetworkSettings {
        cancel: true,
        executions_per_connection: 32,
        ..NetworkSettings::default()
    };
    let mut engines = Engines::new(event_loop.handle(), network, &Names::default());
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
    while engines.executions[&ExecutionId::new(1, 0)].stage != Stage::Sent {
        engines.read(0, 1);
        engines.flush(0);
    }
    engines.cancel(0, ExecutionId::new(1, 0), Ending::GivenUp);
    // The cancel is flushed long after it was decided, as after a stall of the process.
    engines.expire_timeouts(5 * CANCEL_DELIVERY_TIME);
    assert!(engines.events.is_empty());
    engines.flush(0);
    let mut received = String::new();
    (0..3).for_each(|_| _ = peer.read_line(&mut received).unwrap());
    assert!(received.ends_with("never_mind 1\r\n"), "{received}");
    engines.expire_timeouts(CANCEL_DELIVERY_TIME - 1);
    assert!(engines.events.is_empty() && engines.next_timeout() == CANCEL_DELIVERY_TIME);
    // An execution past its deadline ends at once, as its client must be answered now.
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
    let timed_out = |event: &Event| {
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
    assert!(engines.events.pop().is_some_and(|event| timed_out(&event)));
    engines.expire_timeouts(CANCEL_DELIVERY_TIME);
    let cancelled = |event: &Event| {
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
    assert!(engines.events.len() == 1 && cancelled(&engines.events[0]));
}

#[test]
fn a_connection_that_came_up_during_a_stall_is_not_timed_out() {
    let event_loop: calloop::EventLoop<'static, LoopEvents> =
        calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let network = NetworkSettings {
        dial_timeout: 250_000,
        executions_per_connection: 32,
        ..NetworkSettings::default()
    };
    let mut engines = Engines::new(event_loop.handle(), network, &Names::default());
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
    // The connection was not checked for a second and came up in between: it must not time out.
    engines.expire_timeouts(1_000_000);
    assert!(engines.events.is_empty());
    engines.read(1_000_000, 1);
    engines.flush(1_000_000);
    let mut received = String::new();
    peer.read_line(&mut received).unwrap();
    assert!(received.starts_with("want 1 "), "{received}");
}

/// Connections to one engine that accepts connections but reads only when the test does.
struct StalledEngine {
    _events: calloop::EventLoop<'static, LoopEvents>,
    engines: Engines,
    peer: TcpStream,
}

fn send_statement(engines: &mut Engines, ticket: Ticket, statement: Vec<u8>) {
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

impl StalledEngine {
    /// Creates the engine with statement 1 in flight.
    fn new() -> StalledEngine {
        let events: calloop::EventLoop<'static, LoopEvents> =
            calloop::EventLoop::try_new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener)
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .unwrap();
        let network = NetworkSettings {
            cancel: true,
            dial_timeout: DIAL_TIMEOUT,
            executions_per_connection: 32,
            ..NetworkSettings::default()
        };
        let mut engines = Engines::new(events.handle(), network, &Names::default());
        engines.update_engine(0, listed(listener.local_addr().unwrap()));
        send_statement(&mut engines, 1, b"select 1".to_vec());
        let peer = listener.accept().unwrap().0;
        let started = Instant::now();
        while engines.executions[&ExecutionId::new(1, 0)].stage != Stage::Sent {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the statement is not sent"
            );
            engines.read(0, 1);
            engines.flush(0);
        }
        StalledEngine {
            _events: events,
            engines,
            peer,
        }
    }

    /// Cancels statement 1 behind so many small commands that the socket is full, and flushes at the given time:
    /// the cancel is in the output, but its bytes are not sent.
    fn cancel_into_full_socket(&mut self, now: Micros) {
        let started = Instant::now();
        while self.engines.connections[&1].link.unsent() == 0 {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the socket never fills up"
            );
            (0..1_000).for_each(|_| self.engines.set_priority(ExecutionId::new(1, 0), 2));
            self.engines.flush(now);
        }
        self.engines
            .cancel(now, ExecutionId::new(1, 0), Ending::GivenUp);
        self.engines.flush(now);
        assert!(self.engines.connections[&1].link.unsent() > 0 && self.engines.events.is_empty());
    }

    /// Lets the engine read up to the cancel of statement 1 while the front flushes at the given time; returns
    /// what the engine received.
    fn read_until_cancel(&mut self, now: Micros) -> String {
        self.peer.set_nonblocking(true).unwrap();
        let (started, mut received, mut chunk) = (Instant::now(), Vec::new(), vec![0; 64 << 10]);
        while !received.ends_with(b"never_mind 1\r\n") {
            assert!(started.elapsed() < WAIT_TIMEOUT, "not all output arrives");
            match self.peer.read(&mut chunk) {
                Ok(len) => received.extend_from_slice(&chunk[..len]),
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock, "{e}"),
            }
            self.engines.flush(now);
        }
        String::from_utf8(received).unwrap()
    }

    /// Takes the endings of executions that were reported since the last call.
    fn take_endings(&mut self) -> Vec<(Ticket, Ending)> {
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
fn a_cancel_into_a_full_socket_ends_the_execution_once_it_was_sent_and_read() {
    let mut stalled = StalledEngine::new();
    stalled.cancel_into_full_socket(0);
    // The engine has not received the cancel, so the execution must not be reported as ended.
    stalled.engines.expire_timeouts(DIAL_TIMEOUT - 1);
    assert_eq!(stalled.take_endings(), [], "the cancel was not sent");
    // The engine reads the cancel some round trips after it was sent.
    let sent_at = DIAL_TIMEOUT - 1;
    stalled.read_until_cancel(sent_at);
    stalled
        .engines
        .expire_timeouts(sent_at + CANCEL_DELIVERY_TIME - 1);
    assert_eq!(
        stalled.take_endings(),
        [],
        "its engine may not have read the cancel"
    );
    assert_eq!(
        stalled.engines.next_timeout(),
        sent_at + CANCEL_DELIVERY_TIME
    );
    stalled
        .engines
        .expire_timeouts(sent_at + CANCEL_DELIVERY_TIME);
    assert_eq!(stalled.take_endings(), [(1, Ending::GivenUp)]);
    assert_eq!(stalled.engines.connections.len(), 1);
}

#[test]
fn an_engine_that_never_reads_a_cancel_has_its_connection_closed() {
    let mut stalled = StalledEngine::new();
    stalled.cancel_into_full_socket(1_000);
    send_statement(&mut stalled.engines, 2, b"select 2".to_vec());
    stalled.engines.expire_timeouts(1_000 + DIAL_TIMEOUT - 1);
    assert_eq!(stalled.take_endings(), []);
    assert_eq!(stalled.engines.next_timeout(), 1_000 + DIAL_TIMEOUT);
    let closed_at = 1_000 + DIAL_TIMEOUT;
    stalled.engines.expire_timeouts(closed_at);
    assert!(stalled.engines.connections.is_empty());
    stalled.engines.flush(closed_at);
    // Statement 2 was not written and certainly never ran; statement 1 may have run.
    assert_eq!(stalled.take_endings(), [(2, Ending::Withdrawn)]);
    stalled
        .engines
        .expire_timeouts(closed_at + CANCEL_DELIVERY_TIME - 1);
    assert_eq!(stalled.take_endings(), []);
    stalled
        .engines
        .expire_timeouts(closed_at + CANCEL_DELIVERY_TIME);
    assert_eq!(stalled.take_endings(), [(1, Ending::ClosedHere)]);
}

#[test]
fn a_cancelled_execution_ends_if_its_connection_is_lost_before_the_cancel_is_sent() {
    let mut stalled = StalledEngine::new();
    stalled.cancel_into_full_socket(0);
    // The engine closes with much unread. Whether the front sees a reset or a close depends on timing.
    let StalledEngine {
        engines,
        peer,
        _events,
    } = stalled;
    drop(peer);
    let (started, mut engines) = (Instant::now(), engines);
    while !engines.connections.is_empty() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the connection is not lost"
        );
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
fn an_execution_past_its_deadline_ends_without_waiting_for_the_cancel() {
    let mut stalled = StalledEngine::new();
    stalled.cancel_into_full_socket(0);
    stalled
        .engines
        .cancel(1, ExecutionId::new(1, 0), Ending::GivenUp);
    assert_eq!(
        stalled.take_endings(),
        [],
        "a second cancel does not end it"
    );
    stalled
        .engines
        .cancel(2, ExecutionId::new(1, 0), Ending::TimeUp);
    assert_eq!(stalled.take_endings(), [(1, Ending::TimeUp)]);
    stalled.read_until_cancel(3);
    stalled.engines.expire_timeouts(3 + CANCEL_DELIVERY_TIME);
    assert_eq!(stalled.take_endings(), [], "an execution ends once");
}

#[test]
fn a_statement_fully_sent_while_timeouts_are_checked_may_have_run() {
    let mut stalled = StalledEngine::new();
    send_statement(
        &mut stalled.engines,
        2,
        vec![b'x'; MAX_UNSENT_BYTES - 1_000],
    );
    stalled.engines.flush(0);
    assert!(
        stalled.engines.connections[&1].link.unsent() > 0,
        "its last byte was sent"
    );
    // The engine reads as fast as it can; each check of the timeouts flushes until the last byte was sent.
    stalled.peer.set_nonblocking(true).unwrap();
    let (started, mut chunk) = (Instant::now(), vec![0; 64 << 10]);
    while stalled.engines.connections[&1].link.unsent() > 0 {
        assert!(started.elapsed() < WAIT_TIMEOUT, "not all output arrives");
        let _ = stalled.peer.read(&mut chunk);
        stalled.engines.expire_timeouts(1);
    }
    stalled
        .engines
        .cancel(2, ExecutionId::new(2, 0), Ending::TimeUp);
    assert_eq!(stalled.take_endings(), [(2, Ending::TimeUp)]);
    assert_eq!(
        stalled.engines.connections.len(),
        1,
        "the connection stays open for others"
    );
}

#[test]
fn executions_on_a_connection_closed_for_unsent_output_end_after_the_engine_can_know() {
    let mut stalled = StalledEngine::new();
    let started = Instant::now();
    while !stalled.engines.connections.is_empty() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the socket never fills up"
        );
        (0..20_000).for_each(|_| stalled.engines.set_priority(ExecutionId::new(1, 0), 2));
        stalled.engines.flush(0);
    }
    assert_eq!(
        stalled.take_endings(),
        [],
        "its engine may not have noticed the close"
    );
    stalled.engines.expire_timeouts(CANCEL_DELIVERY_TIME);
    assert_eq!(stalled.take_endings(), [(1, Ending::ClosedHere)]);
}

#[test]
fn executions_on_a_lost_connection_end_once_the_engine_can_have_noticed() {
    let mut stalled = StalledEngine::new();
    stalled
        .engines
        .close(0, 1, replies::ending_of(Broken::Lost));
    stalled.engines.flush(0);
    stalled.engines.expire_timeouts(CANCEL_DELIVERY_TIME - 1);
    assert_eq!(stalled.take_endings(), [], "its engine may still run it");
    stalled.engines.expire_timeouts(CANCEL_DELIVERY_TIME);
    assert_eq!(stalled.take_endings(), [(1, Ending::ClosedHere)]);
}
