//! Summaries from the operator's directory and from other fronts.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read};
use std::path::PathBuf;

use ed25519_dalek::VerifyingKey;
use hallmux_config::Scatter;
use hallmux_dispatcher::Micros;
use hallmux_gossip::PeerId;
use hallmux_scatter::exchange::{Exchange, FalseSummary, Output};
use hallmux_scatter::layers::Detail;
use hallmux_scatter::retention::{Budget, Retention};
use hallmux_scatter::store::{StoreSettings, SummaryStore};
use hallmux_scatter::summary::{Refused, MOST_BYTES};

/// Microseconds between lines of the log on what other fronts sent that was refused.
const LOG_INTERVAL: Micros = 60_000_000;

/// Microseconds between choices of what is held.
const CHOOSE_INTERVAL: Micros = 10_000_000;
/// Microseconds between saves of what was learned.
const SAVE_INTERVAL: Micros = 60_000_000;

/// The summaries of sites: the store, their files, and what is exchanged of them with other fronts.
pub struct Summaries {
    pub store: SummaryStore,
    spread: Exchange,
    /// False summaries of sites that other fronts have reported.
    pub found: Vec<FalseSummary>,
    last_log: Micros,
    /// Files of this front's directory, by the names of what they hold; where that may be held in part.
    local_files: BTreeMap<u64, PathBuf>,
    file: Option<PathBuf>,
    chosen: Micros,
    saved: Micros,
}

fn budget(keep: &hallmux_config::SummaryBudget) -> Budget {
    Budget {
        memory: keep.memory_bytes as f64,
        traffic: keep.bytes_a_second as f64,
    }
}

fn terms(settings: &Scatter) -> std::io::Result<StoreSettings> {
    let key = |(name, key): (&String, &[u8; 32])| match VerifyingKey::from_bytes(key) {
        Ok(key) => Ok((name.clone(), key)),
        Err(_) => Err(std::io::Error::other(format!(
            "scatter.sites.{name}: is no public key of ed25519"
        ))),
    };
    Ok(StoreSettings {
        sites: settings
            .sites
            .iter()
            .map(key)
            .collect::<std::io::Result<BTreeMap<_, _>>>()?,
        schemas: settings.schemas.clone(),
        oldest_ms: settings.oldest_ms,
        ahead_ms: settings.ahead_ms,
        most: settings.most,
    })
}

impl Summaries {
    /// `spread_offset`: with which of its peers this front begins to spread what it holds.
    pub fn new(
        settings: &Scatter,
        now: Micros,
        spread_offset: usize,
    ) -> std::io::Result<Summaries> {
        let mut summaries = Summaries {
            store: SummaryStore::new(terms(settings)?),
            spread: Exchange::new(spread_offset),
            found: Vec::new(),
            last_log: 0,
            local_files: BTreeMap::new(),
            file: None,
            chosen: 0,
            saved: now,
        };
        summaries.keep(settings, now);
        summaries.read(settings, now);
        Ok(summaries)
    }

    /// The operator's file was read again.
    pub fn reload(&mut self, settings: &Scatter, now: Micros) -> std::io::Result<()> {
        self.store.reconfigure(terms(settings)?);
        self.keep(settings, now);
        self.read(settings, now);
        Ok(())
    }

    /// Takes up the budget, with what was learned before.
    fn keep(&mut self, settings: &Scatter, now: Micros) {
        let Some(terms) = &settings.keep else {
            self.store.retention = None;
            return;
        };
        self.file = terms.file.as_ref().map(PathBuf::from);
        if let Some(keep) = &mut self.store.retention {
            return keep.set_budget(budget(terms));
        }
        let mut keep = Retention::new(budget(terms));
        if let Some(file) = &self.file {
            match std::fs::read(file) {
                Ok(bytes) if keep.restore(now, &bytes) => {
                    log::info!("{} summaries are known of before", keep.len())
                }
                Ok(_) => log::warn!(
                    "scatter.keep.file {}: damaged, or of another version; it is learned anew",
                    file.display()
                ),
                Err(e) if e.kind() == ErrorKind::NotFound => {}
                Err(e) => log::warn!(
                    "scatter.keep.file {}: {e}; it is learned anew",
                    file.display()
                ),
            }
        }
        keep.choose(now);
        self.store.retention = Some(keep);
    }

    /// Writes what was learned, beside and then in place of what was there.
    pub fn save(&self) {
        let Some((file, keep)) = self.file.as_ref().zip(self.store.retention.as_ref()) else {
            return;
        };
        let beside = file.with_extension("new");
        let written =
            std::fs::write(&beside, keep.to_bytes()).and_then(|()| std::fs::rename(&beside, file));
        if let Err(e) = written {
            log::warn!(
                "scatter.keep.file {}: {e}; what is learned is lost at a restart",
                file.display()
            );
        }
    }

