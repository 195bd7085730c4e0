//! SCRAM-SHA-256 as the one that is asked (RFC 5802, RFC 7677), from verifiers in the servers' own form
//! `SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY`. The side that asks comes from a library.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// The mechanism's name in SASL.
pub const MECHANISM: &str = "SCRAM-SHA-256";
const UNKNOWN_USER_ITERATIONS: u32 = 4096; // PostgreSQL's default

/// What a server keeps of a user's password, and can check a proof against.
#[derive(Clone)]
pub struct Verifier {
    iterations: u32,
    salt: String,
    stored_key: [u8; 32],
    server_key: [u8; 32],
}

fn decode_key(text: &str) -> Option<[u8; 32]> {
    STANDARD.decode(text).ok()?.try_into().ok()
}

fn hmac(key: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    // Keys of any length are taken; an empty one stands for the case that can't be.
    let mut mac = match Hmac::<Sha256>::new_from_slice(key) {
        Ok(mac) => mac,
        Err(_) => return [0; 32],
    };
    parts.iter().for_each(|part| mac.update(part));
    mac.finalize().into_bytes().into()
}

impl Verifier {
    /// Reads a verifier in the form of `pg_authid`; None for any other text.
    pub fn parse(text: &str) -> Option<Verifier> {
        let (head, keys) = text.strip_prefix("SCRAM-SHA-256$")?.split_once('$')?;
        let (iterations, salt) = head.split_once(':')?;
        let (stored, server) = keys.split_once(':')?;
        STANDARD.decode(salt).ok()?;
        Some(Verifier {
            iterations: iterations.parse().ok().filter(|n| *n > 0)?,
            salt: salt.to_string(),
            stored_key: decode_key(stored)?,
            server_key: decode_key(server)?,
        })
    }

    /// For a user that does not exist: the same exchange, the same salt each time, and no proof that holds.
    pub fn for_unknown_user(user: &str, secret: &[u8]) -> Verifier {
        let salt = hmac(secret, &[b"salt", user.as_bytes()]);
        Verifier {
            iterations: UNKNOWN_USER_ITERATIONS,
            salt: STANDARD.encode(&salt[..16]),
            stored_key: hmac(secret, &[b"stored", user.as_bytes()]),
            server_key: hmac(secret, &[b"server", user.as_bytes()]),
        }
    }
}

/// An authentication after the client's first message.
pub struct Exchange {
    verifier: Verifier,
    nonce: String,
    /// What both sides have said without proof, as far as it goes into the proof.
    auth_message_start: String,
    channel_binding: &'static str,
}

impl Exchange {
    /// Takes the client's first message; `own` is this side's part of the nonce. Gives the answer to it.
    pub fn begin(
        verifier: Verifier,
        first: &[u8],
        server_nonce: &str,
    ) -> Option<(Exchange, String)> {
        let first = std::str::from_utf8(first).ok()?;
        // Without channel binding, as there is none to bind to; a client that could may say so.
        let (channel_binding, bare) = match (first.strip_prefix("n,,"), first.strip_prefix("y,,")) {
            (Some(bare), _) => ("biws", bare),
            (_, Some(bare)) => ("eSws", bare),
            _ => return None,
        };
        let (name, nonce) = bare.split_once(",r=")?;
        let printable = !nonce.is_empty()
            && nonce
                .bytes()
                .all(|c| (0x21..0x7f).contains(&c) && c != b',');
        if !name.starts_with("n=") || name.contains(',') || !printable {
            return None;
        }
        let nonce = format!("{nonce}{server_nonce}");
        let answer = format!("r={nonce},s={},i={}", verifier.salt, verifier.iterations);
        let auth_message_start = format!("{bare},{answer}");
        Some((
            Exchange {
                verifier,
                nonce,
                auth_message_start,
                channel_binding,
            },
            answer,
        ))
    }

    /// Takes the client's last message; the proof of this side, if the client's holds.
    pub fn finish(&self, last: &[u8]) -> Option<String> {
        let last = std::str::from_utf8(last).ok()?;
        let (bare, proof) = last.rsplit_once(",p=")?;
        if bare != format!("c={},r={}", self.channel_binding, self.nonce) {
            return None;
        }
        let proof = decode_key(proof)?;
        let message: [&[u8]; 3] = [self.auth_message_start.as_bytes(), b",", bare.as_bytes()];
        let signature = hmac(&self.verifier.stored_key, &message);
        let client_key: Vec<u8> = proof.iter().zip(signature).map(|(a, b)| a ^ b).collect();
        let stored: [u8; 32] = Sha256::digest(&client_key).into();
        // Compared as a whole, so that how long it takes tells nothing of where they differ.
        let difference = stored
            .iter()
            .zip(self.verifier.stored_key)
            .fold(0, |all, (a, b)| all | (a ^ b));
        (difference == 0).then(|| {
            format!(
                "v={}",
                STANDARD.encode(hmac(&self.verifier.server_key, &message))
            )
        })
    }
}

#[cfg(test)]
#[path = "scram_tests.rs"]
mod tests;
