use super::*;
use crate::batch::{Batch, Command};
use crate::encoding::{decode, encode};
use crate::members::{ReplicaId, ReplicaIncarnation};
use crate::messages::{Base, LedgerMessage, Packet, Payload};
use crate::peer_formats::{PeerFormats, INTRODUCTION_INTERVAL};
use crate::records;
use crate::state::{Limits, State};
use crate::tail::Tail;
use crate::{Entry, Key, Kind, Operation, Outcome, Owner};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn batch() -> Batch {
    let command = |number, operation| Command {
        owner: Owner {
            front: 300,
            incarnation: 1_800_000_000_000,
        },
        number,
        asked_ms: 1_800_000_000_123,
        key: Key {
            kind: Kind::Dedup,
            name: "k".to_string(),
        },
        operation,
    };
    let commands = vec![
        command(
            1,
            Operation::Claim {
                ends_ms: 7,
                value: vec![1, 2],
            },
        ),
        command(
            2,
            Operation::Put {
                expects: Some(1),
                ends_ms: 0,
                value: vec![3],
            },
        ),
        command(3, Operation::Free),
        command(4, Operation::Read),
    ];
    Batch {
        wall_ms: 1_800_000_000_200,
        commands,
        tail: Tail::Next(vec![member()]),
    }
}

fn member() -> ReplicaId {
    ReplicaId {
        front: 300,
        disk: 5,
    }
}

