//! Validation, classification and quota of requests before they are routed.
//!
//! Each filter turns its input into a more specific type or into a refusal. A
//! refusal here is `not_run` only if this entry generated the id: an id chosen by
//! the caller may belong to an earlier, well-formed submission.

use std::{sync::Arc, time::Duration};

use ident::{Group, RequestId};
use node::{CallerToken, Job, Request as CallerRequest};
use quota::OverQuota;
use rand::RngExt;
use register::Config;
use verdict::{Proof, Reason, Refusal};
use wire::{JobSpec, Run, TaskSpec};

use crate::{
    Entry, Phase,
    request::{Payload, Request, Route, Timer, TimerKind},
};

/// Maximum number of tasks in a job.
pub const MAX_TASKS: usize = 340;

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Retry delay for callers of an entry without configuration.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A valid request with its group, route and limits.
struct Classified {
    payload: Payload,
    group: Group,
    route: Route,
    id_chosen: bool,
    team: String,
    /// Starts charged to the team's quota.
    starts: u32,
    expected: Duration,
    deadline: Duration,
}

impl Entry {
    /// Handles a caller's request.
    pub(crate) fn on_request(&mut self, token: CallerToken, request: CallerRequest) {
        let id = request.id;
        let classified = self.config(id).and_then(|config| self.classify(&config, request));
        self.admit(token, id, classified);
    }

    /// Handles a caller's job.
    pub(crate) fn on_job(&mut self, token: CallerToken, job: Job) {
        let id = job.id;
        let classified = self.config(id).and_then(|config| self.classify_job(&config, job));
        self.admit(token, id, classified);
    }

    fn config(&self, id: Option<RequestId>) -> Result<Arc<Config>, Refusal> {
        if self.phase != Phase::Running {
            let message = "This entry is shutting down; send the request to another.";
            return Err(refuse_unsent(id, Reason::ShuttingDown, message.to_owned()));
        }
        self.state.config.clone().ok_or_else(|| {
            let message = "This entry has no configuration yet; try again shortly.";
            refuse_unsent(id, Reason::NotConfigured, message.to_owned())
                .with_retry_after(NOT_READY_RETRY_DELAY)
        })
    }

    fn classify(&mut self, config: &Config, request: CallerRequest) -> Result<Classified, Refusal> {
        let inventory = &config.inventory;
        if inventory.service(&request.service).is_none() {
            let message = format!("service {:?} is not declared.", request.service);
            return Err(refuse_unknown(request.id, message));
        }
        let Some(kind) = inventory.kind(&request.service, &request.kind) else {
            let message = format!("kind {:?} is not declared for the service.", request.kind);
            return Err(refuse_unknown(request.id, message));
        };
        self.check_id(request.id, config)?;
        let urgency = inventory.urgency(&kind.urgency);
        let default = urgency.map_or(MAX_DEADLINE, |it| Duration::from_millis(it.deadline_ms));
        let deadline = check_deadline(request.id, request.deadline.unwrap_or(default))?;
        let configured = Duration::from_millis(kind.run_ms);
        let declared = Some(request.declared.unwrap_or(configured));
        let run = Run {
            id: self.id_or_new(request.id),
            attempt: self.rng.random(),
            submitted: self.now,
            over_quota: false,
            service: request.service,
            kind: request.kind,
            team: request.team,
            budget: deadline,
            declared,
            hints: Vec::new(),
            body: request.body,
        };
        Ok(Classified {
            group: Group::Service(run.service.clone()),
            route: match (kind.idempotent, request.id) {
                (true, _) => Route::Any,
                (false, Some(_)) => Route::Owner,
                (false, None) => Route::Generated,
            },
            id_chosen: request.id.is_some(),
            team: run.team.clone(),
            starts: 1,
            expected: self.router.expected_run_time(
                &run.service,
                &run.kind,
                run.declared,
                self.now,
            ),
            deadline,
            payload: Payload::Run(run),
        })
    }

    fn classify_job(&mut self, config: &Config, job: Job) -> Result<Classified, Refusal> {
        let Some(urgency) = config.inventory.urgency(&job.urgency) else {
            let message = format!("urgency {:?} is not declared.", job.urgency);
            return Err(refuse_unknown(job.id, message));
        };
        check_tasks(job.id, &job.tasks)?;
        self.check_id(job.id, config)?;
        let millis = job.deadline_ms.unwrap_or(urgency.deadline_ms);
        let deadline = check_deadline(job.id, Duration::from_millis(millis))?;
        let longest = job.tasks.iter().map(|task| task.run_ms).max().unwrap_or_default();
        Ok(Classified {
            group: Group::Workers,
            route: match job.id {
                Some(_) => Route::Owner,
                None => Route::Generated,
            },
            id_chosen: job.id.is_some(),
            team: job.team.clone(),
            starts: job.tasks.len() as u32,
            expected: Duration::from_millis(longest),
            deadline,
            payload: Payload::Job(JobSpec {
                id: self.id_or_new(job.id),
                attempt: self.rng.random(),
                submitted: self.now,
                over_quota: false,
                team: job.team,
                urgency: job.urgency,
                budget: deadline,
                tasks: job.tasks,
            }),
        })
    }

