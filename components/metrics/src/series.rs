//! Time series of a node and their registration.

use prometheus_client::{
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::labels::{ExclusionLabels, KindLabels, MessageLabels, RequestLabels};

/// Upper bound of the first bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.0005;
/// Ratio between the upper bounds of consecutive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets; the last has an upper bound of about 16 s.
const BUCKET_COUNT: u16 = 16;

/// All time series of a node.
#[derive(Debug)]
pub(crate) struct Series {
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) response_time: Family<KindLabels, Histogram, fn() -> Histogram>,
    pub(crate) queue_wait: Histogram,
    pub(crate) callers_gone: Counter,
    pub(crate) messages: Family<MessageLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) hedges: Counter,
    pub(crate) lost_calls: Counter,
    pub(crate) dropped_lines: Counter,
    pub(crate) excluded: Family<ExclusionLabels, Counter>,
    pub(crate) version: Gauge,
    pub(crate) slots: Gauge,
    pub(crate) busy: Gauge,
    pub(crate) queued: Gauge,
    pub(crate) connections: Gauge,
    pub(crate) malformed: Gauge,
}

impl Series {
    pub(crate) fn register(&self, registry: &mut Registry) {
        self.register_requests(registry);
        self.register_messages(registry);
        self.register_gauges(registry);
    }

    fn register_requests(&self, registry: &mut Registry) {
        registry.register("requests", "Requests answered", self.requests.clone());
        registry.register(
            "response_time_seconds",
            "Time from a caller's request to its answer",
            self.response_time.clone(),
        );
        registry.register(
            "queue_wait_seconds",
            "Time that requests waited for a slot",
            self.queue_wait.clone(),
        );
        registry.register(
            "callers_gone",
            "Callers that closed their connection before the answer",
            self.callers_gone.clone(),
        );
    }

    fn register_messages(&self, registry: &mut Registry) {
        registry.register("messages_sent", "Messages sent, by type", self.messages.clone());
        registry.register("retries", "Second attempts made", self.retries.clone());
        registry.register("hedges", "Copies sent to a second agent", self.hedges.clone());
        registry.register("lost_calls", "Calls to peers without a reply", self.lost_calls.clone());
        registry.register(
            "dropped_lines",
            "Decisions that were not logged because lines were written too slowly",
            self.dropped_lines.clone(),
        );
        registry.register(
            "excluded_candidates",
            "Candidates that a decision passed over, by reason",
            self.excluded.clone(),
        );
    }

    fn register_gauges(&self, registry: &mut Registry) {
        registry.register(
            "version",
            "Version of the configuration in force, 0 for none",
            self.version.clone(),
        );
        registry.register("slots", "Slots of the endpoint", self.slots.clone());
        registry.register("busy_slots", "Slots in use", self.busy.clone());
        registry.register("queued_requests", "Requests in the queue", self.queued.clone());
        registry.register(
            "open_connections",
            "Connections to and from peers",
            self.connections.clone(),
        );
        registry.register(
            "malformed_datagrams",
            "Datagrams that could not be decoded",
            self.malformed.clone(),
        );
    }
}

impl Default for Series {
    fn default() -> Series {
        Series {
            requests: Family::default(),
            response_time: Family::new_with_constructor(duration_histogram),
            queue_wait: duration_histogram(),
            callers_gone: Counter::default(),
            messages: Family::default(),
            retries: Counter::default(),
            hedges: Counter::default(),
            lost_calls: Counter::default(),
            dropped_lines: Counter::default(),
            excluded: Family::default(),
            version: Gauge::default(),
            slots: Gauge::default(),
            busy: Gauge::default(),
            queued: Gauge::default(),
            connections: Gauge::default(),
            malformed: Gauge::default(),
        }
    }
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT))
}
