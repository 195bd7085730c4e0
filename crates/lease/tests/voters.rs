//! Leases among voters that are partitioned, paused, killed and restarted, over a network that
//! loses, duplicates and reorders messages, with drifting clocks.

use hallmux_lease::voter::{Voter, VoterConfig};
use hallmux_lease::{fingerprint, AddressedEnvelope, Envelope, LeaseMessage, Request, Task};
use rand::Rng;

#[path = "voters/sim.rs"]
mod sim;

use sim::{Fleet, SECOND, TERMS};

/// Asserts that the tokens of acts never decreased, that no two fronts could act at once, and that
/// voters with equally many decided entries hold equal leases.
fn assert_safe(fleet: &Fleet) {
    assert!(
        fleet.max_simultaneous_owners <= 1,
        "{} could act at once",
        fleet.max_simultaneous_owners
    );
    let mut highest = 0;
    for (at, front, token) in &fleet.acts {
        assert!(
            *token >= highest,
            "front {front} acted under {token} after {highest} at {at}"
        );
        highest = *token;
    }
    // Voters with equally many decided entries hold equal leases.
    let voters: Vec<&Voter> = fleet
        .fronts
        .iter()
        .filter_map(|front| front.voter.as_ref())
        .collect();
    for (n, voter) in voters.iter().enumerate() {
        for other in voters[..n]
            .iter()
            .filter(|other| other.decided_entries() == voter.decided_entries())
        {
            assert_eq!(
                voter.leases(),
                other.leases(),
                "after {} entries",
                voter.decided_entries()
            );
        }
    }
}

#[test]
fn one_of_many_requesters_gets_the_lease_and_keeps_it() {
    let mut fleet = Fleet::new(6, 3, 1);
    fleet.run(20 * SECOND, &[0, 1, 2, 3, 4, 5]);
    assert_safe(&fleet);
    assert_eq!(
        (fleet.owners().len(), fleet.leaders()),
        (1, 1),
        "{:?}",
        fleet.owners()
    );
}

#[test]
fn a_killed_owner_is_succeeded_by_another_with_its_progress() {
    let mut fleet = Fleet::new(6, 3, 2);
    fleet.run(8 * SECOND, &[4]);
    fleet.run(10 * SECOND, &[4]);
    let acts_before = fleet.acts.len();
    assert!(acts_before > 0);
    fleet.kill(4);
    fleet.run(20 * SECOND, &[3, 5]);
    assert_safe(&fleet);
    let owners = fleet.owners();
    assert_eq!(owners.len(), 2, "{owners:?}");
    // The successor starts from the progress of the killed owner's last renewals.
    let (token, progress) = fleet.inherited_progress.last().unwrap();
    assert!(
        *token == owners[1].1 && progress[0] > 4,
        "{:?}",
        fleet.inherited_progress
    );
}

#[test]
fn an_owner_paused_past_its_lease_does_not_act_when_resumed() {
    let mut fleet = Fleet::new(6, 3, 3);
    fleet.run(8 * SECOND, &[4]);
    fleet.fronts[4].paused = true;
    fleet.run(16 * SECOND, &[4, 5]);
    fleet.fronts[4].paused = false;
    let before = fleet.acts.len();
    fleet.run(24 * SECOND, &[4, 5]);
    assert_safe(&fleet);
    assert!(
        fleet.acts[before..].iter().all(|(_, front, _)| *front == 5),
        "{:?}",
        fleet.owners()
    );
}

#[test]
fn a_lease_is_granted_only_by_a_majority_of_voters() {
    for (voters, minority) in [(3, 1), (5, 2)] {
        let mut fleet = Fleet::new(7, voters, 4);
        fleet.run(8 * SECOND, &[0, 6]);
        let (_, owner, _) = *fleet.acts.last().unwrap();
        // The owner's partition holds a minority of the voters; a voter of the majority requests
        // the lease too.
        for n in 0..7 {
            fleet.partition[n] = u8::from(n >= minority && n < voters);
        }
        let other = minority;
        fleet.partition[owner] = 0;
        let before = fleet.acts.len();
        fleet.run(20 * SECOND, &[0, 6, other]);
        assert_safe(&fleet);
        // The last owner is in the partition with the majority.
        let last = fleet.acts[before..].last().unwrap();
        assert_eq!(fleet.partition[last.1], 1, "{voters}: {:?}", fleet.owners());
        // No partition has a majority: the lease has no owner.
        for n in 0..voters {
            fleet.partition[n] = n as u8;
        }
        fleet.run(25 * SECOND, &[0, 6, other]);
        let before = fleet.acts.len();
        fleet.run(30 * SECOND, &[0, 6, other]);
        assert_eq!(fleet.acts.len(), before, "{voters}: {:?}", fleet.owners());
        // The partition heals.
        fleet.partition.fill(0);
        fleet.run(45 * SECOND, &[0, 6, other]);
        assert_safe(&fleet);
        assert!(fleet.acts.len() > before);
    }
}

