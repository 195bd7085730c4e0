//! Download of a version that a front lacks, piece by piece from one peer at a time.

use std::collections::BTreeMap;

use super::message::{version_list, Message};
use super::{Exchange, FrontId, Output, MAX_DOWNLOADS, VERSIONS_PER_MESSAGE};
use crate::layers::{self, Detail};
use crate::store::{HeldVersion, SummaryStore};
use crate::summary::MAX_SUMMARY_BYTES;
use crate::Micros;

// Fits a datagram together with its encryption.
const PIECE_BYTES: usize = 800;
// Microseconds after which another peer may be asked.
pub(super) const PIECE_TIMEOUT: Micros = 1_500_000;

/// A piece of a summary, as received.
pub(super) struct Piece {
    pub(super) name: u64,
    pub(super) version: u64,
    /// The index of the piece, from 0, and the number of pieces.
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

/// A peer's request for a piece that is not held but can be read from local summary files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// The front that sent the request.
    pub to: FrontId,
    /// The summary's id, as [`crate::store::summary_id`] computes it.
    pub name: u64,
    /// The requested version.
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
                // The pieces of this version that are held already are not requested again.
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
            // Where the local file has more, an incomplete last piece is read from it.
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

    /// Sends a piece of the summary that the caller read from local summary files.
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

    /// Appends a piece to its download and requests the next one. Returns the summary's bytes once
    /// the wanted detail is complete.
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
