//! Unit tests of the `input_memory` module.

use super::*;
use crate::events::SocketKind;

fn held(number: u64, bytes: usize, since: Micros) -> HeldInput {
    let socket = SocketKind::Client.id(number);
    HeldInput {
        socket,
        bytes,
        since,
    }
}

#[test]
fn longest_held_input_over_its_share_is_shed_until_the_rest_fits() {
    let all = vec![
        held(1, 400, 30),
        held(2, 400, 10),
        held(3, 100, 0),
        held(4, 400, 20),
    ];
    let shed = |limit| -> Vec<u64> {
        let sockets = connections_to_shed(all.clone(), limit);
        sockets.iter().map(|socket| socket.number).collect()
    };
    assert!(shed(1_300).is_empty());
    assert_eq!(shed(1_299), [2]);
    assert_eq!(shed(900), [2]);
    assert_eq!(shed(800), [2, 4]);
    // The third holds no more than its share, although it has held that longest.
    assert_eq!(shed(400), [2, 4, 1]);
    assert!(connections_to_shed(Vec::new(), 0).is_empty());
}

#[test]
fn input_of_any_number_of_clients_fits_into_the_limit_after_shedding() {
    for clients in [1, 7, 1_000] {
        let all: Vec<HeldInput> = (0..clients)
            .map(|number| held(number, 1 + (number as usize * 7_919) % 100_000, 0))
            .collect();
        let limit = 50_000;
        let shed = connections_to_shed(all.clone(), limit);
        let kept = all.iter().filter(|input| !shed.contains(&input.socket));
        assert!(kept.map(|input| input.bytes).sum::<usize>() <= limit);
    }
}
