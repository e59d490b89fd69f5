//! Refusals by the filters of an entry.

use std::sync::Arc;

use entry::{Entry, Options};
use ident::{Incarnation, RequestId, Timestamp};
use node::{CallerReply, CallerRequest, CallerToken, Effect, Event, Job, Request};
use register::{Record, State};
use verdict::{Outcome, Reason, Refusal, Verdict};

const NOW: Timestamp = Timestamp::from_millis(1_790_000_000_000);
const INVENTORY: &str = include_str!("../../../scenarios/yard.toml");

fn entry() -> Entry {
    let mut entry = Entry::new(Options {
        node: "127.0.0.1:7400".parse().unwrap(),
        incarnation: Incarnation(NOW),
        availability_zone: "pier-yard".to_owned(),
        seeds: Vec::new(),
        seed: 1,
    });
    let mut state = State::default();
    let record = RequestId::new(NOW, [9; 10]).uuid();
    state.apply(1, &Record::Config { record, base: 0, text: INVENTORY.to_owned() });
    entry.handle(NOW, Event::State { state: Arc::new(state), read_at: NOW });
    entry
}

fn chosen_id() -> Option<RequestId> {
    Some(RequestId::new(NOW, [1; 10]))
}

fn job_without_tasks(id: Option<RequestId>) -> CallerRequest {
    let (team, urgency) = ("yard".to_owned(), "normal".to_owned());
    CallerRequest::Job(Job { id, team, urgency, deadline_ms: None, tasks: Vec::new() })
}

fn ticket_request(id: Option<RequestId>, kind: &str) -> CallerRequest {
    CallerRequest::Request(Request {
        id,
        service: "yardbook".to_owned(),
        kind: kind.to_owned(),
        team: "yard".to_owned(),
        deadline: None,
        declared: None,
        body: Vec::new(),
    })
}

fn refusal(entry: &mut Entry, request: CallerRequest) -> Refusal {
    let token = CallerToken(1);
    let effects = entry.handle(NOW, Event::CallerRequest { token, request });
    let outcomes = effects.into_iter().filter_map(|effect| match effect {
        Effect::Respond { reply: CallerReply::Outcome { outcome, .. }, .. } => Some(outcome),
        _ => None,
    });
    match outcomes.collect::<Vec<Outcome>>().as_slice() {
        [Outcome::Refused(refusal)] => refusal.clone(),
        other => panic!("the request was not refused once: {other:?}"),
    }
}

#[test]
fn a_malformed_job_under_a_chosen_id_may_have_run_as_an_earlier_copy() {
    let refusal = refusal(&mut entry(), job_without_tasks(chosen_id()));

    assert_eq!((refusal.verdict(), refusal.reason), (Verdict::MayHaveRun, Reason::Invalid));
}

#[test]
fn a_malformed_job_without_id_has_not_run_and_names_the_field() {
    let refusal = refusal(&mut entry(), job_without_tasks(None));

    assert_eq!((refusal.verdict(), refusal.reason), (Verdict::NotRun, Reason::Invalid));
    assert!(refusal.message.starts_with("tasks has 0 items"), "{}", refusal.message);
}

#[test]
fn an_unknown_kind_is_refused_by_name() {
    let refusal = refusal(&mut entry(), ticket_request(None, "wrap-tikcet"));

    assert_eq!((refusal.verdict(), refusal.reason), (Verdict::NotRun, Reason::Unknown));
    assert!(refusal.message.contains("\"wrap-tikcet\""), "{}", refusal.message);
}

#[test]
fn without_any_agent_only_a_generated_id_has_not_run() {
    let generated = refusal(&mut entry(), ticket_request(None, "wrap-ticket"));
    let chosen = refusal(&mut entry(), ticket_request(chosen_id(), "wrap-ticket"));

    assert_eq!((generated.verdict(), generated.reason), (Verdict::NotRun, Reason::NoEndpoint));
    assert_eq!((chosen.verdict(), chosen.reason), (Verdict::MayHaveRun, Reason::NoEndpoint));
    assert!(generated.retry_after.is_some() && chosen.retry_after.is_some());
}