#[test]
fn random_faults_never_cause_two_owners() {
    let mut runs_with_owner = 0;
    for seed in 0..40 {
        let voters = if seed % 2 == 0 { 3 } else { 5 };
        let mut fleet = Fleet::new(8, voters, 1_000 + seed);
        (fleet.loss_rate, fleet.duplication_rate) = (0.1, 0.1);
        let all: Vec<usize> = (0..8).collect();
        for step in 1..=20 {
            let n = fleet.rng.random_range(0..8);
            match fleet.rng.random_range(0..6) {
                0 => fleet.kill(n),
                1 => fleet.fronts[n].paused = true,
                2 => {
                    let boundary = fleet.rng.random_range(0..8);
                    (0..8).for_each(|n| fleet.partition[n] = u8::from(n < boundary));
                }
                3 => fleet.partition.fill(0),
                _ => {
                    for n in 0..8 {
                        fleet.fronts[n].paused = false;
                        if !fleet.fronts[n].running {
                            fleet.start(n);
                        }
                    }
                }
            }
            fleet.run(step * SECOND, &all);
            assert_safe(&fleet);
        }
        runs_with_owner += usize::from(!fleet.acts.is_empty());
    }
    assert!(
        runs_with_owner >= 30,
        "of forty runs with faults only {runs_with_owner} ever had an owner"
    );
}

#[test]
fn reordered_messages_count_as_lost() {
    let mut runs_with_owner = 0;
    // Without sequence numbers the log library panicked at seed 206, on a message of a later round.
    for seed in 150..210 {
        let mut fleet = Fleet::new(6, if seed % 2 == 0 { 3 } else { 5 }, 5_000 + seed);
        (fleet.max_delay, fleet.duplication_rate) =
            ([60_000, 120_000, 180_000][seed as usize % 3], 0.3);
        for step in 1..=8 {
            // Isolating a voter makes the leader change now and then.
            let isolated = fleet.rng.random_range(0..3);
            fleet.partition[isolated] = 1;
            fleet.run((3 * step - 2) * SECOND, &[0, 1, 2, 3, 4, 5]);
            fleet.partition.fill(0);
            fleet.run(3 * step * SECOND, &[0, 1, 2, 3, 4, 5]);
            assert_safe(&fleet);
        }
        runs_with_owner += usize::from(!fleet.acts.is_empty());
    }
    assert!(
        runs_with_owner >= 30,
        "of sixty runs only {runs_with_owner} ever had an owner"
    );
}

#[test]
fn a_restarted_voter_catches_up_from_a_snapshot_and_the_lease_continues() {
    let mut fleet = Fleet::new(4, 3, 6);
    fleet.run(120 * SECOND, &[3]);
    assert_safe(&fleet);
    // A voter that was down for long catches up, and the lease continues under the same token.
    fleet.kill(1);
    fleet.run(240 * SECOND, &[3]);
    fleet.start(1);
    fleet.run(250 * SECOND, &[3]);
    assert_safe(&fleet);
    assert_eq!(fleet.owners().len(), 1, "{:?}", fleet.owners());
    let voters: Vec<_> = (0..3)
        .filter_map(|n| fleet.fronts[n].voter.as_ref())
        .collect();
    let tokens: Vec<_> = voters
        .iter()
        .map(|voter| voter.leases().get(Task::Zones).map(|lease| lease.token))
        .collect();
    assert!(
        tokens
            .iter()
            .all(|token| *token == tokens[0] && token.is_some()),
        "{tokens:?}"
    );
}

#[test]
fn messages_of_another_fleet_or_under_a_false_sender_are_ignored() {
    let voters = [100, 101, 102];
    let fleet = fingerprint("tests", &voters);
    let config = |local_id| VoterConfig {
        fleet,
        local_id,
        voters: voters.to_vec(),
        terms: TERMS,
    };
    let mut voter = Voter::new(0, config(100), None).unwrap();
    let request = |fleet| Envelope {
        fleet,
        message: LeaseMessage::Request(Request {
            task: Task::Zones,
            number: 1,
            token: None,
            progress: vec![0; 10_000],
        }),
    };
    assert!(voter.receive(1, 7, request(fleet + 1)).messages.is_empty());
    // Log messages of a real exchange, each received from every front but its actual sender.
    let mut other = Voter::new(0, config(101), None).unwrap();
    let mut messages = Vec::new();
    for now in 1..40 {
        messages.extend(other.tick(now * 50_000).messages);
        voter.tick(now * 50_000);
    }
    assert!(!messages.is_empty());
    for AddressedEnvelope { to, envelope } in messages {
        for from in [100, 102, 7, 0, u64::MAX] {
            let before = voter.leases().clone();
            assert!(
                voter
                    .receive(2_000_001, from, envelope.clone())
                    .save
                    .is_none(),
                "{from} to {to}"
            );
            assert_eq!(*voter.leases(), before);
        }
    }
}

#[test]
fn decoding_any_bytes_succeeds_or_returns_none() {
    let envelope = Envelope {
        fleet: 9,
        message: LeaseMessage::Request(Request {
            task: Task::Zones,
            number: 1,
            token: Some(3),
            progress: vec![1, 2],
        }),
    };
    let encoded = hallmux_lease::encode(&envelope);
    assert!(hallmux_lease::decode(&encoded).is_some());
    for end in 0..encoded.len() {
        assert!(hallmux_lease::decode(&encoded[..end]).is_none());
    }
    for at in 0..encoded.len() {
        for flip in [1, 0x80, 0xff] {
            let mut corrupted = encoded.clone();
            corrupted[at] ^= flip;
            let _ = hallmux_lease::decode(&corrupted);
        }
    }
}
