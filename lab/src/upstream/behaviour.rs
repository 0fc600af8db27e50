//! How a stand-in upstream behaves. Pure: the time since its start is an input.

use std::time::Duration;

use serde_json::Value;

use super::Args;

const MAX_WORK: Duration = Duration::from_secs(60);
const DEFAULT_ANSWER_BYTES: usize = 256;

/// What the health and load endpoints say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hint {
    /// What is so.
    True,
    /// What was so some time ago.
    Lag(Duration),
    /// Always healthy and idle.
    Lie,
}

/// What one request takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub work: Duration,
    pub onward: Option<String>,
    pub failing: bool,
    pub answer_bytes: usize,
}

/// Behaviour, which `POST /lab/behaviour` changes.
#[derive(Clone, Debug)]
pub struct Behaviour {
    work: Duration,
    by_path: Vec<(String, Duration)>,
    onward: Vec<(String, String)>,
    cold: Duration,
    cold_factor: f64,
    factor: f64,
    answer_bytes: usize,
    pub hint: Hint,
    /// Each request fails at once with status 500.
    pub failing: bool,
}

impl Behaviour {
    /// Reads the options; an error names the option.
    pub(crate) fn parse(args: &Args) -> Result<Self, String> {
        let mut by_path = Vec::new();
        for (prefix, micros) in pairs("work", &args.work)? {
            let micros = micros
                .parse()
                .map_err(|_| format!("--work {prefix}={micros}: not microseconds"))?;
            by_path.push((prefix, Duration::from_micros(micros).min(MAX_WORK)));
        }
        Ok(Self {
            work: Duration::from_millis(args.work_ms).min(MAX_WORK),
            by_path,
            onward: pairs("onward", &args.onward)?,
            cold: Duration::from_millis(args.cold_ms),
            cold_factor: args.cold_factor.clamp(1.0, 1_000.0),
            factor: 1.0,
            answer_bytes: DEFAULT_ANSWER_BYTES,
            hint: Hint::True,
            failing: false,
        })
    }

    /// Takes the fields of a JSON object; absent fields stay.
    pub fn change(&mut self, body: &[u8]) -> Result<(), String> {
        let body: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        if let Some(factor) = body["factor"].as_f64() {
            self.factor = factor.clamp(0.01, 1_000.0);
        }
        if let Some(failing) = body["failing"].as_bool() {
            self.failing = failing;
        }
        if let Some(lag) = body["lag_ms"].as_u64() {
            self.hint = Hint::Lag(Duration::from_millis(lag).min(MAX_WORK));
        }
        match body["hint"].as_str() {
            None => {}
            Some("true") => self.hint = Hint::True,
            Some("lie") => self.hint = Hint::Lie,
            Some(_) => return Err("hint is true or lie".into()),
        }
        Ok(())
    }

    /// What a request takes that arrives `age` after the start.
    pub fn plan(&self, path: &str, age: Duration) -> Plan {
        let named = self.by_path.iter().find(|(it, _)| path.starts_with(it));
        let cold = if age < self.cold {
            self.cold_factor
        } else {
            1.0
        };
        let work = named.map_or(self.work, |(_, work)| *work);
        let onward = self.onward.iter().find(|(it, _)| path.starts_with(it));
        Plan {
            work: work.mul_f64(cold * self.factor).min(MAX_WORK),
            onward: onward.map(|(_, target)| target.clone()),
            failing: self.failing,
            answer_bytes: self.answer_bytes,
        }
    }
}

fn pairs(option: &str, list: &[String]) -> Result<Vec<(String, String)>, String> {
    let split = |text: &String| {
        let (prefix, value) = text.split_once('=')?;
        Some((prefix.to_owned(), value.to_owned()))
    };
    list.iter()
        .map(|text| split(text).ok_or_else(|| format!("--{option} {text}: not PREFIX=VALUE")))
        .collect()
}
