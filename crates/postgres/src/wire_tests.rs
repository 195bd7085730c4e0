//! Unit tests of the `wire` module.

use super::*;

fn start_up(parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    write_startup(&mut out, parameters);
    out
}

#[test]
fn initial_message_is_read_only_when_complete() {
    let packet = start_up(&[("user", "a"), ("database", "b")]);
    for cut in 0..packet.len() {
        assert_eq!(initial_message(&packet[..cut]), Ok(None));
    }
    let parameters = vec![("user", "a"), ("database", "b")];
    assert_eq!(
        initial_message(&packet),
        Ok(Some((
            packet.len(),
            InitialMessage::StartUp {
                minor: 0,
                parameters
            }
        )))
    );
    let mut cancel = Vec::new();
    write_cancel(
        &mut cancel,
        CancelKey {
            process: 7,
            secret: 9,
        },
    );
    assert_eq!(
        initial_message(&cancel),
        Ok(Some((
            16,
            InitialMessage::Cancel(CancelKey {
                process: 7,
                secret: 9
            })
        )))
    );
    assert_eq!(
        initial_message(b"\0\0\0\x08\x04\xd2\x16\x2f"),
        Ok(Some((8, InitialMessage::EncryptionRequest)))
    );
}

#[test]
fn impossible_initial_messages_are_refused_at_once() {
    assert!(initial_message(b"\xff\xff\xff\xff").is_err());
    assert!(initial_message(b"\0\0\0\x04").is_err());
    assert!(initial_message(b"GET / HTTP/1.1\r\n").is_err());
    assert!(initial_message(b"\0\0\0\x09\0\x03\0\0x").is_err());
}

#[test]
fn client_messages_are_parsed_when_complete_and_rejected_when_cut_or_too_long() {
    for (tag, body) in [
        (b'Q', &b"select 1\0"[..]),
        (b'P', b"s\0select $1\0\0\x01\0\0\0\x17"),
        (b'B', b"p\0s\0\0\0\0\0\0\0"),
        (b'D', b"Ss\0"),
        (b'E', b"p\0\0\0\0\0"),
        (b'C', b"Pp\0"),
        (b'S', b""),
        (b'H', b""),
        (b'X', b""),
    ] {
        assert!(client_message(tag, body).is_ok(), "{}", tag as char);
        let mut complete = Vec::new();
        write(&mut complete, tag, |out| out.extend_from_slice(body));
        for cut in 0..complete.len() {
            assert_eq!(message(&complete[..cut], 100), Ok(None));
        }
        assert_eq!(
            message(&complete, 100),
            Ok(Some(Message {
                tag,
                body,
                len: complete.len()
            }))
        );
        assert!(message(&complete, complete.len() - 1).is_err());
        if tag != b'B' {
            let longer = [body, b"x"].concat();
            assert!(client_message(tag, &longer).is_err(), "{}", tag as char);
        }
        if !body.is_empty() && tag != b'B' {
            assert!(
                client_message(tag, &body[..body.len() - 1]).is_err(),
                "{}",
                tag as char
            );
        }
    }
    assert!(client_message(b'p', b"secret\0").is_err());
    assert!(header(b"Q\0\0\0\x03").is_err() && header(b"Q\xff\xff\xff\xff").is_err());
}

#[test]
fn error_fields_are_found() {
    assert_eq!(
        field(b"SERROR\0C42P01\0Mno such\0\0", b'C'),
        Some(&b"42P01"[..])
    );
    assert_eq!(field(b"SERROR\0\0C1\0", b'C'), None);
    assert_eq!(field(b"SERR", b'S'), None);
}
