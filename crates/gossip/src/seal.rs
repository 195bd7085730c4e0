//! Whose word it is: datagrams and reports are signed by their senders and makers, and what comes is believed only
//! if its key is known, it is not a replay, and there is a token left to look at its signature.

mod heard;
mod tokens;

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};

use crate::message::{self, Report, Signed, LONGEST};
use crate::shares::Share;
use crate::{Micros, PeerId};

use heard::Peer;
pub use tokens::Tokens;

const HEAD: usize = 8 + 8 + 4 + 8; // bytes: sender, life, number, milliseconds of the sender's clock
const SIGNATURE: usize = 64;
/// Bytes that sealing adds to a message.
pub const SEAL: usize = HEAD + SIGNATURE;
const VERIFIED_A_SECOND: f64 = 1_000.0; // signatures looked at; each takes some 50 microseconds
const FROM_ONE: f64 = 100.0; // of which from one address that has not proved to be a front's
const PROVEN_A_SECOND: f64 = 4_000.0; // signatures that held: a fifth of a core
const MOST_SOURCES: usize = 1_024; // addresses that are counted; others share one count

/// A front's own key pair.
pub struct Own {
    key: SigningKey,
    pub id: PeerId,
    /// Unix milliseconds when this life began, and how many datagrams it has sent.
    pub life: u64,
    sent: u32,
}

/// The id that goes with a public key.
pub fn id(key: &[u8; 32]) -> PeerId {
    let mut first = [0; 8];
    first.copy_from_slice(&key[..8]);
    PeerId::from_be_bytes(first)
}

impl Own {
    pub fn new(secret: &[u8; 32], life: u64) -> Own {
        let key = SigningKey::from_bytes(secret);
        let id = id(key.verifying_key().as_bytes());
        Own { key, id, life, sent: 0 }
    }

    pub fn public(&self) -> [u8; 32] {
        self.key.verifying_key().to_bytes()
    }

    /// A message as it leaves; `wall_ms` is the Unix clock.
    pub fn seal(&mut self, wall_ms: u64, content: &[u8]) -> Vec<u8> {
        self.sent += 1;
        let mut out = Vec::with_capacity(SEAL + content.len());
        out.extend_from_slice(&self.id.to_be_bytes());
        out.extend_from_slice(&self.life.to_be_bytes());
        out.extend_from_slice(&self.sent.to_be_bytes());
        out.extend_from_slice(&wall_ms.to_be_bytes());
        out.extend_from_slice(content);
        let signature = self.key.sign(&out);
        out.extend_from_slice(&signature.to_bytes());
        out
    }

    /// A report with the signature over its bytes.
    pub fn sign(&self, report: &Report) -> Signed {
        self.sign_as(REPORT, message::bytes(report))
    }

    /// A word on this front's load, likewise.
    pub fn sign_share(&self, share: &Share) -> Signed {
        self.sign_as(SHARE, message::bytes(share))
    }

    fn sign_as(&self, mark: &[u8], report: Vec<u8>) -> Signed {
        // Guards against a report that passes for a datagram: what is signed says which it is.
        let signature = self.key.sign(&[mark, &report].concat()).to_bytes().to_vec();
        Signed { report, signature }
    }
}

const REPORT: &[u8] = b"hallmux report\0";
const SHARE: &[u8] = b"hallmux share\0";

/// Why a datagram or report counts for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refused {
    /// Too long, too short, or no message.
    Form,
    /// Nobody's whose key is known, or its signature does not hold.
    Stranger,
    Forged,
    /// Known already, or of an earlier life.
    Replay,
    /// Too long under way.
    Old,
    /// More than can be looked at.
    Flood,
}

/// Public keys of all fronts that count.
#[derive(Default)]
pub struct Keys(HashMap<PeerId, VerifyingKey>);

impl Keys {
    /// One that is no key is left out.
    pub fn new(keys: &[[u8; 32]]) -> Rc<Keys> {
        let known = |bytes: &[u8; 32]| Some((id(bytes), VerifyingKey::from_bytes(bytes).ok()?));
        Rc::new(Keys(keys.iter().filter_map(known).collect()))
    }
}

