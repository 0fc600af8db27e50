//! Power-of-two-choices balancing, which prefers endpoints in the local failure domain.

use linkme::distributed_slice;

use kernel::Plugin;
use kernel::Random;
use policy::BALANCE_PLUGINS;
use policy::Balance;
use policy::Candidate;
use policy::FULL_WEIGHT;

/// Utilization of the chosen local endpoint, in thousandths of its slots, up to which the request
/// stays in the local failure domain. Requests move to remote endpoints before they queue locally; one
/// that meets a full local endpoint all the same is refused there in time to be sent elsewhere.
const MAX_LOCAL_UTILIZATION: u64 = 850;
/// Difference in utilization, in thousandths of the slots, by which a remote endpoint has to be
/// below the local one to be chosen. With ten slots, one more request ahead in the queue costs
/// about as much time as the network latency between failure domains.
const MIN_REMOTE_ADVANTAGE: u64 = 100;
/// Maximum number of random draws; the endpoint of the last draw is taken even if its weight is
/// low.
const MAX_DRAWS: usize = 8;

#[distributed_slice(BALANCE_PLUGINS)]
static PLUGIN: Plugin<dyn Balance> = Plugin {
    name: "p2c",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(PowerOfTwoChoices))
    },
};

/// Takes the less utilized of two random endpoints.
#[derive(Clone, Copy, Debug)]
pub struct PowerOfTwoChoices;

/// Utilization that a busy link adds, in thousandths per millisecond: a link that is busy for 1 s, about the
/// deadline of a request with a large response, counts as much as an upstream all of whose slots are used.
const LINK_UTILIZATION_PER_MS: u64 = 1;

/// Returns the unfinished requests of the endpoint, in thousandths of the requests that it should
/// run at once at its current weight, and the utilization of its link.
fn utilization(candidate: &Candidate) -> u64 {
    let (reported, limit) = candidate.load.map_or((0, 0), |load| {
        (load.running.saturating_add(load.queued), load.limit)
    });
    let capacity = match limit {
        0 => candidate.slots,
        limit => limit.min(candidate.slots),
    };
    let unfinished = u64::from(reported.max(candidate.in_flight));
    let weight = u64::from(candidate.weight.clamp(1, FULL_WEIGHT));
    let link_busy = candidate.load.map_or(0, |load| load.link_busy.as_millis());
    let link_busy = u64::try_from(link_busy).unwrap_or(u64::MAX);
    let used_slots =
        unfinished * 1_000 * u64::from(FULL_WEIGHT) / (u64::from(capacity.max(1)) * weight);
    used_slots.saturating_add(link_busy.saturating_mul(LINK_UTILIZATION_PER_MS))
}

/// Returns a random position in `pool`, a list of indexes into `candidates`. The lower the weight
/// of an endpoint, the less often it is drawn.
fn draw(pool: &[usize], candidates: &[Candidate], random: &mut dyn Random) -> usize {
    let mut position = random.below(pool.len());
    for _ in 1..MAX_DRAWS {
        let weight = candidates[pool[position]].weight;
        if weight >= FULL_WEIGHT || random.below(FULL_WEIGHT as usize) < weight as usize {
            break;
        }
        position = random.below(pool.len());
    }
    position
}

/// Returns the less utilized of two different random endpoints of `pool`, as an index into
/// `candidates`.
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
    let is_second_better = utilization(&candidates[second]) < utilization(&candidates[first]);
    Some(if is_second_better { second } else { first })
}

impl Balance for PowerOfTwoChoices {
    fn choose(&mut self, candidates: &[Candidate], random: &mut dyn Random) -> Option<usize> {
        let (local, remote): (Vec<usize>, Vec<usize>) =
            (0..candidates.len()).partition(|index| candidates[*index].same_domain);
        let local = choose_from(&local, candidates, random);
        let local_utilization = local.map_or(u64::MAX, |index| utilization(&candidates[index]));
        if local_utilization <= MAX_LOCAL_UTILIZATION {
            return local;
        }
        let Some(remote) = choose_from(&remote, candidates, random) else {
            return local;
        };
        if utilization(&candidates[remote]).saturating_add(MIN_REMOTE_ADVANTAGE) < local_utilization
        {
            Some(remote)
        } else {
            local
        }
    }
}
