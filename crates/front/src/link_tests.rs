//! Unit tests of the `link` module.

use super::*;
use std::net::TcpListener;

#[test]
fn what_has_left_is_known_also_when_the_rest_never_will() {
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
    const MORE: usize = 64 << 20; // more than the network takes from one who is not read
    link.output().resize(MORE, b'x');
    assert_eq!(link.flush(), Ok(()));
    assert!(link.has_sent(1) && !link.has_sent(MORE));
    drop(peer);
    while link.flush().is_ok() {
        std::thread::yield_now();
    }
    assert!(link.has_sent(1) && !link.has_sent(MORE));
}

#[test]
fn a_connection_that_this_system_gives_up_is_not_known_to_be_over_at_its_other_side() {
    let by = |kind: ErrorKind| Broken::by(&kind.into());
    assert_eq!(
        [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe].map(by),
        [Broken::Reset; 2]
    );
    let given_up = [
        ErrorKind::TimedOut,
        ErrorKind::HostUnreachable,
        ErrorKind::NetworkUnreachable,
    ];
    assert_eq!(given_up.map(by), [Broken::Lost; 3]);
}
