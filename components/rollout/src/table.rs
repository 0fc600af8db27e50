//! What one node knows of the versions and orders of all services.

use std::sync::Arc;
use std::time::Duration;

use crate::Claim;
use crate::KnownOrder;
use crate::Notice;
use crate::Order;
use crate::OrderNotice;
use crate::Phase;
use crate::Record;
use crate::Revision;
use crate::ServiceView;
use crate::Trial;
use crate::View;
use crate::record::is_same_order;
use ids::NodeId;
use kernel::Time;

/// Time after the first endpoint of a service in which the established version follows the most ready endpoints.
/// The endpoints of a fleet that starts as a whole become known one after the other.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time without a ready endpoint of the established version after which it is determined anew. A domain that is
/// cut off comes back sooner as a rule.
const ABSENCE_LIMIT: Duration = Duration::from_secs(30);
/// Time for which the state of an order counts after its coordinator has stated it.
pub(crate) const FRESH_TIME: Duration = Duration::from_secs(2);
/// Time without a statement after which an order is given up. Its coordinators are gone, or the store has lost it.
const ABANDON_TIME: Duration = Duration::from_secs(60);
/// Number of established endpoints whose load one endpoint of a new version can take over at most. With fewer new
/// endpoints, a promotion would certainly overload them.
const MAX_LOAD_FACTOR: u32 = 4;
/// A statement that is later by less than this is taken for the same one over another path.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of services that are known; a configuration lists fewer.
const MAX_SERVICES: usize = 1_000;
/// Maximum number of versions of a service whose first appearance is remembered.
const MAX_SEEN_VERSIONS: usize = 16;

/// Number of ready endpoints of one version of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadyCount {
    /// Name of the service.
    pub service: Arc<str>,
    /// The version.
    pub version: Arc<str>,
    /// Number of ready endpoints.
    pub endpoints: u32,
}

/// What a notice of another node has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// It contains news, which other nodes may not know yet.
    News,
    /// All of it is known.
    Known,
    /// The other node lacks something that this one knows.
    Outdated,
}

/// State of one service.
#[derive(Clone, Debug)]
struct Service {
    name: Arc<str>,
    claim: Option<Claim>,
    order: Option<KnownOrder>,
    /// Time since which no endpoint of the established version is ready.
    absent_since: Option<Time>,
    /// Number of ready endpoints of each version.
    ready: Vec<(Arc<str>, u32)>,
    /// When each version was first seen ready.
    seen: Vec<(Arc<str>, Time)>,
}

/// What one node knows of all services.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by name.
    services: Vec<Service>,
    /// Services about which the coordinator has something to state.
    news: Vec<Arc<str>>,
}

impl Table {
    /// Takes note of the ready endpoints, sorted by service and version. If `decides`, it determines the established
    /// version where none is known. Returns whether an established version has changed.
    pub fn observe(&mut self, now: Time, counts: &[ReadyCount], decides: bool) -> bool {
        for count in counts {
            if let Some(service) = self.service_mut(&count.service) {
                service.see(now, &count.version);
            }
        }
        let mut has_changed = false;
        for service in &mut self.services {
            let first = counts.partition_point(|it| it.service < service.name);
            let own = counts[first..]
                .iter()
                .take_while(|it| it.service == service.name);
            let own: Vec<&ReadyCount> = own.filter(|it| it.endpoints > 0).collect();
            service.ready.clear();
            let ready = own.iter();
            let ready = ready.map(|it| (Arc::clone(&it.version), it.endpoints));
            service.ready.extend(ready);
            has_changed |= decides && service.determine(now, &own);
        }
        has_changed
    }

    /// Merges what another node knows of a service.
    pub fn merge(&mut self, now: Time, notice: &Notice) -> Merge {
        let Some(service) = self.service_mut(&notice.service) else {
            return Merge::Known;
        };
        let claim = Claim {
            version: Arc::clone(&notice.established),
            revision: notice.revision,
            generation: notice.generation,
            age: notice.age,
            known_at: now,
        };
        let by_claim = service.merge_claim(now, claim);
        let by_order = match &notice.order {
            Some(order) => service.merge_order(now, KnownOrder::from_notice(now, order)),
            None if service.order.is_some() => Merge::Outdated,
            None => Merge::Known,
        };
        match (by_claim, by_order) {
            (Merge::News, _) | (_, Merge::News) => Merge::News,
            (Merge::Outdated, _) | (_, Merge::Outdated) => Merge::Outdated,
            _ => Merge::Known,
        }
    }

    /// What this node knows of a service, for other nodes.
    pub fn notice(&self, now: Time, service: &str) -> Option<Notice> {
        let index = self.position(service).ok()?;
        self.services[index].notice(now)
    }

