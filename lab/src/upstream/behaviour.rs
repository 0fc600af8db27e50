//! Simulated behaviour of a fake upstream: service times, cold start and misleading health.
//!
//! Pure: the time since the start of the upstream is an input.

use std::time::Duration;

use serde_json::Value;

use super::Args;

/// Upper bound of the time that a request takes and of the delay of health responses.
const MAX_WORK_TIME: Duration = Duration::from_secs(60);
/// Number of requests of which one gets a body without end, while the upstream sends such bodies.
const ONE_ENDLESS_IN: u64 = 4;
const DEFAULT_RESPONSE_BYTES: usize = 256;

/// How accurate the responses of the upstream to health and load requests are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthReporting {
    /// Health and load at the time of the response.
    Accurate,
    /// Health and load at the arrival of the request; the response is sent after this delay.
    Delayed(Duration),
    /// Healthy and idle, whatever the actual health and load are.
    AlwaysHealthy,
}

/// How the upstream handles one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPlan {
    /// Time for which the request is executed before it calls another service, if it does.
    pub work_time: Duration,
    /// Path of the call to another service, through the upstream's node; `None` for no call.
    pub onward: Option<String>,
    /// Whether the request fails at once with status 500.
    pub failing: bool,
    /// Minimum size of the response body.
    pub response_bytes: usize,
    /// Whether the response body has no end.
    pub endless: bool,
}

/// Settings of the simulated behaviour, which `POST /lab/behaviour` changes.
#[derive(Clone, Debug)]
pub struct Behaviour {
    work_time: Duration,
    /// Work times of requests by prefix of their path; they take precedence over `work_time`.
    work_time_by_prefix: Vec<(String, Duration)>,
    /// Paths of the calls to another service, by prefix of the path of the request that causes the call.
    onward: Vec<(String, String)>,
    /// Time after the start in which work takes `cold_slowdown` times as long.
    cold_period: Duration,
    cold_slowdown: f64,
    /// Factor on all work times, in the cold period and after it.
    slowdown: f64,
    response_bytes: usize,
    pub health_reporting: HealthReporting,
    /// Whether each request fails at once with status 500.
    pub failing: bool,
    /// Whether one in [`ONE_ENDLESS_IN`] responses has a body without end.
    pub endless: bool,
}

impl Behaviour {
    /// Reads the behaviour from the command line; an error names the option.
    pub(crate) fn parse(args: &Args) -> Result<Self, String> {
        let mut work_time_by_prefix = Vec::new();
        for (prefix, micros) in parse_pairs("work", &args.work)? {
            let micros = micros
                .parse()
                .map_err(|_| format!("--work {prefix}={micros}: not a number of microseconds"))?;
            work_time_by_prefix.push((prefix, Duration::from_micros(micros).min(MAX_WORK_TIME)));
        }
        Ok(Self {
            work_time: Duration::from_millis(args.work_ms).min(MAX_WORK_TIME),
            work_time_by_prefix,
            onward: parse_pairs("onward", &args.onward)?,
            cold_period: Duration::from_millis(args.cold_ms),
            cold_slowdown: args.cold_factor.clamp(1.0, 1_000.0),
            slowdown: 1.0,
            response_bytes: DEFAULT_RESPONSE_BYTES,
            health_reporting: HealthReporting::Accurate,
            failing: false,
            endless: false,
        })
    }

    /// Applies the fields of a JSON object; absent fields leave the setting unchanged.
    pub fn apply_changes(&mut self, body: &[u8]) -> Result<(), String> {
        let body: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        if let Some(slowdown) = body["factor"].as_f64() {
            self.slowdown = slowdown.clamp(0.01, 1_000.0);
        }
        if let Some(failing) = body["failing"].as_bool() {
            self.failing = failing;
        }
        if let Some(endless) = body["endless"].as_bool() {
            self.endless = endless;
        }
        if let Some(lag) = body["lag_ms"].as_u64() {
            self.health_reporting =
                HealthReporting::Delayed(Duration::from_millis(lag).min(MAX_WORK_TIME));
        }
        match body["hint"].as_str() {
            None => {}
            Some("true") => self.health_reporting = HealthReporting::Accurate,
            Some("lie") => self.health_reporting = HealthReporting::AlwaysHealthy,
            Some(_) => return Err("hint must be \"true\" or \"lie\"".into()),
        }
        Ok(())
    }

    /// Plans the request with this number that arrives `age` after the start of the upstream.
    pub fn plan(&self, path: &str, request_number: u64, age: Duration) -> RequestPlan {
        let prefix_work_time = self
            .work_time_by_prefix
            .iter()
            .find(|(it, _)| path.starts_with(it));
        let cold_slowdown = if age < self.cold_period {
            self.cold_slowdown
        } else {
            1.0
        };
        let work_time = prefix_work_time.map_or(self.work_time, |(_, work_time)| *work_time);
        let onward = self.onward.iter().find(|(it, _)| path.starts_with(it));
        RequestPlan {
            work_time: work_time
                .mul_f64(cold_slowdown * self.slowdown)
                .min(MAX_WORK_TIME),
            onward: onward.map(|(_, target)| target.clone()),
            failing: self.failing,
            response_bytes: self.response_bytes,
            endless: self.endless && request_number.is_multiple_of(ONE_ENDLESS_IN),
        }
    }
}

/// Parses `PREFIX=VALUE` arguments of the flag `--option`.
fn parse_pairs(option: &str, list: &[String]) -> Result<Vec<(String, String)>, String> {
    let split = |text: &String| {
        let (prefix, value) = text.split_once('=')?;
        Some((prefix.to_owned(), value.to_owned()))
    };
    list.iter()
        .map(|text| split(text).ok_or_else(|| format!("--{option} {text}: not PREFIX=VALUE")))
        .collect()
}