/// The peers whose word counts.
pub struct Peers {
    keys: Rc<Keys>,
    peers: HashMap<PeerId, Peer>,
    all: Tokens,
    sources: HashMap<IpAddr, Tokens>,
    others: Tokens,
    proven: Tokens,
}

/// A datagram that counts.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    pub sender: PeerId,
    pub content: &'a [u8],
}

impl Peers {
    pub fn new(keys: Rc<Keys>) -> Peers {
        Peers {
            keys,
            peers: HashMap::new(),
            all: Tokens::new(VERIFIED_A_SECOND),
            sources: HashMap::new(),
            others: Tokens::new(FROM_ONE),
            proven: Tokens::new(PROVEN_A_SECOND),
        }
    }

    /// These keys count from now on; what is known of those that stay is kept.
    pub fn keys(&mut self, keys: Rc<Keys>) {
        self.peers.retain(|id, _| keys.0.get(id) == self.keys.0.get(id));
        self.keys = keys;
    }

    pub fn knows(&self, id: PeerId) -> bool {
        self.keys.0.contains_key(&id)
    }

    /// Fronts that count.
    pub fn len(&self) -> usize {
        self.keys.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.0.is_empty()
    }

    /// Takes a datagram apart, if it counts; `wall_ms` is the Unix clock.
    pub fn open<'a>(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: IpAddr,
        datagram: &'a [u8],
    ) -> Result<Opened<'a>, Refused> {
        if datagram.len() > LONGEST || datagram.len() < SEAL {
            return Err(Refused::Form);
        }
        let word = |at: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&datagram[at..at + 8]);
            u64::from_be_bytes(bytes)
        };
        let (sender, life) = (word(0), word(8));
        let number = (word(16) >> 32) as u32;
        let sent_ms = word(20);
        let key = *self.keys.0.get(&sender).ok_or(Refused::Stranger)?;
        // The cheap questions first, so that a flood of what can't be costs no signatures.
        let delay = (wall_ms as i64).wrapping_sub(sent_ms as i64);
        self.peers.get(&sender).unwrap_or(&Peer::UNHEARD).fits(now, life, number, delay)?;
        self.may_verify(now, from)?;
        let (signed, signature) = datagram.split_at(datagram.len() - SIGNATURE);
        let signature = Signature::from_slice(signature).map_err(|_| Refused::Form)?;
        key.verify_strict(signed, &signature).map_err(|_| Refused::Forged)?;
        self.held(now, from)?;
        self.peers.entry(sender).or_insert(Peer::UNHEARD).takes(now, life, number, delay);
        Ok(Opened { sender, content: &signed[HEAD..] })
    }

    /// Reads a report, if its maker's signature holds.
    pub fn read(&mut self, now: Micros, from: IpAddr, signed: &Signed) -> Result<Report, Refused> {
        let report: Report = message::read(&signed.report).ok_or(Refused::Form)?;
        self.verify(now, from, report.maker, REPORT, signed)?;
        Ok(report)
    }

    /// Whether a share is its maker's.
    pub fn holds(&mut self, now: Micros, from: IpAddr, maker: PeerId, share: &Signed) -> Result<(), Refused> {
        self.verify(now, from, maker, SHARE, share)
    }

    fn verify(
        &mut self,
        now: Micros,
        from: IpAddr,
        maker: PeerId,
        mark: &[u8],
        signed: &Signed,
    ) -> Result<(), Refused> {
        let key = *self.keys.0.get(&maker).ok_or(Refused::Stranger)?;
        self.may_verify(now, from)?;
        let signature = Signature::from_slice(&signed.signature).map_err(|_| Refused::Form)?;
        key.verify_strict(&[mark, &signed.report].concat(), &signature).map_err(|_| Refused::Forged)
    }

    fn may_verify(&mut self, now: Micros, from: IpAddr) -> Result<(), Refused> {
        let known = self.sources.contains_key(&from) || self.sources.len() < MOST_SOURCES;
        let source = match known {
            true => self.sources.entry(from).or_insert_with(|| Tokens::new(FROM_ONE)),
            false => &mut self.others,
        };
        let may = source.take(now, 1.0) && self.all.take(now, 1.0);
        may.then_some(()).ok_or(Refused::Flood)
    }

    /// A signature held: it counts among those of fronts, and no longer among those of whoever sends from there.
    fn held(&mut self, now: Micros, from: IpAddr) -> Result<(), Refused> {
        let source = self.sources.get_mut(&from).unwrap_or(&mut self.others);
        source.give_back(1.0);
        self.all.give_back(1.0);
        self.proven.take(now, 1.0).then_some(()).ok_or(Refused::Flood)
    }

    /// How old a report of a maker is, in microseconds, going by how its clock compares with ours.
    pub fn age(&self, maker: PeerId, wall_ms: u64, made_ms: u64) -> Option<Micros> {
        let least = self.peers.get(&maker).map_or(i64::MAX, Peer::least);
        // Of one that was never heard itself nothing is known of its clock: as they are.
        let least = if least == i64::MAX { 0 } else { least };
        let delay = (wall_ms as i64).checked_sub(made_ms as i64)?.checked_sub(least)?;
        delay.max(0).checked_mul(1000)
    }
}

