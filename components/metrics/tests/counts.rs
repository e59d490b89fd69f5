//! Metrics recorded for events and effects.

use std::{sync::Arc, time::Duration};

use ident::{Group, Incarnation, RequestId, Timestamp};
use insta::assert_snapshot;
use metrics::{Gauges, Metrics};
use node::{
    CallToken, CallerReply, CallerRequest, CallerToken, Candidate, Decision, Effect, Event,
    LinkError, Request, Step,
};
use register::State;
use verdict::{Answer, Outcome, Proof, Reason, Refusal};
use wire::{AgentReport, Call, Datagram, Fetch, Load};

const START: Timestamp = Timestamp::from_millis(1_000_000);

#[test]
fn counts_requests_by_verdict_and_times_them() {
    let mut metrics = Metrics::new();

    record_request(&mut metrics, 1, "yardbook", done());
    record_request(&mut metrics, 2, "yardbook", refused(Reason::Overloaded));
    record_request(&mut metrics, 3, "made-up-by-a-caller", refused(Reason::Unknown));

    assert_snapshot!(lines(&metrics, &["requests_total", "response_time_seconds_sum"]));
}

#[test]
fn counts_messages_retries_and_hedges() {
    let mut metrics = Metrics::new();
    let fetch = Call::Fetch(Fetch { next_offset: 0 });
    let node = "127.0.0.1:7400".parse().unwrap();
    let timeout = Duration::from_secs(1);

    for token in 0..3 {
        let token = CallToken(token);
        let call = fetch.clone();
        metrics.on_effect(START, &Effect::CallPeer { token, node, call, timeout });
    }
    let lost = Event::PeerReplied { token: CallToken(0), reply: Err(LinkError::Lost) };
    metrics.on_event(START, &lost);
    metrics.on_effect(START, &Effect::LogDecision(decision(Step::Retry)));
    let excluded = Some("is ejected".to_owned());
    let candidates = vec![Candidate { node, wait_ms: 1.0, excluded }];
    let hedge = Decision { candidates, ..decision(Step::Hedge) };
    metrics.on_effect(START, &Effect::LogDecision(hedge));
    metrics.on_dropped_line();

    assert_snapshot!(lines(
        &metrics,
        &[
            "messages_sent_total",
            "retries_total",
            "hedges_total",
            "lost_calls",
            "dropped_lines",
            "excluded_candidates"
        ],
    ));
}

#[test]
fn times_the_wait_in_the_queue() {
    let mut metrics = Metrics::new();

    metrics.on_effect(START, &Effect::LogDecision(decision(Step::Queue)));
    metrics
        .on_effect(START + Duration::from_millis(250), &Effect::LogDecision(decision(Step::Start)));

    assert_snapshot!(lines(&metrics, &["queue_wait_seconds_sum", "queue_wait_seconds_count"]));
}

#[test]
fn shows_gauges() {
    let mut metrics = Metrics::new();

    let state = Arc::new(State::default());
    metrics.on_event(START, &Event::State { state, read_at: START });
    metrics.set_gauges(Gauges { connections: 7, malformed: 2 });
    let heartbeat = Datagram::Heartbeat(report());
    let node = "127.0.0.1:7400".parse().unwrap();
    metrics.on_effect(START, &Effect::Send { node, datagram: heartbeat });

    let names = ["version", "open_connections", "malformed", "slots", "busy_slots", "queued"];
    assert_snapshot!(lines(&metrics, &names));
}

/// Records a request that is answered after 250 ms.
fn record_request(metrics: &mut Metrics, token: u64, service: &str, outcome: Outcome) {
    let token = CallerToken(token);
    let request = CallerRequest::Request(Request {
        id: None,
        service: service.to_owned(),
        kind: "slot".to_owned(),
        team: "owners".to_owned(),
        deadline: None,
        declared: None,
        body: Vec::new(),
    });
    let reply = CallerReply::Outcome { id: None, outcome, ran_on: None };
    metrics.on_event(START, &Event::CallerRequest { token, request });
    let end = START + Duration::from_millis(250);
    metrics.on_effect(end, &Effect::Respond { token, reply });
}

fn done() -> Outcome {
    Outcome::Done(Answer { status: 200, body: Vec::new() })
}

fn refused(reason: Reason) -> Outcome {
    Outcome::Refused(Refusal::not_run(Proof::id_never_used(), reason, "No."))
}

fn report() -> AgentReport {
    AgentReport {
        node: "127.0.0.1:7401".parse().unwrap(),
        incarnation: Incarnation(START),
        sequence: 1,
        name: "yard-1".to_owned(),
        group: Group::Workers,
        availability_zone: "lift-bay".to_owned(),
        leaving: false,
        load: Load { busy: 5, slots: 8, queued: 3, backlog: Duration::ZERO },
        next_offset: 1,
    }
}

fn decision(step: Step) -> Decision {
    Decision {
        id: RequestId::new(START, [0; 10]),
        step,
        node: None,
        reason: None,
        verdict: None,
        candidates: Vec::new(),
        detail: String::new(),
    }
}

/// Sample lines of the metrics whose names start with one of `names`, sorted.
fn lines(metrics: &Metrics, names: &[&str]) -> String {
    let text = metrics.render();
    let is_wanted = |line: &&str| {
        let name = line.strip_prefix("primrosemux_").unwrap_or_default();
        names.iter().any(|wanted| name.starts_with(wanted))
    };
    let mut lines: Vec<&str> = text.lines().filter(is_wanted).collect();
    lines.sort_unstable();
    lines.join("\n")
}
