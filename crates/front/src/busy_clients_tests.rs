//! Tests of clients that send without pause: they take a bounded part of each iteration.

use super::super::held_tests::cancel_message;
use super::*;

const BUSY_ITERATIONS: usize = 20;
const BUSY_CLIENTS: usize = 3;

/// Writes messages until the socket accepts no more.
fn fill(client: &mut TcpStream, messages: &[u8]) {
    while let Ok(written) = client.write(messages) {
        if written < messages.len() {
            break;
        }
    }
}

/// Guards against late answers for all clients beside one that sends without pause: its connection was queued once more
/// with each event, and every iteration read it as often as it was queued.
#[test]
fn client_that_sends_without_pause_is_queued_once() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("busy-clients", at, true);
    let messages: Vec<u8> = (0..100).flat_map(cancel_message).collect();
    let mut clients: Vec<TcpStream> = (0..BUSY_CLIENTS)
        .map(|_| TcpStream::connect(harness.listen_address).unwrap())
        .collect();
    for client in &clients {
        client.set_nonblocking(true).unwrap();
    }
    let mut were_busy = false;
    for _ in 0..BUSY_ITERATIONS {
        clients
            .iter_mut()
            .for_each(|client| fill(client, &messages));
        harness.run_iteration();
        let queued = harness.front.unfinished_reads.len();
        assert!(queued <= BUSY_CLIENTS, "{queued} reads are queued");
        were_busy |= queued == BUSY_CLIENTS;
    }
    assert!(were_busy, "the clients never sent more than was read");
}