#[cfg(test)]
mod tests {
    use super::heard::TIME_WINDOW;
    use super::*;

    const FROM: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
    const WALL: u64 = 1_800_000_000_000;

    fn pair() -> (Own, Peers) {
        let own = Own::new(&[7; 32], WALL - 1000);
        let peers = Peers::new(Keys::new(&[own.public()]));
        (own, peers)
    }

    #[test]
    fn what_is_sealed_opens_once_and_spoilt_never() {
        let (mut own, mut peers) = pair();
        let sealed = own.seal(WALL, b"news");
        for at in 0..sealed.len() {
            let mut spoilt = sealed.clone();
            spoilt[at] ^= 1;
            assert!(peers.open(at as Micros * 20_000, WALL, FROM, &spoilt).is_err(), "{at}");
        }
        let now = 60_000_000;
        let opened = peers.open(now, WALL, FROM, &sealed).unwrap();
        assert_eq!((opened.sender, opened.content), (own.id, &b"news"[..]));
        assert_eq!(peers.open(now, WALL, FROM, &sealed), Err(Refused::Replay));
        assert_eq!(peers.open(now, WALL, FROM, &sealed[..SEAL - 1]), Err(Refused::Form));
        assert_eq!(Peers::new(Keys::new(&[])).open(now, WALL, FROM, &sealed), Err(Refused::Stranger));
    }

    #[test]
    fn out_of_order_is_taken_and_repeated_is_not() {
        let (mut own, mut peers) = pair();
        let all: Vec<Vec<u8>> = (0..400).map(|_| own.seal(WALL, b"x")).collect();
        let mut now = 1_000_000;
        let mut open = |n: usize| {
            now += 20_000;
            peers.open(now, WALL, FROM, &all[n]).map(|_| ())
        };
        for n in [0, 5, 3, 200, 130, 64, 399, 398, 144] {
            assert_eq!(open(n), Ok(()), "{n}");
            assert_eq!(open(n), Err(Refused::Replay), "{n}");
        }
        assert_eq!(open(143), Err(Refused::Replay), "beyond the window");
    }

    #[test]
    fn a_minute_later_nothing_counts_again_whatever_became_of_its_sender() {
        let (mut own, mut peers) = pair();
        let first = own.seal(WALL, b"x");
        let second = own.seal(WALL, b"y");
        assert!(peers.open(0, WALL, FROM, &first).is_ok());
        let (later, wall) = (60_000_000, WALL + 60_000);
        assert_eq!(peers.open(later, wall, FROM, &first), Err(Refused::Replay));
        assert_eq!(peers.open(later, wall, FROM, &second), Err(Refused::Old));
        // Nor to one that has never heard of it.
        let mut fresh = Peers::new(Keys::new(&[own.public()]));
        assert_eq!(fresh.open(later, wall, FROM, &first), Err(Refused::Old));
    }

