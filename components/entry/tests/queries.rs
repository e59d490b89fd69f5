//! Queries and cancellations that go to the owners of an id in several groups.

use std::sync::Arc;

use entry::{Entry, Options};
use ident::{Group, Incarnation, NodeId, RequestId, Shard, Timestamp};
use node::{CallToken, CallerReply, CallerRequest, CallerToken, Effect, Event};
use register::{Assignment, Record, State};
use verdict::{Outcome, Proof, Reason, Refusal, Verdict};
use wire::{Reply, Status};

const NOW: Timestamp = Timestamp::from_millis(1_790_000_000_000);
const INVENTORY: &str = include_str!("../../../scenarios/yard.toml");
/// A second service, whose ids have owners of their own.
const SECOND_SERVICE: &str = r#"
[[services]]
name = "tidebook"

[[kinds]]
service = "tidebook"
name = "tide-check"
idempotent = false
urgency = "urgent"
run_ms = 100

[[executors]]
name = "tide-1"
service = "tidebook"
availability_zone = "pier-yard"
slots = 8
connections = 60
"#;

fn node(port: u16) -> NodeId {
    format!("127.0.0.1:{port}").parse().expect("an address")
}

fn id() -> RequestId {
    RequestId::new(NOW, [1; 10])
}

/// An entry that knows an owner of the id in each of two services.
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
    let text = format!("{INVENTORY}{SECOND_SERVICE}");
    state.apply(1, &Record::Config { record: record(9), base: 0, text });
    for (offset, port, service) in [(2, 7411, "yardbook"), (3, 7412, "tidebook")] {
        let owner = node(port);
        let assignment = Assignment { epoch: 1, owner, deputy: None, from: NOW, grace: NOW };
        let group = Group::Service(service.to_owned());
        let shards = vec![(Shard::of(id()), assignment)];
        state.apply(
            offset,
            &Record::Assign { record: record(offset as u8), by: node(7411), group, shards },
        );
    }
    entry.handle(NOW, Event::State { state: Arc::new(state), read_at: NOW });
    entry
}

/// Verdict on a cancelled id, if the owners in the two services answer with these states.
fn verdict_on_cancel(answers: [Status; 2]) -> Option<Verdict> {
    let mut entry = entry();
    let request = CallerRequest::Cancel(id());
    let effects = entry.handle(NOW, Event::CallerRequest { token: CallerToken(1), request });
    let calls: Vec<CallToken> = effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::CallPeer { token, .. } => Some(token),
            _ => None,
        })
        .collect();
    assert_eq!(calls.len(), answers.len());
    let mut replies = Vec::new();
    for (token, status) in calls.into_iter().zip(answers) {
        let reply = Ok(Reply::Status(status));
        replies.extend(entry.handle(NOW, Event::PeerReplied { token, reply }));
    }
    replies.into_iter().find_map(|effect| match effect {
        Effect::Respond { reply: CallerReply::Outcome { outcome, .. }, .. } => {
            Some(outcome.verdict())
        }
        _ => None,
    })
}

fn never_started() -> Status {
    let proof = Proof::owner_never_started();
    Status::Ended(Outcome::Refused(Refusal::not_run(proof, Reason::Cancelled, "cancelled")))
}

#[test]
fn a_cancelled_id_has_not_run_if_the_owners_in_all_services_say_so() {
    assert_eq!(verdict_on_cancel([never_started(), never_started()]), Some(Verdict::NotRun));
}

/// An agent that may not decide for the id knows nothing of it; the id may run in its service.
#[test]
fn a_cancelled_id_may_have_run_if_one_of_its_owners_does_not_know() {
    let answers = [never_started(), Status::Unknown];

    assert_eq!(verdict_on_cancel(answers), Some(Verdict::MayHaveRun));
}
