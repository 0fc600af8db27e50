//! Rank and weight of a request in the admission, by its route and its organisation. Entry and owner both derive
//! them from their configuration.

use config::Organisation;
use config::Route;
use config::Snapshot;
use ids::OrganisationId;
use ids::Rank;

/// Factor of the weights in a configuration with organisations, so that a small organisation keeps a weight
/// above 0 after rounding.
const WEIGHT_SCALE: f64 = 100.0;

/// Rank and weight of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Precedence {
    /// Rank of the request.
    pub rank: Rank,
    /// Weight of the request's flow among the flows of its rank.
    pub weight: u32,
}

impl Precedence {
    /// Returns the precedence of a request on `route`. The rank of the organisation goes before that of the
    /// route. A request that belongs to no organisation, or to one without a rank, ranks with the most urgent
    /// organisations. Organisations share the weight of the route by their rates; without a rate, an
    /// organisation counts as an average one.
    pub fn new(snapshot: &Snapshot, route: &Route, organisation: Option<&Organisation>) -> Self {
        if !snapshot.has_organisations() {
            return Self {
                rank: route.rank,
                weight: route.weight,
            };
        }
        let organisation_rank = organisation.and_then(|it| it.rank).unwrap_or(Rank(0));
        let limit = organisation.and_then(|it| it.limit);
        let rate = limit.zip(snapshot.mean_organisation_rate());
        let share = rate.map_or(1.0, |(limit, mean)| limit.per_second / mean);
        let weight = f64::from(route.weight) * WEIGHT_SCALE * share;
        Self {
            rank: Rank::of_request(organisation_rank, route.rank),
            weight: (weight as u32).max(1),
        }
    }

    /// Returns the precedence of a request whose route and organisation another node states.
    pub fn find(snapshot: &Snapshot, route: &Route, organisation: Option<OrganisationId>) -> Self {
        let organisation =
            organisation.and_then(|id| snapshot.organisation(snapshot.find_organisation(id)?));
        Self::new(snapshot, route, organisation)
    }

    /// Returns the precedence of a request whose route the configuration does not contain yet: the least
    /// urgent one.
    pub fn of_unknown_route(snapshot: Option<&Snapshot>) -> Self {
        let has_organisations = snapshot.is_some_and(Snapshot::has_organisations);
        let last = Rank(Rank::COUNT as u8 - 1);
        let rank = if has_organisations {
            Rank::of_request(last, last)
        } else {
            last
        };
        Self { rank, weight: 1 }
    }
}