    #[test]
    fn clocks_that_differ_by_seconds_change_neither_what_counts_nor_its_age() {
        for apart in [-5_000i64, 0, 5_000] {
            let (mut own, mut peers) = pair();
            let theirs = (WALL as i64 + apart) as u64;
            for n in 0..20u64 {
                let sealed = own.seal(theirs + n * 100, b"x");
                let now = n as Micros * 100_000;
                assert!(peers.open(now, WALL + n * 100 + 3, FROM, &sealed).is_ok(), "{apart}");
            }
            let age = peers.age(own.id, WALL + 5_000, theirs + 2_000).unwrap();
            assert_eq!(age, 2_997_000, "{apart}");
        }
    }

    #[test]
    fn a_new_life_goes_before_the_old_and_an_older_counts_once_the_newer_is_forgotten() {
        let (mut own, mut peers) = pair();
        assert!(peers.open(0, WALL, FROM, &own.seal(WALL, b"x")).is_ok());
        let mut older = Own::new(&[7; 32], WALL - 500_000);
        assert_eq!(peers.open(1_000_000, WALL, FROM, &older.seal(WALL, b"x")), Err(Refused::Replay));
        let mut newer = Own::new(&[7; 32], WALL);
        assert!(peers.open(2_000_000, WALL, FROM, &newer.seal(WALL, b"x")).is_ok());
        assert_eq!(peers.open(3_000_000, WALL, FROM, &own.seal(WALL, b"x")), Err(Refused::Replay));
        let silent = 2_000_000 + TIME_WINDOW + 1;
        let wall = WALL + 13_000;
        assert!(peers.open(silent, wall, FROM, &older.seal(wall, b"x")).is_ok());
    }

    #[test]
    fn a_flood_of_forgeries_costs_a_bounded_number_of_signatures() {
        let (mut own, mut peers) = pair();
        let mut refused: HashMap<Refused, usize> = HashMap::new();
        for n in 0..20_000u32 {
            let mut forged = own.seal(WALL, b"x");
            forged[HEAD] ^= 1;
            let now = Micros::from(n) * 50; // a second in all
            let why = peers.open(now, WALL, FROM, &forged).unwrap_err();
            *refused.entry(why).or_default() += 1;
        }
        assert!(refused[&Refused::Forged] <= 2 * FROM_ONE as usize, "{refused:?}");
        // Those of others still count meanwhile.
        let other = IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 2));
        assert!(peers.open(1_000_000, WALL, other, &own.seal(WALL, b"x")).is_ok());
    }

    #[test]
    fn many_letters_of_a_front_count_and_forgeries_from_its_address_are_bounded_as_ever() {
        let (mut own, mut peers) = pair();
        let mut opened = 0;
        for n in 0..6_000u32 {
            let sealed = own.seal(WALL, b"x");
            opened += usize::from(peers.open(Micros::from(n) * 10, WALL, FROM, &sealed).is_ok());
        }
        let most = PROVEN_A_SECOND as usize;
        assert!((most..most + most / 10).contains(&opened), "{opened}");
        let mut forged = own.seal(WALL, b"x");
        forged[HEAD] ^= 1;
        let looked = (0..1_000).filter(|_| peers.open(60_000, WALL, FROM, &forged) == Err(Refused::Forged));
        assert!(looked.count() <= FROM_ONE as usize);
    }

    #[test]
    fn a_report_is_its_makers_alone() {
        let (own, mut peers) = pair();
        let report = Report {
            maker: own.id,
            life: own.life,
            version: 1,
            made_ms: WALL,
            sightings: Vec::new(),
            work: Default::default(),
        };
        let signed = own.sign(&report);
        assert_eq!(peers.read(0, FROM, &signed), Ok(report.clone()));
        let other = Own::new(&[8; 32], 1);
        // A liar whose key is good can't speak for another.
        let mut both = Peers::new(Keys::new(&[own.public(), other.public()]));
        assert_eq!(both.read(0, FROM, &other.sign(&report)), Err(Refused::Forged));
        let mut spoilt = signed.clone();
        spoilt.report[9] ^= 1;
        assert!(peers.read(0, FROM, &spoilt).is_err());
    }
}
