//! What fronts tell each other of their load: of a few makers, the same on every front, the latest share of each.
//! Those with the least ids count, so that bytes do not grow with the fleet and all go by the same figures. Merging
//! is taking the later one: order, repeats and losses do no harm; what is not renewed fades.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::message::Signed;
use crate::{Micros, PeerId};

/// Microseconds after which a share is worth nothing.
pub const FADES: Micros = 5_000_000;
/// Makers whose shares count: at some four statements a second each, twelve tell a mix to a tenth.
pub const MOST_MAKERS: usize = 12;
/// Workloads of a share that count.
pub const MOST_OFFERED: usize = 24;
const MOST_SENT: u32 = 4; // times that a front passes a share on: with four each, some 98 in 100 fronts hear it

/// What a front was asked of one workload lately: sixteenths of statements, counts halving in some seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offered {
    /// By a hash of its name.
    pub workload: u32,
    pub asked: u32,
    /// Of those let in: with their final answer, and of these in time.
    pub ended: u32,
    pub timely: u32,
    /// The mean of what one takes on one thread, in microseconds.
    pub work_us: u32,
}

/// A front's own word, signed by itself and passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub maker: PeerId,
    pub life: u64,
    pub version: u32,
    pub made_ms: u64,
    pub offered: Vec<Offered>,
}

struct Held {
    life: u64,
    version: u32,
    made: Micros,
    offered: Vec<Offered>,
    signed: Signed,
    sent: u32,
}

#[derive(Default)]
pub struct Shares {
    held: BTreeMap<PeerId, Held>,
}

impl Shares {
    /// Whether a share of this maker would say more than what is held; to be asked before its signature is looked at.
    pub fn wants(&self, maker: PeerId, life: u64, version: u32) -> bool {
        match self.held.get(&maker) {
            Some(held) => (life, version) > (held.life, held.version),
            None => {
                self.held.len() < MOST_MAKERS || self.held.last_key_value().is_some_and(|(k, _)| maker < *k)
            }
        }
    }

    /// Takes a share in; false if it is no news.
    pub fn merge(&mut self, now: Micros, share: Share, signed: Signed, age: Micros) -> bool {
        let Share { maker, life, version, offered, .. } = share;
        if offered.len() > MOST_OFFERED || age >= FADES || !self.wants(maker, life, version) {
            return false;
        }
        self.held.insert(maker, Held { life, version, made: now - age, offered, signed, sent: 0 });
        if self.held.len() > MOST_MAKERS {
            self.held.pop_last();
        }
        true
    }

    /// Lets go of what has faded, so that others are heard in its place.
    pub fn fade(&mut self, now: Micros) {
        self.held.retain(|_, held| now - held.made < FADES);
    }

    /// Of each maker what counts now.
    pub fn all(&self, now: Micros) -> impl Iterator<Item = &[Offered]> {
        self.held.values().filter(move |held| now - held.made < FADES).map(|held| &held.offered[..])
    }

    /// Whose counts now.
    pub fn makers(&self, now: Micros) -> impl Iterator<Item = PeerId> + '_ {
        self.held.iter().filter(move |(_, held)| now - held.made < FADES).map(|(maker, _)| *maker)
    }

    /// Shares to be passed on within so many bytes: those passed on least, of them the latest.
    pub fn pass_on(&mut self, now: Micros, mut room: usize) -> Vec<Signed> {
        let counts = |held: &&mut Held| now - held.made < FADES && held.sent < MOST_SENT;
        let mut all: Vec<&mut Held> = self.held.values_mut().filter(counts).collect();
        all.sort_by_key(|held| (held.sent, now - held.made));
        let mut picked = Vec::new();
        for held in all {
            let len = held.signed.report.len() + held.signed.signature.len() + 4;
            if len <= room {
                room -= len;
                held.sent += 1;
                picked.push(held.signed.clone());
            }
        }
        picked
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn share(maker: PeerId, version: u32, asked: u32) -> Share {
        let offered = vec![Offered { workload: 1, asked, ..Offered::default() }];
        Share { maker, life: 1, version, made_ms: 0, offered }
    }

    fn signed() -> Signed {
        Signed { report: vec![0; 40], signature: vec![0; 64] }
    }

    fn asked(shares: &Shares, now: Micros) -> Vec<u32> {
        shares.all(now).map(|offered| offered[0].asked).collect()
    }

    #[test]
    fn the_least_makers_count_in_any_order_and_the_latest_of_each() {
        let mut all: Vec<Share> =
            (0..40).flat_map(|n| [share(n, 1, 1), share(n, 2, 100 + n as u32)]).collect();
        for turn in 0..5 {
            let mut shares = Shares::default();
            all.rotate_left(17 * turn);
            for s in all.iter().chain(all.clone().iter()) {
                shares.merge(0, s.clone(), signed(), 0);
            }
            assert_eq!(asked(&shares, 1), (100..100 + MOST_MAKERS as u32).collect::<Vec<_>>());
        }
    }

    #[test]
    fn what_is_not_renewed_fades_and_makes_room_for_others() {
        let mut shares = Shares::default();
        (0..MOST_MAKERS as u64).for_each(|n| _ = shares.merge(0, share(n, 1, 1), signed(), 0));
        assert!(!shares.merge(0, share(99, 1, 7), signed(), 0), "others have lesser ids");
        shares.fade(FADES);
        assert!(shares.merge(FADES, share(99, 1, 7), signed(), 0));
        assert_eq!(asked(&shares, FADES), [7]);
        assert!(!shares.merge(FADES, share(98, 1, 7), signed(), FADES), "older than it lasts");
    }

    #[test]
    fn bytes_and_workloads_are_bounded() {
        let mut shares = Shares::default();
        let mut long = share(1, 1, 1);
        long.offered = vec![Offered::default(); MOST_OFFERED + 1];
        assert!(!shares.merge(0, long, signed(), 0));
        (0..8).for_each(|n| _ = shares.merge(0, share(n, 1, 1), signed(), 0));
        assert_eq!(shares.pass_on(1, 230).len(), 2);
        let rest: usize = (0..99).map(|_| shares.pass_on(1, 1_000).len()).sum();
        assert_eq!(rest + 2, 8 * MOST_SENT as usize);
    }
}
