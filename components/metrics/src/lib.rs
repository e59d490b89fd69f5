//! Metrics of a node, counted from the events and effects that pass by its core.

mod labels;
mod names;
mod timers;

use ident::Timestamp;
use node::{CallerReply, CallerRequest, CallerToken, Decision, Effect, Event, Step};
use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use verdict::{Outcome, Reason};
use wire::JobStatus;

use crate::{
    labels::{Kind, Message, Request},
    names::{call_name, datagram_name, reply_name},
    timers::Timers,
};

/// Upper bound of the fastest bucket, in seconds.
const FASTEST_BUCKET_S: f64 = 0.0005;
/// Ratio between the bounds of two buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets; the last ends at about 16 s.
const BUCKETS: u16 = 16;

/// Service and kind of requests that name none that is known.
const UNKNOWN: &str = "unknown";
/// Service of jobs.
const JOBS: &str = "jobs";

/// Metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<Request, Counter>,
    response_time: Family<Kind, Histogram, fn() -> Histogram>,
    queue_wait: Histogram,
    messages: Family<Message, Counter>,
    retries: Counter,
    hedges: Counter,
    callers_gone: Counter,
    lost_calls: Counter,
    dropped_lines: Counter,
    ejected: Gauge,
    version: Gauge,
    ledger: Gauge,
    connections: Gauge,
    malformed: Gauge,
    timers: Timers,
}

/// Figures that do not pass by the core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Connections to and from peers.
    pub connections: usize,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
}

