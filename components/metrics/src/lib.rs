//! Metrics of a node, recorded from the events and effects of its core.

mod labels;
mod names;
mod series;
mod timers;

use ident::Timestamp;
use node::{CallerReply, CallerRequest, CallerToken, Decision, Effect, Event, Step};
use prometheus_client::{encoding::text::encode, registry::Registry};
use verdict::{Outcome, Reason};
use wire::{Datagram, JobStatus};

use crate::{
    labels::{ExclusionLabels, KindLabels, MessageLabels, RequestLabels},
    names::{call_name, datagram_name, reply_name},
    series::Series,
    timers::Timers,
};

/// Service and kind recorded for requests that name no known service or kind.
const UNKNOWN: &str = "unknown";
/// Service and kind recorded for jobs.
const JOBS: &str = "jobs";

/// Metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    series: Series,
    timers: Timers,
}

/// Values that the core does not see.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Connections to and from peers.
    pub connections: usize,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("primrosemux");
        let series = Series::default();
        series.register(&mut registry);
        Metrics { registry, series, timers: Timers::default() }
    }

    /// Records an event that is passed to the core.
    pub fn on_event(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::CallerRequest { token, request } => self.record_request(now, *token, request),
            Event::CallerGone { token } => {
                self.timers.end_request(*token);
                self.series.callers_gone.inc();
            }
            Event::PeerReplied { reply: Err(_), .. } => {
                self.series.lost_calls.inc();
            }
            Event::State { state, .. } => {
                self.series.version.set(i64::try_from(state.version()).unwrap_or(i64::MAX));
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

    /// Records an effect that the core requests.
    pub fn on_effect(&mut self, now: Timestamp, effect: &Effect) {
        match effect {
            Effect::Respond { token, reply } => self.record_reply(now, *token, reply),
            Effect::Reply { reply, .. } => self.count_message(reply_name(reply)),
            Effect::CallPeer { call, .. } => self.count_message(call_name(call)),
            Effect::Send { datagram, .. } => self.record_datagram(datagram),
            Effect::Execute { .. } => self.count_message("endpoint_run"),
            Effect::StartTask { .. } => self.count_message("endpoint_start_task"),
            Effect::RenewTask { .. } => self.count_message("endpoint_renew_task"),
            Effect::StopTask { .. } => self.count_message("endpoint_stop_task"),
            Effect::Append(_) => self.count_message("log_append"),
            Effect::Refresh { .. } => self.count_message("refresh"),
            Effect::LogDecision(decision) => self.record_decision(now, decision),
            Effect::Warn(_) | Effect::Stopped => {}
        }
    }

    /// Counts a decision that was not logged because the log writer fell behind.
    pub fn on_dropped_line(&self) {
        self.series.dropped_lines.inc();
    }

    /// Sets the values that the core does not see.
    pub fn set_gauges(&self, gauges: Gauges) {
        self.series.connections.set(gauges.connections as i64);
        self.series.malformed.set(i64::try_from(gauges.malformed).unwrap_or(i64::MAX));
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("text can always be written to a string");
        text
    }

    fn record_request(&mut self, now: Timestamp, token: CallerToken, request: &CallerRequest) {
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

    fn record_reply(&mut self, now: Timestamp, token: CallerToken, reply: &CallerReply) {
        let Some(timer) = self.timers.end_request(token) else {
            return;
        };
        let Some(outcome) = outcome_of(reply) else {
            return;
        };
        let reason = reason_of(outcome);
        let kind = match reason {
            Some(Reason::Unknown | Reason::Invalid) => KindLabels::new(UNKNOWN, UNKNOWN),
            Some(_) | None => timer.kind,
        };
        let labels = RequestLabels {
            service: kind.service.clone(),
            kind: kind.kind.clone(),
            verdict: outcome.verdict().to_string(),
            reason: reason.map(|reason| reason.to_string()).unwrap_or_default(),
        };
        self.series.requests.get_or_create(&labels).inc();
        let took = now.since(timer.started).as_secs_f64();
        self.series.response_time.get_or_create(&kind).observe(took);
    }

    fn record_datagram(&self, datagram: &Datagram) {
        self.count_message(datagram_name(datagram));
        if let Datagram::Heartbeat(report) = datagram {
            self.series.slots.set(report.load.slots.into());
            self.series.busy.set(report.load.busy.into());
            self.series.queued.set(report.load.queued.into());
        }
    }

    fn record_decision(&mut self, now: Timestamp, decision: &Decision) {
        for reason in decision.candidates.iter().filter_map(|it| it.excluded.as_ref()) {
            self.series.excluded.get_or_create(&ExclusionLabels { reason: reason.clone() }).inc();
        }
        match decision.step {
            Step::Retry => {
                self.series.retries.inc();
            }
            Step::Hedge => {
                self.series.hedges.inc();
            }
            Step::Queue => self.timers.start_wait(decision.id, now),
            Step::Start => {
                if let Some(started) = self.timers.end_wait(decision.id) {
                    self.series.queue_wait.observe(now.since(started).as_secs_f64());
                }
            }
            Step::Refuse | Step::Cancel | Step::HandOn => {
                self.timers.end_wait(decision.id);
            }
            Step::Route | Step::Attach | Step::Repeat | Step::Place => {}
        }
    }

    fn count_message(&self, message: &'static str) {
        self.series.messages.get_or_create(&MessageLabels { r#type: message.to_owned() }).inc();
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
