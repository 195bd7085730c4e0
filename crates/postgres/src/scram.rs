//! The server side of SCRAM-SHA-256 (RFC 5802, RFC 7677), with verifiers in PostgreSQL's form
//! `SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY`. The client side comes from a library.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// The SASL name of the mechanism.
pub const MECHANISM: &str = "SCRAM-SHA-256";
const UNKNOWN_USER_ITERATIONS: u32 = 4096; // PostgreSQL's default

/// The data that a server stores of a user's password to check a proof against.
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
    // HMAC accepts keys of any length, so the error can't occur; zeroes match no stored key.
    let mut mac = match Hmac::<Sha256>::new_from_slice(key) {
        Ok(mac) => mac,
        Err(_) => return [0; 32],
    };
    parts.iter().for_each(|part| mac.update(part));
    mac.finalize().into_bytes().into()
}

impl Verifier {
    /// Parses a verifier in the form of `pg_authid`; None for any other text.
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

    /// Creates the verifier of a user that does not exist: the exchange looks the same, the salt is
    /// the same each time, and no proof is valid. This hides which users exist.
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

/// A SCRAM exchange after the client's first message.
pub struct Exchange {
    verifier: Verifier,
    nonce: String,
    /// The part of the AuthMessage that is known so far: the client's first message without its
    /// header, and the server's first message.
    auth_message_start: String,
    channel_binding: &'static str,
}

impl Exchange {
    /// Reads the client's first message and returns the exchange with the server's first message.
    /// `server_nonce` is the server's part of the nonce. None if the message is invalid.
    pub fn begin(
        verifier: Verifier,
        first: &[u8],
        server_nonce: &str,
    ) -> Option<(Exchange, String)> {
        let first = std::str::from_utf8(first).ok()?;
        // Channel binding is not offered, as the connection has no TLS; a client that supports it
        // may say so ("y").
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

    /// Checks the client's final message. Returns the server's final message if the client's proof
    /// is valid, else None.
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
        // All bytes are compared, so that the time taken does not reveal where the keys differ.
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
