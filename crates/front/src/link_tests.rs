//! Unit tests of the `link` module.

use super::*;
use std::net::TcpListener;

#[test]
fn sent_bytes_are_known_after_the_connection_breaks() {
    let events: calloop::EventLoop<'static, LoopEvents> = calloop::EventLoop::try_new().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let peer = listener.accept().unwrap().0;
    let mut link = Link::new(
        stream,
        &events.handle(),
        crate::events::SocketKind::Engine.id(1),
    )
    .unwrap();
    const UNSENDABLE_BYTES: usize = 64 << 20; // more than the sockets buffer while the peer reads nothing
    link.output().resize(UNSENDABLE_BYTES, b'x');
    assert_eq!(link.flush(), Ok(()));
    assert!(link.has_sent(1) && !link.has_sent(UNSENDABLE_BYTES));
    drop(peer);
    while link.flush().is_ok() {
        std::thread::yield_now();
    }
    assert!(link.has_sent(1) && !link.has_sent(UNSENDABLE_BYTES));
}

#[test]
fn a_connection_given_up_by_this_system_is_lost_not_reset() {
    let broken_by = |kind: ErrorKind| Broken::from_error(&kind.into());
    assert_eq!(
        [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe].map(broken_by),
        [Broken::Reset; 2]
    );
    let lost = [
        ErrorKind::TimedOut,
        ErrorKind::HostUnreachable,
        ErrorKind::NetworkUnreachable,
    ];
    assert_eq!(lost.map(broken_by), [Broken::Lost; 3]);
}
