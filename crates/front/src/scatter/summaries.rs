//! Summaries from the operator's directory and from other fronts.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read};
use std::path::PathBuf;

use ed25519_dalek::VerifyingKey;
use hallmux_agreement::Scatter;
use hallmux_dispatcher::Micros;
use hallmux_gossip::PeerId;
use hallmux_scatter::book::{Book, Terms};
use hallmux_scatter::keep::{Budget, Keep};
use hallmux_scatter::sheets::Fineness;
use hallmux_scatter::spread::{FalseWord, Out, Spread};
use hallmux_scatter::summary::{Refused, MOST_BYTES};

const LOG_INTERVAL: Micros = 60_000_000; // microseconds between lines of the log on what other fronts sent that was refused

const CHOOSE_INTERVAL: Micros = 10_000_000; // microseconds between choices of what is held
const SAVE_INTERVAL: Micros = 60_000_000; // microseconds between saves of what was learned

pub struct Summaries {
    pub book: Book,
    spread: Spread,
    /// False summaries of sites that other fronts have reported.
    pub found: Vec<FalseWord>,
    last_log: Micros,
    /// Files of this front's directory, by the names of what they hold; where that may be held in part.
    local_files: BTreeMap<u64, PathBuf>,
    file: Option<PathBuf>,
    chosen: Micros,
    saved: Micros,
}

fn budget(keep: &hallmux_agreement::SummaryBudget) -> Budget {
    Budget { memory: keep.memory_bytes as f64, traffic: keep.bytes_a_second as f64 }
}

fn terms(settings: &Scatter) -> std::io::Result<Terms> {
    let key = |(name, key): (&String, &[u8; 32])| match VerifyingKey::from_bytes(key) {
        Ok(key) => Ok((name.clone(), key)),
        Err(_) => Err(std::io::Error::other(format!("scatter.sites.{name}: is no public key of ed25519"))),
    };
    Ok(Terms {
        sites: settings.sites.iter().map(key).collect::<std::io::Result<BTreeMap<_, _>>>()?,
        schemas: settings.schemas.clone(),
        oldest_ms: settings.oldest_ms,
        ahead_ms: settings.ahead_ms,
        most: settings.most,
    })
}

impl Summaries {
    /// `spread_offset`: with which of its peers this front begins to spread what it holds.
    pub fn new(settings: &Scatter, now: Micros, spread_offset: usize) -> std::io::Result<Summaries> {
        let mut summaries = Summaries {
            book: Book::new(terms(settings)?),
            spread: Spread::new(spread_offset),
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
        self.book.turn_to(terms(settings)?);
        self.keep(settings, now);
        self.read(settings, now);
        Ok(())
    }

    /// Takes up the budget, with what was learned before.
    fn keep(&mut self, settings: &Scatter, now: Micros) {
        let Some(terms) = &settings.keep else {
            self.book.keep = None;
            return;
        };
        self.file = terms.file.as_ref().map(PathBuf::from);
        if let Some(keep) = &mut self.book.keep {
            return keep.budget(budget(terms));
        }
        let mut keep = Keep::new(budget(terms));
        if let Some(file) = &self.file {
            match std::fs::read(file) {
                Ok(bytes) if keep.read(now, &bytes) => {
                    log::info!("{} summaries are known of before", keep.len())
                }
                Ok(_) => log::warn!(
                    "scatter.keep.file {}: damaged, or of another version; it is learned anew",
                    file.display()
                ),
                Err(e) if e.kind() == ErrorKind::NotFound => {}
                Err(e) => log::warn!("scatter.keep.file {}: {e}; it is learned anew", file.display()),
            }
        }
        keep.choose(now);
        self.book.keep = Some(keep);
    }

    /// Writes what was learned, beside and then in place of what was there.
    pub fn save(&self) {
        let Some((file, keep)) = self.file.as_ref().zip(self.book.keep.as_ref()) else { return };
        let beside = file.with_extension("new");
        let written = std::fs::write(&beside, keep.bytes()).and_then(|()| std::fs::rename(&beside, file));
        if let Err(e) = written {
            log::warn!("scatter.keep.file {}: {e}; what is learned is lost at a restart", file.display());
        }
    }

    /// Takes in what lies in the directory. A file that can't be used is named with its reason, the others count.
    fn read(&mut self, settings: &Scatter, now: Micros) {
        let Some(directory) = &settings.directory else { return };
        let files = match std::fs::read_dir(directory) {
            Ok(files) => files,
            Err(e) => {
                return log::error!("scatter.directory: {directory}: {e}; no summaries are read from it")
            }
        };
        let mut new = 0;
        self.local_files.clear();
        self.spread.home.clear();
        for path in files.flatten().map(|file| file.path()).filter(|path| path.is_file()) {
            // One byte more than counts: what is longer is refused for its length.
            let mut bytes = Vec::new();
            let read = File::open(&path)
                .and_then(|file| file.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes).map(|_| ()));
            match read
                .map_err(|e| e.to_string())
                .and_then(|()| self.book.take((now / 1000) as u64, &bytes).map_err(|why| why.to_string()))
            {
                Ok(taken) => {
                    new += usize::from(taken);
                    if let Some((name, version)) = self.book.named(&bytes) {
                        if taken {
                            self.spread.news(name);
                        }
                        if self.book.keep.is_some() {
                            self.local_files.insert(name, path);
                            self.spread.home.insert(name, version);
                        }
                    }
                }
                Err(why) => log::warn!("scatter.directory: {}: {why}", path.display()),
            }
        }
        log::info!("{new} new summaries of sites, {} are held", self.book.len());
    }

