//! Checks of the values of a settings file.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_saphyr::Spanned;

use crate::ListenAddresses;
use crate::Problem;
use crate::Settings;
use crate::raw::RawSettings;
use crate::settings;
use kernel::quantity;

/// Maximum length of a name, in bytes. Names of instances and failure domains are sent in datagrams.
const MAX_NAME_BYTES: usize = 63;
/// Maximum of `traffic_threads`.
const MAX_TRAFFIC_THREADS: u64 = 64;
/// Maximum of each drain time, in milliseconds.
const MAX_DRAIN_MS: u64 = 600_000;
/// Accepted values of `stop_grace_s`, in seconds.
const STOP_GRACE_SECONDS: RangeInclusive<f64> = 1.0..=600.0;
/// Accepted values of `link_mbps`, in megabits a second.
const LINK_MBPS: RangeInclusive<f64> = 0.1..=1_000_000.0;
/// Accepted values of `key_freshness_s`, in seconds.
const KEY_FRESHNESS_SECONDS: RangeInclusive<f64> = 1.0..=3_600.0;
/// Accepted values of `rollout_share`.
const ROLLOUT_SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// Accepted values of `rollout_slack`, in requests.
const ROLLOUT_SLACK: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Accepted values of `rollout_stop_s`, in seconds.
const ROLLOUT_STOP_SECONDS: RangeInclusive<f64> = 0.1..=3_600.0;
/// Maximum number of contacts; a node joins the fleet through any one that responds.
const MAX_CONTACTS: usize = 64;

/// Converts the values of a file to settings; returns all problems if there are any.
pub(crate) fn check(raw: RawSettings) -> Result<Settings, Vec<Problem>> {
    let mut checker = Checker::default();
    let settings = checker.check_settings(raw);
    match settings {
        Some(settings) if checker.problems.is_empty() => Ok(settings),
        _ => Err(checker.problems),
    }
}

/// Returns the value of an optional key; an empty value counts as not set.
fn non_empty(raw: Option<&Spanned<String>>) -> Option<&Spanned<String>> {
    raw.filter(|raw| !raw.value.is_empty())
}

/// Collects the problems of one file.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
    /// Addresses that occurred so far, with the keys that set them.
    used_addresses: Vec<(SocketAddr, String)>,
}

