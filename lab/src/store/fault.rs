//! Injected faults, rate limits and call counts of the fake store. Pure: time is an input.

use std::time::Duration;
use std::time::Instant;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Upper bound of the injected delay, in milliseconds.
const MAX_DELAY_MS: u64 = 60_000;

/// Injected outage of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// The store is available.
    #[default]
    None,
    /// New connections are refused and open ones are closed.
    Refuse,
    /// Calls have no effect and get no response; their connections are closed when the outage ends.
    Hang,
}

/// Faults that are injected at present.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    pub outage: Outage,
    /// Delay of each call.
    pub delay: Duration,
    /// Number of the next writes that take effect but get no response.
    pub lost_responses: u64,
}

impl Faults {
    /// Returns the faults after applying the fields of `body`; absent fields leave the fault
    /// unchanged.
    pub fn with_changes(&self, body: &Value) -> Result<Self, String> {
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
            return Err("the body must be a JSON object".into());
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
            Some(_) => return Err("outage must be \"none\", \"refuse\" or \"hang\"".into()),
        }
        if let Some(delay) = body["delay_ms"].as_u64() {
            changed.delay = Duration::from_millis(delay.min(MAX_DELAY_MS));
        }
        if let Some(count) = body["lose_answers"].as_u64() {
            changed.lost_responses = count;
        }
        Ok(changed)
    }

    /// Returns whether the response to a write that took effect is lost, and decrements
    /// `lost_responses`.
    pub fn take_lost_response(&mut self) -> bool {
        let lost = self.lost_responses > 0;
        self.lost_responses = self.lost_responses.saturating_sub(1);
        lost
    }
}

/// Token bucket that limits calls per second; its capacity is the number of calls of one second.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter with a full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second),
            refilled_at: now,
        }
    }

    /// Takes a token for one call; returns false if none is left.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.per_second);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Counts of calls by kind since the start of the store, and other counters.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    /// Sorted by kind.
    calls: Vec<(&'static str, u64)>,
    /// Number of watches that are open at present.
    pub open_watches: u64,
    /// Number of times that the backup was restored.
    pub restores: u64,
    /// Wall clock time of the last write of the configuration, in microseconds.
    pub config_written_us: u64,
}

impl CallCounts {
    /// Counts one call of `kind`.
    pub fn record_call(&mut self, kind: &'static str) {
        match self.calls.binary_search_by_key(&kind, |(name, _)| name) {
            Ok(index) => self.calls[index].1 += 1,
            Err(index) => self.calls.insert(index, (kind, 1)),
        }
    }

    /// Returns all counts, the total of the calls that were not refused, and `revision`.
    pub fn to_json(&self, revision: u64) -> Value {
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
