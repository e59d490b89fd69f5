//! Checks the invariants of every run and the expectations of the script.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use ident::{RequestId, Timestamp};
use verdict::{Outcome, Verdict};

use crate::{
    World,
    callers::{CallerAnswer, Payload, Purpose, SentRequest},
    script::{Compare, Expect},
};

/// Time after the deadline within which a caller must be answered.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

impl World {
    pub(crate) fn check(&mut self) {
        self.tally();
        self.check_single_starts();
        self.check_not_run();
        self.check_answers();
        for expect in self.script.expects.clone() {
            if let Err(text) = self.check_expect(&expect) {
                self.report.add_violation(self.now, text);
            }
        }
    }

    fn tally(&mut self) {
        for sent in self.callers.sent.values().filter(|it| it.purpose == Purpose::Submit) {
            let tally = self.report.tallies.entry(sent.name.clone()).or_default();
            tally.sent += 1;
            let first = sent.answers.first();
            let done = first.filter(|answer| answer.verdict() == Some(Verdict::Done));
            if let Some(answer) = done {
                tally.done += 1;
                tally.time += answer.at.since(sent.at);
            }
        }
    }

    /// Checks that each non-idempotent request and each task of a job starts at most once.
    fn check_single_starts(&mut self) {
        let idempotent = self.idempotent_ids();
        let mut counts: BTreeMap<(RequestId, Option<u32>), u32> = BTreeMap::new();
        for start in &self.endpoints.starts {
            *counts.entry((start.id, start.task)).or_default() += 1;
        }
        for ((id, task), count) in counts {
            if count > 1 && !idempotent.contains(&id) {
                let text = format!("{id} (task {task:?}) started {count} times");
                self.report.add_violation(self.now, text);
            }
        }
    }

    fn idempotent_ids(&self) -> BTreeSet<RequestId> {
        let service = &self.inventory.services[0].name;
        let mut ids = BTreeSet::new();
        for ((name, index), submission) in &self.callers.submissions {
            let Payload::Request { kind, .. } = &submission.payload else { continue };
            if self.inventory.kind(service, kind).is_some_and(|kind| kind.idempotent) {
                ids.extend(submission.id);
                ids.extend(self.answered_ids(name, *index));
            }
        }
        ids
    }

    fn answered_ids(&self, name: &str, index: u64) -> Vec<RequestId> {
        let of_name = self.callers.sent.values().filter(|it| it.name == name && it.index == index);
        of_name.flat_map(|it| it.answers.iter().filter_map(|answer| answer.id)).collect()
    }

    /// Checks that a request answered `not_run` had not started before the answer, and starts
    /// afterwards only if it was submitted again.
    fn check_not_run(&mut self) {
        let mut found = Vec::new();
        for sent in self.callers.sent.values().filter(|it| it.purpose == Purpose::Submit) {
            for answer in &sent.answers {
                let Some(id) = answer.id else { continue };
                if answer.verdict() != Some(Verdict::NotRun) {
                    continue;
                }
                let again = self.callers.sent.values().any(|other| {
                    other.name == sent.name && other.index == sent.index && other.at > answer.at
                });
                let started = self
                    .endpoints
                    .starts
                    .iter()
                    .any(|start| start.id == id && (start.at <= answer.at || !again));
                if started {
                    found.push((answer.at, format!("{id} was answered not_run but started")));
                }
            }
        }
        for (at, text) in found {
            self.report.add_violation(at, text);
        }
    }

    /// Checks that each caller gets exactly one complete answer, to its own request, in time.
    fn check_answers(&mut self) {
        let mut found = Vec::new();
        for sent in self.callers.sent.values() {
            let name = &sent.name;
            if sent.answers.len() > 1 {
                found.push(format!("a caller of {name} got {} answers", sent.answers.len()));
            }
            if sent.answers.is_empty() && !sent.entry_lost && self.is_overdue(sent) {
                found.push(format!("a caller of {name} got no answer"));
            }
            for answer in &sent.answers {
                found.extend(self.check_answer(sent, answer));
            }
        }
        for text in found {
            self.report.add_violation(self.now, text);
        }
    }

    fn is_overdue(&self, sent: &SentRequest) -> bool {
        let urgency = self.inventory.urgencies.iter().map(|it| it.deadline_ms).max();
        let longest = Duration::from_millis(urgency.unwrap_or_default());
        sent.at + longest + ANSWER_GRACE < self.now
    }

    fn check_answer(&self, sent: &SentRequest, answer: &CallerAnswer) -> Option<String> {
        let name = &sent.name;
        let Some(Outcome::Done(done)) = &answer.outcome else { return None };
        let id = answer.id?;
        let key = (sent.name.clone(), sent.index);
        match &self.callers.submissions[&key].payload {
            Payload::Request { .. } if done.body != id.to_string().into_bytes() => {
                Some(format!("a caller of {name} got the answer to a different request"))
            }
            Payload::Request { .. } => None,
            Payload::Job { tasks, .. } => {
                let results = serde_json::from_slice::<Vec<serde_json::Value>>(&done.body);
                let whole = results.is_ok_and(|results| results.len() == *tasks);
                (!whole).then(|| format!("the answer to job {name} is incomplete"))
            }
        }
    }

