//! Leases among voters that are cut apart, stopped, killed and started anew, over a network that loses,
//! doubles and reorders messages, with clocks that run apart.

use hallmux_lease::voter::{Voter, VoterConfig};
use hallmux_lease::{fingerprint, AddressedEnvelope, Envelope, LeaseMessage, Request, Task};
use rand::Rng;

#[path = "voters/sim.rs"]
mod sim;

use sim::{Fleet, SECOND, TERMS};

/// Every act was under a token no lower than any before it, and never two fronts could act at once.
fn sound(fleet: &Fleet) {
    assert!(
        fleet.most_at_once <= 1,
        "{} could act at once",
        fleet.most_at_once
    );
    let mut highest = 0;
    for (at, who, token) in &fleet.acts {
        assert!(
            *token >= highest,
            "front {who} acted under {token} after {highest} at {at}"
        );
        highest = *token;
    }
    // Voters that have decided as much know the same.
    let voters: Vec<&Voter> = fleet
        .fronts
        .iter()
        .filter_map(|front| front.voter.as_ref())
        .collect();
    for (n, one) in voters.iter().enumerate() {
        for other in voters[..n]
            .iter()
            .filter(|other| other.decided_entries() == one.decided_entries())
        {
            assert_eq!(
                one.leases(),
                other.leases(),
                "after {} entries",
                one.decided_entries()
            );
        }
    }
}

#[test]
fn one_of_many_owns_the_lease_and_keeps_it() {
    let mut fleet = Fleet::new(6, 3, 1);
    fleet.run(20 * SECOND, &[0, 1, 2, 3, 4, 5]);
    sound(&fleet);
    assert_eq!(
        (fleet.owners().len(), fleet.leaders()),
        (1, 1),
        "{:?}",
        fleet.owners()
    );
}

#[test]
fn an_owner_killed_is_followed_by_another_that_goes_on_from_where_it_was() {
    let mut fleet = Fleet::new(6, 3, 2);
    fleet.run(8 * SECOND, &[4]);
    fleet.run(10 * SECOND, &[4]);
    let done = fleet.acts.len();
    assert!(done > 0);
    fleet.kill(4);
    fleet.run(20 * SECOND, &[3, 5]);
    sound(&fleet);
    let owners = fleet.owners();
    assert_eq!(owners.len(), 2, "{owners:?}");
    // What the first had done a moment before its end, not nothing.
    let (token, progress) = fleet.inherited.last().unwrap();
    assert!(
        *token == owners[1].1 && progress[0] > 4,
        "{:?}",
        fleet.inherited
    );
}

#[test]
fn an_owner_stopped_past_its_lease_does_nothing_when_it_goes_on() {
    let mut fleet = Fleet::new(6, 3, 3);
    fleet.run(8 * SECOND, &[4]);
    fleet.fronts[4].stopped = true;
    fleet.run(16 * SECOND, &[4, 5]);
    fleet.fronts[4].stopped = false;
    let before = fleet.acts.len();
    fleet.run(24 * SECOND, &[4, 5]);
    sound(&fleet);
    assert!(
        fleet.acts[before..].iter().all(|(_, who, _)| *who == 5),
        "{:?}",
        fleet.owners()
    );
}

#[test]
fn without_a_majority_there_is_no_owner_and_with_one_there_is() {
    for (voters, few) in [(3, 1), (5, 2)] {
        let mut fleet = Fleet::new(7, voters, 4);
        fleet.run(8 * SECOND, &[0, 6]);
        let (_, owner, _) = *fleet.acts.last().unwrap();
        // The owner's side holds the fewer voters; the other asks too.
        for n in 0..7 {
            fleet.side[n] = u8::from(n >= few && n < voters);
        }
        let other = few;
        fleet.side[owner] = 0;
        let before = fleet.acts.len();
        fleet.run(20 * SECOND, &[0, 6, other]);
        sound(&fleet);
        // At the end the side with the majority has it, if its owner is there.
        let last = fleet.acts[before..].last().unwrap();
        assert_eq!(fleet.side[last.1], 1, "{voters}: {:?}", fleet.owners());
        // Cut so that nobody has a majority, nobody owns it.
        for n in 0..voters {
            fleet.side[n] = n as u8;
        }
        fleet.run(25 * SECOND, &[0, 6, other]);
        let before = fleet.acts.len();
        fleet.run(30 * SECOND, &[0, 6, other]);
        assert_eq!(fleet.acts.len(), before, "{voters}: {:?}", fleet.owners());
        // It heals.
        fleet.side.fill(0);
        fleet.run(45 * SECOND, &[0, 6, other]);
        sound(&fleet);
        assert!(fleet.acts.len() > before);
    }
}