    /// What this node knows of all services.
    pub fn notices(&self, now: Time) -> Vec<Notice> {
        let services = self.services.iter();
        services.filter_map(|it| it.notice(now)).collect()
    }

    /// Whether an order has no verdict that this node knows, and its coordinator was not heard in time.
    pub fn has_stale_order(&self, now: Time) -> bool {
        self.open_orders().any(|it| it.fresh_until <= now)
    }

    /// When the first order becomes stale.
    pub fn next_stale(&self) -> Option<Time> {
        self.open_orders().map(|it| it.fresh_until).min()
    }

    /// When an established version may be determined anew because none of its endpoints is left.
    pub fn next_absence(&self) -> Option<Time> {
        let absences = self.services.iter().filter_map(|it| it.absent_since);
        absences.map(|since| since + ABSENCE_LIMIT).min()
    }

    /// Revision of the newest state that is known of a service.
    pub(crate) fn order_revision(&self, service: &str) -> Option<Revision> {
        self.order(service).map(|it| it.revision)
    }

    /// The established version of a service, and the revision of the state that names it.
    pub(crate) fn established(&self, service: &str) -> Option<(Arc<str>, Revision)> {
        let index = self.position(service).ok()?;
        let claim = self.services[index].claim.as_ref();
        claim.map(|it| (Arc::clone(&it.version), it.revision))
    }

    /// The verdict on an order, if this node knows one.
    pub(crate) fn known_verdict(&self, service: &str, order: &Order) -> Option<Phase> {
        let known = self.order(service).filter(|it| it.is_of(order))?;
        known.phase.is_verdict().then_some(known.phase)
    }

    /// Time since the coordinator stated the order; `None` if this node has not heard of it.
    pub(crate) fn coordinator_silence(
        &self,
        now: Time,
        service: &str,
        order: &Order,
    ) -> Option<Duration> {
        let known = self.order(service).filter(|it| it.is_of(order))?;
        Some(known.age(now))
    }

    /// Whether this node was the last to state the order as its coordinator.
    pub(crate) fn is_coordinated_by(&self, service: &str, order: &Order, own_id: NodeId) -> bool {
        let known = self.order(service).filter(|it| it.is_of(order));
        known.is_some_and(|it| it.coordinator == own_id)
    }

    /// Whether the target has enough ready endpoints to get all requests.
    pub(crate) fn can_promote(&self, service: &str, target: &str) -> bool {
        let Ok(index) = self.position(service) else {
            return false;
        };
        let count = |is_target: bool| {
            let ready = self.services[index].ready.iter();
            let ready = ready.filter(|(version, _)| (**version == *target) == is_target);
            ready.map(|(_, endpoints)| endpoints).sum::<u32>()
        };
        let (new, old) = (count(true), count(false));
        new > 0 && new.saturating_mul(MAX_LOAD_FACTOR) >= old
    }

    /// Gives up the orders of which nothing was heard for long, so that no more is sent about them.
    pub(crate) fn abandon_stale(&mut self, now: Time) {
        let orders = self.services.iter_mut().filter_map(|it| it.order.as_mut());
        for order in orders {
            order.is_abandoned = now.since(order.fresh_until) >= ABANDON_TIME;
        }
    }

    /// Whether the target of the newest order gets no more requests.
    pub(crate) fn is_halted(&self, service: &str) -> bool {
        self.order(service).is_some_and(|it| it.halted)
    }

    /// Ends the requests to the target of the newest order for good.
    pub(crate) fn halt(&mut self, now: Time, service: &str) {
        if let Some(order) = self.order_mut(service)
            && !order.halted
        {
            order.halted = true;
            self.state_again(now, service);
        }
    }

    /// States the newest order of a service anew, which other nodes take for news.
    pub(crate) fn state_again(&mut self, now: Time, service: &str) {
        if let Ok(index) = self.position(service)
            && let Some(order) = &mut self.services[index].order
        {
            order.fresh_until = now + FRESH_TIME;
            let name = Arc::clone(&self.services[index].name);
            if !self.news.contains(&name) {
                self.news.push(name);
            }
        }
    }

