//! Exchange of summaries between fronts. Each round announces the names and versions of some
//! summaries to two peers; a peer that lacks a version requests it piece by piece. A version that
//! is new at a front is announced to peers at once. The bytes sent per second are bounded, whatever
//! the number of fronts and sites.

mod message;
mod pieces;

use std::collections::{BTreeMap, BTreeSet};

pub use message::FalseSummary;
pub use pieces::PieceRequest;

use crate::layers::Detail;
use crate::store::{HeldVersion, SummaryStore};
use crate::summary::SummaryError;
use crate::Micros;

use message::{version_list, Message};
use pieces::{Download, Piece, PIECE_TIMEOUT};

/// Identifies a front by the first bytes of its public key.
pub type FrontId = u64;

// Microseconds between rounds.
const ROUND_INTERVAL: Micros = 1_000_000;
// Peers that each round announces versions to.
const ROUND_FANOUT: usize = 2;
// Peers to which a new version is announced; each announces it to others in turn.
const NEW_VERSION_FANOUT: usize = 3;
// Some 600 bytes.
const VERSIONS_PER_MESSAGE: usize = 32;
// Messages of all kinds; a complete summary takes some six seconds.
const MAX_BYTES_PER_SECOND: f64 = 12_000.0;
// Summaries that are downloaded at the same time.
const MAX_DOWNLOADS: usize = 8;
// Microseconds for which a false summary is reported, to two peers in each round.
const FALSE_REPORT_TTL: Micros = 60_000_000;
// Sites and groups of which false summaries are recorded.
const MAX_FALSE_REPORTS: usize = 1_024;
// Downloaded versions that were rejected and are not requested again from the same front.
const MAX_REJECTED: usize = 256;

/// The state of one front in the exchange of summaries. It does no input or output: messages are
/// received and returned as bytes.
pub struct Exchange {
    next_round: Micros,
    /// The name after which the next round's versions begin.
    last_announced: u64,
    next_peer: usize,
    byte_budget: f64,
    refilled_at: Micros,
    downloads: BTreeMap<u64, Download>,
    /// Names of summaries that are new here and not announced yet.
    unannounced: BTreeSet<u64>,
    /// For each site and group the highest version found false, and when this front learned of it.
    false_reports: BTreeMap<(String, u32), (u64, Micros)>,
    /// Rejected downloads: name, version and the front that sent it.
    rejected: BTreeSet<(u64, u64, FrontId)>,
    /// Names and versions that this front can read completely from its local summary files, whatever
    /// detail of them it holds.
    pub local: BTreeMap<u64, u64>,
}

/// The messages to send, and the results for summaries that were received completely.
#[derive(Default)]
pub struct Output {
    /// Messages to peers, as bytes.
    pub messages: Vec<(FrontId, Vec<u8>)>,
    /// For each summary received completely, whether it was new or why it was rejected; a message
    /// that can't be read counts as a summary of the wrong form.
    pub accepted: Vec<Result<bool, SummaryError>>,
    /// Pieces that the caller reads from local summary files and passes to [`Exchange::send_piece`].
    pub local_reads: Vec<PieceRequest>,
    /// Reports of false summaries by peers that this front did not know of.
    pub false_summaries: Vec<FalseSummary>,
}

impl Exchange {
    /// Creates the state of a front. `next_peer` is the index of the first peer to contact; it
    /// should differ between fronts.
    pub fn new(next_peer: usize) -> Exchange {
        Exchange {
            next_round: 0,
            last_announced: 0,
            next_peer,
            byte_budget: MAX_BYTES_PER_SECOND,
            refilled_at: 0,
            downloads: BTreeMap::new(),
            unannounced: BTreeSet::new(),
            false_reports: BTreeMap::new(),
            rejected: BTreeSet::new(),
            local: BTreeMap::new(),
        }
    }

    /// When [`Exchange::tick`] is next due, in microseconds on the front's clock; 0 if at once.
    pub fn due(&self) -> Micros {
        if self.unannounced.is_empty() {
            self.next_round
        } else {
            0
        }
    }

    /// Records that a new version of this summary is held, which the next tick announces.
    pub fn announce(&mut self, name: u64) {
        self.unannounced.insert(name);
    }

    /// Records that a site's summary was found false here or was reported by a peer. Returns false
    /// if this was known, or if too many reports are recorded already.
    pub fn report_false(&mut self, now: Micros, report: &FalseSummary) -> bool {
        let key = (report.site.clone(), report.group);
        let known = self
            .false_reports
            .get(&key)
            .is_some_and(|(version, _)| *version >= report.version);
        let has_capacity =
            self.false_reports.len() < MAX_FALSE_REPORTS || self.false_reports.contains_key(&key);
        if known || !has_capacity {
            return false;
        }
        self.false_reports.insert(key, (report.version, now));
        true
    }

    /// The reports of false summaries for this round, the latest ones first.
    fn false_to_report(&self, now: Micros) -> Option<Message> {
        let mut all: Vec<_> = self
            .false_reports
            .iter()
            .filter(|(_, (_, at))| now - at < FALSE_REPORT_TTL)
            .collect();
        all.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        let report =
            |((site, group), (version, _)): (&(String, u32), &(u64, Micros))| FalseSummary {
                site: site.clone(),
                group: *group,
                version: *version,
            };
        let reports: Vec<FalseSummary> = all.into_iter().take(MAX_DOWNLOADS).map(report).collect();
        (!reports.is_empty()).then_some(Message::FalseSummaries(reports))
    }

