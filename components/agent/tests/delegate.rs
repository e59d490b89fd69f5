//! Calls to an agent that holds a request as a delegate of its owner.

use std::{sync::Arc, time::Duration};

use agent::{Agent, Options};
use ident::{Group, Incarnation, RequestId, Timestamp};
use node::{Effect, Event, ReplyTo};
use register::{Record, State};
use verdict::{Outcome, Verdict};
use wire::{Call, CallId, Cancel, Reply, Run, Status};

const NOW: Timestamp = Timestamp::from_millis(1_790_000_000_000);
const INVENTORY: &str = include_str!("../../../scenarios/yard.toml");
const OWNER: ReplyTo = ReplyTo { connection: 1, call: CallId(1) };
const ENTRY: ReplyTo = ReplyTo { connection: 2, call: CallId(1) };

/// An agent whose endpoint is busy, and which has queued `run` for the owner of its id.
fn delegate(run: &Run) -> Agent {
    let mut agent = Agent::new(Options {
        node: "127.0.0.1:7411".parse().expect("an address"),
        incarnation: Incarnation(NOW),
        name: "yard-1".to_owned(),
        group: Group::Service("yardbook".to_owned()),
        availability_zone: "pier-yard".to_owned(),
        seeds: Vec::new(),
        seed: 1,
    });
    let mut state = State::default();
    let record = RequestId::new(NOW, [9; 10]).uuid();
    state.apply(1, &Record::Config { record, base: 0, text: INVENTORY.to_owned() });
    let slots = state.config.as_ref().expect("a configuration").inventory.executors[0].slots;
    agent.handle(NOW, Event::State { state: Arc::new(state), read_at: NOW });
    for other in 0..slots {
        let id = RequestId::new(NOW, [other as u8 + 100; 10]);
        agent.handle(NOW, call(OWNER, Call::Execute(Run { id, ..run.clone() })));
    }
    let effects = agent.handle(NOW, call(OWNER, Call::Execute(run.clone())));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Execute { .. } | Effect::Reply { .. })));
    agent
}

fn call(from: ReplyTo, call: Call) -> Event {
    Event::Call { from, peer: "127.0.0.1:7400".parse().expect("an address"), call }
}

fn run() -> Run {
    Run {
        id: RequestId::new(NOW, [1; 10]),
        attempt: 1,
        submitted: NOW,
        over_quota: false,
        service: "yardbook".to_owned(),
        kind: "wrap-ticket".to_owned(),
        team: "yard".to_owned(),
        budget: Duration::from_millis(500),
        declared: None,
        hints: Vec::new(),
        body: Vec::new(),
    }
}

/// Verdicts on a request that were sent to `to`.
fn verdicts(effects: Vec<Effect>, to: ReplyTo) -> Vec<Verdict> {
    let replies = effects.into_iter().filter_map(|effect| match effect {
        Effect::Reply { to: at, reply } if at == to => Some(reply),
        _ => None,
    });
    replies
        .filter_map(|reply| match reply {
            Reply::Run(reply) => Some(reply.outcome),
            Reply::Status(Status::Ended(outcome)) => Some(outcome),
            _ => None,
        })
        .map(|outcome: Outcome| outcome.verdict())
        .collect()
}

/// The owner places a request elsewhere that its delegate has refused, so it may run yet.
#[test]
fn a_delegate_tells_only_the_owner_that_a_request_has_not_run() {
    let run = run();
    let mut agent = delegate(&run);

    let mut effects = agent.handle(NOW, call(ENTRY, Call::Run(run)));
    effects.extend(agent.handle(NOW + Duration::from_secs(1), Event::Tick));

    let to_owner = effects.clone();
    assert_eq!(verdicts(to_owner, OWNER), vec![Verdict::NotRun]);
    assert_eq!(verdicts(effects, ENTRY), vec![Verdict::MayHaveRun]);
}

/// The owner places the request elsewhere after all.
#[test]
fn a_delegate_does_not_say_that_a_cancelled_request_will_not_run() {
    let run = run();
    let mut agent = delegate(&run);

    let effects = agent.handle(NOW, call(ENTRY, Call::Cancel(Cancel { id: run.id })));

    assert_eq!(verdicts(effects, ENTRY), vec![]);
}
