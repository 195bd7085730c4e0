//! A model of a shard, checked exhaustively to a given depth: leaders with ballots, replicas, a
//! lost disk, and a change of members. Every message that was ever sent may arrive at any later
//! time, any number of times, or never. The model restates the rules of `crates/ledger` and of its
//! consensus library in a small form; the code itself is tested in `random_faults.rs`. A replica
//! receives a message, makes its effect durable and answers in one step, so that state that is not
//! durable is never seen.

use std::collections::{BTreeMap, BTreeSet};

use stateright::{Checker, HasDiscoveries, Model, Property};

const FRONTS: usize = 4; // three replicas, and a front that replaces front 2
const CHANGE: u8 = 9; // the log entry that changes the members; no entry follows it in its log
const MAX_VALUES: u8 = 2;
const DEPTH: usize = 9; // steps, with all faults at once
/// Steps with one kind of fault in addition to lost, duplicated and late messages.
const SINGLE_FAULT_DEPTH: usize = 14;

/// The Paxos state of a front's replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ReplicaState {
    /// The configuration that the front is a member of; 0 if none.
    config: u8,
    promise: u8,
    accepted: u8,
    log: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Prepare,
    Promise { accepted: u8, log: Vec<u8> },
    Accept { log: Vec<u8> },
    Accepted { length: usize },
    Begin { log: Vec<u8> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Packet {
    from: usize,
    /// The disk of the sending front. Answers go to the front that owns the ballot.
    disk: u8,
    config: u8,
    ballot: u8,
    message: Message,
}

/// The state of a leader or candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaderState {
    ballot: u8,
    promises: BTreeMap<usize, (u8, Vec<u8>)>,
    log: Option<Vec<u8>>,
    accepted: BTreeMap<usize, usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: Vec<ReplicaState>,
    /// The state on the disks; differs from `replicas` only if answers are sent before the state is
    /// saved.
    durable: Vec<ReplicaState>,
    disks: [u8; FRONTS],
    leaders: Vec<Option<LeaderState>>,
    in_transit: BTreeSet<Packet>,
    campaigns: usize,
    values: u8,
    has_killed: bool,
    has_lost_disk: bool,
    /// The acknowledged entries.
    acknowledged: Vec<u8>,
    violated: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Campaign(usize),
    Propose(usize, u8),
    Save(usize),
    Kill(usize),
    LoseDisk(usize),
    Receive(usize, Packet),
}

/// The safety rules, each of which can be switched off.
#[derive(Clone, Copy)]
struct Rules {
    disk_identity: bool,
    ballot_check: bool,
    catch_up: bool,
    save_first: bool,
    /// The injected faults in addition to lost, duplicated and late messages, and the number of
    /// campaigns.
    kills: bool,
    losses: bool,
    changes: bool,
    campaigns: usize,
}

const ALL_FAULTS: Rules = Rules {
    disk_identity: true,
    ballot_check: true,
    catch_up: true,
    save_first: true,
    kills: true,
    losses: true,
    changes: true,
    campaigns: 2,
};

/// One kind of fault at a time, to a greater depth.
const SINGLE_FAULT: Rules = Rules {
    kills: false,
    losses: false,
    changes: false,
    campaigns: 1,
    ..ALL_FAULTS
};

fn members(config: u8) -> &'static [usize] {
    match config {
        1 => &[0, 1, 2],
        2 => &[0, 1, 3],
        _ => &[],
    }
}

impl State {
    fn is_member(&self, front: usize, config: u8) -> bool {
        members(config).contains(&front)
    }

    fn send(&mut self, from: usize, config: u8, ballot: u8, message: Message) {
        self.in_transit.insert(Packet {
            from,
            disk: self.disks[from],
            config,
            ballot,
            message,
        });
    }

    fn store(&mut self, front: usize, rules: Rules, replica: ReplicaState) {
        if rules.save_first {
            self.durable[front].clone_from(&replica);
        }
        self.replicas[front] = replica;
    }

    /// Decides the entries that a majority has accepted under this ballot.
    fn decide(&mut self, front: usize, rules: Rules) {
        let Some(leader) = &self.leaders[front] else {
            return;
        };
        let Some(log) = leader.log.clone() else {
            return;
        };
        let is_accepted_by_majority =
            |length: &usize| leader.accepted.values().filter(|n| *n >= length).count() >= 2;
        let Some(length) = (1..=log.len()).rev().find(is_accepted_by_majority) else {
            return;
        };
        let decided = &log[..length];
        let common = decided.len().min(self.acknowledged.len());
        self.violated |= decided[..common] != self.acknowledged[..common];
        if length > self.acknowledged.len() {
            self.acknowledged = decided.to_vec();
        }
        if decided.last() == Some(&CHANGE) && self.replicas[front].config == 1 {
            self.leaders[front] = None;
            let log = decided.to_vec();
            self.send(front, 2, 0, Message::Begin { log: log.clone() });
            self.start_configuration(front, rules, log);
        }
    }

