//! The better of two random choices.

use linkme::distributed_slice;

use kernel::Plugin;
use kernel::Random;
use policy::BALANCES;
use policy::Balance;
use policy::Candidate;

#[distributed_slice(BALANCES)]
static PLUGIN: Plugin<dyn Balance> = Plugin {
    name: "p2c",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(Two))
    },
};

/// Two random choices by load.
#[derive(Clone, Copy, Debug)]
pub struct Two;

/// Work ahead of a new request, in thousandths of the endpoint's slots.
fn pressure(candidate: &Candidate) -> u64 {
    let reported = candidate.load.map_or(0, |load| load.running + load.queued);
    let ahead = u64::from(reported.max(candidate.in_flight));
    ahead * 1_000 / u64::from(candidate.slots.max(1))
}

impl Balance for Two {
    fn choose(&mut self, candidates: &[Candidate], random: &mut dyn Random) -> Option<usize> {
        let near: Vec<usize> = (0..candidates.len())
            .filter(|at| candidates[*at].near)
            .collect();
        let free = near.iter().any(|at| pressure(&candidates[*at]) < 1_000);
        let pool = if free {
            near
        } else {
            (0..candidates.len()).collect()
        };
        if pool.is_empty() {
            return None;
        }
        let first = pool[random.below(pool.len())];
        let second = pool[random.below(pool.len())];
        let better = pressure(&candidates[second]) < pressure(&candidates[first]);
        Some(if better { second } else { first })
    }
}
