//! A model of owners, the authority that grants leases, and a receiver of their acts, on the code that runs:
//! holders, leases, the fence. Every message that was ever sent may arrive at any later time, any number of
//! times, or never: so letters are lost, doubled and reordered. Fronts pause at any point (they do nothing
//! while time goes on, and what they sent arrives late), one restarts, and their clocks lose a tick now and
//! then within the drift agreed. Checked exhaustively to a stated depth. The authority here is one that never
//! fails: that several voters with a log come to the same is what `voters.rs` plays.

use std::collections::BTreeSet;

use hallmux_lease::fence::Fence;
use hallmux_lease::holder::{Holder, Intent};
use hallmux_lease::leases::{Change, Leases};
use hallmux_lease::{FrontId, LeaseTerms, Micros, Reply, Request, Task, Token, TokenOwner};
use stateright::{Checker, HasDiscoveries, Model, Property};

const TICK: Micros = 1_000_000; // microseconds of a step of time
const TERMS: LeaseTerms = LeaseTerms {
    length: 2 * TICK,
    drift_ppm: 250_000,
};
const MOST_TICKS: Micros = 6;
const MOST_QUESTIONS: u64 = 2; // of each owner in each life
const DEPTH: usize = 14; // steps

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    Asks(usize, Token, u64),
    Grants(usize, Token, u64),
    /// An act of an owner under its token.
    Acts(usize, Token),
    /// A majority of the voters names the owner to the receiver.
    Names(Token, FrontId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    clocks: [Micros; 2],
    /// Whether each has lost a tick: one in the six that are played is within the drift agreed.
    lost_tick: [bool; 2],
    holders: [Holder; 2],
    restarted: bool,
    leases: Leases,
    confirmed: Micros,
    /// All that was ever sent.
    way: BTreeSet<InFlight>,
    fence: Fence,
    /// The highest token under which an act was accepted, and whether one under a lower followed.
    highest: Token,
    broken: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Time goes on by a tick; the clock of one front may not.
    Tick(Option<usize>),
    Ask(usize),
    Act(usize),
    Restart,
    Arrives(InFlight),
}

struct Fleet {
    checks_tokens: bool,
}

fn id(n: usize) -> FrontId {
    n as FrontId + 1
}

fn holder(n: usize, life: u64) -> Holder {
    Holder::new(Task::Zones, TERMS, vec![9], (life * 2 + n as u64) * 100)
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            clocks: [0; 2],
            lost_tick: [false; 2],
            holders: [holder(0, 0), holder(1, 0)],
            restarted: false,
            leases: Leases::default(),
            confirmed: -10 * TICK,
            way: BTreeSet::new(),
            fence: Fence::default(),
            highest: 0,
            broken: false,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.now < MOST_TICKS {
            steps.push(Step::Tick(None));
            steps.extend(
                (0..2)
                    .filter(|n| !s.lost_tick[*n])
                    .map(|n| Step::Tick(Some(n))),
            );
        }
        for n in 0..2 {
            steps.extend([Step::Ask(n), Step::Act(n)]);
        }
        if !s.restarted {
            steps.push(Step::Restart);
        }
        steps.extend(s.way.iter().cloned().map(Step::Arrives));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Tick(slow) => {
                s.now += 1;
                for n in 0..2 {
                    match slow == Some(n) {
                        true => s.lost_tick[n] = true,
                        false => s.clocks[n] += 1,
                    }
                }
            }
            Step::Ask(n) => {
                let ask = s.holders[n]
                    .next_request(s.clocks[n] * TICK, Intent::Acquire, &[])?
                    .request;
                if ask.number % 100 >= MOST_QUESTIONS {
                    return None;
                }
                s.way
                    .insert(InFlight::Asks(n, ask.token.unwrap_or(0), ask.number));
            }
            Step::Act(n) => {
                let token = s.holders[n].token(s.clocks[n] * TICK)?;
                s.way.insert(InFlight::Acts(n, token));
            }
            Step::Restart => {
                s.restarted = true;
                s.holders[0] = holder(0, 1);
            }
            Step::Arrives(message) => arrives(&mut s, message, self.checks_tokens),
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no act is accepted under a lower token after a higher one",
                |_, s: &State| !s.broken,
            ),
            Property::always("at most one front may act at any time", |_, s: &State| {
                (0..2)
                    .filter(|n| s.holders[*n].token(s.clocks[*n] * TICK).is_some())
                    .count()
                    <= 1
            }),
            Property::sometimes("a second owner acts", |_, s: &State| s.highest >= 2),
        ]
    }
}

fn arrives(s: &mut State, message: InFlight, checks_tokens: bool) {
    match message {
        InFlight::Asks(n, token, number) => {
            let lease = s.leases.get(Task::Zones).cloned().unwrap_or_default();
            let ask = Request {
                task: Task::Zones,
                number,
                token: (token > 0).then_some(token),
                progress: Vec::new(),
            };
            let change = match ask.token {
                Some(token) if lease.token == token && lease.owner == id(n) => {
                    Some(Change::Renew {
                        task: Task::Zones,
                        token,
                        number,
                        progress: Vec::new(),
                    })
                }
                Some(_) => None,
                // As `Voter::is_free`: nobody else until whoever had it last has surely stopped.
                None if s.now * TICK >= s.confirmed + TERMS.blocked_for() => Some(Change::Grant {
                    task: Task::Zones,
                    previous_token: lease.token,
                    owner: id(n),
                    number,
                }),
                None => None,
            };
            // Refused: for the asker no worse than an answer that is lost, which it must bear as well.
            if change.is_some_and(|change| s.leases.apply(&change)) {
                s.confirmed = s.now * TICK;
                let token = s.leases.get(Task::Zones).map_or(0, |lease| lease.token);
                s.way.insert(InFlight::Grants(n, token, number));
                s.way.insert(InFlight::Names(token, id(n)));
            }
        }
        InFlight::Grants(n, token, number) => {
            s.holders[n].receive(&Reply::Granted {
                number,
                token,
                progress: Vec::new(),
            });
            s.holders[n].take_inherited_progress();
        }
        InFlight::Names(token, owner) => s.fence.observe(Task::Zones, TokenOwner { token, owner }),
        InFlight::Acts(n, token) => {
            if !checks_tokens
                || s.fence
                    .admit(
                        Task::Zones,
                        TokenOwner {
                            token,
                            owner: id(n),
                        },
                    )
                    .is_ok()
            {
                s.broken |= token < s.highest;
                s.highest = s.highest.max(token);
            }
        }
    }
}

#[test]
fn no_late_owner_does_harm_to_the_depth_stated() {
    let checked = Fleet {
        checks_tokens: true,
    }
    .checker()
    .threads(1)
    .target_max_depth(DEPTH)
    .spawn_bfs()
    .join();
    checked.assert_properties();
    println!(
        "{} states to depth {}",
        checked.unique_state_count(),
        checked.max_depth()
    );
}

#[test]
fn a_build_that_drops_the_check_of_tokens_fails() {
    let model = Fleet {
        checks_tokens: false,
    }
    .checker()
    .finish_when(HasDiscoveries::AnyFailures);
    // A step more than the sound one is checked to: the late act itself.
    let checked = model.target_max_depth(DEPTH + 1).spawn_bfs().join();
    checked.assert_any_discovery("no act is accepted under a lower token after a higher one");
}
