//! Randomness as the decisions see it.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Source of random numbers.
pub trait Random: Send {
    /// A number from the whole range.
    fn next_u64(&mut self) -> u64;

    /// A number below `bound`; 0 if `bound` is 0.
    fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        usize::try_from(self.next_u64() % (bound as u64)).unwrap_or(0)
    }
}

/// Generator that gives the same numbers for the same seed.
#[derive(Clone, Debug)]
pub struct SeededRandom {
    generator: SmallRng,
}

impl SeededRandom {
    /// A generator for `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            generator: SmallRng::seed_from_u64(seed),
        }
    }

    /// A generator with a seed from the operating system.
    pub fn from_system() -> Self {
        Self::new(rand::random())
    }
}

impl Random for SeededRandom {
    fn next_u64(&mut self) -> u64 {
        self.generator.random()
    }
}
