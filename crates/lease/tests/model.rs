//! A model, checked exhaustively up to `MAX_DEPTH`, of two owners, an authority that grants leases,
//! and a receiver of their acts. It uses the production code of holders, leases and the fence.
//! Every message sent may arrive at any later time, any number of times, or never, which covers
//! loss, duplication and reordering. Fronts pause at any point (they do nothing while time passes,
//! and their messages arrive late), one restarts, and each clock may lose a tick within the
//! configured drift. The authority in this model never fails; `voters.rs` simulates several voters
//! with a replicated log.

use std::collections::BTreeSet;

use hallmux_lease::fence::Fence;
use hallmux_lease::holder::{Holder, Intent};
use hallmux_lease::leases::{Change, Leases};
use hallmux_lease::{FrontId, LeaseTerms, Micros, Reply, Request, Task, Token, TokenOwner};
use stateright::{Checker, HasDiscoveries, Model, Property};

const TICK: Micros = 1_000_000; // microseconds by which a clock advances in one action
const TERMS: LeaseTerms = LeaseTerms {
    length: 2 * TICK,
    drift_ppm: 250_000,
};
const MAX_TICKS: Micros = 6;
const MAX_REQUESTS: u64 = 2; // per owner and incarnation
const MAX_DEPTH: usize = 14; // actions

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    Request(usize, Token, u64),
    Grant(usize, Token, u64),
    /// An owner's act under its token.
    Act(usize, Token),
    /// The receiver learns that a majority of the voters reports this owner.
    MajorityReport(Token, FrontId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    clocks: [Micros; 2],
    /// Whether each clock has lost a tick; one of the six modelled ticks is within the configured
    /// drift.
    has_lost_tick: [bool; 2],
    holders: [Holder; 2],
    restarted: bool,
    leases: Leases,
    confirmed: Micros,
    /// All messages ever sent.
    messages: BTreeSet<InFlight>,
    fence: Fence,
    /// The highest token under which an act was accepted.
    highest: Token,
    /// Whether an act was accepted under a token lower than `highest`.
    has_violation: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Time advances by a tick; the clock of the given front does not.
    Tick(Option<usize>),
    Request(usize),
    Act(usize),
    Restart,
    Deliver(InFlight),
}

struct Fleet {
    checks_tokens: bool,
}

fn id(n: usize) -> FrontId {
    n as FrontId + 1
}

fn holder(n: usize, incarnation: u64) -> Holder {
    Holder::new(
        Task::Zones,
        TERMS,
        vec![9],
        (incarnation * 2 + n as u64) * 100,
    )
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            clocks: [0; 2],
            has_lost_tick: [false; 2],
            holders: [holder(0, 0), holder(1, 0)],
            restarted: false,
            leases: Leases::default(),
            confirmed: -10 * TICK,
            messages: BTreeSet::new(),
            fence: Fence::default(),
            highest: 0,
            has_violation: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < MAX_TICKS {
            actions.push(Action::Tick(None));
            actions.extend(
                (0..2)
                    .filter(|n| !state.has_lost_tick[*n])
                    .map(|n| Action::Tick(Some(n))),
            );
        }
        for n in 0..2 {
            actions.extend([Action::Request(n), Action::Act(n)]);
        }
        if !state.restarted {
            actions.push(Action::Restart);
        }
        actions.extend(state.messages.iter().cloned().map(Action::Deliver));
    }

    fn next_state(&self, previous: &State, action: Action) -> Option<State> {
        let mut state = previous.clone();
        match action {
            Action::Tick(delayed_clock) => {
                state.now += 1;
                for n in 0..2 {
                    match delayed_clock == Some(n) {
                        true => state.has_lost_tick[n] = true,
                        false => state.clocks[n] += 1,
                    }
                }
            }
            Action::Request(n) => {
                let request = state.holders[n]
                    .next_request(state.clocks[n] * TICK, Intent::Acquire, &[])?
                    .request;
                if request.number % 100 >= MAX_REQUESTS {
                    return None;
                }
                state.messages.insert(InFlight::Request(
                    n,
                    request.token.unwrap_or(0),
                    request.number,
                ));
            }
            Action::Act(n) => {
                let token = state.holders[n].token(state.clocks[n] * TICK)?;
                state.messages.insert(InFlight::Act(n, token));
            }
            Action::Restart => {
                state.restarted = true;
                state.holders[0] = holder(0, 1);
            }
            Action::Deliver(message) => deliver(&mut state, message, self.checks_tokens),
        }
        (state != *previous).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no act is accepted under a lower token after a higher one",
                |_, state: &State| !state.has_violation,
            ),
            Property::always(
                "at most one front may act at any time",
                |_, state: &State| {
                    (0..2)
                        .filter(|n| state.holders[*n].token(state.clocks[*n] * TICK).is_some())
                        .count()
                        <= 1
                },
            ),
            Property::sometimes("a second owner acts", |_, state: &State| state.highest >= 2),
        ]
    }
}

