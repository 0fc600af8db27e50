//! Power-of-two-choices balancing that sends more requests to endpoints that respond faster.

use linkme::distributed_slice;

use crate::PowerOfTwoChoices;
use kernel::Plugin;
use kernel::Random;
use policy::BALANCE_PLUGINS;
use policy::Balance;
use policy::Candidate;

/// Lowest share of its requests that a slow endpoint keeps, in thousandths, so that the entry sees when it
/// has become faster.
const MIN_SHARE: u64 = 250;

#[distributed_slice(BALANCE_PLUGINS)]
static PLUGIN: Plugin<dyn Balance> = Plugin {
    name: "p2c-speed",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(SpeedWeighted))
    },
};

/// Takes the less utilized of two random endpoints, where a slow endpoint counts as one with fewer slots.
#[derive(Clone, Copy, Debug)]
pub struct SpeedWeighted;

impl Balance for SpeedWeighted {
    fn choose(&mut self, candidates: &[Candidate], random: &mut dyn Random) -> Option<usize> {
        let fastest = candidates.iter().map(|it| it.slowness.max(1)).min()?;
        let weighted = candidates.iter().map(|it| {
            let share = u64::from(fastest) * 1_000 / u64::from(it.slowness.max(1));
            let weight = u64::from(it.weight) * share.max(MIN_SHARE) / 1_000;
            Candidate {
                weight: u32::try_from(weight).unwrap_or(it.weight),
                ..*it
            }
        });
        let weighted: Vec<Candidate> = weighted.collect();
        PowerOfTwoChoices.choose(&weighted, random)
    }
}
