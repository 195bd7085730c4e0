//! Queries of a simulated fleet: answers, replicas and leaders.

use hallmux_ledger::{shard_of, Key, Kind, Ledger, Operation, Outcome};

use super::{Fleet, SECOND};

impl Fleet {
    /// The answer to a request of a front in its current incarnation.
    pub fn outcome(&self, n: usize, number: u64) -> Option<&Outcome> {
        self.history.outcome(n, self.fronts[n].incarnation, number)
    }

    /// Submits a request and waits for the answer.
    pub fn request(&mut self, n: usize, key: &str, operation: Operation) -> Outcome {
        let number = self.submit(n, key, operation);
        self.run_until(2 * SECOND, |fleet| fleet.outcome(n, number).is_some());
        self.outcome(n, number)
            .cloned()
            .expect("every ask is answered")
    }

    /// Submits a request under new numbers until it is answered otherwise than unreachable.
    pub fn request_until_answered(&mut self, n: usize, key: &str, operation: Operation) -> Outcome {
        for _ in 0..20 {
            match self.request(n, key, operation.clone()) {
                Outcome::Unreachable => {}
                outcome => return outcome,
            }
        }
        panic!("{key} stays unreachable at {}", self.now)
    }

    /// The number of replicas of a shard in its latest configuration.
    pub fn replica_count(&self, shard: u16) -> usize {
        let ledgers = self.fronts.iter().filter_map(|front| front.ledger.as_ref());
        let configs: Vec<u32> = ledgers
            .flat_map(|ledger| {
                ledger
                    .replicas()
                    .filter(|replica| replica.shard == shard)
                    .map(|replica| replica.config)
            })
            .collect();
        let latest = configs.iter().max();
        configs
            .iter()
            .filter(|config| Some(*config) == latest)
            .count()
    }

    /// Whether each shard has all its replicas and a leader.
    pub fn is_fully_replicated(&self) -> bool {
        let is_led = |shard| {
            let fronts = self.fronts.iter().filter_map(|front| front.ledger.as_ref());
            fronts
                .flat_map(Ledger::replicas)
                .any(|replica| replica.shard == shard && replica.is_leader)
        };
        (0..self.setup.shards).all(|shard| {
            self.replica_count(shard) == self.setup.replication_factor && is_led(shard)
        })
    }

    /// The front that leads a key's shard.
    pub fn leader(&self, key: &str) -> Option<usize> {
        let shard = shard_of(
            &Key {
                kind: Kind::Order,
                name: key.to_string(),
            },
            self.setup.shards,
        );
        let leads = |ledger: &Ledger| {
            ledger
                .replicas()
                .filter(|replica| replica.shard == shard && replica.is_leader)
                .map(|replica| replica.config)
                .max()
        };
        (0..self.fronts.len())
            .filter(|n| self.is_up(*n))
            .filter_map(|n| Some((leads(self.fronts[n].ledger.as_ref()?)?, n)))
            .max()
            .map(|(_, n)| n)
    }
}
