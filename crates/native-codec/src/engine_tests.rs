//! Unit tests of the `engine` module.

use super::read::MAX_LINE_BYTES;
use super::{are_rows, read, write, Command, ExecutionRequest, ReplyKind};
use crate::Decoded;

fn names() -> Vec<String> {
    ["active", "x0"].map(str::to_string).to_vec()
}

#[test]
fn replies_are_read_only_when_complete() {
    let text =
        b"9b1f ACK batches=2,stats=inflight:7;x0:0.5 5\r\na\r\nbc\r\n9b1f BLOCK batch=1 0\r\n\r\n";
    let first = 53;
    for len in 0..first {
        assert_eq!(read(&text[..len], &names()), Ok(None), "{len}");
    }
    let Decoded { len, message } = read(text, &names()).unwrap().unwrap();
    assert_eq!(
        (len, message.bytes, message.report),
        (first, &b"a\r\nbc"[..], Some(vec![7.0, 0.5]))
    );
    assert_eq!(
        (message.id, message.kind),
        ("9b1f", ReplyKind::FirstPage { pages: 2 })
    );
    let Decoded { message, .. } = read(&text[first..], &names()).unwrap().unwrap();
    assert_eq!(message.kind, ReplyKind::Page { number: 1 });
}

#[test]
fn every_reply_word_is_mapped_to_its_kind() {
    for (text, kind) in [
        ("i AGAIN - 0\r\n\r\n", ReplyKind::Rejected),
        ("i EIO -\r\n", ReplyKind::Failed),
        ("i STALE 0\r\n\r\n", ReplyKind::Stale),
        (
            "i EVENT how=so_far,num=0.25 0\r\n\r\n",
            ReplyKind::ShareDone(0.25),
        ),
        (
            "i EVENT how=lacking,num=64 0\r\n\r\n",
            ReplyKind::SpillsMb(64.0),
        ),
        (
            "i EVENT how=waiting,num=1 0\r\n\r\n",
            ReplyKind::WaitsForMemory,
        ),
        (
            "i EVENT how=waiting,num=2 0\r\n\r\n",
            ReplyKind::WaitsForData,
        ),
        ("i EVENT - 0\r\n\r\n", ReplyKind::OtherNote),
        ("i READY\r\n", ReplyKind::ProbeAnswer { healthy: true }),
        (
            "i AILING stats=inflight:1 0\r\n\r\n",
            ReplyKind::ProbeAnswer { healthy: false },
        ),
    ] {
        let Decoded { len, message } = read(text.as_bytes(), &names()).unwrap().unwrap();
        assert_eq!(
            (len, message.kind, message.report),
            (text.len(), kind, None),
            "{text}"
        );
    }
}

#[test]
fn broken_replies_are_errors() {
    let long = [b'x'; MAX_LINE_BYTES + 2];
    for text in [
        &b"\r\n"[..],
        b"i\r\n",
        b"i ACK - 1 2 3\r\n",
        b"i HELLO - 0\r\n\r\n",
        b"i ACK batches=many 0\r\n\r\n",
        b"i BLOCK - 0\r\n\r\n",
        b"i ACK - 99999999999\r\n",
        b"i ACK - -1\r\n",
        b"i ACK - 1\r\nabc",
        b"\xff ACK - 0\r\n\r\n",
        &long,
    ] {
        assert!(
            read(text, &names()).is_err(),
            "{}",
            String::from_utf8_lossy(text)
        );
    }
}

#[test]
fn complete_rows_have_three_text_columns() {
    for (bytes, is_complete) in [
        (&b"a\tb\tc\n"[..], true),
        (b"\t\t\nd\xc3\xa9\te\tf\n", true),
        (b"", true),
        (b"a\tb\tc", false),
        (b"a\tb\n", false),
        (b"a\tb\tc\td\n", false),
        (b"a\tb\tc\n\n", false),
        (b"a\tb\t\xff\n", false),
        (b"a\tb\t\x07\n", false),
    ] {
        assert_eq!(
            are_rows(bytes),
            is_complete,
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn request_contains_only_fields_that_are_set() {
    let mut out = Vec::new();
    let mut request = ExecutionRequest {
        id: "i",
        workload: "load",
        dedup_key: None,
        wait_ms: 1500,
        grant_mb: 0.0,
        priority: 1,
        statement: b"select 1",
    };
    write(&mut out, &Command::Execute(ExecutionRequest { ..request }));
    request.dedup_key = Some("k");
    request.grant_mb = 96.4;
    write(&mut out, &Command::Execute(request));
    let text = "want i class=load,wait=1500,nice=1 8\r\nselect 1\r\n\
                want i class=load,wait=1500,once=k,mb=96,nice=1 8\r\nselect 1\r\n";
    assert_eq!(String::from_utf8(out).unwrap(), text);
}
