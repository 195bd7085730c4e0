//! Summaries between fronts: each round tells two others some names and versions in turn; whoever lacks a version asks for
//! it piece by piece. A version that is new at a front is told on at once. What leaves a second is bounded,
//! whatever the number of fronts and sites.

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

/// Another front, by the first bytes of its public key.
pub type FrontId = u64;

const ROUND_INTERVAL: Micros = 1_000_000; // microseconds between rounds
const ROUND_FANOUT: usize = 2; // fronts that a round is told to
const NEW_VERSION_FANOUT: usize = 3; // fronts that a new version is told to, each of which tells it on
const VERSIONS_PER_MESSAGE: usize = 32; // names and versions of a round: some 600 bytes
const MAX_BYTES_PER_SECOND: f64 = 12_000.0; // of messages, answers included: a whole summary in some six seconds
const MAX_DOWNLOADS: usize = 8; // summaries that come in at once
const FALSE_REPORT_TTL: Micros = 60_000_000; // microseconds for which a false word is told, each round to two
const MAX_FALSE_REPORTS: usize = 1_024; // sites and groups whose false reports are known
const MAX_REJECTED: usize = 256; // reports of others that were refused and are not asked for again

/// One front's part in the exchange of summaries. It sends nothing itself: messages come in and go out as
/// bytes.
pub struct Exchange {
    next_round: Micros,
    /// Where the next window begins.
    last_announced: u64,
    next_peer: usize,
    byte_budget: f64,
    refilled_at: Micros,
    downloads: BTreeMap<u64, Download>,
    /// New here, to be told on.
    unannounced: BTreeSet<u64>,
    /// By site and group the highest version found false, and when this front came to know of it.
    false_reports: BTreeMap<(String, u32), (u64, Micros)>,
    /// SummaryError reports: name, version, whose.
    rejected: BTreeSet<(u64, u64, FrontId)>,
    /// Names and versions that this front can read whole at home, whatever it holds of them.
    pub local: BTreeMap<u64, u64>,
}

/// What is to leave, and what became of whole summaries that came.
#[derive(Default)]
pub struct Output {
    /// Messages to other fronts, as bytes.
    pub messages: Vec<(FrontId, Vec<u8>)>,
    /// Whether each summary that came in whole was new, or why it was refused; a message that can't be read counts as
    /// one of the wrong form.
    pub accepted: Vec<Result<bool, SummaryError>>,
    /// What is to be read at home and handed to `send_piece`.
    pub local_reads: Vec<PieceRequest>,
    /// False reports that others have found and this front had not heard of.
    pub false_summaries: Vec<FalseSummary>,
}

impl Exchange {
    /// `next_peer` is where among the others it begins; fronts should differ.
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

    /// When [`Exchange::tick`] is next due, in microseconds on the front's clock; 0: at once.
    pub fn due(&self) -> Micros {
        if self.unannounced.is_empty() {
            self.next_round
        } else {
            0
        }
    }

    /// A version of this name is new here.
    pub fn announce(&mut self, name: u64) {
        self.unannounced.insert(name);
    }

    /// A site's word was found false here, or was heard to be: false where that was known already.
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

    /// The false reports that are told in this round, those found last first.
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

    /// Tells some of what is held to some others, where it is time.
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

    /// The next of the others in turn; there has to be one.
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

    /// What can be had here: what is held, and what lies at home.
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

    /// A message has come. One that can't be read counts for nothing.
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
        // What is over the bound is lost, as any datagram may be: it is asked for again.
        if self.byte_budget >= bytes.len() as f64 {
            self.byte_budget -= bytes.len() as f64;
            out.messages.push((to, bytes));
        }
    }
}