#[test]
fn drawn_faults_never_give_two_owners() {
    let mut owned = 0;
    for seed in 0..40 {
        let voters = if seed % 2 == 0 { 3 } else { 5 };
        let mut fleet = Fleet::new(8, voters, 1_000 + seed);
        (fleet.lost, fleet.doubled) = (0.1, 0.1);
        let all: Vec<usize> = (0..8).collect();
        for step in 1..=20 {
            let n = fleet.chance.random_range(0..8);
            match fleet.chance.random_range(0..6) {
                0 => fleet.kill(n),
                1 => fleet.fronts[n].stopped = true,
                2 => {
                    let below = fleet.chance.random_range(0..8);
                    (0..8).for_each(|n| fleet.side[n] = u8::from(n < below));
                }
                3 => fleet.side.fill(0),
                _ => {
                    for n in 0..8 {
                        fleet.fronts[n].stopped = false;
                        if !fleet.fronts[n].up {
                            fleet.start(n);
                        }
                    }
                }
            }
            fleet.run(step * SECOND, &all);
            sound(&fleet);
        }
        owned += usize::from(!fleet.acts.is_empty());
    }
    assert!(
        owned >= 30,
        "of forty runs with faults only {owned} ever had an owner"
    );
}

#[test]
fn letters_that_overtake_each_other_count_as_lost() {
    let mut acted = 0;
    // Without their numbers the log's library panicked on one of a later round at seed 206.
    for seed in 150..210 {
        let mut fleet = Fleet::new(6, if seed % 2 == 0 { 3 } else { 5 }, 5_000 + seed);
        (fleet.way, fleet.doubled) = ([60_000, 120_000, 180_000][seed as usize % 3], 0.3);
        for step in 1..=8 {
            // Leaders change now and then, as their messages stay away.
            let cut = fleet.chance.random_range(0..3);
            fleet.side[cut] = 1;
            fleet.run((3 * step - 2) * SECOND, &[0, 1, 2, 3, 4, 5]);
            fleet.side.fill(0);
            fleet.run(3 * step * SECOND, &[0, 1, 2, 3, 4, 5]);
            sound(&fleet);
        }
        acted += usize::from(!fleet.acts.is_empty());
    }
    assert!(acted >= 30, "of sixty runs only {acted} ever had an owner");
}

#[test]
fn the_log_is_folded_and_what_a_voter_saves_stays_small() {
    let mut fleet = Fleet::new(4, 3, 6);
    fleet.run(120 * SECOND, &[3]);
    sound(&fleet);
    // A voter that was away for long is brought up to date, and the lease goes on under its token.
    fleet.kill(1);
    fleet.run(240 * SECOND, &[3]);
    fleet.start(1);
    fleet.run(250 * SECOND, &[3]);
    sound(&fleet);
    assert_eq!(fleet.owners().len(), 1, "{:?}", fleet.owners());
    let voters: Vec<_> = (0..3)
        .filter_map(|n| fleet.fronts[n].voter.as_ref())
        .collect();
    let tokens: Vec<_> = voters
        .iter()
        .map(|v| v.leases().get(Task::Zones).map(|l| l.token))
        .collect();
    assert!(
        tokens.iter().all(|t| *t == tokens[0] && t.is_some()),
        "{tokens:?}"
    );
}

#[test]
fn a_letter_of_another_fleet_or_in_another_voters_name_does_nothing() {
    let voters = [100, 101, 102];
    let fleet = fingerprint("tests", &voters);
    let config = |local_id| VoterConfig {
        fleet,
        local_id,
        voters: voters.to_vec(),
        terms: TERMS,
    };
    let mut voter = Voter::new(0, config(100), None).unwrap();
    let ask = |fleet| Envelope {
        fleet,
        message: LeaseMessage::Request(Request {
            task: Task::Zones,
            number: 1,
            token: None,
            progress: vec![0; 10_000],
        }),
    };
    assert!(voter.receive(1, 7, ask(fleet + 1)).messages.is_empty());
    // Log messages of a real exchange, each said to come from everybody but its sender.
    let mut other = Voter::new(0, config(101), None).unwrap();
    let mut said = Vec::new();
    for now in 1..40 {
        said.extend(other.tick(now * 50_000).messages);
        voter.tick(now * 50_000);
    }
    assert!(!said.is_empty());
    for AddressedEnvelope { to, envelope } in said {
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
fn any_bytes_are_read_or_refused() {
    let envelope = Envelope {
        fleet: 9,
        message: LeaseMessage::Request(Request {
            task: Task::Zones,
            number: 1,
            token: Some(3),
            progress: vec![1, 2],
        }),
    };
    let whole = hallmux_lease::encode(&envelope);
    assert!(hallmux_lease::decode(&whole).is_some());
    for cut in 0..whole.len() {
        assert!(hallmux_lease::decode(&whole[..cut]).is_none());
    }
    for at in 0..whole.len() {
        for flip in [1, 0x80, 0xff] {
            let mut spoilt = whole.clone();
            spoilt[at] ^= flip;
            let _ = hallmux_lease::decode(&spoilt);
        }
    }
}
