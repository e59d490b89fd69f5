//! Requests whose owner is out of reach for a while.

use std::{sync::Arc, time::Duration};

use entry::{Entry, Options};
use ident::{Group, Incarnation, NodeId, RequestId, Shard, Timestamp};
use node::{CallToken, CallerReply, CallerRequest, CallerToken, Effect, Event, LinkError, Request};
use register::{Assignment, Record, State};
use verdict::{Outcome, Reason};
use wire::Reply;

const NOW: Timestamp = Timestamp::from_millis(1_790_000_000_000);
const INVENTORY: &str = include_str!("../../../scenarios/yard.toml");
/// Deadline of the request, in ms.
const DEADLINE_MS: u64 = 4_000;

fn node(port: u16) -> NodeId {
    format!("127.0.0.1:{port}").parse().expect("an address")
}

fn id() -> RequestId {
    RequestId::new(NOW, [1; 10])
}

/// An entry that knows the owner of the id.
fn entry() -> Entry {
    let mut entry = Entry::new(Options {
        node: node(7400),
        incarnation: Incarnation(NOW),
        availability_zone: "pier-yard".to_owned(),
        seeds: Vec::new(),
        seed: 1,
    });
    let mut state = State::default();
    let record = |number: u8| RequestId::new(NOW, [number; 10]).uuid();
    state.apply(1, &Record::Config { record: record(9), base: 0, text: INVENTORY.to_owned() });
    let owner = node(7411);
    let assignment = Assignment { epoch: 1, owner, deputy: None, from: NOW, grace: NOW };
    let group = Group::Service("yardbook".to_owned());
    let shards = vec![(Shard::of(id()), assignment)];
    state.apply(2, &Record::Assign { record: record(2), by: owner, group, shards });
    entry.handle(NOW, Event::State { state: Arc::new(state), read_at: NOW });
    entry
}

fn submit(entry: &mut Entry) -> Vec<Effect> {
    let request = CallerRequest::Request(Request {
        id: Some(id()),
        service: "yardbook".to_owned(),
        kind: "wrap-ticket".to_owned(),
        team: "yard".to_owned(),
        deadline: Some(Duration::from_millis(DEADLINE_MS)),
        declared: None,
        body: Vec::new(),
    });
    entry.handle(NOW, Event::CallerRequest { token: CallerToken(1), request })
}

fn calls(effects: &[Effect]) -> Vec<CallToken> {
    let token = |effect: &Effect| match effect {
        Effect::CallPeer { token, .. } => Some(*token),
        _ => None,
    };
    effects.iter().filter_map(token).collect()
}

fn answer(effects: &[Effect]) -> Option<Outcome> {
    let outcome = |effect: &Effect| match effect {
        Effect::Respond { reply: CallerReply::Outcome { outcome, .. }, .. } => {
            Some(outcome.clone())
        }
        _ => None,
    };
    effects.iter().find_map(outcome)
}

/// Submits a request and fails each call to its owner for `length` ms; returns the number of calls,
/// the calls that are not answered by then, and the answer to the caller.
fn fail_calls(entry: &mut Entry, length: u64) -> (usize, Vec<CallToken>, Option<Outcome>) {
    let mut effects = submit(entry);
    let mut count = 0;
    for ms in (0..length).step_by(10) {
        let open = calls(&effects);
        if let Some(outcome) = answer(&effects) {
            return (count, open, Some(outcome));
        }
        count += open.len();
        let now = NOW + Duration::from_millis(ms);
        effects.clear();
        for token in open {
            let reply: Result<Reply, LinkError> = Err(LinkError::NotSent);
            effects.extend(entry.handle(now, Event::PeerReplied { token, reply }));
        }
        effects.extend(entry.handle(now, Event::Tick));
    }
    (count, calls(&effects), answer(&effects))
}

// Guards against a refusal after some hundred milliseconds, while an agent is being replaced.
#[test]
fn a_request_waits_for_its_owner_as_long_as_its_deadline_allows() {
    let mut entry = entry();

    let (attempts, _, outcome) = fail_calls(&mut entry, DEADLINE_MS - 1_100);

    assert!(outcome.is_none(), "answered with {outcome:?} after {attempts} attempts");
    assert!(attempts > 6, "{attempts} attempts");
}

#[test]
fn a_request_whose_owner_stays_out_of_reach_is_refused_by_its_deadline() {
    let mut entry = entry();

    let (attempts, open, outcome) = fail_calls(&mut entry, DEADLINE_MS + 100);

    let Some(Outcome::Refused(refusal)) = outcome else { panic!("answered with {outcome:?}") };
    assert_eq!((refusal.reason, open.len()), (Reason::NotOwner, 0));
    assert!(attempts < 60, "{attempts} attempts");
}
