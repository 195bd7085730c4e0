//! Unit tests of the `datagrams` module.

use super::*;

#[test]
fn a_partition_drops_datagrams_both_ways_or_one_way() {
    let split = |below, second, one_way| {
        Some(Split {
            below,
            second,
            one_way,
        })
    };
    let both = DatagramFaults {
        split: split(2, None, false),
        ..DatagramFaults::default()
    };
    assert!(
        !both.passes(0, 2, 50)
            && !both.passes(2, 0, 50)
            && both.passes(0, 1, 50)
            && both.passes(2, 3, 50)
    );
    let three = DatagramFaults {
        split: split(1, Some(3), false),
        ..DatagramFaults::default()
    };
    assert!(three.passes(1, 2, 50) && !three.passes(0, 1, 50) && !three.passes(4, 2, 50));
    let one = DatagramFaults {
        split: split(2, None, true),
        ..DatagramFaults::default()
    };
    assert!(!one.passes(0, 2, 50) && one.passes(2, 0, 50) && one.passes(0, 1, 50));
    let lossy = DatagramFaults {
        lost_percent: 30,
        ..DatagramFaults::default()
    };
    assert!(!lossy.passes(0, 1, 29) && lossy.passes(0, 1, 30));
}

#[test]
fn duplicated_datagrams_arrive_twice_and_partitioned_ones_never() {
    let relay = DatagramRelay::start(2, || 0, |_| false).unwrap();
    let fronts: Vec<UdpSocket> = (0..2)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    for (n, front) in fronts.iter().enumerate() {
        relay.register_front(n, front.local_addr().unwrap());
        front
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
    }
    relay.set(|s| s.duplicate_after_ms = Some(1));
    fronts[0].send_to(b"word", relay.addresses[1]).unwrap();
    let mut bytes = [0; 8];
    for _ in 0..2 {
        let (len, from) = fronts[1].recv_from(&mut bytes).unwrap();
        assert_eq!((&bytes[..len], from), (&b"word"[..], relay.addresses[1]));
    }
    let split = Some(Split {
        below: 1,
        second: None,
        one_way: false,
    });
    relay.set(|s| {
        *s = DatagramFaults {
            split,
            ..DatagramFaults::default()
        }
    });
    fronts[0].send_to(b"cut", relay.addresses[1]).unwrap();
    fronts[1].send_to(b"cut", relay.addresses[0]).unwrap();
    // Nothing arrives: the record shows when both datagrams have been handled.
    let until = std::time::Instant::now() + Duration::from_secs(5);
    while relay.datagrams().len() < 3 && std::time::Instant::now() < until {
        std::thread::yield_now();
    }
    let passed: Vec<bool> = relay.datagrams().iter().map(|p| p.passed).collect();
    assert_eq!(passed, [true, false, false]);
}
