//! Messages into letters and back: small ones share a datagram, long ones are cut into pieces that are sent at a stated
//! pace, asked for again where they are lost, and put together.

use std::collections::BTreeMap;

use crate::forms::{Forms, OLDEST};
use crate::messages::{self, LedgerMessage, Letter, Sheet};
use crate::{DiskId, FrontId, Micros, Moment, Setup};

/// Bytes of a letter at most: a datagram of gossip (1,200) less its seal (92), its sender's own rumour and lengths
/// (44), and the byte that tells whose letter it is.
pub(crate) const ROOM: usize = 1_040;
const HEAD: usize = 48; // bytes of a letter beside its messages or its piece at most
const PIECE: usize = ROOM - HEAD;
const MOST_PIECES: usize = 4_096; // of a message: some 4 MB
const MOST_PARTS: usize = 64; // messages of one front that are being put together
const MOST_HELD: usize = 32 * 1_024 * 1_024; // bytes of pieces that wait for others
const STALLED: Micros = 60_000; // microseconds without a piece until gaps are asked for
const TAIL: Micros = 400_000; // microseconds until pieces count as lost that may yet have to be sent
const REMINDED: Micros = 250_000; // microseconds without a sign until its receiver is sent the last piece again
const GIVEN_UP: Micros = 10_000_000; // microseconds without a sign until a long message is forgotten
const MOST_WHOLE: usize = 4_096; // messages that are whole and remembered as such
const MOST_MISSING: usize = 256; // pieces asked for at once
const QUICK: f64 = 2_000_000.0; // bytes a second of long messages of the log: a follower waits for them

/// How soon a long message has to be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    Quick,
    /// The same, of a shard's log: in order.
    Log(u16),
    /// By the budget for making copies again.
    Repair,
}

/// Bytes a second, with a tenth of a second's worth saved up, and a piece at least.
#[derive(Debug)]
struct Tokens {
    rate: f64,
    left: f64,
    at: Micros,
}

impl Tokens {
    fn new(rate: f64) -> Tokens {
        Tokens { rate, left: 0.0, at: 0 }
    }

    fn fill(&mut self, now: Micros) {
        let gained = (now - self.at).max(0) as f64 / 1e6 * self.rate;
        self.left = (self.left + gained).min((self.rate / 10.0).max(ROOM as f64));
        self.at = now;
    }

    /// When the next piece may leave.
    fn due(&self) -> Micros {
        self.at + ((ROOM as f64 - self.left).max(0.0) / self.rate.max(1.0) * 1e6) as Micros + 1
    }
}

struct Long {
    to: FrontId,
    pace: Pace,
    bytes: Vec<u8>,
    /// Pieces that are to be sent, the next last.
    to_send: Vec<u16>,
    touched: Micros,
    reminded: Micros,
}

impl Long {
    /// When its receiver is to be reminded.
    fn reminds(&self) -> Micros {
        if self.to_send.is_empty() {
            self.touched.max(self.reminded) + REMINDED
        } else {
            Micros::MAX
        }
    }
}

struct Part {
    pieces: Vec<Option<Vec<u8>>>,
    held: usize,
    touched: Micros,
    asked: Micros,
}

pub(crate) struct Post {
    pub fleet: u64,
    pub disk: DiskId,
    pub incarnation: u64,
    form: u8,
    forms: Forms,
    small: BTreeMap<FrontId, Vec<Vec<u8>>>,
    long: BTreeMap<u64, Long>,
    next_long: u64,
    parts: BTreeMap<(FrontId, u64), Part>,
    /// Messages that became whole, and when: the acknowledgement may be lost, and is sent again to a sender that reminds.
    whole: BTreeMap<(FrontId, u64), Micros>,
    held: usize,
    quick: Tokens,
    repair: Tokens,
    sheets: Vec<(FrontId, Sheet)>,
}

impl Post {
    pub fn new(setup: &Setup, fleet: u64) -> Post {
        let (disk, incarnation) = (setup.disk, setup.incarnation);
        Post {
            fleet,
            disk,
            incarnation,
            form: setup.form,
            forms: Forms::default(),
            small: BTreeMap::new(),
            long: BTreeMap::new(),
            next_long: incarnation << 20, // an earlier life's are not this one's
            parts: BTreeMap::new(),
            whole: BTreeMap::new(),
            held: 0,
            quick: Tokens::new(QUICK),
            repair: Tokens::new(f64::from(setup.repair_bytes)),
            sheets: Vec::new(),
        }
    }

    /// The latest form that a front and this one read.
    pub fn reads(&self, front: FrontId) -> u8 {
        self.forms.of(self.form, front)
    }