    fn start_configuration(&mut self, front: usize, rules: Rules, log: Vec<u8>) {
        let config = if self.is_member(front, 2) { 2 } else { 0 };
        self.leaders[front] = None;
        self.store(
            front,
            rules,
            ReplicaState {
                config,
                promise: 0,
                accepted: 0,
                log,
            },
        );
    }

    fn receive(&mut self, to: usize, packet: Packet, rules: Rules) -> Option<()> {
        let Packet {
            from,
            disk,
            config,
            ballot,
            message,
        } = packet;
        // A member is a front with its disk, and all fronts had disk 0 when they became members.
        if !self.is_member(to, config) || disk != 0 || self.disks[to] != 0 {
            return None;
        }
        if self.replicas[to].config < config {
            match &message {
                Message::Begin { log } if rules.catch_up => {
                    self.start_configuration(to, rules, log.clone())
                }
                _ if rules.catch_up => return None,
                _ => {
                    let log = self.replicas[to].log.clone();
                    self.start_configuration(to, rules, log);
                }
            }
        }
        let mut replica = self.replicas[to].clone();
        if replica.config != config {
            return None;
        }
        match message {
            Message::Prepare if ballot > replica.promise => {
                replica.promise = ballot;
                let (accepted, log) = (replica.accepted, replica.log.clone());
                self.store(to, rules, replica);
                self.leaders[to] = self.leaders[to]
                    .take()
                    .filter(|leader| leader.ballot >= ballot);
                self.send(to, config, ballot, Message::Promise { accepted, log });
            }
            Message::Promise { accepted, log } => {
                let leader = self.leaders[to]
                    .as_mut()
                    .filter(|l| l.ballot == ballot && l.log.is_none())?;
                leader.promises.insert(from, (accepted, log));
                if leader.promises.len() >= 2 {
                    let best = leader
                        .promises
                        .values()
                        .max_by_key(|(accepted, log)| (*accepted, log.len()));
                    leader.log = best.map(|(_, log)| log.clone());
                }
            }
            Message::Accept { log } if ballot >= replica.promise || !rules.ballot_check => {
                // Under the same ballot a shorter log is older.
                if ballot == replica.accepted && log.len() <= replica.log.len() {
                    return None;
                }
                let length = log.len();
                (replica.promise, replica.accepted, replica.log) =
                    (replica.promise.max(ballot), ballot, log);
                self.store(to, rules, replica);
                self.send(to, config, ballot, Message::Accepted { length });
            }
            Message::Accepted { length } => {
                let leader = self.leaders[to]
                    .as_mut()
                    .filter(|leader| leader.ballot == ballot)?;
                let max_length = leader.accepted.entry(from).or_default();
                *max_length = length.max(*max_length);
                self.decide(to, rules);
            }
            _ => {}
        }
        Some(())
    }
}

impl Model for Rules {
    type State = State;
    type Action = Step;