    fn check_id(&self, id: Option<RequestId>, config: &Config) -> Result<(), Refusal> {
        let Some(id) = id else { return Ok(()) };
        if id.created_at() > self.now + config.inventory.rules.skew() {
            let message = format!(
                "id {id} was made at {} ms, which lies in the future; check the caller's clock.",
                id.created_at().as_millis()
            );
            return Err(Refusal::may_have_run(Reason::Invalid, message));
        }
        Ok(())
    }

    fn id_or_new(&mut self, id: Option<RequestId>) -> RequestId {
        id.unwrap_or_else(|| RequestId::new(self.now, self.rng.random()))
    }

    fn admit(
        &mut self,
        token: CallerToken,
        id: Option<RequestId>,
        classified: Result<Classified, Refusal>,
    ) {
        let charged = classified.and_then(|classified| self.charge(classified));
        match charged {
            Ok(classified) => self.accept(token, classified),
            Err(refusal) => self.respond_refused(token, id, refusal),
        }
    }

    /// Charges the team's quota. A request over quota whose id the caller chose
    /// still goes to the owner of the id, which records the refusal or may already
    /// have the outcome.
    fn charge(&mut self, mut classified: Classified) -> Result<Classified, Refusal> {
        let taken = self.quotas.take(&classified.team, classified.starts, self.now);
        let Err(over) = taken else { return Ok(classified) };
        match &mut classified.payload {
            Payload::Run(run) if classified.route == Route::Owner => run.over_quota = true,
            Payload::Job(spec) if classified.route == Route::Owner => spec.over_quota = true,
            Payload::Run(_) | Payload::Job(_) => {
                let id = classified.id_chosen.then_some(classified.payload.id());
                return Err(refuse_over_quota(id, &classified.team, &over));
            }
        }
        Ok(classified)
    }

    fn accept(&mut self, token: CallerToken, classified: Classified) {
        let deadline = self.now + classified.deadline;
        let request = Request {
            token,
            payload: classified.payload,
            group: classified.group,
            route: classified.route,
            id_chosen: classified.id_chosen,
            expected: classified.expected,
            deadline,
            tried: Vec::new(),
            attempts: 0,
            in_flight: Vec::new(),
            uncertain: false,
            refusal: None,
        };
        let key = self.requests.insert(request);
        self.by_token.insert(token, key);
        self.timers.insert(Timer { at: deadline, request: key, kind: TimerKind::Deadline });
        self.retry_budget.on_request();
        self.route(key);
    }
}

impl Payload {
    fn id(&self) -> RequestId {
        match self {
            Payload::Run(run) => run.id,
            Payload::Job(spec) => spec.id,
        }
    }
}

/// Creates the refusal of a request that this entry has not sent to any agent; `id`
/// is the id that the caller chose, if any.
pub(crate) fn refuse_unsent(id: Option<RequestId>, reason: Reason, message: String) -> Refusal {
    match id {
        None => Refusal::not_run(Proof::id_never_used(), reason, message),
        Some(_) => Refusal::may_have_run(reason, message),
    }
}

fn refuse_unknown(id: Option<RequestId>, message: String) -> Refusal {
    refuse_unsent(id, Reason::Unknown, message)
}

fn refuse_over_quota(id: Option<RequestId>, team: &str, over: &OverQuota) -> Refusal {
    match over {
        OverQuota::UnknownTeam => refuse_unknown(id, format!("team {team:?} is not declared.")),
        OverQuota::Exhausted { retry_after } => {
            let message = format!("Team {team:?} has used up its quota.");
            refuse_unsent(id, Reason::OverQuota, message).with_retry_after(*retry_after)
        }
        OverQuota::TooMany { burst } => {
            let message = format!("Team {team:?} may start at most {burst} tasks at once.");
            refuse_unsent(id, Reason::OverQuota, message)
        }
    }
}

fn check_deadline(id: Option<RequestId>, deadline: Duration) -> Result<Duration, Refusal> {
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        let millis = deadline.as_millis();
        let longest = MAX_DEADLINE.as_millis();
        let message = format!("deadline_ms {millis} is not within 1 and {longest}.");
        return Err(refuse_unsent(id, Reason::Invalid, message));
    }
    Ok(deadline)
}

fn check_tasks(id: Option<RequestId>, tasks: &[TaskSpec]) -> Result<(), Refusal> {
    if tasks.is_empty() || tasks.len() > MAX_TASKS {
        let count = tasks.len();
        let message = format!("tasks has {count} items; a job has 1 to {MAX_TASKS}.");
        return Err(refuse_unsent(id, Reason::Invalid, message));
    }
    let Some(index) = tasks.iter().position(|task| task.cores == 0) else { return Ok(()) };
    let message = format!("tasks[{index}].cores is 0; a task needs 1 or more.");
    Err(refuse_unsent(id, Reason::Invalid, message))
}
