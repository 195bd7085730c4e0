//! Reads the sites' summaries from the operator's directory, and exchanges them with other fronts.

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
use hallmux_scatter::summary::{SummaryError, MAX_SUMMARY_BYTES};

/// Microseconds between log lines on rejected summaries of other fronts.
const LOG_INTERVAL: Micros = 60_000_000;

/// Microseconds between decisions on which summaries to retain.
const RETENTION_INTERVAL: Micros = 10_000_000;
/// Microseconds between saves of the statistics on the usefulness of summaries.
const SAVE_INTERVAL: Micros = 60_000_000;

/// The summaries of sites: the store, their files, and their exchange with other fronts.
pub struct Summaries {
    pub store: SummaryStore,
    exchange: Exchange,
    /// False summaries of sites that other fronts have reported.
    pub reported_false: Vec<FalseSummary>,
    last_log_time: Micros,
    /// Files of this front's directory, by the names of their summaries. Filled only if a budget
    /// limits what is retained, because a summary may then be held in part.
    local_files: BTreeMap<u64, PathBuf>,
    keep_file: Option<PathBuf>,
    last_retention_update: Micros,
    last_save: Micros,
}

/// Returns the budget for retained summaries.
fn budget(keep: &hallmux_config::SummaryBudget) -> Budget {
    Budget {
        memory: keep.memory_bytes as f64,
        traffic: keep.bytes_per_s as f64,
    }
}

/// Returns the settings of the store. Fails if a site's key is not a public key.
fn store_settings(settings: &Scatter) -> std::io::Result<StoreSettings> {
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
        max_age_ms: settings.max_summary_age_ms,
        max_ahead_ms: settings.max_summary_ahead_ms,
        max_summaries: settings.max_summaries,
    })
}

impl Summaries {
    /// Reads the directory and the saved statistics. `spread_offset` is the index of the peer to
    /// which this front sends its summaries first. Fails if a site's key can't be used.
    pub fn new(
        settings: &Scatter,
        now: Micros,
        spread_offset: usize,
    ) -> std::io::Result<Summaries> {
        let mut summaries = Summaries {
            store: SummaryStore::new(store_settings(settings)?),
            exchange: Exchange::new(spread_offset),
            reported_false: Vec::new(),
            last_log_time: 0,
            local_files: BTreeMap::new(),
            keep_file: None,
            last_retention_update: 0,
            last_save: now,
        };
        summaries.configure_retention(settings, now);
        summaries.read_directory(settings, now);
        Ok(summaries)
    }

    /// Applies settings that were read again, and reads the directory again.
    pub fn reload(&mut self, settings: &Scatter, now: Micros) -> std::io::Result<()> {
        self.store.reconfigure(store_settings(settings)?);
        self.configure_retention(settings, now);
        self.read_directory(settings, now);
        Ok(())
    }

    /// Applies the budget. If there was none before, restores the saved statistics; without a
    /// budget in the settings, all summaries are retained.
    fn configure_retention(&mut self, settings: &Scatter, now: Micros) {
        let Some(keep_settings) = &settings.summary_budget else {
            self.store.retention = None;
            return;
        };
        self.keep_file = keep_settings.file.as_ref().map(PathBuf::from);
        if let Some(retention) = &mut self.store.retention {
            return retention.set_budget(budget(keep_settings));
        }
        let mut retention = Retention::new(budget(keep_settings));
        if let Some(file) = &self.keep_file {
            match std::fs::read(file) {
                Ok(bytes) if retention.restore(now, &bytes) => {
                    log::info!("scatter.keep.file: statistics on {} summaries are restored", retention.len())
                }
                Ok(_) => log::warn!(
                    "scatter.keep.file {}: damaged, or of another version; its statistics are learned again",
                    file.display()
                ),
                Err(e) if e.kind() == ErrorKind::NotFound => {}
                Err(e) => log::warn!(
                    "scatter.keep.file {}: {e}; its statistics are learned again",
                    file.display()
                ),
            }
        }
        retention.choose(now);
        self.store.retention = Some(retention);
    }

    /// Saves the statistics: writes a temporary file and renames it.
    pub fn save(&self) {
        let Some((file, retention)) = self.keep_file.as_ref().zip(self.store.retention.as_ref())
        else {
            return;
        };
        let temporary_path = file.with_extension("new");
        let written = std::fs::write(&temporary_path, retention.to_bytes())
            .and_then(|()| std::fs::rename(&temporary_path, file));
        if let Err(e) = written {
            log::warn!(
                "scatter.keep.file {}: {e}; its statistics will be lost at a restart",
                file.display()
            );
        }
    }

