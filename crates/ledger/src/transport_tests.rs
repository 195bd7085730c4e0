use super::*;
use crate::packet_limits::PACKET_BYTES;
use crate::state::State;

fn transport(front: u64) -> Transport {
    let setup = Setup {
        repair_bytes_per_s: 20_000,
        ..Setup::new("f", front, front, front * 10, Vec::new())
    };
    Transport::new(&setup, 7)
}

fn at(steady: Micros) -> ClockReading {
    ClockReading {
        steady,
        wall_ms: 1_000,
    }
}

fn long(bytes: usize) -> LedgerMessage {
    LedgerMessage::Snapshot {
        shard: 1,
        config: 1,
        index: 1,
        state: (0..bytes).map(|n| (n % 251) as u8).collect(),
    }
}

#[test]
fn small_messages_share_packets_that_fit_in_a_datagram() {
    let (mut sender, mut receiver) = (transport(1), transport(2));
    for shard in 0..200 {
        sender.send(at(0), 2, &LedgerMessage::Probe { shard }, Pace::Fast);
    }
    sender.send(at(0), 3, &LedgerMessage::Probe { shard: 1 }, Pace::Fast);
    let packets = sender.packets(at(0));
    assert!(
        packets.len() == 3
            && packets
                .iter()
                .all(|packet| packet.bytes.len() <= PACKET_BYTES),
        "{}",
        packets.len()
    );
    let messages: usize = packets[..2]
        .iter()
        .map(|packet| {
            receiver
                .receive(at(0), 1, &packet.bytes)
                .unwrap()
                .messages
                .len()
        })
        .sum();
    assert_eq!(messages, 200);
}

#[test]
fn a_long_message_arrives_complete_despite_lost_repeated_and_reordered_fragments() {
    let (mut sender, mut receiver) = (transport(1), transport(2));
    sender.send(at(0), 2, &long(60_000), Pace::Fast);
    let (mut now, mut received, mut lost) = (0, Vec::new(), 0u64);
    while received.is_empty() && now < 5_000_000 {
        now += 10_000;
        let mut packets = sender.packets(at(now));
        packets.reverse();
        for OutgoingPacket { bytes: packet, .. } in packets {
            assert!(packet.len() <= PACKET_BYTES, "{}", packet.len());
            lost += 1;
            if lost % 3 != 0 {
                received.extend(receiver.receive(at(now), 1, &packet).unwrap().messages);
                received.extend(receiver.receive(at(now), 1, &packet).unwrap().messages);
            }
        }
        for OutgoingPacket { bytes: packet, .. } in receiver.packets(at(now)) {
            sender.receive(at(now), 2, &packet).unwrap();
        }
    }
    let Some(LedgerMessage::Snapshot { state, .. }) = received.first() else {
        panic!("{}", received.len())
    };
    assert_eq!(state.len(), 60_000);
    assert!(state
        .iter()
        .enumerate()
        .all(|(n, byte)| *byte == (n % 251) as u8));
}

#[test]
fn a_long_message_is_acknowledged_although_its_acknowledgement_or_fragments_were_lost() {
    for (fragments_lost, acknowledgement_lost) in [(true, false), (false, true)] {
        let (mut sender, mut receiver, mut received) = (transport(1), transport(2), 0);
        sender.send(at(0), 2, &long(3_000), Pace::Log(3));
        for now in (0..80).map(|n| n * 10_000) {
            for OutgoingPacket { bytes: packet, .. } in sender
                .packets(at(now))
                .into_iter()
                .filter(|_| !(fragments_lost && now < 100_000))
            {
                received += receiver
                    .receive(at(now), 1, &packet)
                    .unwrap()
                    .messages
                    .len();
            }
            for OutgoingPacket { bytes: packet, .. } in receiver
                .packets(at(now))
                .into_iter()
                .filter(|_| !(acknowledgement_lost && now < 100_000))
            {
                sender.receive(at(now), 2, &packet).unwrap();
            }
        }
        assert_eq!(
            (received, sender.is_busy(2, Pace::Log(3))),
            (1, false),
            "{fragments_lost}"
        );
    }
    // A receiver that never acknowledges is sent reminders for a while, then the message is
    // abandoned.
    let mut sender = transport(1);
    sender.send(at(0), 2, &long(3_000), Pace::Log(3));
    let sent: usize = (0..1_200)
        .map(|n| sender.packets(at(n * 10_000)).len())
        .sum();
    assert!(
        (30..50).contains(&sent) && !sender.is_busy(2, Pace::Log(3)),
        "{sent}"
    );
}

#[test]
fn messages_for_rebuilding_replicas_respect_the_rate() {
    let mut sender = transport(1);
    sender.send(at(0), 2, &long(100_000), Pace::Repair);
    let mut sent = 0;
    for now in 0..300 {
        sent += sender
            .packets(at(now * 10_000))
            .iter()
            .map(|packet| packet.bytes.len())
            .sum::<usize>();
    }
    assert!(
        (50_000..=63_000).contains(&sent),
        "{sent} bytes in 3 s at 20,000 a second"
    );
}

#[test]
fn packets_of_another_fleet_or_format_or_truncated_ones_are_rejected() {
    let mut sender = transport(1);
    sender.send(at(0), 2, &long(3_000), Pace::Fast);
    sender.send(at(0), 2, &LedgerMessage::Probe { shard: 1 }, Pace::Fast);
    let mut foreign = Transport::new(&Setup::new("g", 2, 2, 20, Vec::new()), 8);
    for now in 0..5 {
        for OutgoingPacket { bytes: packet, .. } in sender.packets(at(now * 100_000)) {
            assert_eq!(
                foreign.receive(at(0), 1, &packet).err(),
                Some(Rejection::OtherFleet)
            );
            for cut in 0..packet.len() {
                assert!(
                    transport(2).receive(at(0), 1, &packet[..cut]).is_err(),
                    "{cut}"
                );
            }
            let newer = [&[crate::FORMAT + 1], &packet[1..]].concat();
            assert_eq!(
                transport(2).receive(at(0), 1, &newer).err(),
                Some(Rejection::UnknownFormat)
            );
            for position in 0..packet.len() {
                let mut corrupted = packet.clone();
                corrupted[position] ^= 0x81;
                let _ = transport(2).receive(at(0), 1, &corrupted);
            }
        }
    }
    assert!(decode::<State>(&[0xff; 30]).is_none());
}
