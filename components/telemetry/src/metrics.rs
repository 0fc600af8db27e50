//! Metrics of a node.

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
    /// Why metrics cannot be set up or exported.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter cannot be built.
        Setup { message: String } {
            display("metrics cannot be set up: {message}")
        }
        /// The metrics cannot be encoded.
        Encode(error: prometheus::Error) {
            from()
            display("metrics cannot be encoded: {error}")
        }
    }
}

/// Upper bounds of the buckets of the latency histogram, in seconds.
const LATENCY_BUCKET_BOUNDS: [f64; 12] = [
    0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0,
];

/// Selects the value of one gauge.
type GaugeSelector = fn(TrafficGauges) -> u64;

/// Selects one value of the link.
type LinkGaugeSelector = fn(LinkGauges) -> u64;

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would disconnect the instruments from the exporter.
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    drops: Counter<u64>,
    state_changes: Counter<u64>,
    requests: Counter<u64>,
    pipelined: Counter<u64>,
    paced_bodies: Counter<u64>,
    control_bytes: Counter<u64>,
    control_messages: Counter<u64>,
    store_calls: Counter<u64>,
    store_failures: Counter<u64>,
    key_proofs: Counter<u64>,
    latency: Histogram<f64>,
    limit_tokens: Counter<u64>,
    config_version: Gauge<u64>,
    meter: Meter,
}

/// Current values of a node's traffic gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficGauges {
    /// Number of requests that run at the upstream.
    pub running: u64,
    /// Number of requests that wait for admission.
    pub queued: u64,
    /// Number of requests that may run at the same time.
    pub concurrency_limit: u64,
    /// Number of calls from callers and from the upstream that have not ended.
    pub open_calls: u64,
}

/// Current values and totals of the instance's link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkGauges {
    /// Bytes that wait to be sent.
    pub backlog_bytes: u64,
    /// Number of long responses that are being sent.
    pub open_bodies: u64,
    /// Bytes that were written to other instances.
    pub written_bytes: u64,
    /// Bytes of these that belonged to long responses.
    pub paced_bytes: u64,
}