impl Metrics {
    /// Registers every metric.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("primrosemux"),
            requests: Family::default(),
            response_time: Family::new_with_constructor(time_histogram),
            queue_wait: time_histogram(),
            messages: Family::default(),
            retries: Counter::default(),
            hedges: Counter::default(),
            callers_gone: Counter::default(),
            lost_calls: Counter::default(),
            dropped_lines: Counter::default(),
            ejected: Gauge::default(),
            version: Gauge::default(),
            ledger: Gauge::default(),
            connections: Gauge::default(),
            malformed: Gauge::default(),
            timers: Timers::default(),
        };
        metrics.register_requests();
        metrics.register_messages();
        metrics.register_gauges();
        metrics
    }

    /// Counts an event on its way to the core.
    pub fn on_event(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::Caller { token, request } => self.start(now, *token, request),
            Event::CallerGone { token } => {
                self.timers.end_request(*token);
                self.callers_gone.inc();
            }
            Event::PeerReplied { reply: Err(_), .. } => {
                self.lost_calls.inc();
            }
            Event::State { state, .. } => {
                self.version.set(i64::try_from(state.version()).unwrap_or(i64::MAX));
            }
            Event::Call { .. }
            | Event::PeerReplied { reply: Ok(_), .. }
            | Event::Executed { .. }
            | Event::TaskEnded { .. }
            | Event::Datagram(_)
            | Event::Tick
            | Event::Stop
            | Event::Explain { .. } => {}
        }
    }

    /// Counts an effect that the core asks for.
    pub fn on_effect(&mut self, now: Timestamp, effect: &Effect) {
        match effect {
            Effect::Respond { token, reply } => self.respond(now, *token, reply),
            Effect::Reply { reply, .. } => self.count_message(reply_name(reply)),
            Effect::CallPeer { call, .. } => self.count_message(call_name(call)),
            Effect::Send { datagram, .. } => self.count_message(datagram_name(datagram)),
            Effect::Execute { .. } => self.count_message("endpoint_run"),
            Effect::StartTask { .. } => self.count_message("endpoint_start_task"),
            Effect::RenewTask { .. } => self.count_message("endpoint_renew_task"),
            Effect::StopTask { .. } => self.count_message("endpoint_stop_task"),
            Effect::Append(_) => self.count_message("log_append"),
            Effect::Refresh { .. } => self.count_message("refresh"),
            Effect::Decide(decision) => self.decide(now, decision),
            Effect::Warn(_) | Effect::Stopped => {}
        }
    }

    /// Counts a log line that was dropped because lines were written too slowly.
    pub fn on_dropped_line(&self) {
        self.dropped_lines.inc();
    }

    /// Sets the number of ids in the ledger.
    pub fn set_ledger(&self, ids: usize) {
        self.ledger.set(ids as i64);
    }

    /// Sets the number of endpoints that are ejected.
    pub fn set_ejected(&self, endpoints: usize) {
        self.ejected.set(endpoints as i64);
    }

    /// Sets the figures that do not pass by the core.
    pub fn set(&self, gauges: Gauges) {
        self.connections.set(gauges.connections as i64);
        self.malformed.set(i64::try_from(gauges.malformed).unwrap_or(i64::MAX));
    }

    /// All metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("text can always be written to a string");
        text
    }

    fn start(&mut self, now: Timestamp, token: CallerToken, request: &CallerRequest) {
        match request {
            CallerRequest::Request(request) => {
                self.timers.start_request(token, now, &request.service, &request.kind);
            }
            CallerRequest::Job(_) => self.timers.start_request(token, now, JOBS, JOBS),
            CallerRequest::Ask(_)
            | CallerRequest::Cancel(_)
            | CallerRequest::AskJob(_)
            | CallerRequest::CancelJob(_)
            | CallerRequest::Status
            | CallerRequest::Explain(_) => {}
        }
    }

    fn respond(&mut self, now: Timestamp, token: CallerToken, reply: &CallerReply) {
        let Some(timer) = self.timers.end_request(token) else {
            return;
        };
        let Some(outcome) = outcome_of(reply) else {
            return;
        };
        let reason = reason_of(outcome);
        let kind = match reason {
            Some(Reason::Unknown | Reason::Invalid) => Kind::new(UNKNOWN, UNKNOWN),
            Some(_) | None => timer.kind,
        };
        let labels = Request {
            service: kind.service.clone(),
            kind: kind.kind.clone(),
            verdict: outcome.verdict().to_string(),
            reason: reason.map(|reason| reason.to_string()).unwrap_or_default(),
        };
        self.requests.get_or_create(&labels).inc();
        let took = now.since(timer.started).as_secs_f64();
        self.response_time.get_or_create(&kind).observe(took);
    }

    fn decide(&mut self, now: Timestamp, decision: &Decision) {
        match decision.step {
            Step::Retry => {
                self.retries.inc();
            }
            Step::Hedge => {
                self.hedges.inc();
            }
            Step::Queue => self.timers.start_wait(decision.id, now),
            Step::Start => {
                if let Some(started) = self.timers.end_wait(decision.id) {
                    self.queue_wait.observe(now.since(started).as_secs_f64());
                }
            }
            Step::Refuse | Step::Cancel | Step::HandOn => {
                self.timers.end_wait(decision.id);
            }
            Step::Route | Step::Attach | Step::Repeat | Step::Place => {}
        }
    }

    fn count_message(&self, message: &'static str) {
        self.messages.get_or_create(&Message { r#type: message.to_owned() }).inc();
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
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

    fn register_messages(&mut self) {
        let registry = &mut self.registry;
        registry.register("messages_sent", "Messages sent, by type", self.messages.clone());
        registry.register("retries", "Second attempts made", self.retries.clone());
        registry.register("hedges", "Copies sent to a second agent", self.hedges.clone());
        registry.register("lost_calls", "Calls to peers without a reply", self.lost_calls.clone());
        registry.register(
            "dropped_lines",
            "Decisions that were not logged because lines were written too slowly",
            self.dropped_lines.clone(),
        );
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        registry.register("ejected_endpoints", "Endpoints that are ejected", self.ejected.clone());
        registry.register(
            "version",
            "Version of the configuration in force, 0 for none",
            self.version.clone(),
        );
        registry.register("ledger_ids", "Ids in the ledger", self.ledger.clone());
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

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

fn outcome_of(reply: &CallerReply) -> Option<&Outcome> {
    match reply {
        CallerReply::Outcome { outcome, .. } => Some(outcome),
        CallerReply::Job { status: JobStatus::Ended(outcome), .. } => Some(outcome),
        CallerReply::Job { status: JobStatus::Running { .. }, .. }
        | CallerReply::Running(_)
        | CallerReply::Explain(_)
        | CallerReply::Status(_) => None,
    }
}

fn reason_of(outcome: &Outcome) -> Option<Reason> {
    match outcome {
        Outcome::Done(_) => None,
        Outcome::Refused(refusal) => Some(refusal.reason),
    }
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FASTEST_BUCKET_S, BUCKET_FACTOR, BUCKETS))
}
