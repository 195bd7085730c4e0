//! Authentication: datagrams are signed by their senders and reports by their reporters. What comes counts
//! only if its key is known, it is not a replay, and a token is left to check its signature.

mod peer;
mod token_bucket;

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};

use crate::load_reports::LoadReport;
use crate::message::{self, Report, Signed, MAX_DATAGRAM};
use crate::{Micros, PeerId};

use peer::Peer;
pub use token_bucket::TokenBucket;

/// Sender, its start, number, milliseconds of the sender's clock.
const HEADER_BYTES: usize = 8 + 8 + 4 + 8;
const SIGNATURE_BYTES: usize = 64;
/// Bytes that sealing adds to a message.
pub const SEAL_BYTES: usize = HEADER_BYTES + SIGNATURE_BYTES;
/// Failed checks of signatures a second, of all sources.
const FAILED_CHECKS_PER_SECOND: f64 = 1_000.0;
/// Failed checks a second for datagrams from one address.
const FAILED_CHECKS_PER_SOURCE: f64 = 100.0;
/// Checks a second that succeed.
const VALID_CHECKS_PER_SECOND: f64 = 4_000.0;
/// Addresses that are counted apart; others share one bucket.
const MAX_SOURCES: usize = 1_024;

/// A front's key pair, with which it signs what it sends.
pub struct Identity {
    key: SigningKey,
    /// The id that goes with the public key.
    pub id: PeerId,
    /// Unix milliseconds when this run of the front began.
    pub started_ms: u64,
    /// Datagrams sent in this run; the number of the latest.
    last_number: u32,
}

/// The id that goes with a public key: its first eight bytes, big endian.
pub fn peer_id(key: &[u8; 32]) -> PeerId {
    let mut first = [0; 8];
    first.copy_from_slice(&key[..8]);
    PeerId::from_be_bytes(first)
}

impl Identity {
    /// From the secret half of a key pair; `started_ms` has to grow with each start.
    pub fn new(secret: &[u8; 32], started_ms: u64) -> Identity {
        let key = SigningKey::from_bytes(secret);
        let id = peer_id(key.verifying_key().as_bytes());
        Identity {
            key,
            id,
            started_ms,
            last_number: 0,
        }
    }

    /// The public half of the key pair.
    pub fn public_key(&self) -> [u8; 32] {
        self.key.verifying_key().to_bytes()
    }

    /// The datagram of a message: header, content, signature. `wall_ms` is Unix time in milliseconds.
    pub fn seal(&mut self, wall_ms: u64, content: &[u8]) -> Vec<u8> {
        self.last_number += 1;
        let mut out = Vec::with_capacity(SEAL_BYTES + content.len());
        out.extend_from_slice(&self.id.to_be_bytes());
        out.extend_from_slice(&self.started_ms.to_be_bytes());
        out.extend_from_slice(&self.last_number.to_be_bytes());
        out.extend_from_slice(&wall_ms.to_be_bytes());
        out.extend_from_slice(content);
        let signature = self.key.sign(&out);
        out.extend_from_slice(&signature.to_bytes());
        out
    }

    /// A report with the signature over its bytes.
    pub fn sign(&self, report: &Report) -> Signed {
        self.sign_with_context(REPORT_CONTEXT, message::encode(report))
    }

    /// A load report with the signature over its bytes.
    pub fn sign_load_report(&self, report: &LoadReport) -> Signed {
        self.sign_with_context(LOAD_REPORT_CONTEXT, message::encode(report))
    }

    fn sign_with_context(&self, context: &[u8], report: Vec<u8>) -> Signed {
        // Guards against a report that passes for a datagram: the signed context says which it is.
        let signature = self
            .key
            .sign(&[context, &report].concat())
            .to_bytes()
            .to_vec();
        Signed { report, signature }
    }
}

// Signed in front of a report's bytes (domain separation). Part of the format between versions.
const REPORT_CONTEXT: &[u8] = b"hallmux report\0";
const LOAD_REPORT_CONTEXT: &[u8] = b"hallmux share\0";