    /// Adopts a state that the coordinator, the node `own_id`, has read or written.
    pub(crate) fn apply_record(
        &mut self,
        now: Time,
        service: &Arc<str>,
        revision: Revision,
        record: &Record,
        own_id: NodeId,
    ) {
        let order = KnownOrder {
            revision,
            order: record.order.revision,
            target: Arc::clone(&record.order.target),
            phase: record.phase,
            halted: false,
            coordinator: own_id,
            fresh_until: now + FRESH_TIME,
            is_abandoned: false,
        };
        let claim = Claim {
            version: Arc::clone(record.established_version()),
            revision,
            generation: 0,
            age: Duration::ZERO,
            known_at: now,
        };
        let Some(known) = self.service_mut(service) else {
            return;
        };
        let is_new = known
            .order
            .as_ref()
            .is_none_or(|it| it.revision < revision || it.coordinator != own_id);
        if !is_new {
            return;
        }
        known.merge_order(now, order);
        known.merge_claim(now, claim);
        if let Some(order) = &mut known.order {
            order.coordinator = own_id;
        }
        self.state_again(now, service);
    }

    /// Services about which this node has to tell others.
    pub fn take_news(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.news)
    }

    /// The state for the traffic threads; see [`View::new`].
    pub fn view(&self, holds_unknown: bool, canary_permille: u32) -> View {
        let services = self.services.iter().map(|it| ServiceView {
            service: Arc::clone(&it.name),
            established: it.claim.as_ref().map(|claim| Arc::clone(&claim.version)),
            trial: it.order.as_ref().map(KnownOrder::to_trial),
        });
        View::new(services.collect(), holds_unknown).with_canary_permille(canary_permille)
    }

    /// Whether an order has no verdict.
    pub(crate) fn has_open_order(&self) -> bool {
        self.open_orders().next().is_some()
    }

    /// The orders without a verdict, with their services.
    pub(crate) fn list_open_orders(&self) -> Vec<(Arc<str>, KnownOrder)> {
        let services = self.services.iter();
        let orders = services.filter_map(|it| Some((Arc::clone(&it.name), it.order.clone()?)));
        let open = orders.filter(|(_, it)| !it.phase.is_verdict() && !it.is_abandoned);
        open.collect()
    }

    fn open_orders(&self) -> impl Iterator<Item = &KnownOrder> {
        let orders = self.services.iter().filter_map(|it| it.order.as_ref());
        orders.filter(|it| !it.phase.is_verdict() && !it.is_abandoned)
    }

    fn order(&self, service: &str) -> Option<&KnownOrder> {
        let index = self.position(service).ok()?;
        self.services[index].order.as_ref()
    }

    fn order_mut(&mut self, service: &str) -> Option<&mut KnownOrder> {
        let index = self.position(service).ok()?;
        self.services[index].order.as_mut()
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|it| (*it.name).cmp(service))
    }

    /// The service with this name, which is added if there is room.
    fn service_mut(&mut self, name: &Arc<str>) -> Option<&mut Service> {
        let index = match self.position(name) {
            Ok(index) => index,
            Err(_) if self.services.len() >= MAX_SERVICES => return None,
            Err(index) => {
                let service = Service {
                    name: Arc::clone(name),
                    claim: None,
                    order: None,
                    absent_since: None,
                    ready: Vec::new(),
                    seen: Vec::new(),
                };
                self.services.insert(index, service);
                index
            }
        };
        self.services.get_mut(index)
    }
}

impl Service {
    fn see(&mut self, now: Time, version: &Arc<str>) {
        let is_known = self.seen.iter().any(|(known, _)| known == version);
        if !is_known && self.seen.len() < MAX_SEEN_VERSIONS {
            self.seen.push((Arc::clone(version), now));
        }
    }

    fn first_seen(&self, version: &str) -> Option<Time> {
        let seen = self.seen.iter().find(|(known, _)| **known == *version);
        seen.map(|(_, at)| *at)
    }

