//! Unit tests of the `clients` module.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use calloop::EventLoop;
use socket2::SockRef;

use super::*;
use crate::events::{LoopEvents, SocketKind};

const SECOND: Micros = 1_000_000;
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const RECEIVE_BUFFER: usize = 400 << 10; // bytes requested for the receive buffer; half of that must be granted
/// Bytes of one read: the long statement takes two.
const READ_LIMIT: usize = 64 << 10;
const SHORT_STATEMENT: usize = 60 << 10; // bytes; one read covers this statement and the start of the next
const LONG_STATEMENT: usize = 120 << 10; // bytes; the third read covers the end of this statement

/// A statement in its frame, as clients send it.
pub(crate) fn frame(number: u32, statement: &str) -> Vec<u8> {
    let text = |out: &mut Vec<u8>, text: &str| {
        out.extend((text.len() as u32).to_be_bytes());
        out.extend(text.as_bytes());
    };
    let mut message = vec![0x80, 1, 0, 1];
    text(&mut message, "serve");
    message.extend(number.to_be_bytes());
    let id = format!("{number:0>16}");
    let fields = [
        ("txn", id.as_str()),
        ("verb", "lookup"),
        ("limit", "15000"),
        ("team", "acme"),
    ];
    message.extend([13, 0, 1, 11, 11, 0, 0, 0, fields.len() as u8]);
    for (name, value) in fields {
        text(&mut message, name);
        text(&mut message, value);
    }
    message.extend([11, 0, 2]);
    text(&mut message, statement);
    message.push(0);
    let mut frame = (message.len() as u32).to_be_bytes().to_vec();
    frame.extend(message);
    frame
}

#[test]
fn statement_spanning_several_reads_counts_unread_time_from_first_read() {
    let events: EventLoop<'static, LoopEvents> = EventLoop::try_new().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let frames = [
        frame(1, &"x".repeat(SHORT_STATEMENT)),
        frame(2, &"x".repeat(LONG_STATEMENT)),
    ]
    .concat();
    peer.write_all(&frames).unwrap();
    // All bytes have arrived before the first read.
    let (started, mut peeked) = (Instant::now(), vec![0; frames.len()]);
    while stream.peek(&mut peeked).unwrap() < frames.len() {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "a receive buffer that holds {} bytes",
            frames.len()
        );
    }
    let mut clients = Clients::new(None, SECOND);
    clients.accept(
        0,
        1,
        Link::new(stream, &events.handle(), SocketKind::Client.id(1)).unwrap(),
        0,
    );
    let (mut now, mut reported) = (SECOND, Vec::new());
    while clients.read(now, 1, ServingStatus::Serving, READ_LIMIT, &mut reported)
        && reported.len() < 2
    {
        now += SECOND;
    }
    let has_waited = |event: &Event| matches!(event, Event::Statement { unread_for, .. } if *unread_for == now - SECOND);
    assert_eq!(now, 3 * SECOND, "number of reads");
    assert!(reported.len() == 2 && has_waited(&reported[1]));
}