    pub fn due(&self) -> Micros {
        self.spread.due()
    }

    /// Messages to other fronts, where it is time.
    pub fn tick(&mut self, now: Micros, others: &[PeerId]) -> Vec<(PeerId, Vec<u8>)> {
        let out = self.spread.tick(now, others, &self.book);
        self.take(now, out)
    }

    /// A message of another front; returns what is to be sent back.
    pub fn receive(&mut self, now: Micros, from: PeerId, bytes: &[u8]) -> Vec<(PeerId, Vec<u8>)> {
        let out = self.spread.heard(now, (now / 1000) as u64, from, bytes, &mut self.book);
        self.take(now, out)
    }

    /// When `choose` is next due.
    pub fn choose_due(&self) -> Micros {
        self.book.keep.as_ref().map_or(Micros::MAX, |_| self.chosen + CHOOSE_INTERVAL)
    }

    /// Chooses anew what is held, where it is time, and saves what was learned.
    pub fn choose(&mut self, now: Micros) {
        if self.book.keep.is_none() || now < self.chosen + CHOOSE_INTERVAL {
            return;
        }
        self.chosen = now;
        self.book.choose((now / 1000) as u64);
        let held: BTreeMap<u64, Fineness> = self.book.versions().map(|(n, _, fine)| (n, fine)).collect();
        for (name, path) in &self.local_files {
            // A summary that is in a local file need not come from others.
            if held.get(name).copied() < self.book.wants(*name) {
                let read = std::fs::read(path).ok().filter(|bytes| bytes.len() <= MOST_BYTES);
                read.into_iter().for_each(|bytes| _ = self.book.take((now / 1000) as u64, &bytes));
            }
        }
        if now >= self.saved + SAVE_INTERVAL {
            self.saved = now;
            self.save();
        }
    }

    /// What others want of local files that are not held whole.
    fn lend(&mut self, now: Micros, out: &mut Out) {
        for loan in std::mem::take(&mut out.loans) {
            let bytes = self.local_files.get(&loan.name).and_then(|path| std::fs::read(path).ok());
            let of = |bytes: &Vec<u8>| self.book.named(bytes) == Some((loan.name, loan.version));
            if let Some(bytes) = bytes.filter(of) {
                self.spread.lend(now, loan, &bytes, out);
            }
        }
    }

    /// A false summary was found here: it is reported to others.
    pub fn report_false_word(&mut self, now: Micros, word: &FalseWord) {
        self.spread.finds(now, word);
    }

    fn take(&mut self, now: Micros, mut out: Out) -> Vec<(PeerId, Vec<u8>)> {
        self.found.append(&mut out.found);
        self.lend(now, &mut out);
        let refused: Vec<Refused> = out.taken.into_iter().filter_map(Result::err).collect();
        if let Some(why) = refused.first().filter(|_| self.last_log + LOG_INTERVAL <= now) {
            self.last_log = now;
            log::warn!("from another front: {why}; refused so far: {:?}", self.book.refused);
        }
        out.letters
    }
}