impl Checker {
    /// Checks all values; returns `None` if a required one is invalid.
    fn check_settings(&mut self, raw: RawSettings) -> Option<Settings> {
        let instance = self.check_name("instance", &raw.instance);
        let domain = self.check_name("domain", &raw.domain);
        let listen = &raw.listen;
        let callers = self.check_unique_address("listen.callers", &listen.callers);
        let requests = self.check_unique_address("listen.requests", &listen.requests);
        let peer = self.check_unique_address("listen.peer", &listen.peer);
        let admin = self.check_unique_address("listen.admin", &listen.admin);
        // The upstream must not be an address of the node itself: the node would forward a request to
        // itself endlessly.
        let upstream = self.check_unique_address("upstream", &raw.upstream);
        let service = non_empty(raw.service.as_ref());
        let service = service.and_then(|service| self.check_name("service", service));
        let contacts = self.check_contacts(&raw.contacts);
        let default_threads = settings::DEFAULT_TRAFFIC_THREADS;
        let traffic_threads = self.check_number(
            "traffic_threads",
            raw.traffic_threads.as_ref(),
            "threads",
            MAX_TRAFFIC_THREADS,
            default_threads,
        );
        let drain_limit_ms = self.check_drain_limit(&raw);
        let drain_linger_ms = self.check_number(
            "drain_linger_ms",
            raw.drain_linger_ms.as_ref(),
            "milliseconds",
            MAX_DRAIN_MS,
            settings::DEFAULT_DRAIN_LINGER_MS,
        );
        let drain_notice_ms = self.check_number(
            "drain_notice_ms",
            raw.drain_notice_ms.as_ref(),
            "milliseconds",
            MAX_DRAIN_MS,
            settings::DEFAULT_DRAIN_LINGER_MS,
        );
        let domains = raw.domains.iter();
        let domains = domains.filter_map(|domain| self.check_name("domains", domain));
        let domains: Vec<_> = domains.collect();
        let link_mbps = self.check_quantity("link_mbps", raw.link_mbps.as_ref(), LINK_MBPS);
        let key_freshness_s = raw.key_freshness_s.as_ref();
        let key_freshness_s =
            self.check_quantity("key_freshness_s", key_freshness_s, KEY_FRESHNESS_SECONDS);
        let rollout_share = raw.rollout_share.as_ref();
        let rollout_share = self.check_quantity("rollout_share", rollout_share, ROLLOUT_SHARE);
        let rollout_slack = raw.rollout_slack.as_ref();
        let rollout_slack = self.check_quantity("rollout_slack", rollout_slack, ROLLOUT_SLACK);
        let rollout_stop_s = raw.rollout_stop_s.as_ref();
        let rollout_stop_s =
            self.check_quantity("rollout_stop_s", rollout_stop_s, ROLLOUT_STOP_SECONDS);
        let plugin_or_default = |plugin: Option<_>, default| {
            plugin.unwrap_or_else(|| settings::plugin_without_params(default))
        };
        Some(Settings {
            instance: instance?,
            domain: domain?,
            listen: ListenAddresses {
                callers: callers?,
                requests: requests?,
                peer: peer?,
                admin: admin?,
            },
            upstream: upstream?,
            service,
            contacts,
            traffic_threads: usize::try_from(traffic_threads?).ok()?,
            domains,
            drain_limit_ms: drain_limit_ms?,
            drain_linger_ms: drain_linger_ms?,
            drain_notice_ms: drain_notice_ms?,
            upstream_end: raw.upstream_end,
            link_mbps,
            key_freshness_s,
            rollout_share,
            rollout_slack,
            rollout_stop_s,
            store: raw.store,
            agent: plugin_or_default(raw.agent, settings::DEFAULT_AGENT),
            front: plugin_or_default(raw.front, settings::DEFAULT_FRONT_END),
            transport: plugin_or_default(raw.transport, settings::DEFAULT_TRANSPORT),
            admission: plugin_or_default(raw.admission, settings::DEFAULT_ADMISSION),
            balance: plugin_or_default(raw.balance, settings::DEFAULT_BALANCE),
            retry: plugin_or_default(raw.retry, settings::DEFAULT_RETRY),
            health: plugin_or_default(raw.health, settings::DEFAULT_HEALTH),
        })
    }

    /// Records a problem at the line of `value`.
    fn add_problem<T>(&mut self, key: &str, value: &Spanned<T>, message: String, hint: &str) {
        self.problems.push(Problem {
            line: value.referenced.line(),
            key: key.to_owned(),
            message,
            hint: hint.to_owned(),
        });
    }

    /// Returns the name if it is valid, and adds a problem otherwise.
    fn check_name(&mut self, key: &str, name: &Spanned<String>) -> Option<String> {
        let text = &name.value;
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(valid) {
            return Some(text.clone());
        }
        let message = format!("{text:?} is not a valid name");
        let hint = "write 1 to 63 letters, digits, '-', '_' or '.'";
        self.add_problem(key, name, message, hint);
        None
    }

    /// Checks an address that other instances can connect to and that no other key uses.
    fn check_unique_address(&mut self, key: &str, raw: &Spanned<String>) -> Option<SocketAddr> {
        let address = self.check_reachable_address(key, raw)?;
        if let Some((_, other_key)) = self
            .used_addresses
            .iter()
            .find(|(used, _)| *used == address)
        {
            let message = format!("{address} is already used by {other_key}");
            self.add_problem(key, raw, message, "give each its own port");
            return None;
        }
        self.used_addresses.push((address, key.to_owned()));
        Some(address)
    }

