//! Organisations of the configuration: their keys, priorities and rate limits.

use std::sync::Arc;

use ids::KeyDigest;
use ids::OrganisationId;
use ids::Rank;
use kernel::Arena;
use kernel::Key;

/// Key of an organisation in its snapshot.
pub type OrganisationKey = Key<Organisation>;

/// An organisation, whose callers share keys, a priority and a rate limit.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Identifier that stays the same across versions.
    pub id: OrganisationId,
    /// Name of the organisation, unique in the snapshot.
    pub name: Arc<str>,
    /// Priority of its requests, which goes before the rank of their route; `None` if only the route
    /// counts.
    pub rank: Option<Rank>,
    /// Limit on the requests of all its callers; `None` if there is none.
    pub limit: Option<RequestLimit>,
}

/// Token bucket that limits the requests of an organisation, at all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimit {
    /// Requests a second; greater than 0.
    pub per_second: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// All organisations of a snapshot.
#[derive(Clone, Debug)]
pub(crate) struct OrganisationTable {
    pub(crate) organisations: Arena<Organisation>,
    /// Sorted by identifier.
    pub(crate) by_id: Vec<(OrganisationId, OrganisationKey)>,
    /// Sorted by digest.
    pub(crate) by_key: Vec<(KeyDigest, OrganisationKey)>,
    /// Sum and number of the rates of the organisations that have one, in requests a second.
    rates: (f64, u32),
}

impl OrganisationTable {
    pub(crate) fn new(generation: u32) -> Self {
        Self {
            organisations: Arena::new(generation),
            by_id: Vec::new(),
            by_key: Vec::new(),
            rates: (0.0, 0),
        }
    }

    pub(crate) fn find(&self, id: OrganisationId) -> Option<OrganisationKey> {
        let index = self.by_id.binary_search_by_key(&id, |(it, _)| *it).ok()?;
        Some(self.by_id[index].1)
    }

    pub(crate) fn find_key_holder(&self, digest: &KeyDigest) -> Option<OrganisationKey> {
        let index = self.by_key.binary_search_by_key(digest, |(it, _)| *it);
        Some(self.by_key[index.ok()?].1)
    }

    /// Mean rate of the organisations that have one; `None` if none has.
    pub(crate) fn mean_rate(&self) -> Option<f64> {
        let (sum, count) = self.rates;
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Adds an organisation; `None` if there is another one with this identifier.
    pub(crate) fn insert(&mut self, organisation: Organisation) -> Option<OrganisationKey> {
        let id = organisation.id;
        let index = self.by_id.binary_search_by_key(&id, |(it, _)| *it);
        let index = index.err()?;
        if let Some(limit) = organisation.limit {
            self.rates.0 += limit.per_second;
            self.rates.1 += 1;
        }
        let key = self.organisations.insert(organisation);
        self.by_id.insert(index, (id, key));
        Some(key)
    }

    /// Adds a key of an organisation; returns whether no organisation had it.
    pub(crate) fn insert_key(&mut self, digest: KeyDigest, holder: OrganisationKey) -> bool {
        match self.by_key.binary_search_by_key(&digest, |(it, _)| *it) {
            Ok(_) => false,
            Err(index) => {
                self.by_key.insert(index, (digest, holder));
                true
            }
        }
    }
}
