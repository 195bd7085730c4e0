//! Authentication: datagrams are signed by their senders and reports by their reporters. A datagram
//! is accepted only if its sender's key is known, it is not a replay, the rate limit on signature
//! checks allows the check, and the signature is valid. Reports are accepted under the same
//! conditions, except for the replay check.

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

/// The header: the sender's id, its start, the datagram's number and the sender's clock in
/// milliseconds.
const HEADER_BYTES: usize = 8 + 8 + 4 + 8;
const SIGNATURE_BYTES: usize = 64;
/// Bytes that sealing adds to a message.
pub const SEAL_BYTES: usize = HEADER_BYTES + SIGNATURE_BYTES;
/// Rate limit per second on failed signature checks, over all sources.
const FAILED_CHECKS_PER_SECOND: f64 = 1_000.0;
/// Rate limit per second on failed signature checks for one source address.
const FAILED_CHECKS_PER_SOURCE: f64 = 100.0;
/// Rate limit per second on successful signature checks of datagrams.
const VALID_CHECKS_PER_SECOND: f64 = 4_000.0;
/// Maximum number of source addresses with a rate limit of their own; further ones share a bucket.
const MAX_SOURCES: usize = 1_024;

/// A front's key pair, with which it signs datagrams and reports.
pub struct Identity {
    key: SigningKey,
    /// The id derived from the public key.
    pub id: PeerId,
    /// Unix milliseconds at the start of this incarnation of the front.
    pub started_ms: u64,
    /// The number of the last datagram sent in this incarnation.
    last_number: u32,
}

/// The front id of a public key: its first eight bytes, big endian.
pub fn peer_id(key: &[u8; 32]) -> PeerId {
    let mut first = [0; 8];
    first.copy_from_slice(&key[..8]);
    PeerId::from_be_bytes(first)
}

impl Identity {
    /// Creates an identity from a private key. `started_ms` must increase with each start of the
    /// front.
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

    /// The public key.
    pub fn public_key(&self) -> [u8; 32] {
        self.key.verifying_key().to_bytes()
    }

    /// Seals a message into a datagram of header, content and signature. `wall_ms` is Unix time in
    /// milliseconds.
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

    /// Encodes and signs a report.
    pub fn sign(&self, report: &Report) -> Signed {
        self.sign_with_context(REPORT_CONTEXT, message::encode(report))
    }

    /// Encodes and signs a load report.
    pub fn sign_load_report(&self, report: &LoadReport) -> Signed {
        self.sign_with_context(LOAD_REPORT_CONTEXT, message::encode(report))
    }

    fn sign_with_context(&self, context: &[u8], report: Vec<u8>) -> Signed {
        // The context prevents a signed report from being accepted as a datagram or as another kind
        // of report.
        let signature = self
            .key
            .sign(&[context, &report].concat())
            .to_bytes()
            .to_vec();
        Signed { report, signature }
    }
}

// Prefixes to the signed bytes of a report (domain separation). Part of the wire format.
const REPORT_CONTEXT: &[u8] = b"hallmux report\0";
const LOAD_REPORT_CONTEXT: &[u8] = b"hallmux share\0";

/// Why a datagram or report was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum VerificationError {
    /// The datagram is too long or too short, or its content can't be decoded.
    Form,
    /// The sender's or reporter's key is not known.
    Stranger,
    /// The signature is not valid.
    Forged,
    /// The datagram was received before, or belongs to an earlier incarnation of its sender.
    Replay,
    /// The datagram was in transit for too long.
    Old,
    /// The rate limit on signature checks is exhausted.
    Flood,
}

/// The public keys of all fronts whose datagrams and reports are accepted.
#[derive(Default)]
pub struct Keys(HashMap<PeerId, VerifyingKey>);

impl Keys {
    /// Decodes the keys; bytes that are not a valid Ed25519 key are left out.
    pub fn new(keys: &[[u8; 32]]) -> Rc<Keys> {
        let known =
            |bytes: &[u8; 32]| Some((peer_id(bytes), VerifyingKey::from_bytes(bytes).ok()?));
        Rc::new(Keys(keys.iter().filter_map(known).collect()))
    }
}

/// The peers whose datagrams and reports are accepted, with the protection against replays and
/// floods.
pub struct Peers {
    keys: Rc<Keys>,
    peers: HashMap<PeerId, Peer>,
    /// Failed checks over all sources.
    failed_checks: TokenBucket,
    /// Failed checks by source address.
    failed_checks_by_source: HashMap<IpAddr, TokenBucket>,
    /// Failed checks of the sources beyond [`MAX_SOURCES`].
    failed_checks_of_other_sources: TokenBucket,
    /// Successful checks of datagrams.
    valid_checks: TokenBucket,
}

/// A datagram with a valid signature.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The front that signed it.
    pub sender: PeerId,
    /// The encoded message.
    pub content: &'a [u8],
}

impl Peers {
    /// Creates the peers with these keys, none of which has sent a datagram yet.
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

    /// Replaces the accepted keys; the replay protection of unchanged keys is kept.
    pub fn set_keys(&mut self, keys: Rc<Keys>) {
        self.peers
            .retain(|id, _| keys.0.get(id) == self.keys.0.get(id));
        self.keys = keys;
    }

    /// Whether the key of the front `id` is accepted.
    pub fn has_key(&self, id: PeerId) -> bool {
        self.keys.0.contains_key(&id)
    }

    /// The number of accepted keys.
    pub fn len(&self) -> usize {
        self.keys.0.len()
    }

    /// Whether no key is accepted.
    pub fn is_empty(&self) -> bool {
        self.keys.0.is_empty()
    }

    /// Verifies a datagram received from the address `from`; `wall_ms` is Unix time in
    /// milliseconds. A rejected datagram changes nothing but the rate limits.
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
        // The cheap checks precede the signature check, so that a flood of replays costs no
        // signature checks.
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

    /// Decodes a report received in a datagram from `from` and verifies its reporter's signature.
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

    /// Verifies the reporter's signature of a load report received in a datagram from `from`.
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

    /// Charges a signature check to the rate limits on failed checks; a successful check is
    /// refunded later.
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

    /// Refunds a successful signature check to the limits on failed checks, and charges it to the
    /// limit on successful ones.
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

    /// Microseconds since a reporter made a report, corrected by the minimum apparent delay of the
    /// reporter's datagrams. None if the timestamps overflow.
    pub fn age(&self, reporter: PeerId, wall_ms: u64, created_ms: u64) -> Option<Micros> {
        let min_delay_ms = self
            .peers
            .get(&reporter)
            .map_or(i64::MAX, Peer::min_delay_ms);
        // Without a datagram from the reporter the clock offset is unknown: the clocks are assumed
        // to agree.
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