    /// Checks an address that other instances can connect to. IPv4-mapped IPv6 addresses become IPv4.
    fn check_reachable_address(&mut self, key: &str, raw: &Spanned<String>) -> Option<SocketAddr> {
        let text = &raw.value;
        let Ok(address) = text.parse::<SocketAddr>() else {
            let message = format!("{text:?} is not an IP address with a port");
            let hint = "write it like 10.1.2.3:7100 or [fd00::3]:7100; host names are not resolved";
            self.add_problem(key, raw, message, hint);
            return None;
        };
        // The rules below, and the search for duplicates, must also apply to IPv4-mapped addresses.
        let ip = address.ip().to_canonical();
        let address = SocketAddr::new(ip, address.port());
        let reason = if ip.is_unspecified() {
            Some("means every address of the instance, which other nodes cannot connect to")
        } else if ip.is_multicast() {
            Some("is a multicast address")
        } else if ip == IpAddr::V4(Ipv4Addr::BROADCAST) {
            Some("is the broadcast address")
        } else if address.port() == 0 {
            Some("has no port")
        } else {
            None
        };
        let Some(reason) = reason else {
            return Some(address);
        };
        let hint = "write the address and port that other nodes connect to";
        self.add_problem(key, raw, format!("{address} {reason}"), hint);
        None
    }

    /// Checks the contacts. The node's own address may be among them, so that all nodes of a fleet
    /// can have the same list.
    fn check_contacts(&mut self, raw: &[Spanned<String>]) -> Vec<SocketAddr> {
        if let Some(extra) = raw.get(MAX_CONTACTS) {
            let message = format!("{} contacts", raw.len());
            let hint = "at most 64 are accepted; two of each failure domain are enough";
            self.add_problem("contacts", extra, message, hint);
        }
        let mut contacts = Vec::new();
        for contact in raw.iter().take(MAX_CONTACTS) {
            let Some(address) = self.check_reachable_address("contacts", contact) else {
                continue;
            };
            if contacts.contains(&address) {
                let message = format!("{address} is listed twice");
                self.add_problem("contacts", contact, message, "remove one");
            } else {
                contacts.push(address);
            }
        }
        contacts
    }

    /// Returns the drain limit in milliseconds, from whichever of its two keys is set.
    /// Returns an optional quantity; `None` if the value is empty or a truth value.
    fn check_quantity(
        &mut self,
        key: &str,
        raw: Option<&Spanned<String>>,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let raw = raw?;
        let parsed = quantity::parse(&raw.value, range);
        parsed.unwrap_or_else(|error| {
            let message = format!("{:?} is not usable", raw.value);
            self.add_problem(key, raw, message, &error.to_string());
            None
        })
    }

    fn check_drain_limit(&mut self, raw: &RawSettings) -> Option<u64> {
        // An environment that knows no grace time leaves the value empty or switches it off.
        let grace = raw.stop_grace_s.as_ref();
        let seconds = grace.map(|grace| quantity::parse(&grace.value, STOP_GRACE_SECONDS));
        let (Some(grace), Some(seconds)) = (grace, seconds.and_then(Result::transpose)) else {
            return self.check_number(
                "drain_limit_ms",
                raw.drain_limit_ms.as_ref(),
                "milliseconds",
                MAX_DRAIN_MS,
                settings::DEFAULT_DRAIN_LIMIT_MS,
            );
        };
        if non_empty(raw.drain_limit_ms.as_ref()).is_some() {
            let message = "is set together with drain_limit_ms".to_owned();
            let hint = "remove one: the drain limit follows from stop_grace_s";
            self.add_problem("stop_grace_s", grace, message, hint);
            return None;
        }
        let Ok(seconds) = seconds else {
            let message = format!("{:?} is not usable", grace.value);
            let hint = format!(
                "write a number of seconds from {} to {}, without a unit",
                STOP_GRACE_SECONDS.start(),
                STOP_GRACE_SECONDS.end()
            );
            self.add_problem("stop_grace_s", grace, message, &hint);
            return None;
        };
        Some((seconds * 1_000.0) as u64 - settings::EXIT_RESERVE_MS)
    }

    /// Checks an optional whole number from 1 to `max`.
    fn check_number(
        &mut self,
        key: &str,
        raw: Option<&Spanned<String>>,
        unit: &str,
        max: u64,
        default: u64,
    ) -> Option<u64> {
        let Some(raw) = non_empty(raw) else {
            return Some(default);
        };
        match raw.value.parse() {
            Ok(number) if (1..=max).contains(&number) => return Some(number),
            _ => {}
        }
        let message = format!("{:?} is not usable", raw.value);
        let hint = format!("write a whole number of {unit} from 1 to {max}, without a unit");
        self.add_problem(key, raw, message, &hint);
        None
    }
}