    /// Front 0 leads the shard, and all members have promised its ballot.
    fn init_states(&self) -> Vec<State> {
        let replica = |config| ReplicaState {
            config,
            promise: u8::from(config > 0),
            accepted: 0,
            log: Vec::new(),
        };
        let replicas: Vec<ReplicaState> = [1, 1, 1, 0].map(replica).to_vec();
        let none = || (0, Vec::new());
        let promises = BTreeMap::from([(0, none()), (1, none())]);
        let leader = LeaderState {
            ballot: 1,
            promises,
            log: Some(Vec::new()),
            accepted: BTreeMap::new(),
        };
        vec![State {
            durable: replicas.clone(),
            replicas,
            disks: [0; FRONTS],
            leaders: vec![Some(leader), None, None, None],
            in_transit: BTreeSet::new(),
            campaigns: 0,
            values: 0,
            has_killed: false,
            has_lost_disk: false,
            acknowledged: Vec::new(),
            violated: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for n in 0..FRONTS {
            if state.campaigns < self.campaigns
                && state.replicas[n].config > 0
                && state.leaders[n].is_none()
            {
                steps.push(Step::Campaign(n));
            }
            let log = state.leaders[n]
                .as_ref()
                .and_then(|leader| leader.log.as_ref());
            if log.is_some_and(|log| log.last() != Some(&CHANGE)) {
                if state.values < MAX_VALUES {
                    steps.push(Step::Propose(n, state.values + 1));
                }
                if self.changes && state.replicas[n].config == 1 {
                    steps.push(Step::Propose(n, CHANGE));
                }
            }
            if state.replicas[n] != state.durable[n] {
                steps.push(Step::Save(n));
            }
            if self.kills && !state.has_killed {
                steps.push(Step::Kill(n));
            }
            if self.losses && !state.has_lost_disk {
                steps.push(Step::LoseDisk(n));
            }
        }
        let packets = state
            .in_transit
            .iter()
            .flat_map(|packet| (0..FRONTS).map(move |to| (to, packet)));
        let others = packets.filter(|(to, packet)| *to != packet.from);
        steps.extend(others.map(|(to, packet)| Step::Receive(to, packet.clone())));
    }

    fn next_state(&self, previous_state: &State, step: Step) -> Option<State> {
        let mut state = previous_state.clone();
        match step {
            Step::Campaign(n) => {
                state.campaigns += 1;
                let mut replica = state.replicas[n].clone();
                let (config, ballot) = (replica.config, (replica.promise / 4 + 1) * 4 + n as u8);
                let promises = BTreeMap::from([(n, (replica.accepted, replica.log.clone()))]);
                replica.promise = ballot;
                state.store(n, *self, replica);
                state.leaders[n] = Some(LeaderState {
                    ballot,
                    promises,
                    log: None,
                    accepted: BTreeMap::new(),
                });
                state.send(n, config, ballot, Message::Prepare);
            }
            Step::Propose(n, value) => {
                state.values += u8::from(value != CHANGE);
                let leader = state.leaders[n].as_mut()?;
                let ballot = leader.ballot;
                let log = leader.log.as_mut()?;
                log.push(value);
                let log = log.clone();
                leader.accepted.insert(n, log.len());
                let replica = ReplicaState {
                    accepted: ballot,
                    log: log.clone(),
                    ..state.replicas[n].clone()
                };
                let config = replica.config;
                state.store(n, *self, replica);
                state.send(n, config, ballot, Message::Accept { log });
            }
            Step::Save(n) => state.durable[n] = state.replicas[n].clone(),
            Step::Kill(n) => {
                state.has_killed = true;
                state.replicas[n] = state.durable[n].clone();
                state.leaders[n] = None;
            }
            Step::LoseDisk(n) => {
                state.has_lost_disk = true;
                // Under its old identity the disk would be the same member, without its state.
                let config = if self.disk_identity {
                    0
                } else {
                    state.replicas[n].config
                };
                state.disks[n] += u8::from(self.disk_identity);
                state.replicas[n] = ReplicaState {
                    config,
                    promise: 0,
                    accepted: 0,
                    log: Vec::new(),
                };
                state.durable[n] = state.replicas[n].clone();
                state.leaders[n] = None;
            }
            Step::Receive(to, packet) => state.receive(to, packet, *self)?,
        }
        (state != *previous_state).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "acknowledged entries are kept",
            |_, state: &State| !state.violated,
        )]
    }
}

fn check(rules: Rules, depth: usize) -> (bool, usize) {
    let checker = rules
        .checker()
        .threads(4)
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::Any);
    let checker = checker.spawn_bfs().join();
    (
        checker.discovery("acknowledged entries are kept").is_some(),
        checker.unique_state_count(),
    )
}

/// Each rule with the fault that requires it, and the same fault without the rule.
fn rules_and_faults() -> [(&'static str, Rules, Rules); 4] {
    let (losses, changes) = (
        Rules {
            losses: true,
            ..SINGLE_FAULT
        },
        Rules {
            changes: true,
            ..SINGLE_FAULT
        },
    );
    let kills = Rules {
        kills: true,
        ..SINGLE_FAULT
    };
    [
        (
            "the disk identity",
            losses,
            Rules {
                disk_identity: false,
                ..losses
            },
        ),
        (
            "the ballot check",
            SINGLE_FAULT,
            Rules {
                ballot_check: false,
                ..SINGLE_FAULT
            },
        ),
        (
            "catching up before voting",
            changes,
            Rules {
                catch_up: false,
                ..changes
            },
        ),
        (
            "saving before answering",
            kills,
            Rules {
                save_first: false,
                ..kills
            },
        ),
    ]
}

#[test]
fn no_acknowledged_entry_is_lost_up_to_the_checked_depth() {
    let (violated, states) = check(ALL_FAULTS, DEPTH);
    println!("all faults at once: {states} states to depth {DEPTH}");
    assert!(!violated && states > 10_000, "{states}");
    for (rule, with, _) in rules_and_faults() {
        let (violated, states) = check(with, SINGLE_FAULT_DEPTH);
        println!("with {rule}: {states} states to depth {SINGLE_FAULT_DEPTH}");
        assert!(!violated && states > 1_000, "{rule}: {states}");
    }
}

#[test]
fn without_any_one_rule_an_acknowledged_entry_is_lost() {
    for (rule, _, without) in rules_and_faults() {
        let (violated, states) = check(without, SINGLE_FAULT_DEPTH);
        println!("without {rule}: violated {violated} after {states} states");
        assert!(violated, "without {rule}");
    }
}