    /// Announces new versions and, if a round is due, some of the versions that are available here.
    pub fn tick(&mut self, now: Micros, peers: &[FrontId], summaries: &SummaryStore) -> Output {
        let mut out = Output::default();
        self.announce_new(now, peers, summaries, &mut out);
        if now < self.next_round {
            return out;
        }
        self.next_round = now + ROUND_INTERVAL;
        self.downloads
            .retain(|_, download| now - download.requested_at < PIECE_TIMEOUT);
        let false_reports = self.false_to_report(now);
        for _ in 0..ROUND_FANOUT.min(peers.len()) {
            let Some(message) = &false_reports else { break };
            let to = self.choose_peer(peers);
            self.send(now, to, message, &mut out);
        }
        let mut all = self.available(summaries);
        if all.is_empty() || peers.is_empty() {
            return out;
        }
        all.sort_unstable();
        let first = all.partition_point(|held| held.name <= self.last_announced);
        all.rotate_left(first);
        all.truncate(VERSIONS_PER_MESSAGE);
        self.last_announced = all.last().map_or(0, |held| held.name);
        for _ in 0..ROUND_FANOUT.min(peers.len()) {
            let to = self.choose_peer(peers);
            self.send(now, to, &version_list(all.clone(), summaries), &mut out);
        }
        out
    }

    /// The next peer in round-robin order; `peers` must not be empty.
    fn choose_peer(&mut self, peers: &[FrontId]) -> FrontId {
        self.next_peer = self.next_peer.wrapping_add(1);
        peers
            .get(self.next_peer % peers.len())
            .copied()
            .unwrap_or_default()
    }

    fn announce_new(
        &mut self,
        now: Micros,
        peers: &[FrontId],
        summaries: &SummaryStore,
        out: &mut Output,
    ) {
        let unannounced = std::mem::take(&mut self.unannounced);
        if unannounced.is_empty() || peers.is_empty() {
            return;
        }
        let all: Vec<_> = self
            .available(summaries)
            .into_iter()
            .filter(|held| unannounced.contains(&held.name))
            .collect();
        for window in all.chunks(VERSIONS_PER_MESSAGE) {
            for _ in 0..NEW_VERSION_FANOUT.min(peers.len()) {
                let to = self.choose_peer(peers);
                self.send(now, to, &version_list(window.to_vec(), summaries), out);
            }
        }
    }

    /// The versions that this front can serve: those it holds and those in its local summary files.
    fn available(&self, summaries: &SummaryStore) -> Vec<HeldVersion> {
        let mut all: BTreeMap<u64, (u64, Detail)> = summaries
            .versions()
            .map(|held| (held.name, (held.version, held.detail)))
            .collect();
        for (&name, &version) in self.local.iter().filter(|_| summaries.retention.is_some()) {
            let known = all.entry(name).or_insert((version, Detail::Full));
            *known = (*known).max((version, Detail::Full));
        }
        all.into_iter()
            .map(|(name, (version, detail))| HeldVersion {
                name,
                version,
                detail,
            })
            .collect()
    }

    /// Handles a message of a peer. A message that can't be read changes nothing.
    pub fn on_message(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: FrontId,
        bytes: &[u8],
        summaries: &mut SummaryStore,
    ) -> Output {
        let mut out = Output::default();
        match postcard::take_from_bytes(bytes) {
            Ok((Message::Versions(all), [])) => {
                let full_version = |(name, version)| HeldVersion {
                    name,
                    version,
                    detail: Detail::Full,
                };
                let all: Vec<_> = all.into_iter().map(full_version).collect();
                self.compare(now, from, &all, summaries, &mut out);
            }
            Ok((Message::DetailedVersions(all), [])) => {
                self.compare(now, from, &all, summaries, &mut out)
            }
            Ok((
                Message::Request {
                    name,
                    version,
                    piece,
                },
                [],
            )) => {
                let request = PieceRequest {
                    to: from,
                    name,
                    version,
                    piece,
                };
                self.serve_piece(now, request, summaries, &mut out);
            }
            Ok((
                Message::Piece {
                    name,
                    version,
                    piece,
                    pieces,
                    bytes,
                },
                [],
            )) => {
                let piece = Piece {
                    name,
                    version,
                    piece,
                    pieces,
                    bytes,
                };
                let summary_bytes = self.add_piece(now, from, &piece, &mut out);
                if let Some(summary_bytes) = summary_bytes {
                    let outcome = summaries.accept(wall_ms, &summary_bytes);
                    if outcome == Ok(true) {
                        self.unannounced.insert(name);
                    }
                    if outcome.is_err() && self.rejected.len() < MAX_REJECTED {
                        self.rejected.insert((name, version, from));
                    }
                    out.accepted.push(outcome);
                }
            }
            Ok((Message::FalseSummaries(reports), [])) => {
                let known = |report: &FalseSummary| summaries.has_site(&report.site);
                let reports = reports.into_iter().take(MAX_DOWNLOADS).filter(known);
                out.false_summaries = reports
                    .filter(|report| self.report_false(now, report))
                    .collect();
            }
            _ => out.accepted.push(Err(SummaryError::Form)),
        }
        out
    }

    fn send(&mut self, now: Micros, to: FrontId, message: &Message, out: &mut Output) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        let fills = (now - self.refilled_at).max(0) as f64 / 1e6 * MAX_BYTES_PER_SECOND;
        self.byte_budget = (self.byte_budget + fills).min(MAX_BYTES_PER_SECOND);
        self.refilled_at = now;
        // A message over the rate limit is dropped, as any datagram may be; the peer requests it
        // again.
        if self.byte_budget >= bytes.len() as f64 {
            self.byte_budget -= bytes.len() as f64;
            out.messages.push((to, bytes));
        }
    }
}