impl Metrics {
    /// Creates metrics with all counters at zero.
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
            state_changes: meter.u64_counter("medlar_state_changes").build(),
            requests: meter.u64_counter("medlar_requests").build(),
            pipelined: meter.u64_counter("medlar_pipelined_requests").build(),
            paced_bodies: meter.u64_counter("medlar_paced_bodies").build(),
            control_bytes: meter.u64_counter("medlar_control_bytes").build(),
            control_messages: meter.u64_counter("medlar_control_messages").build(),
            store_calls: meter.u64_counter("medlar_store_calls").build(),
            store_failures: meter.u64_counter("medlar_store_failures").build(),
            key_proofs: meter.u64_counter("medlar_key_proofs").build(),
            latency: meter
                .f64_histogram("medlar_latency_seconds")
                .with_boundaries(LATENCY_BUCKET_BOUNDS.to_vec())
                .build(),
            limit_tokens: meter.u64_counter("medlar_limit_tokens").build(),
            config_version: meter.u64_gauge("medlar_version").build(),
            meter,
            registry,
            _provider: provider,
        })
    }

    /// Counts a refusal. `side` is where it happened, such as `entry` or `owner`.
    pub fn count_refusal(&self, side: &'static str, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new("side", side), reason_label(reason)]);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.add(1, &[reason_label(reason)]);
    }

    /// Counts a request that was started while others before it on its connection were unanswered.
    pub fn count_pipelined(&self) {
        self.pipelined.add(1, &[]);
    }

    /// Counts a long response that was paced. `end` is `complete`, `deadline` or `cut`.
    pub fn count_paced_body(&self, end: &'static str) {
        self.paced_bodies.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a message or a call that was dropped.
    pub fn count_drop(&self, reason: Reason) {
        self.drops.add(1, &[reason_label(reason)]);
    }

    /// Counts a change to `state`. `kind` is what changed, such as `node` or `upstream`.
    pub fn count_state_change(&self, kind: &'static str, state: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("state", state)];
        self.state_changes.add(1, &labels);
    }

    /// Registers the traffic gauges, which call `read_gauges` at each export, and the counter of
    /// dropped log lines.
    pub fn register_gauges(
        &self,
        read_gauges: impl Fn() -> TrafficGauges + Clone + Send + Sync + 'static,
    ) {
        let gauges: [(&str, GaugeSelector); 4] = [
            ("medlar_running", |it| it.running),
            ("medlar_queued", |it| it.queued),
            ("medlar_limit", |it| it.concurrency_limit),
            ("medlar_forwarded", |it| it.open_calls),
        ];
        let dropped_lines = self
            .meter
            .u64_observable_counter("medlar_log_lines_dropped");
        // The meter keeps the callback, so the returned handle is not needed.
        let _ = dropped_lines
            .with_callback(|counter| counter.observe(dropped_line_count(), &[]))
            .build();
        for (name, select) in gauges {
            let read_gauges = read_gauges.clone();
            let gauge = self.meter.u64_observable_gauge(name);
            // The meter keeps the callback, so the returned handle is not needed.
            let _ = gauge
                .with_callback(move |gauge| gauge.observe(select(read_gauges()), &[]))
                .build();
        }
    }

    /// Registers the gauges and counters of the instance's link, which call `read_gauges` at each export.
    pub fn register_link_gauges(
        &self,
        read_gauges: impl Fn() -> LinkGauges + Clone + Send + Sync + 'static,
    ) {
        let gauges: [(&str, LinkGaugeSelector); 2] = [
            ("medlar_link_backlog_bytes", |it| it.backlog_bytes),
            ("medlar_link_bodies", |it| it.open_bodies),
        ];
        let counters: [(&str, LinkGaugeSelector); 2] = [
            ("medlar_link_written_bytes", |it| it.written_bytes),
            ("medlar_link_paced_bytes", |it| it.paced_bytes),
        ];
        // The meter keeps the callbacks, so the returned handles are not needed.
        for (name, select) in gauges {
            let read_gauges = read_gauges.clone();
            let gauge = self.meter.u64_observable_gauge(name);
            let _ = gauge
                .with_callback(move |gauge| gauge.observe(select(read_gauges()), &[]))
                .build();
        }
        for (name, select) in counters {
            let read_gauges = read_gauges.clone();
            let counter = self.meter.u64_observable_counter(name);
            let _ = counter
                .with_callback(move |counter| counter.observe(select(read_gauges()), &[]))
                .build();
        }
    }

    /// Counts a completed request and records its latency: `seconds` from its arrival to the end of
    /// the response.
    pub fn count_request(&self, rank: Rank, seconds: f64) {
        let labels = [KeyValue::new("rank", i64::from(rank.0))];
        self.requests.add(1, &labels);
        self.latency.record(seconds, &labels);
    }

    /// Counts a control message of `bytes` bytes. `direction` is `sent` or `received`.
    pub fn count_control_message(&self, direction: &'static str, bytes: usize) {
        let labels = [KeyValue::new("direction", direction)];
        self.control_messages.add(1, &labels);
        self.control_bytes.add(bytes as u64, &labels);
    }

    /// Counts a call to the store. `call` is `read`, `read-changes`, `watch` or `write`.
    pub fn count_store_call(&self, call: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("call", call)]);
    }

    /// Counts a call to the store that failed. `call` is `read`, `read-changes`, `watch` or `write`, and `cause` the
    /// name of the error's cause.
    pub fn count_store_failure(&self, call: &'static str, cause: &'static str) {
        let labels = [KeyValue::new("call", call), KeyValue::new("cause", cause)];
        self.store_failures.add(1, &labels);
    }

    /// Counts a proof that the configuration is the newest. `result` is what the node did with it.
    pub fn count_key_proof(&self, result: &'static str) {
        self.key_proofs.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a token of an organisation's rate limit. `state` is `spent` or `returned`.
    pub fn count_limit_token(&self, state: &'static str) {
        self.limit_tokens.add(1, &[KeyValue::new("state", state)]);
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> Result<String, Error> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

/// Returns the label that holds a reason.
fn reason_label(reason: Reason) -> KeyValue {
    KeyValue::new("reason", reason.name())
}
