//! Unit tests of the `capacity` module.

use std::rc::Rc;

use hallmux_config::{Names, NetworkSettings};
use hallmux_dispatcher::{ConnectionPacer, Ending, Micros, Terms, Ticket};
use hallmux_native_codec::statement::Call;

use super::*;
use crate::engines::tests::listed;
use crate::engines::Event;
use crate::events::LoopEvents;
use crate::execution::ExecutionId;

const SECOND: Micros = 1_000_000;

#[test]
fn new_connections_are_paced_and_existing_ones_are_used_at_any_time() {
    let event_loop: calloop::EventLoop<'static, LoopEvents> =
        calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let network = NetworkSettings {
        cancel: true,
        executions_per_connection: 2,
        ..NetworkSettings::default()
    };
    let mut engines = Engines::new(event_loop.handle(), network, &Names::default());
    engines.set_descriptor_limit(256);
    let mut dials = ConnectionPacer::new(true, 0, 0);
    dials.set_rate(0, 1.0);
    engines.dials.replace(dials);
    engines.update_engine(0, listed(listener.local_addr().unwrap()));
    let send = |engines: &mut Engines, now: Micros, ticket: Ticket| {
        let call = Rc::new(Call {
            id: ticket.to_string(),
            workload: "lookup".into(),
            ..Call::default()
        });
        engines.send(
            now,
            ExecutionId::new(ticket, 0),
            0,
            call,
            Terms {
                deadline: 1 << 40,
                send_by: Micros::MAX,
                grant_mb: 0.0,
                priority: 1,
            },
        );
    };
    // The first connection may be dialled one second after the start.
    assert_eq!(engines.capacity(SECOND - 1, 0), 0);
    send(&mut engines, SECOND - 1, 1);
    let withdrawn = |event: Option<Event>| {
        matches!(
            event,
            Some(Event::ExecutionEnded {
                ending: Ending::Withdrawn,
                ..
            })
        )
    };
    assert!(withdrawn(engines.events.pop()) && engines.connections.is_empty());
    assert_eq!(engines.capacity(SECOND, 0), 2);
    send(&mut engines, SECOND, 2);
    assert_eq!(
        (engines.capacity(SECOND, 0), engines.connections.len()),
        (1, 1)
    );
    // The existing connection accepts another execution at once. A probe that would need a new connection is not
    // sent instead of waiting for one.
    send(&mut engines, SECOND + 1, 3);
    assert_eq!(
        (engines.capacity(SECOND + 1, 0), engines.connections.len()),
        (0, 1)
    );
    engines.probe(SECOND + 1, 0);
    assert!(engines.events.is_empty() && engines.connections.len() == 1);
    send(&mut engines, 2 * SECOND, 4);
    assert_eq!(
        (engines.capacity(2 * SECOND, 0), engines.connections.len()),
        (1, 2)
    );
    assert_eq!(engines.executions.len(), 3);
}
