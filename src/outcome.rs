//! Outcomes of requests and jobs, parsed from an entry's responses.

use std::net::SocketAddr;

use ident::RequestId;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use verdict::{Reason, Verdict};

use crate::{
    entry::{CallError, Response},
    output::{Exit, Output},
    table::Table,
};

/// Header with the id of the request.
pub(crate) const ID_HEADER: &str = "primrosemux-id";
/// Header with the verdict on the request.
const VERDICT_HEADER: &str = "primrosemux-verdict";
/// Header with the node whose executor ran the request.
const RAN_ON_HEADER: &str = "primrosemux-ran-on";

/// Outcome of a request or job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(untagged)]
pub(crate) enum Outcome {
    /// The executor answered.
    Done(Done),
    /// Every task of a job has a result.
    Complete(Complete),
    /// The request or job has not ended.
    Running(Running),
    /// There is no result.
    Refused(Refused),
}

/// Answer of an executor.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub(crate) struct Done {
    id: Option<RequestId>,
    verdict: Verdict,
    /// HTTP status that the executor returned.
    status: u16,
    ran_on: Option<String>,
    body: String,
}

/// Results of a job, in the order of its tasks.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Complete {
    id: RequestId,
    status: String,
    results: Vec<Value>,
}

/// A request or job that has not ended.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Running {
    id: RequestId,
    status: String,
    /// Tasks of a job that have ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    /// All tasks of a job.
    #[serde(skip_serializing_if = "Option::is_none")]
    total: Option<u32>,
}

/// Why there is no result.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Refused {
    id: Option<RequestId>,
    verdict: Verdict,
    reason: Reason,
    field: Option<String>,
    message: String,
    retry_after_ms: Option<u64>,
}

/// Body of a response without a result.
#[derive(Deserialize)]
struct ErrorBody {
    error: Refused,
}

/// Whether an earlier submission may have used an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdOrigin {
    /// The id was generated for this submission.
    Generated,
    /// The caller provided the id.
    Provided,
}

impl Outcome {
    /// Parses a response; one that does not follow the API leaves the outcome unknown.
    pub(crate) fn parse(id: RequestId, response: &Response, address: SocketAddr) -> Outcome {
        let body = &response.body;
        if response.header(VERDICT_HEADER) == Some("done") {
            return Outcome::Done(Done {
                id: response.header(ID_HEADER).and_then(|it| it.parse().ok()),
                verdict: Verdict::Done,
                status: response.status,
                ran_on: response.header(RAN_ON_HEADER).map(str::to_owned),
                body: String::from_utf8_lossy(body).into_owned(),
            });
        }
        if let Ok(body) = serde_json::from_slice::<ErrorBody>(body) {
            return Outcome::Refused(body.error);
        }
        match serde_json::from_slice(body) {
            Ok(running) if response.status == 202 => Outcome::Running(running),
            Ok(_) | Err(_) => Outcome::unknown(id, format!("{}.", response.describe(address))),
        }
    }

    /// Parses a response about a job.
    pub(crate) fn parse_job(id: RequestId, response: &Response, address: SocketAddr) -> Outcome {
        match Outcome::parse(id, response, address) {
            Outcome::Done(done) => match serde_json::from_slice(&response.body) {
                Ok(complete) => Outcome::Complete(complete),
                Err(_) => Outcome::Done(done),
            },
            outcome @ (Outcome::Complete(_) | Outcome::Running(_) | Outcome::Refused(_)) => outcome,
        }
    }

    /// Outcome of a submission that got no response.
    pub(crate) fn without_answer(id: RequestId, origin: IdOrigin, err: &CallError) -> Outcome {
        match (err, origin) {
            (CallError::NotSent(_), IdOrigin::Generated) => Outcome::Refused(Refused {
                verdict: Verdict::NotRun,
                ..Refused::connection_lost(id, err.to_string())
            }),
            (CallError::NotSent(_), IdOrigin::Provided) => {
                let message = format!("{err} An earlier submission of the id may have run.");
                Outcome::unknown(id, message)
            }
            (CallError::Lost(_), IdOrigin::Generated | IdOrigin::Provided) => {
                Outcome::unknown(id, format!("{err} Ask for the outcome by the id."))
            }
        }
    }

    /// Exit status of a command with this outcome.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Outcome::Done(_) | Outcome::Complete(_) => Exit::Done,
            Outcome::Running(_) => Exit::Failed,
            Outcome::Refused(refused) => match refused.verdict {
                Verdict::NotRun => Exit::NotRun,
                Verdict::MayHaveRun => Exit::Failed,
                Verdict::Done => Exit::Done,
            },
        }
    }

    /// Whether the request or job was cancelled.
    pub(crate) fn is_cancelled(&self) -> bool {
        match self {
            Outcome::Refused(refused) => refused.reason == Reason::Cancelled,
            Outcome::Done(_) | Outcome::Complete(_) | Outcome::Running(_) => false,
        }
    }

    /// Formats the outcome as JSON or as a table.
    pub(crate) fn output(&self, exit: Exit, json: bool) -> Output {
        match json {
            true => Output::json(self, exit),
            false => Output::text(self.table().render(), exit),
        }
    }

    fn table(&self) -> Table {
        match self {
            Outcome::Done(done) => done.table(),
            Outcome::Complete(complete) => complete.table(),
            Outcome::Running(running) => running.table(),
            Outcome::Refused(refused) => refused.table(),
        }
    }

    fn unknown(id: RequestId, message: String) -> Outcome {
        Outcome::Refused(Refused::connection_lost(id, message))
    }
}

impl Refused {
    fn connection_lost(id: RequestId, message: String) -> Refused {
        Refused {
            id: Some(id),
            verdict: Verdict::MayHaveRun,
            reason: Reason::ConnectionLost,
            field: None,
            message,
            retry_after_ms: None,
        }
    }

    fn table(&self) -> Table {
        let mut table = Table::default();
        table.field("id", optional(self.id));
        table.field("verdict", self.verdict);
        table.field("reason", self.reason);
        if let Some(field) = &self.field {
            table.field("field", field);
        }
        table.field("message", &self.message);
        if let Some(millis) = self.retry_after_ms {
            table.field("retry after", format!("{millis} ms"));
        }
        table
    }
}

impl Done {
    fn table(&self) -> Table {
        let mut table = Table::default();
        table.field("id", optional(self.id));
        table.field("verdict", self.verdict);
        table.field("status", self.status);
        table.field("ran on", optional(self.ran_on.as_deref()));
        table.field("body", &self.body);
        table
    }
}

impl Complete {
    fn table(&self) -> Table {
        let mut table = Table::default();
        table.field("id", self.id);
        table.field("status", &self.status);
        for (index, result) in self.results.iter().enumerate() {
            let text = result.as_str().map_or_else(|| result.to_string(), str::to_owned);
            table.field(&format!("task {index}"), text);
        }
        table
    }
}

impl Running {
    fn table(&self) -> Table {
        let mut table = Table::default();
        table.field("id", self.id);
        table.field("status", &self.status);
        if let (Some(done), Some(total)) = (self.done, self.total) {
            table.field("tasks", format!("{done} of {total} ended"));
        }
        table
    }
}

fn optional(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| it.to_string())
}
