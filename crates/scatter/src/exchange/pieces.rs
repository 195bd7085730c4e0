//! How a version that a front lacks gets to it: asked for piece by piece, of one front at a time.

use std::collections::BTreeMap;

use super::message::{version_list, Message};
use super::{Exchange, FrontId, Output, MAX_DOWNLOADS, VERSIONS_PER_MESSAGE};
use crate::layers::{self, Detail};
use crate::store::{HeldVersion, SummaryStore};
use crate::summary::MAX_SUMMARY_BYTES;
use crate::Micros;

const PIECE_BYTES: usize = 800; // bytes: with what seals it, it fits a datagram
pub(super) const PIECE_TIMEOUT: Micros = 1_500_000; // microseconds for a piece, then another front may be asked

/// A piece of a summary that has come.
pub(super) struct Piece {
    pub(super) name: u64,
    pub(super) version: u64,
    /// Which of its pieces it is, counted from 0, and how many there are.
    pub(super) piece: u16,
    pub(super) pieces: u16,
    pub(super) bytes: Vec<u8>,
}

pub(super) struct Download {
    version: u64,
    wanted: Detail,
    from: FrontId,
    bytes: Vec<u8>,
    next_piece: u16,
    pub(super) requested_at: Micros,
}

/// A piece that another front wants of what lies at home and is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// The front that asked.
    pub to: FrontId,
    /// Which summary, as [`crate::store::summary_id`] numbers them.
    pub name: u64,
    /// The version asked for.
    pub version: u64,
    pub(super) piece: u16,
}

impl Exchange {
    pub(super) fn compare(
        &mut self,
        now: Micros,
        from: FrontId,
        all: &[HeldVersion],
        summaries: &SummaryStore,
        out: &mut Output,
    ) {
        let available: BTreeMap<u64, (u64, Detail)> = self
            .available(summaries)
            .into_iter()
            .map(|held| (held.name, (held.version, held.detail)))
            .collect();
        let held: BTreeMap<u64, (u64, Detail)> = summaries
            .versions()
            .map(|held| (held.name, (held.version, held.detail)))
            .collect();
        let mut newer = Vec::new();
        for &HeldVersion {
            name,
            version,
            detail: available_detail,
        } in all.iter().take(VERSIONS_PER_MESSAGE)
        {
            let local_version = available.get(&name).copied();
            newer.extend(local_version.filter(|(held, _)| *held > version).map(
                |(version, detail)| HeldVersion {
                    name,
                    version,
                    detail,
                },
            ));
            let Some(wanted) = summaries
                .wanted_detail(name)
                .map(|wanted| wanted.min(available_detail))
            else {
                continue;
            };
            let is_missing = held.get(&name).is_none_or(|held| *held < (version, wanted));
            let is_pending = self
                .downloads
                .get(&name)
                .is_some_and(|c| now - c.requested_at < PIECE_TIMEOUT && c.version >= version);
            let has_capacity =
                self.downloads.len() < MAX_DOWNLOADS || self.downloads.contains_key(&name);
            if is_missing
                && version > 0
                && !is_pending
                && has_capacity
                && !self.rejected.contains(&(name, version, from))
            {
                // What is held of it already need not come again.
                let bytes = summaries.bytes(name).filter(|(held, _)| *held == version);
                let mut bytes = bytes.map_or(Vec::new(), |(_, bytes)| bytes.to_vec());
                bytes.truncate(bytes.len() / PIECE_BYTES * PIECE_BYTES);
                let next_piece = (bytes.len() / PIECE_BYTES) as u16;
                self.downloads.insert(
                    name,
                    Download {
                        version,
                        wanted,
                        from,
                        bytes,
                        next_piece,
                        requested_at: now,
                    },
                );
                self.send(
                    now,
                    from,
                    &Message::Request {
                        name,
                        version,
                        piece: next_piece,
                    },
                    out,
                );
            }
        }
        if !newer.is_empty() {
            self.send(now, from, &version_list(newer, summaries), out);
        }
    }

    pub(super) fn serve_piece(
        &mut self,
        now: Micros,
        request: PieceRequest,
        summaries: &SummaryStore,
        out: &mut Output,
    ) {
        let PieceRequest {
            name,
            version,
            piece,
            ..
        } = request;
        let held = summaries.bytes(name).filter(|(held, _)| *held == version);
        match held {
            // Where there is more at home, a piece that is not whole comes from there.
            Some((_, bytes)) if (usize::from(piece) + 1) * PIECE_BYTES <= bytes.len() => {
                self.send_piece(now, request, &bytes, out);
            }
            _ if summaries.retention.is_some() && self.local.get(&name) == Some(&version) => {
                out.local_reads.push(request)
            }
            Some((_, bytes)) => self.send_piece(now, request, &bytes, out),
            None => {}
        }
    }

    /// Gives a piece of what was read at home.
    pub fn send_piece(
        &mut self,
        now: Micros,
        request: PieceRequest,
        bytes: &[u8],
        out: &mut Output,
    ) {
        let PieceRequest {
            to,
            name,
            version,
            piece,
        } = request;
        let Some(part) = bytes.chunks(PIECE_BYTES).nth(usize::from(piece)) else {
            return;
        };
        let pieces = bytes.len().div_ceil(PIECE_BYTES) as u16;
        let message = Message::Piece {
            name,
            version,
            piece,
            pieces,
            bytes: part.to_vec(),
        };
        self.send(now, to, &message, out);
    }

    /// Puts a piece behind those that have come; the whole, with the last one.
    pub(super) fn add_piece(
        &mut self,
        now: Micros,
        from: FrontId,
        piece: &Piece,
        out: &mut Output,
    ) -> Option<Vec<u8>> {
        let Piece {
            name,
            version,
            piece,
            pieces,
            ref bytes,
        } = *piece;
        let download = self.downloads.get_mut(&name)?;
        let expected =
            (download.version, download.from, download.next_piece) == (version, from, piece);
        if !expected || piece >= pieces || download.bytes.len() + bytes.len() > MAX_SUMMARY_BYTES {
            return None;
        }
        download.bytes.extend_from_slice(bytes);
        download.next_piece += 1;
        download.requested_at = now;
        let ends = layers::layer_ends(&download.bytes);
        let end = ends.and_then(|ends| ends.get(download.wanted as usize).copied());
        if let Some(end) = end.filter(|end| *end <= download.bytes.len()) {
            download.bytes.truncate(end);
            return self.downloads.remove(&name).map(|download| download.bytes);
        }
        if download.next_piece == pieces {
            return self.downloads.remove(&name).map(|download| download.bytes);
        }
        let next_piece = download.next_piece;
        self.send(
            now,
            from,
            &Message::Request {
                name,
                version,
                piece: next_piece,
            },
            out,
        );
        None
    }
}
