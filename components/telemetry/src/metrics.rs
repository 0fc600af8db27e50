//! Counters of a node.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use quick_error::quick_error;

use crate::writer::dropped_line_count;
use errors::Reason;
use ids::Rank;

quick_error! {
    /// Why counters cannot be set up or given out.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter could not be built.
        Setup { message: String } {
            display("counters cannot be set up: {message}")
        }
        /// The counters could not be encoded.
        Encode(error: prometheus::Error) {
            from()
            display("counters cannot be encoded: {error}")
        }
    }
}

/// Bucket bounds of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0,
];

/// Picks one of the numbers.
type Choose = fn(TrafficGauges) -> u64;

/// All counters of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Keeps the instruments connected to the exporter.
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    drops: Counter<u64>,
    states: Counter<u64>,
    requests: Counter<u64>,
    control_bytes: Counter<u64>,
    control_messages: Counter<u64>,
    store_calls: Counter<u64>,
    latency: Histogram<f64>,
    version: Gauge<u64>,
    meter: Meter,
}

/// Present numbers of a node's traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficGauges {
    /// Requests that run at the upstream.
    pub running: u64,
    /// Requests that wait for admission.
    pub queued: u64,
    /// Requests that may run at once.
    pub concurrency_limit: u64,
    /// Calls of callers and of the upstream that have not ended.
    pub open_calls: u64,
}

impl Metrics {
    /// Counters that start at zero.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|error| Error::Setup {
                message: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("medlar");
        Ok(Self {
            refusals: meter.u64_counter("medlar_refusals").build(),
            retries: meter.u64_counter("medlar_retries").build(),
            drops: meter.u64_counter("medlar_drops").build(),
            states: meter.u64_counter("medlar_state_changes").build(),
            requests: meter.u64_counter("medlar_requests").build(),
            control_bytes: meter.u64_counter("medlar_control_bytes").build(),
            control_messages: meter.u64_counter("medlar_control_messages").build(),
            store_calls: meter.u64_counter("medlar_store_calls").build(),
            latency: meter
                .f64_histogram("medlar_latency_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            version: meter.u64_gauge("medlar_version").build(),
            meter,
            registry,
            _provider: provider,
        })
    }

    /// Counts a refusal; `side` is `entry` or `owner`.
    pub fn count_refusal(&self, side: &'static str, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new("side", side), label(reason)]);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.add(1, &[label(reason)]);
    }

    /// Counts a message that was dropped.
    pub fn count_drop(&self, reason: Reason) {
        self.drops.add(1, &[label(reason)]);
    }

    /// Counts a change of state; `kind` is `node` or `upstream`.
    pub fn count_state_change(&self, kind: &'static str, state: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("state", state)];
        self.states.add(1, &labels);
    }

    /// Gives out what `read` tells each time the counters are encoded.
    pub fn register_gauges(
        &self,
        read: impl Fn() -> TrafficGauges + Clone + Send + Sync + 'static,
    ) {
        let gauges: [(&str, Choose); 4] = [
            ("medlar_running", |it| it.running),
            ("medlar_queued", |it| it.queued),
            ("medlar_limit", |it| it.concurrency_limit),
            ("medlar_forwarded", |it| it.open_calls),
        ];
        let dropped = self
            .meter
            .u64_observable_counter("medlar_log_lines_dropped");
        // The meter keeps the callback; the handle has no other use.
        let _ = dropped
            .with_callback(|counter| counter.observe(dropped_line_count(), &[]))
            .build();
        for (name, choose) in gauges {
            let read = read.clone();
            let gauge = self.meter.u64_observable_gauge(name);
            // The meter keeps the callback; the handle has no other use.
            let _ = gauge
                .with_callback(move |gauge| gauge.observe(choose(read()), &[]))
                .build();
        }
    }

    /// Counts a request that was answered; `seconds` is from arrival to the end of the answer.
    pub fn count_request(&self, rank: Rank, seconds: f64) {
        let labels = [KeyValue::new("rank", i64::from(rank.0))];
        self.requests.add(1, &labels);
        self.latency.record(seconds, &labels);
    }

    /// Counts a control message of `bytes`; `direction` is `sent` or `received`.
    pub fn count_control_message(&self, direction: &'static str, bytes: usize) {
        let labels = [KeyValue::new("direction", direction)];
        self.control_messages.add(1, &labels);
        self.control_bytes.add(bytes as u64, &labels);
    }

    /// Counts a call of the store; `call` is `read`, `watch` or `write`.
    pub fn count_store_call(&self, call: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("call", call)]);
    }

    /// Sets the version in force.
    pub fn set_config_version(&self, version: u64) {
        self.version.record(version, &[]);
    }

    /// All counters in the Prometheus text format.
    pub fn encode(&self) -> Result<String, Error> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn label(reason: Reason) -> KeyValue {
    KeyValue::new("reason", reason.name())
}
