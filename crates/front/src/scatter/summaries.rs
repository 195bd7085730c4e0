//! Summaries from the operator's directory and from other fronts.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;

use ed25519_dalek::VerifyingKey;
use hallmux_agreement::Scatter;
use hallmux_dispatcher::Micros;
use hallmux_gossip::PeerId;
use hallmux_scatter::book::{Book, Terms};
use hallmux_scatter::spread::{Out, Spread};
use hallmux_scatter::summary::{Refused, MOST_BYTES};

const SAID: Micros = 60_000_000; // microseconds between lines of the log on what other fronts sent that was refused

pub struct Summaries {
    pub book: Book,
    spread: Spread,
    said: Micros,
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
    /// `turn` is where among the others this front begins to tell of what it holds.
    pub fn new(settings: &Scatter, now: Micros, turn: usize) -> std::io::Result<Summaries> {
        let mut summaries =
            Summaries { book: Book::new(terms(settings)?), spread: Spread::new(turn), said: 0 };
        summaries.read(settings, now);
        Ok(summaries)
    }

    /// The operator's file was read again.
    pub fn reload(&mut self, settings: &Scatter, now: Micros) -> std::io::Result<()> {
        self.book.turn_to(terms(settings)?);
        self.read(settings, now);
        Ok(())
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
        for path in files.flatten().map(|file| file.path()).filter(|path| path.is_file()) {
            // One byte more than counts: what is longer is refused for its length.
            let mut bytes = Vec::new();
            let read = File::open(&path)
                .and_then(|file| file.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes).map(|_| ()));
            match read
                .map_err(|e| e.to_string())
                .and_then(|()| self.book.take((now / 1000) as u64, &bytes).map_err(|why| why.to_string()))
            {
                Ok(taken) => new += usize::from(taken),
                Err(why) => log::warn!("scatter.directory: {}: {why}", path.display()),
            }
        }
        log::info!("{new} new summaries of sites, {} are held", self.book.len());
    }

    pub fn due(&self) -> Micros {
        self.spread.due()
    }

    /// Letters to other fronts, where it is time.
    pub fn tick(&mut self, now: Micros, others: &[PeerId]) -> Vec<(PeerId, Vec<u8>)> {
        let out = self.spread.tick(now, others, &self.book);
        self.take(now, out)
    }

    /// A letter of another front; what is to go back.
    pub fn heard(&mut self, now: Micros, from: PeerId, bytes: &[u8]) -> Vec<(PeerId, Vec<u8>)> {
        let out = self.spread.heard(now, (now / 1000) as u64, from, bytes, &mut self.book);
        self.take(now, out)
    }

    fn take(&mut self, now: Micros, out: Out) -> Vec<(PeerId, Vec<u8>)> {
        let refused: Vec<Refused> = out.taken.into_iter().filter_map(Result::err).collect();
        if let Some(why) = refused.first().filter(|_| self.said + SAID <= now) {
            self.said = now;
            log::warn!("from another front: {why}; refused so far: {:?}", self.book.refused);
        }
        out.letters
    }
}
