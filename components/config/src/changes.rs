//! Differences between two configurations, in the words of the configuration instead of lines of text.

use std::cmp::Ordering;
use std::fmt;

use crate::Organisation;
use crate::OrganisationKey;
use crate::Route;
use crate::Service;
use crate::Snapshot;
use crate::Target;
use ids::KeyDigest;

/// Number of digits of a key's digest that are shown: enough to tell the keys of an organisation apart.
const SHOWN_DIGEST_DIGITS: usize = 8;

/// How an entry differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Only the new configuration has the entry.
    Added,
    /// Only the old configuration has the entry.
    Removed,
    /// Values of the entry differ.
    Changed,
}

/// An entry that two configurations do not share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// How the entry differs.
    pub kind: ChangeKind,
    /// Kind and name of the entry, such as `route a.example /slots/`.
    pub entry: String,
    /// Differing values, such as `deadline_ms 800 -> 1000`; empty unless the entry has changed.
    pub values: Vec<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            ChangeKind::Added => write!(f, "+ {}", self.entry),
            ChangeKind::Removed => write!(f, "- {}", self.entry),
            ChangeKind::Changed => write!(f, "~ {}: {}", self.entry, self.values.join(", ")),
        }
    }
}

/// An entry with its values as the configuration text names them.
struct Entry {
    name: String,
    values: Vec<(&'static str, String)>,
}

/// Returns what `new` changes in `old`, sorted by entry.
pub fn list_changes(old: &Snapshot, new: &Snapshot) -> Vec<Change> {
    let (old, new) = (describe(old), describe(new));
    let (mut old, mut new) = (old.into_iter().peekable(), new.into_iter().peekable());
    let mut changes = Vec::new();
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(old), Some(new)) => old.name.cmp(&new.name),
        };
        let old_entry = old.next_if(|_| order != Ordering::Greater);
        let new_entry = new.next_if(|_| order != Ordering::Less);
        changes.extend(compare(old_entry, new_entry));
    }
}

fn compare(old: Option<Entry>, new: Option<Entry>) -> Option<Change> {
    let (kind, entry, values) = match (old, new) {
        (None, None) => return None,
        (None, Some(new)) => (ChangeKind::Added, new.name, Vec::new()),
        (Some(old), None) => (ChangeKind::Removed, old.name, Vec::new()),
        (Some(old), Some(new)) => {
            let pairs = old.values.iter().zip(&new.values);
            let values = pairs.filter(|(old, new)| old != new);
            let values = values.map(|((key, old), (_, new))| format!("{key} {old} -> {new}"));
            (ChangeKind::Changed, new.name, values.collect())
        }
    };
    let is_unchanged = kind == ChangeKind::Changed && values.is_empty();
    (!is_unchanged).then_some(Change {
        kind,
        entry,
        values,
    })
}

/// All entries of a configuration, sorted by name.
fn describe(snapshot: &Snapshot) -> Vec<Entry> {
    let services = snapshot
        .services()
        .map(|(_, it)| describe_service(snapshot, it));
    let routes = snapshot
        .routes()
        .map(|(_, it)| describe_route(snapshot, it));
    let organisations = snapshot
        .organisations()
        .map(|(key, it)| describe_organisation(snapshot, key, it));
    let entries = services.chain(routes).chain(organisations);
    let mut entries: Vec<Entry> = entries.chain([describe_limits(snapshot)]).collect();
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    entries
}

fn describe_limits(snapshot: &Snapshot) -> Entry {
    let limits = snapshot.limits();
    Entry {
        name: "limits".to_owned(),
        values: vec![
            ("head_bytes", limits.max_head_bytes.to_string()),
            ("body_bytes", limits.max_body_bytes.to_string()),
            ("head_ms", limits.head_timeout.as_millis().to_string()),
            ("idle_ms", limits.idle_timeout.as_millis().to_string()),
        ],
    }
}

fn describe_service(snapshot: &Snapshot, service: &Service) -> Entry {
    let dependencies = service.dependencies.iter();
    let names = dependencies.filter_map(|it| Some(snapshot.service(*it)?.name.to_string()));
    let mut names: Vec<String> = names.collect();
    names.sort_unstable();
    let statuses = service.not_run_statuses.iter().map(ToString::to_string);
    Entry {
        name: format!("service {}", service.name),
        values: vec![
            ("depends", join_or_none(names)),
            ("not_run_statuses", join_or_none(statuses.collect())),
            ("connections", show_option(service.max_connections)),
        ],
    }
}

fn describe_route(snapshot: &Snapshot, route: &Route) -> Entry {
    let (first, path) = (route.host.as_deref().unwrap_or(&route.method), &route.path);
    let show_target = |it: &Target| {
        let name = snapshot.service(it.service).map_or("", |it| &it.name);
        format!("{name} (weight {})", it.weight)
    };
    let objective = route.objective.map(|it| it.as_millis());
    Entry {
        name: format!("route {first} {path}"),
        values: vec![
            (
                "targets",
                join_or_none(route.targets.iter().map(show_target).collect()),
            ),
            ("rank", route.rank.to_string()),
            ("deadline_ms", route.deadline.as_millis().to_string()),
            ("objective_ms", show_option(objective)),
            ("attempts", show_option(route.max_upstreams)),
            ("idempotent", route.idempotent.to_string()),
            ("weight", route.weight.to_string()),
            ("public", route.public.to_string()),
            ("large_responses", route.large_responses.to_string()),
        ],
    }
}

fn describe_organisation(
    snapshot: &Snapshot,
    key: OrganisationKey,
    organisation: &Organisation,
) -> Entry {
    let digests = snapshot.key_digests(key);
    let show_digest = |it: KeyDigest| it.to_string()[..SHOWN_DIGEST_DIGITS].to_owned();
    let limit = organisation.limit;
    Entry {
        name: format!("organisation {}", organisation.name),
        values: vec![
            ("keys", join_or_none(digests.map(show_digest).collect())),
            ("rank", show_option(organisation.rank)),
            ("per_second", show_option(limit.map(|it| it.per_second))),
            ("burst", show_option(limit.map(|it| it.burst))),
        ],
    }
}

fn join_or_none(values: Vec<String>) -> String {
    if values.is_empty() {
        "none".to_owned()
    } else {
        values.join(" and ")
    }
}

fn show_option<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "none".to_owned(), |it| it.to_string())
}
