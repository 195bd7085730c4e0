//! Several fronts, each with its own engines and clients, that replicate access rules and grant each other
//! leases.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicUsize, Ordering};

use ed25519_dalek::SigningKey;

use crate::{default_settings, Scenario, FILES};

const FRONTS: usize = 3;

fn to_hex(bytes: &[u8; 32]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Starts fronts that gossip and keep a ledger replicated on all of them.
pub fn fleet(rules: &str) -> Vec<Scenario> {
    let secrets: Vec<[u8; 32]> = (1..=FRONTS as u8).map(|n| [n; 32]).collect();
    let key =
        |secret: &[u8; 32]| to_hex(&SigningKey::from_bytes(secret).verifying_key().to_bytes());
    // The ports are free when they are reserved; they are released just before the fronts bind them.
    let sockets: Vec<UdpSocket> = secrets
        .iter()
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    let addresses: Vec<String> = sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap().to_string())
        .collect();
    let join_fronts =
        |line: &dyn Fn(usize) -> String| (0..FRONTS).map(line).collect::<Vec<_>>().join(", ");
    let peers = join_fronts(&|n| format!("f{n}: '{}'", key(&secrets[n])));
    let members = join_fronts(&|n| format!("f{n}: {{ at: '{}', zone: 'z{n}' }}", addresses[n]));
    let seeds = join_fronts(&|n| format!("'{}'", addresses[n]));
    drop(sockets);
    let start = |n: usize| {
        let number = AtomicUsize::fetch_add(&FILES, 1, Ordering::SeqCst);
        let secret = std::env::temp_dir().join(format!(
            "hallmux-play-{}-{number}.secret",
            std::process::id()
        ));
        std::fs::write(&secret, to_hex(&secrets[n])).unwrap();
        let mut scenario = Scenario::default();
        scenario.settings = default_settings();
        scenario.files.push(secret.clone());
        scenario.run_line("agreed areas [\"here\", \"there\"]");
        scenario.run_line("engine a");
        scenario.run_line("engine b@there");
        scenario.run_line(&format!("rules {rules}"));
        scenario.run_line(&format!(
            "operator {{ gossip: {{ listen: '{}', secret_file: '{}', peers: {{ {peers} }}, seeds: [{seeds}], \
             ledger: {{ fleet: 'test', shards: 2, members: {{ {members} }} }} }}, \
             rules: {{ file: 'RULES', region: 'here', lease_ms: 1500, tell_every_ms: 3600000 }} }}",
            addresses[n],
            secret.display()
        ));
        scenario.run_line("start");
        scenario
    };
    (0..FRONTS).map(start).collect()
}

#[test]
fn a_front_stopped_while_a_rule_was_tightened_rejects_what_the_new_rule_denies() {
    let rules = |version: u64, region: &str| {
        format!("{{ version: {version}, default: 'allow', rules: [ {{ name: 'only', regions: ['{region}'] }} ] }}")
    };
    let mut fleet = fleet(&rules(1, "there"));
    fleet
        .iter_mut()
        .for_each(|front| front.run_line("logs version 1 of the rules is in force"));
    let lines =
        |front: &mut Scenario, lines: &[&str]| lines.iter().for_each(|line| front.run_line(line));
    lines(
        &mut fleet[2],
        &[
            "c connects",
            "c asks 1 select 1",
            "b@there hears want 1",
            "b@there says 1 ACK batches=1 x",
            "c hears 1 completed x",
            "halt",
        ],
    );
    // The statement lies unread in the socket of the halted front.
    fleet[2].run_line("c asks 2 select 2");
    fleet[0].run_line(&format!("rules {}", rules(2, "here")));
    lines(
        &mut fleet[0],
        &[
            "reloads",
            "logs the fleet's: version 2 of the rules",
            "logs version 2 of the rules is in force",
        ],
    );
    // The front's lease expired long ago: it must not use its old rules, and sends the next statement where
    // version 2 allows.
    lines(
        &mut fleet[2],
        &[
            "goes on",
            "c hears 2 rejected later",
            "logs judges by version 2 of the rules",
            "logs knows which rules hold: version 2",
            "c asks 3 select 3",
            "a hears want 3",
            "a says 3 ACK batches=1 y",
            "c hears 3 completed y",
        ],
    );
    // The front's old file does not restore version 1; any front reports the hits of the whole fleet.
    lines(
        &mut fleet[2],
        &[
            "reloads",
            "logs version 1 is not above the fleet's 2, which stays; state 3",
        ],
    );
    lines(
        &mut fleet[1],
        &[
            "reloads",
            "logs fronts that are missing: none",
            "logs hits of rule only by customer acme in here: 2",
        ],
    );
}
