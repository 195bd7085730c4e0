//! Unit tests of the `lingering` module.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use calloop::EventLoop;
use socket2::SockRef;

use super::*;
use crate::events::{LoopEvents, SocketKind};

const WAIT_LIMIT: Duration = Duration::from_secs(20);
const RECEIVE_BUFFER: usize = 1200 << 10; // bytes requested for the receive buffer; half of that must be granted
const SENT_BYTES: usize = 600 << 10; // bytes; reading them takes three iterations

/// A client's connection: the client's side, and the front's side as a stream and a link, before any read.
fn connection(events: &EventLoop<'static, LoopEvents>) -> (TcpStream, TcpStream, Link) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let link = Link::new(
        stream.try_clone().unwrap(),
        &events.handle(),
        SocketKind::Session.id(1),
    )
    .unwrap();
    (peer, stream, link)
}

#[test]
fn data_left_by_one_iteration_is_read_without_new_events() {
    let events = EventLoop::try_new().unwrap();
    let (mut peer, stream, link) = connection(&events);
    stream.set_nonblocking(false).unwrap();
    peer.write_all(&vec![b'x'; SENT_BYTES]).unwrap();
    // All bytes have arrived before the close, and no event reports them later.
    let (started, mut peeked) = (Instant::now(), vec![0; SENT_BYTES]);
    while stream.peek(&mut peeked).unwrap() < SENT_BYTES {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "a receive buffer that holds {SENT_BYTES} bytes"
        );
    }
    stream.set_nonblocking(true).unwrap();
    let mut lingering = Lingering::default();
    lingering.close(0, 1, link);
    assert_eq!(lingering.take_unread(), [1]);
    assert!(lingering.take_unread().is_empty());
    while lingering.read(1) == Some(true) {}
    assert_eq!(
        stream.peek(&mut peeked).unwrap_err().kind(),
        ErrorKind::WouldBlock
    );
    assert_eq!(peer.read(&mut [0]).unwrap(), 0);
    drop(peer);
    let started = Instant::now();
    while lingering.len() > 0 {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "a connection that its client has closed still lingers"
        );
        lingering.read(1);
    }
    assert_eq!(lingering.read(1), None);
}

#[test]
fn oldest_lingering_connection_is_dropped_and_each_expires_at_its_timeout() {
    let events = EventLoop::try_new().unwrap();
    let connections = [
        connection(&events),
        connection(&events),
        connection(&events),
    ];
    let mut lingering = Lingering::default();
    let mut peers = Vec::new();
    // The numbers of the connections are not in the order of their closes.
    for ((peer, _, link), (now, id)) in connections.into_iter().zip([(0, 3), (1, 1), (2, 2)]) {
        lingering.close(now, id, link);
        peers.push(peer);
    }
    assert_eq!(lingering.due(), LINGER_TIMEOUT);
    assert!(lingering.drop_oldest());
    assert_eq!(
        [1, 2, 3].map(|id| lingering.read(id)),
        [Some(false), Some(false), None]
    );
    assert_eq!(lingering.due(), 1 + LINGER_TIMEOUT);
    lingering.expire(1 + LINGER_TIMEOUT);
    assert_eq!([1, 2].map(|id| lingering.read(id)), [None, Some(false)]);
    lingering.expire(2 + LINGER_TIMEOUT);
    assert!(!lingering.drop_oldest());
    assert_eq!((lingering.len(), lingering.due()), (0, Micros::MAX));
}