    /// Takes in what lies in the directory. A file that can't be used is named with its reason, the others count.
    fn read(&mut self, settings: &Scatter, now: Micros) {
        let Some(directory) = &settings.directory else {
            return;
        };
        let files = match std::fs::read_dir(directory) {
            Ok(files) => files,
            Err(e) => {
                return log::error!(
                    "scatter.directory: {directory}: {e}; no summaries are read from it"
                )
            }
        };
        let mut new = 0;
        self.local_files.clear();
        self.spread.local.clear();
        for path in files
            .flatten()
            .map(|file| file.path())
            .filter(|path| path.is_file())
        {
            // One byte more than counts: what is longer is refused for its length.
            let mut bytes = Vec::new();
            let read = File::open(&path).and_then(|file| {
                file.take(MOST_BYTES as u64 + 1)
                    .read_to_end(&mut bytes)
                    .map(|_| ())
            });
            match read.map_err(|e| e.to_string()).and_then(|()| {
                self.store
                    .accept((now / 1000) as u64, &bytes)
                    .map_err(|why| why.to_string())
            }) {
                Ok(taken) => {
                    new += usize::from(taken);
                    if let Some((name, version)) = self.store.id_and_version(&bytes) {
                        if taken {
                            self.spread.announce(name);
                        }
                        if self.store.retention.is_some() {
                            self.local_files.insert(name, path);
                            self.spread.local.insert(name, version);
                        }
                    }
                }
                Err(why) => log::warn!("scatter.directory: {}: {why}", path.display()),
            }
        }
        log::info!(
            "{new} new summaries of sites, {} are held",
            self.store.len()
        );
    }

    /// When something of them is due, in Unix microseconds.
    pub fn due(&self) -> Micros {
        self.spread.due()
    }

    /// Messages to other fronts, where it is time.
    pub fn tick(&mut self, now: Micros, others: &[PeerId]) -> Vec<(PeerId, Vec<u8>)> {
        let out = self.spread.tick(now, others, &self.store);
        self.take(now, out)
    }

    /// A message of another front; returns what is to be sent back.
    pub fn receive(&mut self, now: Micros, from: PeerId, bytes: &[u8]) -> Vec<(PeerId, Vec<u8>)> {
        let out = self
            .spread
            .on_message(now, (now / 1000) as u64, from, bytes, &mut self.store);
        self.take(now, out)
    }

    /// When `update_retention` is next due.
    pub fn retention_due(&self) -> Micros {
        self.store
            .retention
            .as_ref()
            .map_or(Micros::MAX, |_| self.chosen + CHOOSE_INTERVAL)
    }

    /// Chooses anew what is held, where it is time, and saves what was learned.
    pub fn update_retention(&mut self, now: Micros) {
        if self.store.retention.is_none() || now < self.chosen + CHOOSE_INTERVAL {
            return;
        }
        self.chosen = now;
        self.store.choose((now / 1000) as u64);
        let held: BTreeMap<u64, Detail> = self
            .store
            .versions()
            .map(|held| (held.name, held.detail))
            .collect();
        for (name, path) in &self.local_files {
            // A summary that is in a local file need not come from others.
            if held.get(name).copied() < self.store.wanted_detail(*name) {
                let read = std::fs::read(path)
                    .ok()
                    .filter(|bytes| bytes.len() <= MOST_BYTES);
                read.into_iter()
                    .for_each(|bytes| _ = self.store.accept((now / 1000) as u64, &bytes));
            }
        }
        if now >= self.saved + SAVE_INTERVAL {
            self.saved = now;
            self.save();
        }
    }

    /// What others want of local files that are not held whole.
    fn lend(&mut self, now: Micros, out: &mut Output) {
        for loan in std::mem::take(&mut out.local_reads) {
            let bytes = self
                .local_files
                .get(&loan.name)
                .and_then(|path| std::fs::read(path).ok());
            let of = |bytes: &Vec<u8>| {
                self.store.id_and_version(bytes) == Some((loan.name, loan.version))
            };
            if let Some(bytes) = bytes.filter(of) {
                self.spread.send_piece(now, loan, &bytes, out);
            }
        }
    }

    /// A false summary was found here: it is reported to others.
    pub fn report_false_word(&mut self, now: Micros, word: &FalseSummary) {
        self.spread.report_false(now, word);
    }

    fn take(&mut self, now: Micros, mut out: Output) -> Vec<(PeerId, Vec<u8>)> {
        self.found.append(&mut out.false_summaries);
        self.lend(now, &mut out);
        let refused: Vec<Refused> = out.accepted.into_iter().filter_map(Result::err).collect();
        if let Some(why) = refused
            .first()
            .filter(|_| self.last_log + LOG_INTERVAL <= now)
        {
            self.last_log = now;
            log::warn!(
                "from another front: {why}; refused so far: {:?}",
                self.store.refused
            );
        }
        out.messages
    }
}
