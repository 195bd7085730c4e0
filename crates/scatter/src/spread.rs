//! Summaries between fronts: each round tells two others some names and versions in turn; whoever lacks a version asks for
//! it piece by piece. What leaves a second is bounded, whatever the number of fronts and sites.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::book::Book;
use crate::summary::{Refused, MOST_BYTES};
use crate::Micros;

/// Another front, by the first bytes of its public key.
pub type FrontId = u64;

const ROUND: Micros = 1_000_000; // microseconds between rounds
const TOLD: usize = 2; // fronts that a round is told to
const WINDOW: usize = 32; // names and versions of a round: some 600 bytes
const PIECE: usize = 800; // bytes: with what seals it, it fits a datagram
const BYTES_A_SECOND: f64 = 12_000.0; // of letters, answers included: a whole summary in some six seconds
const MOST_PARTS: usize = 8; // summaries that come in at once
const PATIENCE: Micros = 1_500_000; // microseconds for a piece, then another front may be asked
const MOST_REFUSED: usize = 256; // words of others that were refused and are not asked for again

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Letter {
    Have(Vec<(u64, u64)>),
    Want { name: u64, version: u64, piece: u16 },
    Piece { name: u64, version: u64, piece: u16, pieces: u16, bytes: Vec<u8> },
}

struct Coming {
    version: u64,
    from: FrontId,
    bytes: Vec<u8>,
    next: u16,
    asked: Micros,
}

pub struct Spread {
    due: Micros,
    /// Where the next window begins.
    after: u64,
    turn: usize,
    left: f64,
    filled: Micros,
    coming: BTreeMap<u64, Coming>,
    /// Refused words: name, version, whose.
    refused: BTreeSet<(u64, u64, FrontId)>,
}

/// What is to leave, and what became of whole summaries that came.
#[derive(Default)]
pub struct Out {
    pub letters: Vec<(FrontId, Vec<u8>)>,
    pub taken: Vec<Result<bool, Refused>>,
}

impl Spread {
    /// `turn` is where among the others it begins; fronts should differ.
    pub fn new(turn: usize) -> Spread {
        Spread {
            due: 0,
            after: 0,
            turn,
            left: BYTES_A_SECOND,
            filled: 0,
            coming: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    pub fn due(&self) -> Micros {
        self.due
    }

    /// Tells some of what is held to some others, where it is time.
    pub fn tick(&mut self, now: Micros, others: &[FrontId], book: &Book) -> Out {
        let mut out = Out::default();
        if now < self.due {
            return out;
        }
        self.due = now + ROUND;
        self.coming.retain(|_, coming| now - coming.asked < PATIENCE);
        let mut all: Vec<(u64, u64)> = book.versions().collect();
        if all.is_empty() || others.is_empty() {
            return out;
        }
        all.sort_unstable();
        let first = all.partition_point(|(name, _)| *name <= self.after);
        all.rotate_left(first);
        all.truncate(WINDOW);
        self.after = all.last().map_or(0, |(name, _)| *name);
        for _ in 0..TOLD.min(others.len()) {
            self.turn = self.turn.wrapping_add(1);
            let to = others.get(self.turn % others.len()).copied().unwrap_or_default();
            self.say(now, to, &Letter::Have(all.clone()), &mut out);
        }
        out
    }

    /// A letter has come. One that can't be read counts for nothing.
    pub fn heard(&mut self, now: Micros, wall_ms: u64, from: FrontId, bytes: &[u8], book: &mut Book) -> Out {
        let mut out = Out::default();
        match postcard::take_from_bytes(bytes) {
            Ok((Letter::Have(all), [])) => self.compare(now, from, &all, book, &mut out),
            Ok((Letter::Want { name, version, piece }, [])) => {
                self.give(now, from, (name, version, piece), book, &mut out);
            }
            Ok((Letter::Piece { name, version, piece, pieces, bytes }, [])) => {
                let whole = self.piece(now, from, (name, version), (piece, pieces), &bytes, &mut out);
                if let Some(whole) = whole {
                    let taken = book.take(wall_ms, &whole);
                    if taken.is_err() && self.refused.len() < MOST_REFUSED {
                        self.refused.insert((name, version, from));
                    }
                    out.taken.push(taken);
                }
            }
            _ => out.taken.push(Err(Refused::Form)),
        }
        out
    }

    fn compare(&mut self, now: Micros, from: FrontId, all: &[(u64, u64)], book: &Book, out: &mut Out) {
        let known: BTreeMap<u64, u64> = book.versions().collect();
        let mut newer = Vec::new();
        for &(name, version) in all.iter().take(WINDOW) {
            let held = known.get(&name).copied().unwrap_or(0);
            if held > version {
                newer.push((name, held));
            }
            let waits =
                self.coming.get(&name).is_some_and(|c| now - c.asked < PATIENCE && c.version >= version);
            let room = self.coming.len() < MOST_PARTS || self.coming.contains_key(&name);
            if version > held && !waits && room && !self.refused.contains(&(name, version, from)) {
                self.coming.insert(name, Coming { version, from, bytes: Vec::new(), next: 0, asked: now });
                self.say(now, from, &Letter::Want { name, version, piece: 0 }, out);
            }
        }
        if !newer.is_empty() {
            self.say(now, from, &Letter::Have(newer), out);
        }
    }

    fn give(&mut self, now: Micros, to: FrontId, wanted: (u64, u64, u16), book: &Book, out: &mut Out) {
        let (name, version, piece) = wanted;
        let Some((_, bytes)) = book.bytes(name).filter(|(held, _)| *held == version) else { return };
        let Some(part) = bytes.chunks(PIECE).nth(usize::from(piece)) else { return };
        let pieces = bytes.len().div_ceil(PIECE) as u16;
        let letter = Letter::Piece { name, version, piece, pieces, bytes: part.to_vec() };
        self.say(now, to, &letter, out);
    }

    /// Puts a piece behind those that have come; the whole, with the last one.
    fn piece(
        &mut self,
        now: Micros,
        from: FrontId,
        (name, version): (u64, u64),
        (piece, pieces): (u16, u16),
        bytes: &[u8],
        out: &mut Out,
    ) -> Option<Vec<u8>> {
        let coming = self.coming.get_mut(&name)?;
        let expected = (coming.version, coming.from, coming.next) == (version, from, piece);
        if !expected || piece >= pieces || coming.bytes.len() + bytes.len() > MOST_BYTES {
            return None;
        }
        coming.bytes.extend_from_slice(bytes);
        coming.next += 1;
        coming.asked = now;
        if coming.next == pieces {
            return self.coming.remove(&name).map(|coming| coming.bytes);
        }
        let next = coming.next;
        self.say(now, from, &Letter::Want { name, version, piece: next }, out);
        None
    }

    fn say(&mut self, now: Micros, to: FrontId, letter: &Letter, out: &mut Out) {
        let Ok(bytes) = postcard::to_stdvec(letter) else { return };
        let fills = (now - self.filled).max(0) as f64 / 1e6 * BYTES_A_SECOND;
        self.left = (self.left + fills).min(BYTES_A_SECOND);
        self.filled = now;
        // What is over the bound is lost, as any datagram may be: it is asked for again.
        if self.left >= bytes.len() as f64 {
            self.left -= bytes.len() as f64;
            out.letters.push((to, bytes));
        }
    }
}
