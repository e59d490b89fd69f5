//! Metrics of a process.

use std::sync::Arc;

use broker::{OrderCounts, VerdictCounts};
use hyper::{StatusCode, header::CONTENT_TYPE};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use tokio::{net::TcpListener, sync::watch};

use crate::http::{Port, Response, error_response, serve};

/// Path at which the metrics are served.
const METRICS_PATH: &str = "/metrics";
/// Upper bound of the first bucket of a histogram, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;
/// Ratio of the bounds of consecutive buckets.
const BUCKET_GROWTH: f64 = 1.5;
/// Number of buckets of a histogram.
const BUCKETS: u16 = 18;

/// Metrics of a process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Answers to callers, by outcome.
    pub(crate) answers: Family<Outcome, Counter>,
    /// Requests whose callers had left when they were handled, or left unread.
    pub(crate) callers_left: Counter,
    /// Time from the arrival of a job to its answer, in seconds.
    pub(crate) answer_time: Histogram,
    /// Jobs in progress.
    pub(crate) jobs: Gauge,
    /// Jobs that wait for free capacity.
    pub(crate) waiting: Gauge,
    /// Tasks that wait for the rack of their data and could run elsewhere.
    pub(crate) rack_waits: Gauge,
    /// Agents that have an endpoint.
    pub(crate) agents: Gauge,
    /// Agents that are probed often and get tasks.
    pub(crate) watched: Gauge,
    /// Runs ordered at agents.
    pub(crate) orders: Counter,
    /// Ordered runs that agents refused, by cause.
    pub(crate) orders_refused: Family<Refused, Counter>,
    /// Jobs of which a task is held or must run apart.
    pub(crate) suspect_jobs: Gauge,
    /// Verdicts on tasks whose endpoints have crashed.
    pub(crate) verdicts: Family<Judged, Counter>,
    /// Version of the configuration in force.
    pub(crate) version: Gauge,
    /// Evacuated availability zones.
    pub(crate) evacuated_zones: Gauge,
    /// Offset up to which the evacuations are known.
    pub(crate) evacuations_offset: Gauge,
    /// Runs that were refused because the agent's zone is evacuated.
    pub(crate) evacuation_refusals: Counter,
    /// Requests for a configuration that were sent to other entries and received from them, by
    /// outcome.
    pub(crate) config_requests: Family<Outcome, Counter>,
    /// Configurations that other entries sent, by outcome.
    pub(crate) config_answers: Family<Outcome, Counter>,
    /// Calls to the endpoint, by outcome.
    pub(crate) calls: Family<Outcome, Counter>,
    /// Calls that the endpoint rejected, by operation and reason.
    pub(crate) rejections: Family<CallRejection, Counter>,
    /// Runs that were rejected or listed as ended while they may still run.
    pub(crate) doubtful: Counter,
    /// Runs that were left to end at a notice of removal.
    pub(crate) removal_stays: Counter,
    /// Runs that were stopped because of a notice of removal.
    pub(crate) removal_stopped: Counter,
    /// Restarts of the endpoint under its id.
    pub(crate) restarts: Counter,
    /// Crashes of the endpoint.
    pub(crate) crashes: Counter,
    /// Duration of a call to the endpoint, in seconds.
    pub(crate) call_time: Histogram,
    /// Runs that use capacity of the endpoint.
    pub(crate) active: Gauge,
    /// Whether the endpoint accepts work: 1 or 0.
    pub(crate) open: Gauge,
    /// Open connections of clients, by port.
    pub(crate) connections: Family<PortName, Gauge>,
    /// Connections that were closed because another one needed their place, by port.
    pub(crate) connections_displaced: Family<PortName, Counter>,
    /// Connections that were closed because all others were being answered, by port.
    pub(crate) connections_refused: Family<PortName, Counter>,
    /// Bodies that were not read for lack of memory.
    pub(crate) bodies_refused: Counter,
}

/// Port of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct PortName {
    pub(crate) port: &'static str,
}

/// Outcome of a request or call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Outcome {
    outcome: &'static str,
}

impl Outcome {
    /// Creates a label with this value.
    pub(crate) fn new(outcome: &'static str) -> Outcome {
        Outcome { outcome }
    }
}

/// Operation of a rejected call, and why it was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct CallRejection {
    call: &'static str,
    reason: &'static str,
}

impl CallRejection {
    /// Creates labels with these values.
    pub(crate) fn new(call: &'static str, reason: &'static str) -> CallRejection {
        CallRejection { call, reason }
    }
}

/// Why an agent refused a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Refused {
    reason: &'static str,
}

/// Verdict on a task whose endpoints have crashed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Judged {
    verdict: &'static str,
}

impl Metrics {
    /// Raises the counters of verdicts to the counts of the core.
    pub(crate) fn set_verdicts(&self, counts: VerdictCounts) {
        let VerdictCounts { apart, held, culprits } = counts;
        for (verdict, count) in [("apart", apart), ("held", held), ("given_up", culprits)] {
            let counter = self.verdicts.get_or_create(&Judged { verdict });
            counter.inc_by(count - counter.get());
        }
    }

    /// Raises the counters of orders to the counts of the core.
    pub(crate) fn set_orders(&self, counts: OrderCounts) {
        self.orders.inc_by(counts.ordered - self.orders.get());
        let OrderCounts { ordered: _, room, stale, closed, endpoint, stopped } = counts;
        for (reason, count) in [
            ("room", room),
            ("stale", stale),
            ("closed", closed),
            ("endpoint", endpoint),
            ("stopped", stopped),
        ] {
            let counter = self.orders_refused.get_or_create(&Refused { reason });
            counter.inc_by(count - counter.get());
        }
    }

