//! Faults, rates and counts of the stand-in store. Pure: time is an input.

use std::time::Duration;
use std::time::Instant;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

const MAX_DELAY_MS: u64 = 60_000;

/// How the store is out of reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// It is not.
    #[default]
    None,
    /// Connections are refused and open ones end.
    Refuse,
    /// Calls get no answer and have no effect; they end with the outage.
    Hang,
}

/// The faults in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    pub outage: Outage,
    /// Added to each call.
    pub delay: Duration,
    /// Writes that will take effect without an answer.
    pub lose_answers: u64,
}

impl Faults {
    /// These faults with the fields of `body`; absent fields stay.
    pub fn changed_by(&self, body: &Value) -> Result<Self, String> {
        const KNOWN: [&str; 7] = [
            "outage",
            "delay_ms",
            "lose_answers",
            "reads_per_s",
            "writes_per_s",
            "backup",
            "restore",
        ];
        let Some(fields) = body.as_object() else {
            return Err("a fault is a JSON object".into());
        };
        if let Some(name) = fields.keys().find(|name| !KNOWN.contains(&name.as_str())) {
            return Err(format!("unknown field {name:?}"));
        }
        let mut changed = self.clone();
        match body["outage"].as_str() {
            None => {}
            Some("none") => changed.outage = Outage::None,
            Some("refuse") => changed.outage = Outage::Refuse,
            Some("hang") => changed.outage = Outage::Hang,
            Some(_) => return Err("outage is none, refuse or hang".into()),
        }
        if let Some(delay) = body["delay_ms"].as_u64() {
            changed.delay = Duration::from_millis(delay.min(MAX_DELAY_MS));
        }
        if let Some(count) = body["lose_answers"].as_u64() {
            changed.lose_answers = count;
        }
        Ok(changed)
    }

    /// Whether the answer to a write that took effect is lost.
    pub fn lose_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}

/// A limit on calls a second, which may be used up in one burst.
#[derive(Clone, Debug)]
pub struct Rate {
    per_second: f64,
    left: f64,
    since: Instant,
}

impl Rate {
    /// A full allowance.
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: f64::from(per_second),
            left: f64::from(per_second),
            since: now,
        }
    }

    /// Takes one call; false if none is left.
    pub fn take(&mut self, now: Instant) -> bool {
        let gained = now.duration_since(self.since).as_secs_f64() * self.per_second;
        self.left = (self.left + gained).min(self.per_second);
        self.since = now;
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }
}

/// Calls by kind since the start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Sorted by kind.
    calls: Vec<(&'static str, u64)>,
    pub open_watches: u64,
    pub restores: u64,
    /// Wall time of the last write of the configuration.
    pub config_written_us: u64,
}

impl Counts {
    /// Counts one call.
    pub fn count(&mut self, kind: &'static str) {
        match self.calls.binary_search_by_key(&kind, |(name, _)| name) {
            Ok(at) => self.calls[at].1 += 1,
            Err(at) => self.calls.insert(at, (kind, 1)),
        }
    }

    /// All counts, with the total of the calls that were allowed.
    pub fn json(&self, revision: u64) -> Value {
        let mut fields = Map::new();
        let mut total = 0;
        for (kind, count) in &self.calls {
            fields.insert((*kind).to_owned(), json!(count));
            if *kind != "refused" {
                total += count;
            }
        }
        fields.insert("total".into(), json!(total));
        fields.insert("open_watches".into(), json!(self.open_watches));
        fields.insert("restores".into(), json!(self.restores));
        fields.insert("config_written_us".into(), json!(self.config_written_us));
        fields.insert("revision".into(), json!(revision));
        Value::Object(fields)
    }
}
