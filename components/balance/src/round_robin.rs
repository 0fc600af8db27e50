//! Round-robin balancing.

use linkme::distributed_slice;

use kernel::Plugin;
use kernel::Random;
use policy::BALANCE_PLUGINS;
use policy::Balance;
use policy::Candidate;

#[distributed_slice(BALANCE_PLUGINS)]
static PLUGIN: Plugin<dyn Balance> = Plugin {
    name: "round-robin",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(RoundRobin::default()))
    },
};

/// Takes the endpoints in turn, regardless of their load and failure domain.
#[derive(Debug, Default)]
pub struct RoundRobin {
    /// Number of choices so far.
    choices: usize,
}

impl Balance for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _: &mut dyn Random) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.choices = self.choices.wrapping_add(1);
        Some(self.choices % candidates.len())
    }
}