/// Why a datagram or report was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum VerificationError {
    /// Too long, too short, or no message.
    Form,
    /// Its sender's or reporter's key is not known.
    Stranger,
    /// Its signature does not hold.
    Forged,
    /// Received before, or of an earlier run of its sender.
    Replay,
    /// Too long under way.
    Old,
    /// No token was left to check its signature.
    Flood,
}

/// The public keys of all fronts whose datagrams and reports count.
#[derive(Default)]
pub struct Keys(HashMap<PeerId, VerifyingKey>);

impl Keys {
    /// Bytes that are no Ed25519 key are left out.
    pub fn new(keys: &[[u8; 32]]) -> Rc<Keys> {
        let known =
            |bytes: &[u8; 32]| Some((peer_id(bytes), VerifyingKey::from_bytes(bytes).ok()?));
        Rc::new(Keys(keys.iter().filter_map(known).collect()))
    }
}

/// The peers whose datagrams and reports count, with what guards against replays and floods.
pub struct Peers {
    keys: Rc<Keys>,
    peers: HashMap<PeerId, Peer>,
    /// Failed checks of all sources.
    failed_checks: TokenBucket,
    /// Failed checks by source address.
    failed_checks_by_source: HashMap<IpAddr, TokenBucket>,
    /// Failed checks of all sources beyond [`MAX_SOURCES`].
    failed_checks_of_other_sources: TokenBucket,
    /// Checks that succeeded.
    valid_checks: TokenBucket,
}

/// A datagram whose signature holds.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The front that signed it.
    pub sender: PeerId,
    /// The encoded message.
    pub content: &'a [u8],
}

impl Peers {
    /// Peers of which nothing was heard yet.
    pub fn new(keys: Rc<Keys>) -> Peers {
        Peers {
            keys,
            peers: HashMap::new(),
            failed_checks: TokenBucket::new(FAILED_CHECKS_PER_SECOND),
            failed_checks_by_source: HashMap::new(),
            failed_checks_of_other_sources: TokenBucket::new(FAILED_CHECKS_PER_SOURCE),
            valid_checks: TokenBucket::new(VALID_CHECKS_PER_SECOND),
        }
    }

    /// These keys count from now on; the replay protection of those that stay goes on.
    pub fn set_keys(&mut self, keys: Rc<Keys>) {
        self.peers
            .retain(|id, _| keys.0.get(id) == self.keys.0.get(id));
        self.keys = keys;
    }

    /// Whether this front's key counts.
    pub fn has_key(&self, id: PeerId) -> bool {
        self.keys.0.contains_key(&id)
    }

    /// The number of keys that count.
    pub fn len(&self) -> usize {
        self.keys.0.len()
    }

    /// Whether no key counts.
    pub fn is_empty(&self) -> bool {
        self.keys.0.is_empty()
    }

