//! Endpoints in turn.

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

/// Round robin, blind to load and failure domain.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Balance for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _: &mut dyn Random) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(self.next % candidates.len())
    }
}
