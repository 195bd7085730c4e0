//! Unit tests of the `lines` module.

use super::*;

#[test]
fn a_cold_engine_rejects_statements_beyond_its_capacity() {
    let warmth = Warmth {
        cold: 1,
        warm: 8,
        warm_us: 600_000_000,
        memory: usize::MAX,
    };
    let engine = Engine::start(0, Records::new(), warmth).unwrap();
    assert_eq!(engine.capacity(), 8);
    engine.restart();
    assert_eq!(engine.capacity(), 1);
    // Memory limits the capacity below the warm limit.
    assert_eq!(
        (Warmth {
            memory: 5,
            ..warmth
        })
        .capacity_at(600_000_000),
        5
    );
    let mut s = TcpStream::connect(engine.at).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    s.write_all(b"want 1 - 15\r\nid=a,key=,ms=300\r\nwant 2 - 15\r\nid=b,key=,ms=300\r\n")
        .unwrap();
    let mut reader = BufReader::new(s);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    assert_eq!(line, "2 AGAIN stats=inflight:1 0\r\n");
    assert_eq!((engine.rejected.load(SeqCst), engine.peak()), (1, 2.0));
    line.clear();
    reader.read_line(&mut line).unwrap();
    assert_eq!(line, "\r\n"); // the end of an empty body
    line.clear();
    reader.read_line(&mut line).unwrap();
    assert!(line.starts_with("1 ACK"), "{line}");
}