    /// Registers all metrics.
    pub(crate) fn new() -> Metrics {
        let histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_GROWTH, BUCKETS));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("primrosemux"),
            answers: Family::default(),
            callers_left: Counter::default(),
            answer_time: histogram(),
            jobs: Gauge::default(),
            waiting: Gauge::default(),
            rack_waits: Gauge::default(),
            agents: Gauge::default(),
            watched: Gauge::default(),
            orders: Counter::default(),
            orders_refused: Family::default(),
            suspect_jobs: Gauge::default(),
            verdicts: Family::default(),
            version: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuations_offset: Gauge::default(),
            evacuation_refusals: Counter::default(),
            config_requests: Family::default(),
            config_answers: Family::default(),
            calls: Family::default(),
            rejections: Family::default(),
            doubtful: Counter::default(),
            removal_stays: Counter::default(),
            removal_stopped: Counter::default(),
            restarts: Counter::default(),
            crashes: Counter::default(),
            call_time: histogram(),
            active: Gauge::default(),
            open: Gauge::default(),
            connections: Family::default(),
            connections_displaced: Family::default(),
            connections_refused: Family::default(),
            bodies_refused: Counter::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("answers", "Answers to callers", metrics.answers.clone());
        registry.register(
            "callers_left",
            "Requests given up because the kernel showed that their callers have left",
            metrics.callers_left.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to the answer of a job",
            metrics.answer_time.clone(),
        );
        registry.register("jobs", "Jobs in progress", metrics.jobs.clone());
        registry.register("jobs_waiting", "Jobs that wait for room", metrics.waiting.clone());
        registry.register(
            "tasks_waiting_for_rack",
            "Tasks that wait for the rack of their data and could run elsewhere",
            metrics.rack_waits.clone(),
        );
        registry.register("agents", "Agents with an endpoint", metrics.agents.clone());
        registry.register(
            "agents_watched",
            "Agents that are probed often and get tasks",
            metrics.watched.clone(),
        );
        registry.register("orders", "Runs ordered at agents", metrics.orders.clone());
        registry.register(
            "orders_refused",
            "Ordered runs that agents refused",
            metrics.orders_refused.clone(),
        );
        registry.register(
            "jobs_suspect",
            "Jobs with tasks that are held or must run apart",
            metrics.suspect_jobs.clone(),
        );
        registry.register(
            "crash_verdicts",
            "Verdicts on tasks whose endpoints have crashed",
            metrics.verdicts.clone(),
        );
        registry.register("config_version", "Configuration in force", metrics.version.clone());
        registry.register(
            "evacuated_zones",
            "Availability zones that are evacuated",
            metrics.evacuated_zones.clone(),
        );
        registry.register(
            "evacuations_offset",
            "Offset up to which the evacuations are known",
            metrics.evacuations_offset.clone(),
        );
        registry.register(
            "evacuation_refusals",
            "Runs refused because the zone is evacuated",
            metrics.evacuation_refusals.clone(),
        );
        registry.register(
            "config_requests",
            "Requests between entries for a configuration",
            metrics.config_requests.clone(),
        );
        registry.register(
            "config_answers",
            "Configurations that other entries sent",
            metrics.config_answers.clone(),
        );
        registry.register("endpoint_calls", "Calls of the endpoint", metrics.calls.clone());
        registry.register(
            "endpoint_rejections",
            "Calls that the endpoint rejected",
            metrics.rejections.clone(),
        );
        registry.register(
            "doubtful_runs",
            "Runs rejected or listed as ended while they may still run",
            metrics.doubtful.clone(),
        );
        registry.register(
            "removal_runs_left",
            "Runs left to end at a notice of removal",
            metrics.removal_stays.clone(),
        );
        registry.register(
            "removal_runs_stopped",
            "Runs stopped because of a notice of removal",
            metrics.removal_stopped.clone(),
        );
        registry.register(
            "endpoint_restarts",
            "Restarts of the endpoint under its id",
            metrics.restarts.clone(),
        );
        registry.register(
            "endpoint_crashes",
            "Instances of the endpoint that were replaced without notice",
            metrics.crashes.clone(),
        );
        registry.register("endpoint_call_seconds", "Time of a call", metrics.call_time.clone());
        registry.register("runs_active", "Runs on the endpoint", metrics.active.clone());
        registry.register("endpoint_open", "Endpoint takes work", metrics.open.clone());
        registry.register(
            "connections",
            "Open connections of clients",
            metrics.connections.clone(),
        );
        registry.register(
            "connections_displaced",
            "Connections closed because another one needed their place",
            metrics.connections_displaced.clone(),
        );
        registry.register(
            "connections_refused",
            "Connections closed because all others were being answered",
            metrics.connections_refused.clone(),
        );
        registry.register(
            "bodies_refused",
            "Bodies that were not read for lack of memory",
            metrics.bodies_refused.clone(),
        );
        metrics
    }

    /// Encodes all metrics in the OpenMetrics text format.
    fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}

/// Serves the metrics for as long as the process runs.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    port: Port,
    closing: watch::Receiver<bool>,
    metrics: Arc<Metrics>,
) {
    serve(listener, port, closing, move |request, _| {
        let metrics = Arc::clone(&metrics);
        async move {
            if request.uri().path() != METRICS_PATH {
                return error_response(StatusCode::NOT_FOUND, "only /metrics is served here");
            }
            text_response(metrics.render())
        }
    })
    .await;
}

fn text_response(body: String) -> Response {
    let mut response = Response::new(body.into());
    let value = hyper::header::HeaderValue::from_static(
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    );
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
