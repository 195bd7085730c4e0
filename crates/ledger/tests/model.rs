//! A model of a shard: owners with ballots, copies, a disk that is lost, a change of members, checked exhaustively to a
//! stated depth. Every message that was ever sent may arrive at any later time, any number of times, or never. The
//! model tells the rules of `crates/ledger` and of its log's library anew, in small; the code itself is played in
//! `random_faults.rs`. A copy takes a message in, makes that lasting and answers in one step: what is not lasting is never seen.

use std::collections::{BTreeMap, BTreeSet};

use stateright::{Checker, HasDiscoveries, Model, Property};

const FRONTS: usize = 4; // three copies, and one that takes the place of front 2
const CHANGE: u8 = 9; // the entry that says so; nothing follows it in its log
const MOST_VALUES: u8 = 2;
const DEPTH: usize = 9; // steps, with all faults at once
const DEPTH_OF_ONE: usize = 14; // with one kind of fault beside lost, doubled and late messages

/// What a front keeps.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Kept {
    /// Of the members that it is one of; 0: of none.
    config: u8,
    promise: u8,
    accepted: u8,
    log: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Word {
    Prepare,
    Promise { accepted: u8, log: Vec<u8> },
    Accept { log: Vec<u8> },
    Accepted { length: usize },
    Begin { log: Vec<u8> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Packet {
    from: usize,
    /// The disk of the front that sent it; an answer goes to whoever has its ballot.
    disk: u8,
    config: u8,
    ballot: u8,
    word: Word,
}

/// An owner, or one that would be.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leads {
    ballot: u8,
    promises: BTreeMap<usize, (u8, Vec<u8>)>,
    log: Option<Vec<u8>>,
    accepted: BTreeMap<usize, usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    kept: Vec<Kept>,
    /// What is on the disks; only where answers go before it is there does it differ.
    lasting: Vec<Kept>,
    disks: [u8; FRONTS],
    leads: Vec<Option<Leads>>,
    way: BTreeSet<Packet>,
    campaigns: usize,
    values: u8,
    killed: bool,
    lost: bool,
    /// What was acknowledged.
    acked: Vec<u8>,
    broken: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Campaign(usize),
    Propose(usize, u8),
    Save(usize),
    Kill(usize),
    LoseDisk(usize),
    Arrives(usize, Packet),
}

/// The rules, each of which can be taken out.
#[derive(Clone, Copy)]
struct Rules {
    disk_identity: bool,
    token_check: bool,
    catch_up: bool,
    write_first: bool,
    /// What is played beside lost, doubled and late messages, and how many fronts would be owners.
    kills: bool,
    losses: bool,
    changes: bool,
    campaigns: usize,
}

const ALL: Rules = Rules {
    disk_identity: true,
    token_check: true,
    catch_up: true,
    write_first: true,
    kills: true,
    losses: true,
    changes: true,
    campaigns: 2,
};

/// One fault at a time, to a greater depth.
const ONE: Rules = Rules {
    kills: false,
    losses: false,
    changes: false,
    campaigns: 1,
    ..ALL
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

    fn say(&mut self, from: usize, config: u8, ballot: u8, word: Word) {
        self.way.insert(Packet {
            from,
            disk: self.disks[from],
            config,
            ballot,
            word,
        });
    }

    fn keep(&mut self, front: usize, rules: Rules, kept: Kept) {
        if rules.write_first {
            self.lasting[front].clone_from(&kept);
        }
        self.kept[front] = kept;
    }

    /// A majority has accepted so much under this ballot.
    fn decide(&mut self, front: usize, rules: Rules) {
        let Some(leads) = &self.leads[front] else {
            return;
        };
        let Some(log) = leads.log.clone() else { return };
        let has = |length: &usize| leads.accepted.values().filter(|n| *n >= length).count() >= 2;
        let Some(length) = (1..=log.len()).rev().find(has) else {
            return;
        };
        let decided = &log[..length];
        let common = decided.len().min(self.acked.len());
        self.broken |= decided[..common] != self.acked[..common];
        if length > self.acked.len() {
            self.acked = decided.to_vec();
        }
        if decided.last() == Some(&CHANGE) && self.kept[front].config == 1 {
            self.leads[front] = None;
            let log = decided.to_vec();
            self.say(front, 2, 0, Word::Begin { log: log.clone() });
            self.begins(front, rules, log);
        }
    }

    fn begins(&mut self, front: usize, rules: Rules, log: Vec<u8>) {
        let config = if self.is_member(front, 2) { 2 } else { 0 };
        self.leads[front] = None;
        self.keep(
            front,
            rules,
            Kept {
                config,
                promise: 0,
                accepted: 0,
                log,
            },
        );
    }

    fn arrives(&mut self, to: usize, packet: Packet, rules: Rules) -> Option<()> {
        let Packet {
            from,
            disk,
            config,
            ballot,
            word,
        } = packet;
        // A member is a front with its disk: all had the first as they became one.
        if !self.is_member(to, config) || disk != 0 || self.disks[to] != 0 {
            return None;
        }
        if self.kept[to].config < config {
            match &word {
                Word::Begin { log } if rules.catch_up => self.begins(to, rules, log.clone()),
                _ if rules.catch_up => return None,
                _ => {
                    let log = self.kept[to].log.clone();
                    self.begins(to, rules, log);
                }
            }
        }
        let mut kept = self.kept[to].clone();
        if kept.config != config {
            return None;
        }
        match word {
            Word::Prepare if ballot > kept.promise => {
                kept.promise = ballot;
                let (accepted, log) = (kept.accepted, kept.log.clone());
                self.keep(to, rules, kept);
                self.leads[to] = self.leads[to].take().filter(|leads| leads.ballot >= ballot);
                self.say(to, config, ballot, Word::Promise { accepted, log });
            }
            Word::Promise { accepted, log } => {
                let leads = self.leads[to]
                    .as_mut()
                    .filter(|l| l.ballot == ballot && l.log.is_none())?;
                leads.promises.insert(from, (accepted, log));
                if leads.promises.len() >= 2 {
                    let best = leads
                        .promises
                        .values()
                        .max_by_key(|(accepted, log)| (*accepted, log.len()));
                    leads.log = best.map(|(_, log)| log.clone());
                }
            }
            Word::Accept { log } if ballot >= kept.promise || !rules.token_check => {
                // Under the same ballot a shorter log was overtaken.
                if ballot == kept.accepted && log.len() <= kept.log.len() {
                    return None;
                }
                let length = log.len();
                (kept.promise, kept.accepted, kept.log) = (kept.promise.max(ballot), ballot, log);
                self.keep(to, rules, kept);
                self.say(to, config, ballot, Word::Accepted { length });
            }
            Word::Accepted { length } => {
                let leads = self.leads[to]
                    .as_mut()
                    .filter(|leads| leads.ballot == ballot)?;
                let most = leads.accepted.entry(from).or_default();
                *most = length.max(*most);
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

    /// Front 0 owns the shard, and all have promised it so.
    fn init_states(&self) -> Vec<State> {
        let kept = |config| Kept {
            config,
            promise: u8::from(config > 0),
            accepted: 0,
            log: Vec::new(),
        };
        let kept: Vec<Kept> = [1, 1, 1, 0].map(kept).to_vec();
        let none = || (0, Vec::new());
        let promises = BTreeMap::from([(0, none()), (1, none())]);
        let owner = Leads {
            ballot: 1,
            promises,
            log: Some(Vec::new()),
            accepted: BTreeMap::new(),
        };
        vec![State {
            lasting: kept.clone(),
            kept,
            disks: [0; FRONTS],
            leads: vec![Some(owner), None, None, None],
            way: BTreeSet::new(),
            campaigns: 0,
            values: 0,
            killed: false,
            lost: false,
            acked: Vec::new(),
            broken: false,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        for n in 0..FRONTS {
            if s.campaigns < self.campaigns && s.kept[n].config > 0 && s.leads[n].is_none() {
                steps.push(Step::Campaign(n));
            }
            let log = s.leads[n].as_ref().and_then(|leads| leads.log.as_ref());
            if log.is_some_and(|log| log.last() != Some(&CHANGE)) {
                if s.values < MOST_VALUES {
                    steps.push(Step::Propose(n, s.values + 1));
                }
                if self.changes && s.kept[n].config == 1 {
                    steps.push(Step::Propose(n, CHANGE));
                }
            }
            if s.kept[n] != s.lasting[n] {
                steps.push(Step::Save(n));
            }
            if self.kills && !s.killed {
                steps.push(Step::Kill(n));
            }
            if self.losses && !s.lost {
                steps.push(Step::LoseDisk(n));
            }
        }
        let packets = s
            .way
            .iter()
            .flat_map(|packet| (0..FRONTS).map(move |to| (to, packet)));
        let others = packets.filter(|(to, packet)| *to != packet.from);
        steps.extend(others.map(|(to, packet)| Step::Arrives(to, packet.clone())));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Campaign(n) => {
                s.campaigns += 1;
                let mut kept = s.kept[n].clone();
                let (config, ballot) = (kept.config, (kept.promise / 4 + 1) * 4 + n as u8);
                let promises = BTreeMap::from([(n, (kept.accepted, kept.log.clone()))]);
                kept.promise = ballot;
                s.keep(n, *self, kept);
                s.leads[n] = Some(Leads {
                    ballot,
                    promises,
                    log: None,
                    accepted: BTreeMap::new(),
                });
                s.say(n, config, ballot, Word::Prepare);
            }
            Step::Propose(n, value) => {
                s.values += u8::from(value != CHANGE);
                let leads = s.leads[n].as_mut()?;
                let ballot = leads.ballot;
                let log = leads.log.as_mut()?;
                log.push(value);
                let log = log.clone();
                leads.accepted.insert(n, log.len());
                let kept = Kept {
                    accepted: ballot,
                    log: log.clone(),
                    ..s.kept[n].clone()
                };
                let config = kept.config;
                s.keep(n, *self, kept);
                s.say(n, config, ballot, Word::Accept { log });
            }
            Step::Save(n) => s.lasting[n] = s.kept[n].clone(),
            Step::Kill(n) => {
                s.killed = true;
                s.kept[n] = s.lasting[n].clone();
                s.leads[n] = None;
            }
            Step::LoseDisk(n) => {
                s.lost = true;
                // Under its old identity it would be the member that it was, with nothing in it.
                let config = if self.disk_identity {
                    0
                } else {
                    s.kept[n].config
                };
                s.disks[n] += u8::from(self.disk_identity);
                s.kept[n] = Kept {
                    config,
                    promise: 0,
                    accepted: 0,
                    log: Vec::new(),
                };
                s.lasting[n] = s.kept[n].clone();
                s.leads[n] = None;
            }
            Step::Arrives(to, packet) => s.arrives(to, packet, *self)?,
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "what was acknowledged stays",
            |_, s: &State| !s.broken,
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
        checker.discovery("what was acknowledged stays").is_some(),
        checker.unique_state_count(),
    )
}

/// Each rule, the fault that needs it, and what is played without it.
fn plays() -> [(&'static str, Rules, Rules); 4] {
    let (losses, changes) = (
        Rules {
            losses: true,
            ..ONE
        },
        Rules {
            changes: true,
            ..ONE
        },
    );
    let kills = Rules { kills: true, ..ONE };
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
            "the token check",
            ONE,
            Rules {
                token_check: false,
                ..ONE
            },
        ),
        (
            "the catch-up before a vote",
            changes,
            Rules {
                catch_up: false,
                ..changes
            },
        ),
        (
            "the write before the act",
            kills,
            Rules {
                write_first: false,
                ..kills
            },
        ),
    ]
}

#[test]
fn nothing_acknowledged_is_lost_to_the_stated_depth() {
    let (broken, states) = check(ALL, DEPTH);
    println!("all faults at once: {states} states to depth {DEPTH}");
    assert!(!broken && states > 10_000, "{states}");
    for (what, with, _) in plays() {
        let (broken, states) = check(with, DEPTH_OF_ONE);
        println!("with {what}: {states} states to depth {DEPTH_OF_ONE}");
        assert!(!broken && states > 1_000, "{what}: {states}");
    }
}

#[test]
fn each_rule_taken_out_loses_something() {
    for (what, _, without) in plays() {
        let (broken, states) = check(without, DEPTH_OF_ONE);
        println!("without {what}: broken {broken} after {states} states");
        assert!(broken, "without {what}");
    }
}
