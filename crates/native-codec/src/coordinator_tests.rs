//! Unit tests of the `coordinator` module.

use super::{events, read};
use crate::Decoded;

#[test]
fn responses_are_read_only_when_complete() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"index\":41,\"updates\":[]}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
         5\r\n{\"ind\r\n14\r\nex\":41,\"updates\":[]}\r\n0\r\n\r\n",
    ] {
        for len in 0..text.len() {
            assert!(
                read(&text.as_bytes()[..len], false).is_ok_and(|found| found.is_none()),
                "{len}"
            );
        }
        let Decoded { len, message } = read(text.as_bytes(), false).unwrap().unwrap();
        assert_eq!(
            (len, message.keep_alive, message.status),
            (text.len(), true, 200)
        );
        assert_eq!(events(&message.body).unwrap().index, 41);
    }
    let until_close = b"HTTP/1.0 200 OK\r\n\r\n{}";
    assert!(read(until_close, false).is_ok_and(|found| found.is_none()));
    assert!(read(until_close, true).is_ok_and(|found| found
        .is_some_and(|found| { !found.message.keep_alive && found.message.body == b"{}" })));
}

#[test]
fn broken_responses_are_errors() {
    for text in [
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n",
    ] {
        assert!(read(text.as_bytes(), false).is_err(), "{text}");
    }
    for body in [
        "",
        "[]",
        "{}",
        "{\"updates\":[{}]}",
        "{\"updates\":[{\"index\":1,\"endpoints\":{}}]}",
    ] {
        assert!(events(body.as_bytes()).is_err(), "{body}");
    }
}
