//! Rules for the values of a settings file.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde_saphyr::Spanned;

use crate::ListenAddresses;
use crate::Problem;
use crate::Settings;
use crate::settings;
use crate::written::Written;

/// Longest name of an instance or failure domain, in bytes; both travel in datagrams.
const MAX_NAME_BYTES: usize = 63;
/// Most threads for traffic.
const MAX_THREADS: u64 = 64;
/// Longest drain, in milliseconds.
const MAX_DRAIN_MS: u64 = 600_000;
/// Most contacts; a node needs one that answers.
const MAX_CONTACTS: usize = 64;

/// The settings that `written` stands for, or everything that is wrong with it.
pub(crate) fn check(written: Written) -> Result<Settings, Vec<Problem>> {
    let mut checker = Checker::default();
    let settings = checker.read(written);
    match settings {
        Some(settings) if checker.problems.is_empty() => Ok(settings),
        _ => Err(checker.problems),
    }
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
    /// Addresses in use, with their keys.
    taken: Vec<(SocketAddr, String)>,
}

impl Checker {
    fn read(&mut self, written: Written) -> Option<Settings> {
        let instance = self.name("instance", &written.instance);
        let domain = self.name("domain", &written.domain);
        let listen = &written.listen;
        let callers = self.address("listen.callers", &listen.callers);
        let requests = self.address("listen.requests", &listen.requests);
        let peer = self.address("listen.peer", &listen.peer);
        let admin = self.address("listen.admin", &listen.admin);
        // A node that forwards to itself would forward the same request for ever.
        let upstream = self.address("upstream", &written.upstream);
        let service = written.service.as_ref();
        let service = service.and_then(|service| self.name("service", service));
        let contacts = self.contacts(&written.contacts);
        let threads = settings::DEFAULT_THREADS;
        let threads = self.number(
            "traffic_threads",
            written.traffic_threads.as_ref(),
            "threads",
            MAX_THREADS,
            threads,
        );
        let drain = settings::DEFAULT_DRAIN_LIMIT_MS;
        let drain = self.number(
            "drain_limit_ms",
            written.drain_limit_ms.as_ref(),
            "milliseconds",
            MAX_DRAIN_MS,
            drain,
        );
        let linger = self.number(
            "drain_linger_ms",
            written.drain_linger_ms.as_ref(),
            "milliseconds",
            MAX_DRAIN_MS,
            settings::DEFAULT_DRAIN_LINGER_MS,
        );
        let notice = self.number(
            "drain_notice_ms",
            written.drain_notice_ms.as_ref(),
            "milliseconds",
            MAX_DRAIN_MS,
            settings::DEFAULT_DRAIN_LINGER_MS,
        );
        let domains = written.domains.iter();
        let domains = domains.filter_map(|domain| self.name("domains", domain));
        let domains: Vec<_> = domains.collect();
        let plugged = |plugged: Option<_>, name| plugged.unwrap_or_else(|| settings::named(name));
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
            traffic_threads: usize::try_from(threads?).ok()?,
            domains,
            drain_limit_ms: drain?,
            drain_linger_ms: linger?,
            drain_notice_ms: notice?,
            upstream_end: written.upstream_end,
            store: written.store,
            agent: plugged(written.agent, settings::DEFAULT_AGENT),
            front: plugged(written.front, settings::DEFAULT_FRONT),
            transport: plugged(written.transport, settings::DEFAULT_TRANSPORT),
            admission: plugged(written.admission, settings::DEFAULT_ADMISSION),
            balance: plugged(written.balance, settings::DEFAULT_BALANCE),
            retry: plugged(written.retry, settings::DEFAULT_RETRY),
            health: plugged(written.health, settings::DEFAULT_HEALTH),
        })
    }

    fn refuse<T>(&mut self, key: &str, at: &Spanned<T>, message: String, hint: &str) {
        self.problems.push(Problem {
            line: at.referenced.line(),
            key: key.to_owned(),
            message,
            hint: hint.to_owned(),
        });
    }

    fn name(&mut self, key: &str, name: &Spanned<String>) -> Option<String> {
        let text = &name.value;
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(valid) {
            return Some(text.clone());
        }
        let message = format!("{text:?} is not a name");
        let hint = "a name has 1 to 63 letters, digits, '-', '_' and '.'";
        self.refuse(key, name, message, hint);
        None
    }

    /// An address that no other key uses.
    fn address(&mut self, key: &str, written: &Spanned<String>) -> Option<SocketAddr> {
        let address = self.usable(key, written)?;
        if let Some((_, other)) = self.taken.iter().find(|(known, _)| *known == address) {
            let message = format!("{address} is also {other}");
            self.refuse(key, written, message, "give each its own port");
            return None;
        }
        self.taken.push((address, key.to_owned()));
        Some(address)
    }

    /// An address that other instances can reach.
    fn usable(&mut self, key: &str, written: &Spanned<String>) -> Option<SocketAddr> {
        let text = &written.value;
        let Ok(address) = text.parse::<SocketAddr>() else {
            let message = format!("{text:?} is not an IP address with a port");
            let hint = "write it like 10.1.2.3:7100 or [fd00::3]:7100; names are not looked up";
            self.refuse(key, written, message, hint);
            return None;
        };
        // An IPv4 address can be written as an IPv6 one.
        let ip = address.ip().to_canonical();
        let address = SocketAddr::new(ip, address.port());
        let reason = if ip.is_unspecified() {
            Some("means every address of the instance, which others cannot connect to")
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
        let hint = "write the one address and port that others connect to";
        self.refuse(key, written, format!("{address} {reason}"), hint);
        None
    }

    /// Contacts; the node's own address may be among them, so that a fleet can share one list.
    fn contacts(&mut self, written: &[Spanned<String>]) -> Vec<SocketAddr> {
        if let Some(extra) = written.get(MAX_CONTACTS) {
            let message = format!("{} contacts", written.len());
            let hint = "at most 64 are accepted; two of each failure domain are enough";
            self.refuse("contacts", extra, message, hint);
        }
        let mut contacts = Vec::new();
        for contact in written.iter().take(MAX_CONTACTS) {
            let Some(address) = self.usable("contacts", contact) else {
                continue;
            };
            if contacts.contains(&address) {
                let message = format!("{address} is listed twice");
                self.refuse("contacts", contact, message, "remove one");
            } else {
                contacts.push(address);
            }
        }
        contacts
    }

    fn number(
        &mut self,
        key: &str,
        written: Option<&Spanned<String>>,
        unit: &str,
        most: u64,
        default: u64,
    ) -> Option<u64> {
        let Some(written) = written else {
            return Some(default);
        };
        match written.value.parse() {
            Ok(number) if (1..=most).contains(&number) => return Some(number),
            _ => {}
        }
        let message = format!("{:?} is not usable", written.value);
        let hint = format!("write a whole number of {unit} from 1 to {most}, without a unit");
        self.refuse(key, written, message, &hint);
        None
    }
}
