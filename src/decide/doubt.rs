//! What other fronts' word of an engine is worth, and of a zone that the fleet has left.

use super::*;

impl Front {
    pub(super) fn hear(&mut self, said: Hearsay) {
        // Silence counts beyond what the longest usual run may take here: long statements are silent too.
        let longest = self.learned.iter().map(|l| l.run.value).fold(0.0, f64::max);
        let beyond = (said.silent as f64 - SILENCE_RUNS * longest).max(0.0);
        let silence = beyond / (beyond + SECOND as f64);
        let ill = (said.failed / (said.failed + said.answered + 1.0)).max(silence);
        let (at, until) = ((said.engine, said.maker), self.now - said.age + HEARD_FOR);
        self.words.said.retain(|_, (_, until)| *until > self.now);
        let believed = self.words.credit(said.maker, TRUSTED) >= TRUSTED;
        // What was said before an engine was found well, or of an earlier start, is over.
        let well_since = self.engines.cold_until[said.engine] - self.agreed.warm_within;
        if ill >= DOUBTFUL && until > self.now && until - HEARD_FOR >= well_since {
            self.words.said.insert(at, (ill, until));
            self.leave_zone(said.engine);
        } else {
            self.words.said.remove(&at);
            let well = self.engines.left.get_mut(&said.engine).filter(|_| believed && said.answers());
            let enough = well.is_some_and(|w| w.insert(said.maker) && w.len() >= self.agreed.zone_quorum);
            self.found_well(said.engine, enough);
        }
    }

    /// How much of an engine's bound others' word leaves: one believed front takes half at most, fading with
    /// age; of a zone that the fleet has left nothing.
    pub(super) fn doubt(&self, e: EngineId) -> f64 {
        let worth = |(maker, ill, until): (usize, f64, Micros)| {
            let left = (until - self.now).max(0) as f64 / HEARD_FOR as f64;
            (self.words.credit(maker, TRUSTED) * ill * left.sqrt()).min(0.5)
        };
        let taken = HEARSAY * self.words.of(e).map(worth).sum::<f64>().min(1.0);
        f64::from(u8::from(!self.engines.is_left(e))) * (1.0 - taken)
    }

    /// Believed fronts of as many vantages as agreed that speak ill of most of a zone are the fleet's word:
    /// it is left, and stays so when the word fades, as nobody has anything out there by then.
    fn leave_zone(&mut self, e: EngineId) {
        let (near, quorum) = (self.engines.near(e), self.agreed.zone_quorum);
        let (makers, ill) = self.words.against(&near, TRUSTED, TRUSTED);
        if quorum > 0 && makers.len() >= quorum && 2 * ill.len() > near.len() {
            ill.iter().for_each(|o| _ = self.engines.left.entry(*o).or_default());
        }
    }

    /// An engine of a zone that was left is well: once half of them are, the zone is used again, as cold.
    pub(super) fn found_well(&mut self, e: EngineId, well: bool) {
        if !well || self.engines.left.remove(&e).is_none() {
            return;
        }
        let near = self.engines.near(e);
        if 2 * near.iter().filter(|o| self.engines.left.contains_key(o)).count() <= near.len() {
            for o in near {
                self.engines.left.remove(&o);
                self.words.forget(o);
                (self.engines.credit[o], self.engines.rests_until[o]) = (TRUSTED, 0);
                self.found_cold(o, self.now + self.agreed.warm_within);
            }
        }
    }

    /// An engine has shown here what others' word of it was worth.
    pub(super) fn proved(&mut self, e: EngineId, ill: bool) {
        let earns = |credit: f64| if ill { (credit + EARNED).min(1.0) } else { credit * TOLD_WRONG };
        self.words.proved(e, TRUSTED, earns);
    }
}
