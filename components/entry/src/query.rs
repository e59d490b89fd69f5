//! Status queries and cancellations by id.
//!
//! An id does not contain its service, so a query about a request goes to the owner
//! of the id's shard in the group of each service. A query about a job goes to the
//! owner in the group of the workers.

use std::time::Duration;

use ident::{Group, NodeId, RequestId, Shard};
use members::Liveness;
use node::{CallerReply, CallerToken, Effect, LinkError, NodeStatus};
use slotmap::new_key_type;
use verdict::{Outcome, Reason, Refusal, Verdict};
use wire::{Call, Cancel, JobStatus, Reply, Status};

use crate::{Entry, request::Pending};

new_key_type! {
    /// Identifies a pending query.
    pub struct QueryKey;
}

/// Timeout of a query to an owner.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Kind of work that a query is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Subject {
    Request,
    Job,
}

/// A pending query.
#[derive(Debug)]
pub struct Query {
    token: CallerToken,
    id: RequestId,
    subject: Subject,
    pending: usize,
    failed: usize,
    /// Nodes that know nothing of the id or may not decide for it.
    unknown: usize,
    best: Answer,
}

/// Answer to a query. If several owners answer, the answer with the highest rank is
/// sent to the caller.
#[derive(Debug, Clone, PartialEq)]
enum Answer {
    Unknown,
    Refused(Refusal),
    Running(Option<JobStatus>),
    Done(Outcome),
}

impl Answer {
    fn rank(&self) -> u8 {
        match self {
            Answer::Unknown => 0,
            Answer::Refused(refusal) => match refusal.verdict() {
                Verdict::NotRun => 1,
                Verdict::MayHaveRun | Verdict::Done => 2,
            },
            Answer::Running(_) => 3,
            Answer::Done(_) => 4,
        }
    }
}

impl From<Outcome> for Answer {
    fn from(outcome: Outcome) -> Answer {
        match outcome {
            Outcome::Done(_) => Answer::Done(outcome),
            Outcome::Refused(refusal) => Answer::Refused(refusal),
        }
    }
}

impl Entry {
    /// Queries the outcome of a request.
    pub(crate) fn on_ask(&mut self, token: CallerToken, id: RequestId) {
        let owners = self.owners(id, |group| *group != Group::Workers);
        self.start_query(token, id, Subject::Request, owners, &Call::Ask(id));
    }

    /// Cancels a request.
    pub(crate) fn on_cancel(&mut self, token: CallerToken, id: RequestId) {
        let mut nodes = self.owners(id, |group| *group != Group::Workers);
        for request in self.requests.values().filter(|request| request.id() == id) {
            nodes.extend(
                request
                    .in_flight
                    .iter()
                    .filter(|node| !nodes.contains(node))
                    .copied()
                    .collect::<Vec<_>>(),
            );
        }
        self.start_query(token, id, Subject::Request, nodes, &Call::Cancel(Cancel { id }));
    }

    /// Queries the status of a job.
    pub(crate) fn on_ask_job(&mut self, token: CallerToken, id: RequestId) {
        let owners = self.owners(id, |group| *group == Group::Workers);
        self.start_query(token, id, Subject::Job, owners, &Call::AskJob(id));
    }

    /// Cancels a job.
    pub(crate) fn on_cancel_job(&mut self, token: CallerToken, id: RequestId) {
        let owners = self.owners(id, |group| *group == Group::Workers);
        self.start_query(token, id, Subject::Job, owners, &Call::Cancel(Cancel { id }));
    }

    fn owners(&self, id: RequestId, wanted: impl Fn(&Group) -> bool) -> Vec<NodeId> {
        let Some(config) = &self.state.config else { return Vec::new() };
        let services = config.inventory.services.iter();
        let mut groups: Vec<Group> =
            services.map(|service| Group::Service(service.name.clone())).collect();
        groups.push(Group::Workers);
        let owners = groups.iter().filter(|group| wanted(group)).filter_map(|group| {
            let assignment = self.state.table.get(group, Shard::of(id))?;
            Some(assignment.owner)
        });
        owners.collect()
    }

