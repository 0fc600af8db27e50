//! Random numbers for the state machines and plug-ins.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Source of random numbers.
pub trait Random: Send {
    /// Returns a random number from the whole range of `u64`.
    fn next_u64(&mut self) -> u64;

    /// Returns a random number from 0 to `bound - 1`, or 0 if `bound` is 0.
    fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        usize::try_from(self.next_u64() % (bound as u64)).unwrap_or(0)
    }
}

/// Pseudo-random number generator that gives the same sequence for the same seed.
#[derive(Clone, Debug)]
pub struct SeededRandom {
    generator: SmallRng,
}

impl SeededRandom {
    /// Creates a generator from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            generator: SmallRng::seed_from_u64(seed),
        }
    }

    /// Creates a generator with a random seed from the operating system.
    pub fn from_os_entropy() -> Self {
        Self::new(rand::random())
    }
}

impl Random for SeededRandom {
    fn next_u64(&mut self) -> u64 {
        self.generator.random()
    }
}