    /// Reads the summaries in the directory. A file that can't be used is logged with the reason
    /// and skipped.
    fn read_directory(&mut self, settings: &Scatter, now: Micros) {
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
        let mut new_count = 0;
        self.local_files.clear();
        self.exchange.local.clear();
        for path in files
            .flatten()
            .map(|file| file.path())
            .filter(|path| path.is_file())
        {
            // One byte above the limit, so that a longer file is rejected for its length.
            let mut bytes = Vec::new();
            let read = File::open(&path).and_then(|file| {
                file.take(MAX_SUMMARY_BYTES as u64 + 1)
                    .read_to_end(&mut bytes)
                    .map(|_| ())
            });
            match read.map_err(|e| e.to_string()).and_then(|()| {
                self.store
                    .accept((now / 1000) as u64, &bytes)
                    .map_err(|why| why.to_string())
            }) {
                Ok(is_new) => {
                    new_count += usize::from(is_new);
                    if let Some((name, version)) = self.store.id_and_version(&bytes) {
                        if is_new {
                            self.exchange.announce(name);
                        }
                        if self.store.retention.is_some() {
                            self.local_files.insert(name, path);
                            self.exchange.local.insert(name, version);
                        }
                    }
                }
                Err(error) => log::warn!("scatter.directory: {}: {error}", path.display()),
            }
        }
        log::info!(
            "scatter.directory: {new_count} new summaries of sites, {} are held",
            self.store.len()
        );
    }

    /// When `tick` is next due, in Unix microseconds.
    pub fn due(&self) -> Micros {
        self.exchange.due()
    }

    /// Runs the timers of the exchange, and returns messages to send to peers.
    pub fn tick(&mut self, now: Micros, peers: &[PeerId]) -> Vec<(PeerId, Vec<u8>)> {
        let output = self.exchange.tick(now, peers, &self.store);
        self.apply_output(now, output)
    }

    /// Handles a message of a peer, and returns the messages to send in response.
    pub fn receive(&mut self, now: Micros, from: PeerId, bytes: &[u8]) -> Vec<(PeerId, Vec<u8>)> {
        let output =
            self.exchange
                .on_message(now, (now / 1000) as u64, from, bytes, &mut self.store);
        self.apply_output(now, output)
    }

    /// When `update_retention` is next due, in Unix microseconds; never without a budget.
    pub fn retention_due(&self) -> Micros {
        self.store.retention.as_ref().map_or(Micros::MAX, |_| {
            self.last_retention_update + RETENTION_INTERVAL
        })
    }

    /// Decides again which summaries to retain, if that is due, and saves the statistics.
    pub fn update_retention(&mut self, now: Micros) {
        if self.store.retention.is_none() || now < self.last_retention_update + RETENTION_INTERVAL {
            return;
        }
        self.last_retention_update = now;
        self.store.choose((now / 1000) as u64);
        let held: BTreeMap<u64, Detail> = self
            .store
            .versions()
            .map(|held| (held.name, held.detail))
            .collect();
        for (name, path) in &self.local_files {
            // A summary in a local file need not be fetched from peers.
            if held.get(name).copied() < self.store.wanted_detail(*name) {
                let read = std::fs::read(path)
                    .ok()
                    .filter(|bytes| bytes.len() <= MAX_SUMMARY_BYTES);
                read.into_iter()
                    .for_each(|bytes| _ = self.store.accept((now / 1000) as u64, &bytes));
            }
        }
        if now >= self.last_save + SAVE_INTERVAL {
            self.last_save = now;
            self.save();
        }
    }

    /// Answers requests of peers for summaries that are in local files but not held in full.
    fn send_local_files(&mut self, now: Micros, output: &mut Output) {
        for request in std::mem::take(&mut output.local_reads) {
            let bytes = self
                .local_files
                .get(&request.name)
                .and_then(|path| std::fs::read(path).ok());
            let is_requested = |bytes: &Vec<u8>| {
                self.store.id_and_version(bytes) == Some((request.name, request.version))
            };
            if let Some(bytes) = bytes.filter(is_requested) {
                self.exchange.send_piece(now, request, &bytes, output);
            }
        }
    }

    /// Reports a false summary that was found at this front to its peers.
    pub fn report_false_summary(&mut self, now: Micros, summary: &FalseSummary) {
        self.exchange.report_false(now, summary);
    }

    /// Records false summaries that peers reported, answers their requests, logs rejections, and
    /// returns the messages to send.
    fn apply_output(&mut self, now: Micros, mut output: Output) -> Vec<(PeerId, Vec<u8>)> {
        self.reported_false.append(&mut output.false_summaries);
        self.send_local_files(now, &mut output);
        let refused: Vec<SummaryError> = output
            .accepted
            .into_iter()
            .filter_map(Result::err)
            .collect();
        if let Some(why) = refused
            .first()
            .filter(|_| self.last_log_time + LOG_INTERVAL <= now)
        {
            self.last_log_time = now;
            log::warn!(
                "from another front: {why}; summaries refused so far: {:?}",
                self.store.rejected
            );
        }
        output.messages
    }
}