    /// Opens a datagram that came from the address `from`; `wall_ms` is Unix time in milliseconds. An error
    /// says why it was refused; it changes nothing but the rate limits.
    pub fn open<'a>(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: IpAddr,
        datagram: &'a [u8],
    ) -> Result<OpenedDatagram<'a>, VerificationError> {
        if datagram.len() > MAX_DATAGRAM || datagram.len() < SEAL_BYTES {
            return Err(VerificationError::Form);
        }
        let u64_at = |at: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&datagram[at..at + 8]);
            u64::from_be_bytes(bytes)
        };
        let (sender, started_ms) = (u64_at(0), u64_at(8));
        let number = (u64_at(16) >> 32) as u32;
        let sent_ms = u64_at(20);
        let key = *self
            .keys
            .0
            .get(&sender)
            .ok_or(VerificationError::Stranger)?;
        // The cheap checks first, so that a flood of what can't be costs no signatures.
        let delay_ms = (wall_ms as i64).wrapping_sub(sent_ms as i64);
        self.peers
            .get(&sender)
            .unwrap_or(&Peer::UNKNOWN)
            .check(now, started_ms, number, delay_ms)?;
        self.take_check_tokens(now, from)?;
        let (signed, signature) = datagram.split_at(datagram.len() - SIGNATURE_BYTES);
        let signature = Signature::from_slice(signature).map_err(|_| VerificationError::Form)?;
        key.verify_strict(signed, &signature)
            .map_err(|_| VerificationError::Forged)?;
        self.count_valid_check(now, from)?;
        self.peers
            .entry(sender)
            .or_insert(Peer::UNKNOWN)
            .record(now, started_ms, number, delay_ms);
        Ok(OpenedDatagram {
            sender,
            content: &signed[HEADER_BYTES..],
        })
    }

    /// Decodes a report that came with a datagram from `from`, if its reporter's signature holds.
    pub fn verify_report(
        &mut self,
        now: Micros,
        from: IpAddr,
        signed: &Signed,
    ) -> Result<Report, VerificationError> {
        let report: Report = message::decode(&signed.report).ok_or(VerificationError::Form)?;
        self.verify(now, from, report.reporter, REPORT_CONTEXT, signed)?;
        Ok(report)
    }

    /// Whether a load report carries the signature of its reporter.
    pub fn verify_load_report(
        &mut self,
        now: Micros,
        from: IpAddr,
        reporter: PeerId,
        signed: &Signed,
    ) -> Result<(), VerificationError> {
        self.verify(now, from, reporter, LOAD_REPORT_CONTEXT, signed)
    }

    fn verify(
        &mut self,
        now: Micros,
        from: IpAddr,
        reporter: PeerId,
        context: &[u8],
        signed: &Signed,
    ) -> Result<(), VerificationError> {
        let key = *self
            .keys
            .0
            .get(&reporter)
            .ok_or(VerificationError::Stranger)?;
        self.take_check_tokens(now, from)?;
        let signature =
            Signature::from_slice(&signed.signature).map_err(|_| VerificationError::Form)?;
        key.verify_strict(&[context, &signed.report].concat(), &signature)
            .map_err(|_| VerificationError::Forged)
    }

    /// Takes the tokens of a check that may fail.
    fn take_check_tokens(&mut self, now: Micros, from: IpAddr) -> Result<(), VerificationError> {
        let known = self.failed_checks_by_source.contains_key(&from)
            || self.failed_checks_by_source.len() < MAX_SOURCES;
        let source = match known {
            true => self
                .failed_checks_by_source
                .entry(from)
                .or_insert_with(|| TokenBucket::new(FAILED_CHECKS_PER_SOURCE)),
            false => &mut self.failed_checks_of_other_sources,
        };
        let has_tokens = source.take(now, 1.0) && self.failed_checks.take(now, 1.0);
        has_tokens.then_some(()).ok_or(VerificationError::Flood)
    }

    /// A signature held: it counts among the valid ones, and no longer against its source.
    fn count_valid_check(&mut self, now: Micros, from: IpAddr) -> Result<(), VerificationError> {
        let source = self
            .failed_checks_by_source
            .get_mut(&from)
            .unwrap_or(&mut self.failed_checks_of_other_sources);
        source.refund(1.0);
        self.failed_checks.refund(1.0);
        self.valid_checks
            .take(now, 1.0)
            .then_some(())
            .ok_or(VerificationError::Flood)
    }

    /// Microseconds since a reporter made a report, by the least delay seen of it. None where it can't be
    /// computed.
    pub fn age(&self, reporter: PeerId, wall_ms: u64, created_ms: u64) -> Option<Micros> {
        let min_delay_ms = self
            .peers
            .get(&reporter)
            .map_or(i64::MAX, Peer::min_delay_ms);
        // Of a front that was never heard itself nothing is known: the clocks are taken to agree.
        let min_delay_ms = if min_delay_ms == i64::MAX {
            0
        } else {
            min_delay_ms
        };
        let delay_ms = (wall_ms as i64)
            .checked_sub(created_ms as i64)?
            .checked_sub(min_delay_ms)?;
        delay_ms.max(0).checked_mul(1000)
    }
}

#[cfg(test)]
#[path = "seal_tests.rs"]
mod tests;