    /// The version of most ready endpoints; with equal numbers, the one that was seen first.
    fn most_common<'a>(&self, counts: &[&'a ReadyCount]) -> Option<&'a Arc<str>> {
        let rank = |it: &&&ReadyCount| {
            let seen_at = self.first_seen(&it.version).unwrap_or(Time(u64::MAX));
            (it.endpoints, std::cmp::Reverse(seen_at))
        };
        counts.iter().max_by_key(rank).map(|it| &it.version)
    }

    /// Determines the established version from the ready endpoints, unless it is known. Returns whether it has
    /// changed.
    fn determine(&mut self, now: Time, counts: &[&ReadyCount]) -> bool {
        let Some(common) = self.most_common(counts).map(Arc::clone) else {
            // Without any endpoint nothing shows that the version has been replaced.
            self.absent_since = None;
            return false;
        };
        let Some(claim) = &mut self.claim else {
            self.claim = Some(Claim {
                version: common,
                revision: Revision::default(),
                generation: 0,
                age: Duration::ZERO,
                known_at: now,
            });
            return true;
        };
        if counts.iter().any(|it| it.version == claim.version) {
            self.absent_since = None;
            let is_settling = claim.revision == Revision::default()
                && claim.generation == 0
                && claim.age_at(now) < SETTLING_TIME;
            if is_settling && claim.version != common {
                claim.version = common;
                return true;
            }
            return false;
        }
        let since = *self.absent_since.get_or_insert(now);
        if now.since(since) < ABSENCE_LIMIT {
            return false;
        }
        self.absent_since = None;
        claim.version = common;
        claim.generation += 1;
        (claim.age, claim.known_at) = (Duration::ZERO, now);
        true
    }

    fn merge_claim(&mut self, now: Time, claim: Claim) -> Merge {
        let Some(known) = &mut self.claim else {
            self.claim = Some(claim);
            return Merge::News;
        };
        if claim.overrides(known, now) {
            *known = claim;
            return Merge::News;
        }
        if known.overrides(&claim, now) {
            return Merge::Outdated;
        }
        // Of two equal claims the older one counts against a third.
        if claim.age > known.age_at(now) {
            *known = claim;
        }
        Merge::Known
    }

    fn merge_order(&mut self, now: Time, order: KnownOrder) -> Merge {
        let Some(known) = &mut self.order else {
            self.apply_order(now, order);
            return Merge::News;
        };
        if order.revision < known.revision {
            return Merge::Outdated;
        }
        let is_same = is_same_order((known.order, &known.target), (order.order, &order.target));
        // A verdict never changes, not even where the store has returned from an older copy.
        if is_same && known.phase.is_verdict() && order.phase != known.phase {
            return Merge::Outdated;
        }
        if order.revision > known.revision {
            let halted = known.halted && is_same;
            let halted = order.halted || halted;
            self.apply_order(now, KnownOrder { halted, ..order });
            return Merge::News;
        }
        let is_outdated = known.halted && !order.halted;
        let is_halt = order.halted && !known.halted;
        known.halted |= order.halted;
        let is_later = order.fresh_until > known.fresh_until + MIN_NEWS_INTERVAL;
        if is_later {
            known.fresh_until = order.fresh_until;
            known.coordinator = order.coordinator;
        }
        if is_halt || (is_later && !known.phase.is_verdict()) {
            Merge::News
        } else if is_outdated {
            Merge::Outdated
        } else {
            Merge::Known
        }
    }

    /// Adopts a later state, which also names the established version.
    fn apply_order(&mut self, now: Time, order: KnownOrder) {
        if order.phase == Phase::Succeeded {
            let claim = Claim {
                version: Arc::clone(&order.target),
                revision: order.revision,
                generation: 0,
                age: Duration::ZERO,
                known_at: now,
            };
            if self
                .claim
                .as_ref()
                .is_none_or(|it| claim.overrides(it, now))
            {
                self.claim = Some(claim);
                self.absent_since = None;
            }
        }
        self.order = Some(order);
    }

    fn notice(&self, now: Time) -> Option<Notice> {
        let claim = self.claim.as_ref()?;
        Some(Notice {
            service: Arc::clone(&self.name),
            established: Arc::clone(&claim.version),
            revision: claim.revision,
            generation: claim.generation,
            age: claim.age_at(now),
            order: self.order.as_ref().map(|it| it.to_notice(now)),
        })
    }
}

impl KnownOrder {
    fn from_notice(now: Time, notice: &OrderNotice) -> Self {
        Self {
            revision: notice.revision,
            order: notice.order,
            target: Arc::clone(&notice.target),
            phase: notice.phase,
            halted: notice.halted,
            coordinator: notice.coordinator,
            fresh_until: now + FRESH_TIME.saturating_sub(notice.age),
            is_abandoned: false,
        }
    }

    /// Whether this is the state of `order`.
    fn is_of(&self, order: &Order) -> bool {
        is_same_order((self.order, &self.target), (order.revision, &order.target))
    }

    /// Time since the coordinator stated this.
    fn age(&self, now: Time) -> Duration {
        (FRESH_TIME + now.since(self.fresh_until)).saturating_sub(now.until(self.fresh_until))
    }

    fn to_notice(&self, now: Time) -> OrderNotice {
        OrderNotice {
            revision: self.revision,
            order: self.order,
            target: Arc::clone(&self.target),
            phase: self.phase,
            halted: self.halted,
            coordinator: self.coordinator,
            age: self.age(now),
        }
    }

    fn to_trial(&self) -> Trial {
        Trial {
            order: self.order,
            target: Arc::clone(&self.target),
            phase: self.phase,
            halted: self.halted,
            fresh_until: self.fresh_until,
        }
    }
}
