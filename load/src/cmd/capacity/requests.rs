//! Processor time of one request on an entry and on an agent.

use std::time::Duration;

use ident::{NodeId, RequestId, Shard, Timestamp};
use node::{CallerRequest, CallerToken, Effect, Event, ReplyTo, Request};
use verdict::{Answer, Outcome};
use wire::{Call, CallId, Reply, Run, RunReply};

use super::{cores::Cost, fleet, simulation::Simulation};

/// Requests to average over.
const REQUESTS: u32 = 2000;
/// Size of the body of a request and of an answer.
const BODY_BYTES: usize = 100;
/// Run time of a request on its executor.
const RUN_TIME: Duration = Duration::from_millis(1);

/// Processor time of a request from its arrival at an entry to its answer, one at a time.
pub fn entry_request(simulation: &mut Simulation, kind: &str) -> Cost {
    let mut cost = Cost::default();
    for number in 0..REQUESTS {
        let mut request_cost = Cost::default();
        let event = Event::CallerRequest {
            token: CallerToken(number.into()),
            request: caller_request(kind),
        };
        let effects = simulation.handle(0, event, &mut request_cost);
        let sent = effects.into_iter().find_map(|effect| match effect {
            Effect::CallPeer { token, node, .. } => Some((token, node)),
            _ => None,
        });
        let (token, node) = sent.expect("an entry sends a request that its rules allow");
        let event = Event::PeerReplied { token, reply: Ok(run_reply(node)) };
        simulation.handle(0, event, &mut request_cost);
        cost.add(request_cost.total);
    }
    cost
}

/// Processor time of a request from its arrival at an agent with a free slot to its answer.
pub fn agent_request(simulation: &mut Simulation, kind: &str) -> Cost {
    let index = simulation.executor();
    let node = simulation.executor_report().node;
    let mut cost = Cost::default();
    for number in 0..REQUESTS {
        let id = owned_id(simulation, number);
        let mut request_cost = Cost::default();
        let from = ReplyTo { connection: 1, call: CallId(number.into()) };
        let call = Call::Run(run(simulation.now, id, kind));
        let effects =
            simulation.handle(index, Event::Call { from, peer: node, call }, &mut request_cost);
        let started = effects.into_iter().find_map(|effect| match effect {
            Effect::Execute { token, .. } => Some(token),
            _ => None,
        });
        let token = started.expect("an agent with a free slot runs a request of its own");
        let result = Ok(answer());
        simulation.handle(
            index,
            Event::Executed { token, result, took: RUN_TIME },
            &mut request_cost,
        );
        cost.add(request_cost.total);
    }
    cost
}

/// Body of a request or an answer.
pub fn body() -> Vec<u8> {
    vec![b'x'; BODY_BYTES]
}

/// Request whose id the entry generates.
pub fn caller_request(kind: &str) -> CallerRequest {
    CallerRequest::Request(Request {
        id: None,
        service: fleet::service(0),
        kind: kind.to_owned(),
        team: "team-000".to_owned(),
        deadline: None,
        declared: Some(RUN_TIME),
        body: body(),
    })
}

/// Answer of an executor.
pub fn answer() -> Answer {
    Answer { status: 200, body: body() }
}

fn run_reply(node: NodeId) -> Reply {
    Reply::Run(RunReply {
        outcome: Outcome::Done(answer()),
        ran_on: Some(node),
        run_time: RUN_TIME,
        load: wire::Load { slots: 8, ..wire::Load::default() },
    })
}

fn run(now: Timestamp, id: RequestId, kind: &str) -> Run {
    Run {
        id,
        attempt: 1,
        submitted: now,
        over_quota: false,
        service: fleet::service(0),
        kind: kind.to_owned(),
        team: "team-000".to_owned(),
        budget: Duration::from_secs(3),
        declared: Some(RUN_TIME),
        hints: Vec::new(),
        body: body(),
    }
}

/// Generates an id that the agent of the executor owns.
fn owned_id(simulation: &Simulation, number: u32) -> RequestId {
    let report = simulation.executor_report();
    let mut draws = (0_u16..).map(|draw| {
        let mut random = [0; 10];
        random[4..8].copy_from_slice(&number.to_le_bytes());
        random[8..].copy_from_slice(&draw.to_le_bytes());
        RequestId::new(simulation.now, random)
    });
    let is_owned = |id: &RequestId| {
        let assignment = simulation.state().table.get(&report.group, Shard::of(*id));
        assignment.is_some_and(|it| it.owner == report.node)
    };
    draws.find(is_owned).expect("the agent owns some shards")
}
