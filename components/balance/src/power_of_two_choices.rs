//! The better of two random choices, own failure domain first.

use linkme::distributed_slice;

use kernel::Plugin;
use kernel::Random;
use policy::BALANCE_PLUGINS;
use policy::Balance;
use policy::Candidate;
use policy::FULL_WEIGHT;

/// Pressure up to which the own failure domain takes all, in thousandths of the slots. Spilling over
/// starts before requests have to wait; at 750 urgent work in a flood waited up to a third longer.
const SPILL_PRESSURE: u64 = 600;
/// How much lower the pressure elsewhere has to be, in thousandths of the slots, to be worth the way:
/// a place in a queue before ten slots costs about as much as the way between failure domains.
const SPILL_GAIN: u64 = 100;
/// Draws after which an endpoint with a low weight is taken nevertheless.
const MAX_DRAWS: usize = 8;

#[distributed_slice(BALANCE_PLUGINS)]
static PLUGIN: Plugin<dyn Balance> = Plugin {
    name: "p2c",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(PowerOfTwoChoices))
    },
};

/// Two random choices by load.
#[derive(Clone, Copy, Debug)]
pub struct PowerOfTwoChoices;

/// Work at the endpoint, in thousandths of what it should take at once.
fn pressure(candidate: &Candidate) -> u64 {
    let (reported, limit) = candidate.load.map_or((0, 0), |load| {
        (load.running.saturating_add(load.queued), load.limit)
    });
    let capacity = match limit {
        0 => candidate.slots,
        limit => limit.min(candidate.slots),
    };
    let ahead = u64::from(reported.max(candidate.in_flight));
    let share = u64::from(candidate.weight.clamp(1, FULL_WEIGHT));
    ahead * 1_000 * u64::from(FULL_WEIGHT) / (u64::from(capacity.max(1)) * share)
}

/// A random position in `pool`; an endpoint with a low weight is drawn less often.
fn draw(pool: &[usize], candidates: &[Candidate], random: &mut dyn Random) -> usize {
    let mut at = random.below(pool.len());
    for _ in 1..MAX_DRAWS {
        let weight = candidates[pool[at]].weight;
        if weight >= FULL_WEIGHT || random.below(FULL_WEIGHT as usize) < weight as usize {
            break;
        }
        at = random.below(pool.len());
    }
    at
}

/// The better of two different endpoints of `pool`.
fn choose_from(pool: &[usize], candidates: &[Candidate], random: &mut dyn Random) -> Option<usize> {
    if pool.len() < 2 {
        return pool.first().copied();
    }
    let first = draw(pool, candidates, random);
    let mut second = draw(pool, candidates, random);
    if second == first {
        second = (first + 1 + random.below(pool.len() - 1)) % pool.len();
    }
    let (first, second) = (pool[first], pool[second]);
    let better = pressure(&candidates[second]) < pressure(&candidates[first]);
    Some(if better { second } else { first })
}

impl Balance for PowerOfTwoChoices {
    fn choose(&mut self, candidates: &[Candidate], random: &mut dyn Random) -> Option<usize> {
        let (near, far): (Vec<usize>, Vec<usize>) =
            (0..candidates.len()).partition(|at| candidates[*at].same_domain);
        let near = choose_from(&near, candidates, random);
        let home = near.map_or(u64::MAX, |at| pressure(&candidates[at]));
        if home <= SPILL_PRESSURE {
            return near;
        }
        let Some(away) = choose_from(&far, candidates, random) else {
            return near;
        };
        if pressure(&candidates[away]).saturating_add(SPILL_GAIN) < home {
            Some(away)
        } else {
            near
        }
    }
}
