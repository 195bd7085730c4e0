//! Unit tests of the `engines` module.

use super::*;
use std::io::{BufRead, BufReader};

#[test]
fn what_is_given_up_ends_once_its_engine_has_read_so() {
    let event_loop: calloop::EventLoop<'static, LoopEvents> = calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let allowance =
        NetworkSettings { cancel: true, executions_per_connection: 32, ..NetworkSettings::default() };
    let mut engines = Engines::new(event_loop.handle(), allowance, &Names::default());
    engines.list(0, "a", listener.local_addr().unwrap(), 0.0, true);
    let call = Rc::new(Call { id: "1".into(), workload: "lookup".into(), ..Call::default() });
    engines.send(
        0,
        ExecutionId::new(1, 0),
        0,
        call,
        Terms { ends: 1_000_000, leave_by: Micros::MAX, grant_mb: 0.0, priority: 1 },
    );
    let mut peer = BufReader::new(listener.accept().unwrap().0);
    while engines.executions[&ExecutionId::new(1, 0)].stage != Stage::Out {
        engines.read(0, 1);
        engines.flush(0);
    }
    engines.cancel(0, ExecutionId::new(1, 0), Ending::GivenUp);
    // It was decided long before the command leaves: the front stood still.
    engines.expire(5 * CANCEL_LAG);
    assert!(engines.events.is_empty());
    engines.flush(0);
    let mut heard = String::new();
    (0..3).for_each(|_| _ = peer.read_line(&mut heard).unwrap());
    assert!(heard.ends_with("never_mind 1\r\n"), "{heard}");
    engines.expire(CANCEL_LAG - 1);
    assert!(engines.events.is_empty() && engines.due() == CANCEL_LAG);
    // A time that is up is: its client is owed the answer now.
    let call = Rc::new(Call { id: "2".into(), workload: "lookup".into(), ..Call::default() });
    engines.send(
        0,
        ExecutionId::new(2, 0),
        0,
        call,
        Terms { ends: 1_000_000, leave_by: Micros::MAX, grant_mb: 0.0, priority: 1 },
    );
    engines.flush(0);
    engines.cancel(0, ExecutionId::new(2, 0), Ending::TimeUp);
    let ended = |event: &Event| {
        matches!(
            event,
            Event::Ended { sent: ExecutionId { ticket: 2, number: 0 }, ending: Ending::TimeUp, .. }
        )
    };
    assert!(engines.events.pop().is_some_and(|event| ended(&event)));
    engines.expire(CANCEL_LAG);
    let over = |event: &Event| {
        matches!(
            event,
            Event::Ended { sent: ExecutionId { ticket: 1, number: 0 }, ending: Ending::GivenUp, .. }
        )
    };
    assert!(engines.events.len() == 1 && over(&engines.events[0]));
}

#[test]
fn a_connection_that_came_up_while_the_front_stood_still_is_not_given_up() {
    let event_loop: calloop::EventLoop<'static, LoopEvents> = calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let allowance = NetworkSettings {
        dial_timeout: 250_000,
        executions_per_connection: 32,
        ..NetworkSettings::default()
    };
    let mut engines = Engines::new(event_loop.handle(), allowance, &Names::default());
    engines.list(0, "a", listener.local_addr().unwrap(), 0.0, true);
    let call = Rc::new(Call { id: "1".into(), workload: "lookup".into(), ..Call::default() });
    engines.send(
        0,
        ExecutionId::new(1, 0),
        0,
        call,
        Terms { ends: 5_000_000, leave_by: Micros::MAX, grant_mb: 0.0, priority: 1 },
    );
    let mut peer = BufReader::new(listener.accept().unwrap().0);
    // It was not looked at for a second: what has come up is not reported as never up.
    engines.expire(1_000_000);
    assert!(engines.events.is_empty());
    engines.read(1_000_000, 1);
    engines.flush(1_000_000);
    let mut heard = String::new();
    peer.read_line(&mut heard).unwrap();
    assert!(heard.starts_with("want 1 "), "{heard}");
}