/// Every message, packet and record of the first format, encoded as the first build writes them.
fn first_format() -> Vec<(&'static str, Vec<u8>)> {
    let agreed = vec![ReplicaIncarnation {
        id: member(),
        incarnation: 9,
    }];
    let entry = Entry {
        key: Key {
            kind: Kind::Mark,
            name: "m".to_string(),
        },
        owner: Owner {
            front: 1,
            incarnation: 2,
        },
        version: 3,
        ends_ms: 0,
        value: vec![8],
    };
    let members = vec![member()];
    let reply = |outcome| LedgerMessage::Reply {
        incarnation: 1,
        number: 2,
        outcome,
    };
    let (snapshot_base, suffix_base) = (
        Base::Snapshot {
            index: 1,
            state: vec![7],
        },
        Base::Suffix {
            index: 2,
            batches: vec![batch()],
        },
    );
    let messages = vec![
        LedgerMessage::Resync {
            shard: 1,
            config: 2,
        },
        LedgerMessage::Request {
            shard: 1,
            command: batch().commands[0].clone(),
        },
        reply(Outcome::Stands(entry.clone())),
        reply(Outcome::Held(entry)),
        reply(Outcome::Absent),
        reply(Outcome::Unreachable),
        reply(Outcome::Full),
        LedgerMessage::NotLeader {
            shard: 1,
            incarnation: 2,
            number: 3,
            leader: Some(4),
        },
        LedgerMessage::Available {
            shard: 1,
            config: 2,
            agreed,
        },
        LedgerMessage::Membership {
            shard: 1,
            config: 2,
            members: members.clone(),
        },
        LedgerMessage::Probe { shard: 1 },
        LedgerMessage::Snapshot {
            shard: 1,
            config: 2,
            index: 3,
            state: vec![4],
        },
        LedgerMessage::CaughtUp {
            shard: 1,
            config: 2,
            index: 3,
        },
        LedgerMessage::Join {
            shard: 1,
            config: 2,
            members: members.clone(),
            base: snapshot_base,
        },
        LedgerMessage::Join {
            shard: 1,
            config: 2,
            members,
            base: suffix_base,
        },
    ];
    let packet = |payload| Packet {
        format: 1,
        fleet: 2,
        disk: 3,
        incarnation: 4,
        wall_ms: 5,
        payload,
    };
    let packets = [
        packet(Payload::Messages(vec![vec![1, 2], vec![3]])),
        packet(Payload::Fragment {
            id: 1,
            index: 2,
            count: 3,
            bytes: vec![4],
        }),
        packet(Payload::Resend {
            id: 1,
            missing: vec![2],
        }),
        packet(Payload::Received { id: 1 }),
    ];
    let mut state = State::new(Limits {
        entries: 10,
        bytes: 1_000,
        clock_skew_ms: 500,
    });
    state.apply(&Batch {
        tail: Tail::None,
        ..batch()
    });
    let record = |record: crate::Record| record.bytes.unwrap_or_default();
    let mut all: Vec<(&'static str, Vec<u8>)> = messages
        .iter()
        .map(|message| ("message", encode(message)))
        .collect();
    all.extend(packets.iter().map(|packet| ("packet", encode(packet))));
    all.push(("batch", encode(&batch())));
    all.push(("state", encode(&state)));
    all.push(("header", record(records::header(1, 7, 8))));
    all.push(("entry", record(records::entry(3, 4, &batch()))));
    all
}

#[test]
fn the_encoding_of_the_first_format_is_unchanged() {
    let recorded: Vec<&str> = include_str!("format1.txt").lines().collect();
    let now: Vec<String> = first_format()
        .iter()
        .map(|(label, bytes)| format!("{label} {}", hex(bytes)))
        .collect();
    if std::env::var_os("PRINT").is_some() {
        println!("{}", now.join("\n"));
    }
    assert_eq!(now, recorded);
    // The recorded bytes are decoded to the same values.
    for (label, bytes) in first_format() {
        let reencoded = match label {
            "message" => decode::<LedgerMessage>(&bytes).map(|message| encode(&message)),
            "packet" => decode::<Packet>(&bytes).map(|packet| encode(&packet)),
            "batch" => decode::<Batch>(&bytes).map(|batch| encode(&batch)),
            "state" => decode::<State>(&bytes).map(|state| encode(&state)),
            _ => continue,
        };
        assert_eq!(reencoded, Some(bytes), "{label}");
    }
}

#[test]
fn a_later_format_is_used_only_towards_an_incarnation_that_has_shown_it() {
    let mut formats = PeerFormats::default();
    assert_eq!(formats.common_format(2, 7), 1);
    let message = formats.introduction(0, 2, 7).unwrap();
    assert!(message.introduced_format() == Some(2) && formats.introduction(1, 2, 7).is_none());
    formats.record_format(7, 5, 1);
    assert_eq!(formats.common_format(2, 7), 1);
    formats.record_format(7, 5, 2);
    assert!(
        formats.common_format(2, 7) == 2
            && formats
                .introduction(2 * INTRODUCTION_INTERVAL, 2, 7)
                .is_none()
    );
    // An old packet that arrives late changes nothing; an incarnation of an earlier build does.
    formats.record_format(7, 5, 1);
    assert_eq!(formats.common_format(2, 7), 2);
    formats.record_format(7, 6, 1);
    assert!(
        formats.common_format(2, 7) == 1
            && formats
                .introduction(2 * INTRODUCTION_INTERVAL, 2, 7)
                .is_some()
    );
    formats.record_format(7, 5, 2);
    assert_eq!(formats.common_format(2, 7), 1);
}

/// The same kinds of data in the third format, which names the format, and the messages that later
/// formats add.
fn third_format() -> Vec<(&'static str, Vec<u8>)> {
    let explicit = |format, next| Batch {
        tail: Tail::Explicit { format, next },
        ..batch()
    };
    let mut state = State::new(Limits {
        entries: 10,
        bytes: 1_000,
        clock_skew_ms: 500,
    });
    state.apply(&explicit(3, None));
    let record = |record: crate::Record| record.bytes.unwrap_or_default();
    let snapshot = crate::snapshot::LogSnapshot::of(state.clone());
    let messages = [
        LedgerMessage::TransferLeadership {
            shard: 1,
            config: 2,
        },
        LedgerMessage::Hashes {
            shard: 1,
            config: 2,
            index: 3,
            hashes: vec![4, u64::MAX],
        },
        LedgerMessage::RepairReplica {
            shard: 1,
            config: 2,
            index: 3,
            state: vec![5],
        },
        LedgerMessage::ShuttingDown,
    ];
    let mut all: Vec<_> = messages
        .iter()
        .map(|message| ("message", encode(message)))
        .collect();
    all.push(("batch", encode(&explicit(3, Some(vec![member()])))));
    all.push(("state", encode(&state)));
    all.push(("header", record(records::header(3, 7, 8))));
    all.push(("entry", record(records::entry(3, 4, &explicit(3, None)))));
    all.push(("snapshot", record(records::snapshot(3, &snapshot))));
    all
}

#[test]
fn the_encoding_of_later_formats_is_unchanged_and_unknown_formats_are_rejected() {
    let recorded: Vec<&str> = include_str!("format3.txt").lines().collect();
    let now: Vec<String> = third_format()
        .iter()
        .map(|(label, bytes)| format!("{label} {}", hex(bytes)))
        .collect();
    if std::env::var_os("PRINT").is_some() {
        println!("{}", now.join("\n"));
    }
    assert_eq!(now, recorded);
    for (label, mut bytes) in third_format() {
        let is_as_expected = match label {
            "batch" => {
                assert_eq!(
                    decode::<Batch>(&bytes).map(|batch| encode(&batch)),
                    Some(bytes.clone())
                );
                // The format precedes the single member of the next configuration.
                let at = bytes.len() - 6;
                bytes[at] = FORMAT + 1;
                decode::<Batch>(&bytes).is_none()
            }
            "state" => {
                assert_eq!(
                    decode::<State>(&bytes).map(|state| encode(&state)),
                    Some(bytes.clone())
                );
                let at = bytes.len() - 2;
                bytes[at] = FORMAT + 1;
                decode::<State>(&bytes).is_none()
            }
            "message" => {
                decode::<LedgerMessage>(&bytes).map(|message| encode(&message)) == Some(bytes)
            }
            _ => continue,
        };
        assert!(is_as_expected, "{label}");
    }
    let setup = crate::Setup::new("f", 300, 1, 8, Vec::new());
    let found = |format: u8, records: Vec<crate::Record>| {
        let all = records.into_iter().chain([records::header(format, 7, 8)]);
        let saved = all
            .map(|record| (record.name, record.bytes.unwrap_or_default()))
            .collect();
        records::read(&setup, 7, &crate::Saved(saved))
            .map(|saved| (saved.format, saved.shards.len()))
    };
    let explicit = |format| {
        records::entry(
            3,
            4,
            &Batch {
                tail: Tail::Explicit { format, next: None },
                ..batch()
            },
        )
    };
    assert_eq!(found(3, vec![explicit(3)]), Ok((3, 1)));
    let version = Err(crate::Error::Version {
        found: FORMAT + 1,
        reads: FORMAT,
    });
    assert_eq!(found(FORMAT + 1, vec![]), version);
    assert_eq!(found(3, vec![explicit(FORMAT + 1)]), version);
    // A flipped bit is reported as damage, whatever format the record names.
    let mut flipped = explicit(FORMAT + 1);
    flipped.bytes.iter_mut().for_each(|bytes| bytes[9] ^= 4);
    assert!(matches!(
        found(3, vec![flipped]),
        Err(crate::Error::Damaged { .. })
    ));
}
