//! Ejection after failures in a row.

use std::time::Duration;

use linkme::distributed_slice;

use ids::NodeId;
use kernel::Plugin;
use kernel::Time;
use kernel::plugin::Error;
use kernel::plugin::Params;
use policy::HEALTHS;
use policy::Health;

const DEFAULT_FAILURES: u64 = 3;
const DEFAULT_EJECTION_MS: u64 = 2_000;

#[distributed_slice(HEALTHS)]
static PLUGIN: Plugin<dyn Health> = Plugin {
    name: "outcomes",
    make: |params| Ok(Box::new(Outcomes::from_params(params)?)),
};

#[derive(Clone, Copy, Debug)]
struct Record {
    node: NodeId,
    failures: u32,
    ejected_until: Time,
}

/// Failures in a row of each node.
#[derive(Debug)]
pub struct Outcomes {
    failures: u32,
    ejection: Duration,
    /// Sorted by node.
    records: Vec<Record>,
}

impl Outcomes {
    /// Reads `failures` (in a row, before ejection) and `ejection_ms`.
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["ejection_ms", "failures"])?;
        let failures = params.number("failures", DEFAULT_FAILURES)?;
        Ok(Self {
            failures: u32::try_from(failures).unwrap_or(u32::MAX).max(1),
            ejection: Duration::from_millis(params.number("ejection_ms", DEFAULT_EJECTION_MS)?),
            records: Vec::new(),
        })
    }

    fn is_ejected(&self, now: Time, node: NodeId) -> bool {
        let at = self
            .records
            .binary_search_by_key(&node, |record| record.node);
        at.is_ok_and(|at| self.records[at].ejected_until > now)
    }
}

impl Health for Outcomes {
    fn record(&mut self, now: Time, node: NodeId, good: bool) {
        let at = self
            .records
            .binary_search_by_key(&node, |record| record.node);
        match (at, good) {
            (Ok(at), true) => {
                self.records.remove(at);
            }
            (Err(_), true) => {}
            (Ok(at), false) => {
                let record = &mut self.records[at];
                record.failures = record.failures.saturating_add(1);
                if record.failures >= self.failures {
                    record.ejected_until = now + self.ejection;
                }
            }
            (Err(at), false) => {
                let ejected_until = if self.failures == 1 {
                    now + self.ejection
                } else {
                    now
                };
                self.records.insert(
                    at,
                    Record {
                        node,
                        failures: 1,
                        ejected_until,
                    },
                );
            }
        }
    }

    fn retain_healthy(&mut self, now: Time, nodes: &mut Vec<NodeId>) {
        let mut left = nodes.len().div_ceil(3);
        if nodes.len() == 1 {
            left = 0;
        }
        nodes.retain(|node| {
            let eject = left > 0 && self.is_ejected(now, *node);
            left -= usize::from(eject);
            !eject
        });
    }
}