    fn start_query(
        &mut self,
        token: CallerToken,
        id: RequestId,
        subject: Subject,
        nodes: Vec<NodeId>,
        call: &Call,
    ) {
        let pending = nodes.len();
        let best = Answer::Unknown;
        let query = Query { token, id, subject, pending, failed: 0, unknown: 0, best };
        let key = self.queries.insert(query);
        for node in nodes {
            self.call(Pending::Query { query: key }, node, call.clone(), QUERY_TIMEOUT);
        }
        if pending == 0 {
            self.finish_query(key);
        }
    }

    /// Handles an owner's answer to a query.
    pub(crate) fn on_query_reply(&mut self, key: QueryKey, reply: Result<Reply, LinkError>) {
        let Some(query) = self.queries.get_mut(key) else { return };
        query.pending -= 1;
        let answer = match reply {
            Ok(Reply::Status(Status::Unknown)) => {
                query.unknown += 1;
                Answer::Unknown
            }
            Ok(Reply::Status(Status::Running)) => Answer::Running(None),
            Ok(Reply::Status(Status::Ended(outcome))) => Answer::from(outcome),
            Ok(Reply::Run(run)) => Answer::from(run.outcome),
            Ok(Reply::Job(JobStatus::Ended(outcome))) => Answer::from(outcome),
            Ok(Reply::Job(running @ JobStatus::Running { .. })) => Answer::Running(Some(running)),
            Ok(Reply::Task(_) | Reply::State(_) | Reply::Ack) | Err(_) => {
                query.failed += 1;
                Answer::Unknown
            }
        };
        if answer.rank() > query.best.rank() {
            query.best = answer;
        }
        if query.pending == 0 {
            self.finish_query(key);
        }
    }

    fn finish_query(&mut self, key: QueryKey) {
        let Some(query) = self.queries.remove(key) else { return };
        let id = query.id;
        let failed = query.failed;
        let reply = match query.best {
            Answer::Done(outcome) => ended_reply(query.subject, id, outcome),
            Answer::Running(status) => running_reply(query.subject, id, status),
            Answer::Refused(refusal) => {
                let certain = failed == 0 && query.unknown == 0;
                let refusal = if certain { refusal } else { refusal.weaken() };
                ended_reply(query.subject, id, Outcome::Refused(refusal))
            }
            Answer::Unknown => {
                let message = match failed {
                    0 => format!("id {id} is not known; it may be older than the window."),
                    _ => format!("The owner of id {id} cannot be reached."),
                };
                let reason = if failed == 0 { Reason::Unknown } else { Reason::NotOwner };
                let refusal = Refusal::may_have_run(reason, message);
                ended_reply(query.subject, id, Outcome::Refused(refusal))
            }
        };
        self.effects.push(Effect::Respond { token: query.token, reply });
    }

    /// Reports this entry's view of the cluster.
    pub(crate) fn on_status(&mut self, token: CallerToken) {
        let present = self.members.iter().filter(|it| it.liveness != Liveness::Gone);
        let status = NodeStatus {
            node: self.options.node,
            version: self.state.version(),
            next_offset: self.state.next_offset,
            entries: self.members.peers().map(|it| (it.node, it.next_offset)).collect(),
            agents: present.map(|it| it.report.clone()).collect(),
        };
        let reply = CallerReply::Status(status);
        self.effects.push(Effect::Respond { token, reply });
    }
}

fn ended_reply(subject: Subject, id: RequestId, outcome: Outcome) -> CallerReply {
    match subject {
        Subject::Request => CallerReply::Outcome { id: Some(id), outcome, ran_on: None },
        Subject::Job => CallerReply::Job { id, status: JobStatus::Ended(outcome) },
    }
}

fn running_reply(subject: Subject, id: RequestId, status: Option<JobStatus>) -> CallerReply {
    match (subject, status) {
        (Subject::Job, Some(status)) => CallerReply::Job { id, status },
        (Subject::Job, None) => {
            CallerReply::Job { id, status: JobStatus::Running { done: 0, total: 0 } }
        }
        (Subject::Request, _) => CallerReply::Running(id),
    }
}
