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
fn small_messages_share_a_packet_and_no_packet_is_longer_than_a_datagram() {
    let (mut one, mut other) = (transport(1), transport(2));
    for shard in 0..200 {
        one.send(at(0), 2, &LedgerMessage::Probe { shard }, Pace::Fast);
    }
    one.send(at(0), 3, &LedgerMessage::Probe { shard: 1 }, Pace::Fast);
    let packets = one.packets(at(0));
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
            other
                .receive(at(0), 1, &packet.bytes)
                .unwrap()
                .messages
                .len()
        })
        .sum();
    assert_eq!(messages, 200);
}

#[test]
fn a_long_message_arrives_complete_though_fragments_are_lost_repeated_and_out_of_order() {
    let (mut one, mut other) = (transport(1), transport(2));
    one.send(at(0), 2, &long(60_000), Pace::Fast);
    let (mut now, mut heard, mut lost) = (0, Vec::new(), 0u64);
    while heard.is_empty() && now < 5_000_000 {
        now += 10_000;
        let mut packets = one.packets(at(now));
        packets.reverse();
        for OutgoingPacket { bytes: packet, .. } in packets {
            assert!(packet.len() <= PACKET_BYTES, "{}", packet.len());
            lost += 1;
            if lost % 3 != 0 {
                heard.extend(other.receive(at(now), 1, &packet).unwrap().messages);
                heard.extend(other.receive(at(now), 1, &packet).unwrap().messages);
            }
        }
        for OutgoingPacket { bytes: packet, .. } in other.packets(at(now)) {
            one.receive(at(now), 2, &packet).unwrap();
        }
    }
    let Some(LedgerMessage::Snapshot { state, .. }) = heard.first() else {
        panic!("{}", heard.len())
    };
    assert_eq!(state.len(), 60_000);
    assert!(state
        .iter()
        .enumerate()
        .all(|(n, byte)| *byte == (n % 251) as u8));
}

#[test]
fn a_long_message_is_acknowledged_though_the_acknowledgement_or_all_its_fragments_were_lost() {
    for (fragments_lost, acknowledgement_lost) in [(true, false), (false, true)] {
        let (mut one, mut other, mut heard) = (transport(1), transport(2), 0);
        one.send(at(0), 2, &long(3_000), Pace::Log(3));
        for now in (0..80).map(|n| n * 10_000) {
            for OutgoingPacket { bytes: packet, .. } in one
                .packets(at(now))
                .into_iter()
                .filter(|_| !(fragments_lost && now < 100_000))
            {
                heard += other.receive(at(now), 1, &packet).unwrap().messages.len();
            }
            for OutgoingPacket { bytes: packet, .. } in other
                .packets(at(now))
                .into_iter()
                .filter(|_| !(acknowledgement_lost && now < 100_000))
            {
                one.receive(at(now), 2, &packet).unwrap();
            }
        }
        assert_eq!(
            (heard, one.is_busy(2, Pace::Log(3))),
            (1, false),
            "{fragments_lost}"
        );
    }
    // One that never hears it is reminded for a while, then the message is forgotten.
    let mut one = transport(1);
    one.send(at(0), 2, &long(3_000), Pace::Log(3));
    let sent: usize = (0..1_200).map(|n| one.packets(at(n * 10_000)).len()).sum();
    assert!(
        (30..50).contains(&sent) && !one.is_busy(2, Pace::Log(3)),
        "{sent}"
    );
}

#[test]
fn rebuilding_replicas_keeps_to_its_rate() {
    let mut one = transport(1);
    one.send(at(0), 2, &long(100_000), Pace::Repair);
    let mut sent = 0;
    for now in 0..300 {
        sent += one
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
fn packets_of_another_fleet_or_format_are_refused_and_nothing_corrupt_is_accepted() {
    let mut one = transport(1);
    one.send(at(0), 2, &long(3_000), Pace::Fast);
    one.send(at(0), 2, &LedgerMessage::Probe { shard: 1 }, Pace::Fast);
    let mut foreign = Transport::new(&Setup::new("g", 2, 2, 20, Vec::new()), 8);
    for now in 0..5 {
        for OutgoingPacket { bytes: packet, .. } in one.packets(at(now * 100_000)) {
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
            for place in 0..packet.len() {
                let mut spoilt = packet.clone();
                spoilt[place] ^= 0x81;
                let _ = transport(2).receive(at(0), 1, &spoilt);
            }
        }
    }
    assert!(decode::<State>(&[0xff; 30]).is_none());
}
