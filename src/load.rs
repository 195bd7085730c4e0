//! The resources that statements use on an engine.

/// Threads and memory in MB.
#[derive(Default, Clone, Copy)]
pub struct Load {
    /// Threads.
    pub threads: f64,
    /// Memory in MB.
    pub memory: f64,
}

impl Load {
    /// Returns the load multiplied by a factor.
    pub fn times(self, factor: f64) -> Load {
        Load {
            threads: self.threads * factor,
            memory: self.memory * factor,
        }
    }

    /// Moves the load towards another one by a share of the difference, 0 to 1.
    pub fn blend(&mut self, other: Load, share: f64) {
        self.threads += (other.threads - self.threads) * share;
        self.memory += (other.memory - self.memory) * share;
    }

    /// Adds a multiple of another load; neither figure falls below 0.
    pub fn add(&mut self, other: Load, times: f64) {
        self.threads = (self.threads + other.threads * times).max(0.0);
        self.memory = (self.memory + other.memory * times).max(0.0);
    }
}