    fn check_expect(&self, expect: &Expect) -> Result<(), String> {
        match expect {
            Expect::Runs(name, compare, count) => {
                let ids = self.ids_of(name);
                let starts = self.endpoints.starts.iter().filter(|it| ids.contains(&it.id));
                compare.check(starts.count() as u64, *count, &format!("runs of {name}"))
            }
            Expect::Starts(name, compare, count) => {
                let starts = self.endpoints.starts.iter();
                let here = starts.filter(|it| self.members[&it.node].name == *name);
                compare.check(here.count() as u64, *count, &format!("starts on {name}"))
            }
            Expect::Answer(name, verdict, by) => self.check_last_answer(name, *verdict, *by),
            Expect::InForce(by) => self.check_in_force(*by),
            Expect::NoStart(name, after) => {
                let limit = self.time_zero() + *after;
                let starts = self.endpoints.starts.iter();
                let late = starts.filter(|it| self.members[&it.node].name == *name);
                match late.filter(|it| it.at > limit).count() {
                    0 => Ok(()),
                    count => Err(format!("{count} starts on {name} after {after:?}")),
                }
            }
            Expect::Share(percent, name, verdict) => self.check_share(*percent, name, *verdict),
            Expect::Idle(name, after) => {
                let (ids, limit) = (self.ids_of(name), self.time_zero() + *after);
                let starts = self.endpoints.starts.iter().filter(|it| ids.contains(&it.id));
                match starts.filter(|it| it.ended.is_none_or(|at| at > limit)).count() {
                    0 => Ok(()),
                    count => Err(format!("{count} starts of {name} still run after {after:?}")),
                }
            }
            Expect::Stopped(name, by) => {
                let stopped = self.members[&self.names[name]].stopped_at;
                match stopped.is_some_and(|at| at <= self.time_zero() + *by) {
                    true => Ok(()),
                    false => Err(format!("{name} has not finished its shutdown by {by:?}")),
                }
            }
        }
    }

    fn ids_of(&self, name: &str) -> BTreeSet<RequestId> {
        let known = self.callers.submissions.iter().filter(|((it, _), _)| it == name);
        let mut ids: BTreeSet<RequestId> =
            known.filter_map(|(_, submission)| submission.id).collect();
        let sent = self.callers.sent.values().filter(|sent| sent.name == name);
        ids.extend(sent.flat_map(|sent| sent.answers.iter().filter_map(|answer| answer.id)));
        ids
    }

    fn check_last_answer(
        &self,
        name: &str,
        verdict: Verdict,
        by: Option<Duration>,
    ) -> Result<(), String> {
        let sent = self.callers.sent.values();
        let submits = sent.filter(|it| it.name == name && it.purpose == Purpose::Submit);
        let last = submits.flat_map(|it| &it.answers).max_by_key(|answer| answer.at);
        let Some(last) = last else { return Err(format!("{name} has no answer")) };
        let given = last.verdict();
        if given != Some(verdict) {
            return Err(format!("{name} was answered {:?}, not {verdict}", last.outcome));
        }
        match by.is_some_and(|by| last.at > self.time_zero() + by) {
            true => Err(format!("the answer to {name} came {}", self.offset(last.at))),
            false => Ok(()),
        }
    }

    fn check_in_force(&self, by: Duration) -> Result<(), String> {
        let version = self.log.state.version();
        let behind = self.members.values().filter(|it| it.is_running());
        let behind: Vec<&str> = behind
            .filter(|it| it.follower.state().version() != version)
            .map(|it| it.name.as_str())
            .collect();
        if !behind.is_empty() {
            return Err(format!("version {version} is not in force on {behind:?}"));
        }
        let limit = self.time_zero() + by;
        let late = self.report.in_force.iter().filter(|(_, at)| **at > limit);
        let late: Vec<&str> = late.map(|(node, _)| self.members[node].name.as_str()).collect();
        match late.is_empty() {
            true => Ok(()),
            false => Err(format!("version {version} came into force late on {late:?}")),
        }
    }

    fn check_share(&self, percent: u64, name: &str, verdict: Verdict) -> Result<(), String> {
        let sent = self.callers.sent.values();
        let submits: Vec<&SentRequest> =
            sent.filter(|it| it.name == name && it.purpose == Purpose::Submit).collect();
        let matching = submits.iter().filter(|it| {
            it.answers.first().is_some_and(|answer| answer.verdict() == Some(verdict))
        });
        let count = matching.count();
        match count * 100 >= submits.len() * percent as usize {
            true => Ok(()),
            false => Err(format!("{count} of {} answers to {name} are {verdict}", submits.len())),
        }
    }

    fn offset(&self, at: Timestamp) -> String {
        format!("at {} ms", at.since(self.time_zero()).as_millis())
    }
}

impl CallerAnswer {
    fn verdict(&self) -> Option<Verdict> {
        self.outcome.as_ref().map(Outcome::verdict)
    }
}

impl Compare {
    fn check(self, found: u64, wanted: u64, what: &str) -> Result<(), String> {
        let holds = match self {
            Compare::AtMost => found <= wanted,
            Compare::AtLeast => found >= wanted,
            Compare::Equal => found == wanted,
        };
        match holds {
            true => Ok(()),
            false => Err(format!("{what}: found {found}, expected {self:?} {wanted}")),
        }
    }
}