    /// The latest form that all of them and this one read.
    pub fn all_read(&self, fronts: impl Iterator<Item = FrontId>) -> u8 {
        self.forms.of_all(self.form, fronts)
    }

    pub fn say(&mut self, at: Moment, to: FrontId, message: &LedgerMessage, pace: Pace) {
        let bytes = messages::encode(message);
        if bytes.len() + 3 <= PIECE {
            self.small.entry(to).or_default().push(bytes);
            return;
        }
        let count = bytes.len().div_ceil(PIECE);
        if count > MOST_PIECES {
            return; // bounds of a shard keep it below
        }
        let to_send = (0..count as u16).rev().collect();
        let (touched, reminded) = (at.steady, at.steady);
        self.long.insert(self.next_long, Long { to, pace, bytes, to_send, touched, reminded });
        self.next_long += 1;
    }

    /// Whether a long message to this front is under way at this pace.
    pub fn is_busy(&self, to: FrontId, pace: Pace) -> bool {
        self.long.values().any(|long| long.to == to && long.pace == pace)
    }

    /// A letter has come: its head, and the messages that are whole by it.
    pub fn heard(
        &mut self,
        at: Moment,
        from: FrontId,
        bytes: &[u8],
    ) -> Result<(Letter, Vec<LedgerMessage>), &'static str> {
        let mut letter: Letter = messages::decode(bytes).ok_or("form")?;
        if !(OLDEST..=self.form).contains(&letter.form) {
            return Err("version");
        }
        if letter.fleet != self.fleet {
            return Err("fleet");
        }
        let sheet = std::mem::replace(&mut letter.sheet, Sheet::Messages(Vec::new()));
        let whole = match sheet {
            Sheet::Messages(messages) => messages,
            Sheet::Piece { id, index, count, bytes } => {
                self.piece(at, (from, id), index, count, bytes)?.into_iter().collect()
            }
            Sheet::Again { id, missing } => {
                if let Some(long) = self.long.get_mut(&id).filter(|long| long.to == from) {
                    let count = long.bytes.len().div_ceil(PIECE) as u16;
                    let new = missing.into_iter().rev().filter(|n| *n < count && !long.to_send.contains(n));
                    let new: Vec<u16> = new.collect();
                    long.to_send.extend(new);
                    long.touched = at.steady;
                }
                Vec::new()
            }
            Sheet::Whole { id } => {
                if self.long.get(&id).is_some_and(|long| long.to == from) {
                    self.long.remove(&id);
                }
                Vec::new()
            }
        };
        self.forms.heard(from, letter.incarnation, letter.form);
        let messages: Option<Vec<LedgerMessage>> =
            whole.iter().map(|message| messages::decode(message)).collect();
        let mut messages =
            messages.filter(|messages| messages.iter().all(|w| w.form() <= self.form)).ok_or("form")?;
        messages.retain(|message| {
            let form = message.introduced();
            form.into_iter().for_each(|form| self.forms.heard(from, letter.incarnation, form));
            form.is_none()
        });
        Ok((letter, messages))
    }

    fn piece(
        &mut self,
        at: Moment,
        of: (FrontId, u64),
        index: u16,
        count: u16,
        bytes: Vec<u8>,
    ) -> Result<Option<Vec<u8>>, &'static str> {
        if self.whole.contains_key(&of) {
            self.sheets.push((of.0, Sheet::Whole { id: of.1 }));
            return Ok(None);
        }
        let many = self.parts.range((of.0, 0)..=(of.0, u64::MAX)).count() >= MOST_PARTS;
        if index >= count || usize::from(count) > MOST_PIECES || bytes.len() > PIECE {
            return Err("form");
        }
        if !self.parts.contains_key(&of) && many || self.held + bytes.len() > MOST_HELD {
            return Err("too much");
        }
        let none =
            || Part { pieces: vec![None; count.into()], held: 0, touched: at.steady, asked: at.steady };
        let part = self.parts.entry(of).or_insert_with(none);
        let place = part.pieces.get_mut(usize::from(index)).ok_or("form")?;
        part.touched = at.steady;
        if place.is_none() {
            (part.held, self.held) = (part.held + bytes.len(), self.held + bytes.len());
            *place = Some(bytes);
        }
        if part.pieces.iter().any(Option::is_none) {
            return Ok(None);
        }
        let part = self.parts.remove(&of).ok_or("form")?;
        self.held -= part.held;
        if self.whole.len() < MOST_WHOLE {
            self.whole.insert(of, at.steady);
        }
        self.sheets.push((of.0, Sheet::Whole { id: of.1 }));
        Ok(Some(part.pieces.into_iter().flatten().flatten().collect()))
    }

    /// When there is something to do without a message or a letter.
    pub fn due(&self) -> Micros {
        let paced = |repair: bool, tokens: &Tokens| {
            let mut waits = self.long.values().filter(|long| !long.to_send.is_empty());
            let waits = waits.any(|long| (long.pace == Pace::Repair) == repair);
            if waits {
                tokens.due()
            } else {
                Micros::MAX
            }
        };
        let parts = self.parts.values().map(|part| part.touched.max(part.asked) + STALLED);
        let long = self.long.values().map(|long| long.reminds().min(long.touched + GIVEN_UP));
        let quick = paced(false, &self.quick).min(paced(true, &self.repair));
        parts.chain(long).min().unwrap_or(Micros::MAX).min(quick)
    }

    /// The letters that may leave now.
    pub fn letters(&mut self, at: Moment) -> Vec<(FrontId, Vec<u8>)> {
        self.ask_again(at.steady);
        self.remind(at.steady);
        let mut sheets = std::mem::take(&mut self.sheets);
        for (to, mut messages) in std::mem::take(&mut self.small) {
            let first = self.forms.introduces(at.steady, self.form, to);
            first.into_iter().for_each(|message| messages.insert(0, messages::encode(&message)));
            let (mut sheet, mut used) = (Vec::new(), 0);
            for message in messages {
                if used + message.len() + 3 > PIECE {
                    sheets.push((to, Sheet::Messages(std::mem::take(&mut sheet))));
                    used = 0;
                }
                used += message.len() + 3;
                sheet.push(message);
            }
            sheets.push((to, Sheet::Messages(sheet)));
        }
        self.pieces(at.steady, &mut sheets);
        let (fleet, disk, incarnation, wall_ms) = (self.fleet, self.disk, self.incarnation, at.wall_ms);
        let letter =
            |form, sheet| messages::encode(&Letter { form, fleet, disk, incarnation, wall_ms, sheet });
        sheets.into_iter().map(|(to, sheet)| (to, letter(self.reads(to), sheet))).collect()
    }

    fn pieces(&mut self, now: Micros, sheets: &mut Vec<(FrontId, Sheet)>) {
        self.quick.fill(now);
        self.repair.fill(now);
        for (id, long) in &mut self.long {
            let tokens = if long.pace == Pace::Repair { &mut self.repair } else { &mut self.quick };
            let count = long.bytes.len().div_ceil(PIECE) as u16;
            while tokens.left >= ROOM as f64 {
                let Some(index) = long.to_send.pop() else { break };
                let Some(bytes) = long.bytes.chunks(PIECE).nth(index.into()) else { continue };
                tokens.left -= (bytes.len() + HEAD) as f64;
                long.touched = now;
                sheets.push((long.to, Sheet::Piece { id: *id, index, count, bytes: bytes.to_vec() }));
            }
        }
    }

    /// Of a message that is sent and not known to be whole, its last piece again: until one knows that it is, nothing else
    /// of the same log goes to its receiver.
    fn remind(&mut self, now: Micros) {
        self.long.retain(|_, long| now - long.touched < GIVEN_UP);
        for (id, long) in self.long.iter_mut().filter(|(_, long)| long.reminds() <= now) {
            long.reminded = now;
            let count = long.bytes.len().div_ceil(PIECE) as u16;
            let Some(bytes) = long.bytes.chunks(PIECE).next_back() else { continue };
            let (index, bytes) = (count - 1, bytes.to_vec());
            self.sheets.push((long.to, Sheet::Piece { id: *id, index, count, bytes }));
        }
    }

    fn ask_again(&mut self, now: Micros) {
        self.whole.retain(|_, at| now - *at < 2 * GIVEN_UP);
        let held = &mut self.held;
        self.parts.retain(|_, part| {
            let stays = now - part.touched < GIVEN_UP;
            *held -= if stays { 0 } else { part.held };
            stays
        });
        for ((from, id), part) in &mut self.parts {
            if now - part.touched.max(part.asked) < STALLED {
                continue;
            }
            part.asked = now;
            // What follows the last that has come may only be waiting for its turn.
            let last = part.pieces.iter().rposition(Option::is_some).unwrap_or(0);
            let sure = if now - part.touched >= TAIL { part.pieces.len() } else { last };
            let missing = part.pieces.iter().take(sure).enumerate().filter(|(_, piece)| piece.is_none());
            let missing: Vec<u16> = missing.map(|(n, _)| n as u16).take(MOST_MISSING).collect();
            if !missing.is_empty() {
                self.sheets.push((*from, Sheet::Again { id: *id, missing }));
            }
        }
    }
}

#[cfg(test)]
#[path = "post_tests.rs"]
mod tests;