fn deliver(state: &mut State, message: InFlight, checks_tokens: bool) {
    match message {
        InFlight::Request(n, token, number) => {
            let lease = state.leases.get(Task::Zones).cloned().unwrap_or_default();
            let request = Request {
                task: Task::Zones,
                number,
                token: (token > 0).then_some(token),
                progress: Vec::new(),
            };
            let change = match request.token {
                Some(token) if lease.token == token && lease.owner == id(n) => {
                    Some(Change::Renew {
                        task: Task::Zones,
                        token,
                        number,
                        progress: Vec::new(),
                    })
                }
                Some(_) => None,
                // As in `Voter::is_free`: no new grant until the last owner's lease has certainly
                // expired.
                None if state.now * TICK >= state.confirmed + TERMS.blocked_for() => {
                    Some(Change::Grant {
                        task: Task::Zones,
                        previous_token: lease.token,
                        owner: id(n),
                        number,
                    })
                }
                None => None,
            };
            // A denied request gets no reply: the requester must tolerate a lost reply in any case.
            if change.is_some_and(|change| state.leases.apply(&change)) {
                state.confirmed = state.now * TICK;
                let token = state.leases.get(Task::Zones).map_or(0, |lease| lease.token);
                state.messages.insert(InFlight::Grant(n, token, number));
                state
                    .messages
                    .insert(InFlight::MajorityReport(token, id(n)));
            }
        }
        InFlight::Grant(n, token, number) => {
            state.holders[n].receive(&Reply::Granted {
                number,
                token,
                progress: Vec::new(),
            });
            state.holders[n].take_inherited_progress();
        }
        InFlight::MajorityReport(token, owner) => state
            .fence
            .observe(Task::Zones, TokenOwner { token, owner }),
        InFlight::Act(n, token) => {
            if !checks_tokens
                || state
                    .fence
                    .admit(
                        Task::Zones,
                        TokenOwner {
                            token,
                            owner: id(n),
                        },
                    )
                    .is_ok()
            {
                state.has_violation |= token < state.highest;
                state.highest = state.highest.max(token);
            }
        }
    }
}

#[test]
fn no_act_of_a_former_owner_is_accepted_up_to_max_depth() {
    let checked = Fleet {
        checks_tokens: true,
    }
    .checker()
    .threads(1)
    .target_max_depth(MAX_DEPTH)
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
fn without_the_token_check_a_violation_is_found() {
    let model = Fleet {
        checks_tokens: false,
    }
    .checker()
    .finish_when(HasDiscoveries::AnyFailures);
    // One action deeper than the correct model is checked, for the late act itself.
    let checked = model.target_max_depth(MAX_DEPTH + 1).spawn_bfs().join();
    checked.assert_any_discovery("no act is accepted under a lower token after a higher one");
}
