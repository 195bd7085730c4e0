//! Summaries between fronts: each round tells two others some names and versions in turn; whoever lacks a version asks for
//! it piece by piece. A version that is new at a front is told on at once. What leaves a second is bounded,
//! whatever the number of fronts and sites.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::book::Book;
use crate::sheets::{self, Fineness};
use crate::summary::{Refused, MOST_BYTES};
use crate::Micros;

/// Another front, by the first bytes of its public key.
pub type FrontId = u64;

const ROUND: Micros = 1_000_000; // microseconds between rounds
const TOLD: usize = 2; // fronts that a round is told to
const NEWS: usize = 3; // fronts that a new version is told to, each of which tells it on
const WINDOW: usize = 32; // names and versions of a round: some 600 bytes
const PIECE: usize = 800; // bytes: with what seals it, it fits a datagram
const BYTES_A_SECOND: f64 = 12_000.0; // of letters, answers included: a whole summary in some six seconds
const MOST_PARTS: usize = 8; // summaries that come in at once
const PATIENCE: Micros = 1_500_000; // microseconds for a piece, then another front may be asked
const TOLD_FOR: Micros = 60_000_000; // microseconds for which a false word is told, each round to two
const MOST_FOUND: usize = 1_024; // sites and groups whose false words are known
const MOST_REFUSED: usize = 256; // words of others that were refused and are not asked for again

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Letter {
    Have(Vec<(u64, u64)>),
    Want {
        name: u64,
        version: u64,
        piece: u16,
    },
    Piece {
        name: u64,
        version: u64,
        piece: u16,
        pieces: u16,
        bytes: Vec<u8>,
    },
    /// The same as `Have`, with how fine it is: between fronts that hold parts of summaries.
    Holds(Vec<(u64, u64, Fineness)>),
    /// False words of sites that fronts have found lately.
    False(Vec<FalseWord>),
}

/// A site's summary of a group said that it has no row for a statement, and it had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FalseWord {
    pub site: String,
    pub group: u32,
    pub version: u64,
}

/// A piece of a summary that has come.
struct Piece {
    name: u64,
    version: u64,
    /// Which of its pieces it is, counted from 0, and how many there are.
    piece: u16,
    pieces: u16,
    bytes: Vec<u8>,
}

struct Coming {
    version: u64,
    wanted: Fineness,
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
    /// New here, to be told on.
    fresh: BTreeSet<u64>,
    /// By site and group the highest version found false, and when this front came to know of it.
    found: BTreeMap<(String, u32), (u64, Micros)>,
    /// Refused words: name, version, whose.
    refused: BTreeSet<(u64, u64, FrontId)>,
    /// Names and versions that this front can read whole at home, whatever it holds of them.
    pub home: BTreeMap<u64, u64>,
}

/// A piece that another front wants of what lies at home and is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    pub to: FrontId,
    pub name: u64,
    pub version: u64,
    piece: u16,
}

/// What is to leave, and what became of whole summaries that came.
#[derive(Default)]
pub struct Out {
    pub letters: Vec<(FrontId, Vec<u8>)>,
    pub taken: Vec<Result<bool, Refused>>,
    /// What is to be read at home and handed to `lend`.
    pub loans: Vec<Loan>,
    /// False words that others have found and this front had not heard of.
    pub found: Vec<FalseWord>,
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
            fresh: BTreeSet::new(),
            found: BTreeMap::new(),
            refused: BTreeSet::new(),
            home: BTreeMap::new(),
        }
    }

    pub fn due(&self) -> Micros {
        if self.fresh.is_empty() {
            self.due
        } else {
            0
        }
    }

    /// A version of this name is new here.
    pub fn news(&mut self, name: u64) {
        self.fresh.insert(name);
    }

    /// A site's word was found false here, or was heard to be: false where that was known already.
    pub fn finds(&mut self, now: Micros, word: &FalseWord) -> bool {
        let of = (word.site.clone(), word.group);
        let known = self.found.get(&of).is_some_and(|(version, _)| *version >= word.version);
        let room = self.found.len() < MOST_FOUND || self.found.contains_key(&of);
        if known || !room {
            return false;
        }
        self.found.insert(of, (word.version, now));
        true
    }

    /// The false words that are told in this round, those found last first.
    fn told_false(&self, now: Micros) -> Option<Letter> {
        let mut all: Vec<_> = self.found.iter().filter(|(_, (_, at))| now - at < TOLD_FOR).collect();
        all.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        let word = |((site, group), (version, _)): (&(String, u32), &(u64, Micros))| FalseWord {
            site: site.clone(),
            group: *group,
            version: *version,
        };
        let words: Vec<FalseWord> = all.into_iter().take(MOST_PARTS).map(word).collect();
        (!words.is_empty()).then_some(Letter::False(words))
    }

    /// Tells some of what is held to some others, where it is time.
    pub fn tick(&mut self, now: Micros, others: &[FrontId], book: &Book) -> Out {
        let mut out = Out::default();
        self.tell_news(now, others, book, &mut out);
        if now < self.due {
            return out;
        }
        self.due = now + ROUND;
        self.coming.retain(|_, coming| now - coming.asked < PATIENCE);
        let found = self.told_false(now);
        for _ in 0..TOLD.min(others.len()) {
            let Some(letter) = &found else { break };
            self.turn = self.turn.wrapping_add(1);
            let to = others.get(self.turn % others.len()).copied().unwrap_or_default();
            self.say(now, to, letter, &mut out);
        }
        let mut all = self.known(book);
        if all.is_empty() || others.is_empty() {
            return out;
        }
        all.sort_unstable();
        let first = all.partition_point(|(name, ..)| *name <= self.after);
        all.rotate_left(first);
        all.truncate(WINDOW);
        self.after = all.last().map_or(0, |(name, ..)| *name);
        for _ in 0..TOLD.min(others.len()) {
            self.turn = self.turn.wrapping_add(1);
            let to = others.get(self.turn % others.len()).copied().unwrap_or_default();
            self.say(now, to, &list(all.clone(), book), &mut out);
        }
        out
    }

    fn tell_news(&mut self, now: Micros, others: &[FrontId], book: &Book, out: &mut Out) {
        let fresh = std::mem::take(&mut self.fresh);
        if fresh.is_empty() || others.is_empty() {
            return;
        }
        let all: Vec<_> = self.known(book).into_iter().filter(|(name, ..)| fresh.contains(name)).collect();
        for window in all.chunks(WINDOW) {
            for _ in 0..NEWS.min(others.len()) {
                self.turn = self.turn.wrapping_add(1);
                let to = others.get(self.turn % others.len()).copied().unwrap_or_default();
                self.say(now, to, &list(window.to_vec(), book), out);
            }
        }
    }

    /// What can be had here: what is held, and what lies at home.
    fn known(&self, book: &Book) -> Vec<(u64, u64, Fineness)> {
        let mut all: BTreeMap<u64, (u64, Fineness)> =
            book.versions().map(|(name, version, fineness)| (name, (version, fineness))).collect();
        for (&name, &version) in self.home.iter().filter(|_| book.keep.is_some()) {
            let known = all.entry(name).or_insert((version, Fineness::Full));
            *known = (*known).max((version, Fineness::Full));
        }
        all.into_iter().map(|(name, (version, fineness))| (name, version, fineness)).collect()
    }

    /// A letter has come. One that can't be read counts for nothing.
    pub fn heard(&mut self, now: Micros, wall_ms: u64, from: FrontId, bytes: &[u8], book: &mut Book) -> Out {
        let mut out = Out::default();
        match postcard::take_from_bytes(bytes) {
            Ok((Letter::Have(all), [])) => {
                let all: Vec<_> = all.into_iter().map(|(n, v)| (n, v, Fineness::Full)).collect();
                self.compare(now, from, &all, book, &mut out);
            }
            Ok((Letter::Holds(all), [])) => self.compare(now, from, &all, book, &mut out),
            Ok((Letter::Want { name, version, piece }, [])) => {
                self.give(now, from, (name, version, piece), book, &mut out);
            }
            Ok((Letter::Piece { name, version, piece, pieces, bytes }, [])) => {
                let piece = Piece { name, version, piece, pieces, bytes };
                let whole = self.piece(now, from, &piece, &mut out);
                if let Some(whole) = whole {
                    let taken = book.take(wall_ms, &whole);
                    if taken == Ok(true) {
                        self.fresh.insert(name);
                    }
                    if taken.is_err() && self.refused.len() < MOST_REFUSED {
                        self.refused.insert((name, version, from));
                    }
                    out.taken.push(taken);
                }
            }
            Ok((Letter::False(words), [])) => {
                let known = |word: &FalseWord| book.knows(&word.site);
                let words = words.into_iter().take(MOST_PARTS).filter(known);
                out.found = words.filter(|word| self.finds(now, word)).collect();
            }
            _ => out.taken.push(Err(Refused::Form)),
        }
        out
    }

    fn compare(
        &mut self,
        now: Micros,
        from: FrontId,
        all: &[(u64, u64, Fineness)],
        book: &Book,
        out: &mut Out,
    ) {
        let known: BTreeMap<u64, (u64, Fineness)> = self
            .known(book)
            .into_iter()
            .map(|(name, version, fineness)| (name, (version, fineness)))
            .collect();
        let held: BTreeMap<u64, (u64, Fineness)> =
            book.versions().map(|(name, version, fineness)| (name, (version, fineness))).collect();
        let mut newer = Vec::new();
        for &(name, version, finest) in all.iter().take(WINDOW) {
            let here = known.get(&name).copied();
            newer.extend(here.filter(|(held, _)| *held > version).map(|(v, f)| (name, v, f)));
            let Some(wanted) = book.wants(name).map(|wanted| wanted.min(finest)) else { continue };
            let lacks = held.get(&name).is_none_or(|held| *held < (version, wanted));
            let waits =
                self.coming.get(&name).is_some_and(|c| now - c.asked < PATIENCE && c.version >= version);
            let room = self.coming.len() < MOST_PARTS || self.coming.contains_key(&name);
            if lacks && version > 0 && !waits && room && !self.refused.contains(&(name, version, from)) {
                // What is held of it already need not come again.
                let bytes = book.bytes(name).filter(|(held, _)| *held == version);
                let mut bytes = bytes.map_or(Vec::new(), |(_, bytes)| bytes.to_vec());
                bytes.truncate(bytes.len() / PIECE * PIECE);
                let next = (bytes.len() / PIECE) as u16;
                self.coming.insert(name, Coming { version, wanted, from, bytes, next, asked: now });
                self.say(now, from, &Letter::Want { name, version, piece: next }, out);
            }
        }
        if !newer.is_empty() {
            self.say(now, from, &list(newer, book), out);
        }
    }

    fn give(&mut self, now: Micros, to: FrontId, wanted: (u64, u64, u16), book: &Book, out: &mut Out) {
        let (name, version, piece) = wanted;
        let held = book.bytes(name).filter(|(held, _)| *held == version);
        let loan = Loan { to, name, version, piece };
        match held {
            // Where there is more at home, a piece that is not whole comes from there.
            Some((_, bytes)) if (usize::from(piece) + 1) * PIECE <= bytes.len() => {
                self.lend(now, loan, &bytes, out);
            }
            _ if book.keep.is_some() && self.home.get(&name) == Some(&version) => out.loans.push(loan),
            Some((_, bytes)) => self.lend(now, loan, &bytes, out),
            None => {}
        }
    }

    /// Gives a piece of what was read at home.
    pub fn lend(&mut self, now: Micros, loan: Loan, bytes: &[u8], out: &mut Out) {
        let Loan { to, name, version, piece } = loan;
        let Some(part) = bytes.chunks(PIECE).nth(usize::from(piece)) else { return };
        let pieces = bytes.len().div_ceil(PIECE) as u16;
        let letter = Letter::Piece { name, version, piece, pieces, bytes: part.to_vec() };
        self.say(now, to, &letter, out);
    }

    /// Puts a piece behind those that have come; the whole, with the last one.
    fn piece(&mut self, now: Micros, from: FrontId, piece: &Piece, out: &mut Out) -> Option<Vec<u8>> {
        let Piece { name, version, piece, pieces, ref bytes } = *piece;
        let coming = self.coming.get_mut(&name)?;
        let expected = (coming.version, coming.from, coming.next) == (version, from, piece);
        if !expected || piece >= pieces || coming.bytes.len() + bytes.len() > MOST_BYTES {
            return None;
        }
        coming.bytes.extend_from_slice(bytes);
        coming.next += 1;
        coming.asked = now;
        let ends = sheets::ends(&coming.bytes);
        let end = ends.and_then(|ends| ends.get(coming.wanted as usize).copied());
        if let Some(end) = end.filter(|end| *end <= coming.bytes.len()) {
            coming.bytes.truncate(end);
            return self.coming.remove(&name).map(|coming| coming.bytes);
        }
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

/// What a front tells that it has; to fronts that take all of a summary, as they know it.
fn list(all: Vec<(u64, u64, Fineness)>, book: &Book) -> Letter {
    match book.keep {
        Some(_) => Letter::Holds(all),
        None => Letter::Have(all.into_iter().map(|(name, version, _)| (name, version)).collect()),
    }
}
