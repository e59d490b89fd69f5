//! HTTP client of an entry, as callers use it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use ident::RequestId;
use verdict::Verdict;

/// HTTP client of one entry.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
}

/// One request to a service.
#[derive(Debug, Clone)]
pub struct Submission<'a> {
    /// Id, if the caller chooses it.
    pub id: Option<RequestId>,
    /// Service to call.
    pub service: &'a str,
    /// Kind of the request.
    pub kind: &'a str,
    /// Team of the caller.
    pub team: &'a str,
    /// Time until the answer is needed.
    pub deadline: Option<Duration>,
    /// Run time that the caller declares.
    pub declared: Option<Duration>,
    /// Run time that the stand-in executor simulates.
    pub run_time: Duration,
}

/// An entry's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Verdict; `None` if the request has not ended.
    pub verdict: Option<Verdict>,
    /// Id of the request, as reported by the entry.
    pub id: Option<String>,
    /// Body.
    pub body: Bytes,
}

impl Caller {
    /// Creates a client of the entry at `entry`.
    pub fn new(entry: SocketAddr) -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Caller { client: Client::builder(TokioExecutor::new()).build(connector), entry }
    }

    /// Sends a request and waits for the response.
    pub async fn submit(&self, submission: &Submission<'_>) -> Result<Answer> {
        let Submission { service, kind, team, .. } = submission;
        let path = format!("/v1/services/{service}/kinds/{kind}/requests");
        let mut request = Request::post(self.uri(&path)).header("primrosemux-team", *team);
        if let Some(id) = submission.id {
            request = request.header("primrosemux-id", id.to_string());
        }
        if let Some(deadline) = submission.deadline {
            request = request.header("primrosemux-deadline-ms", deadline.as_millis().to_string());
        }
        if let Some(declared) = submission.declared {
            request = request.header("primrosemux-run-ms", declared.as_millis().to_string());
        }
        let body = format!("{{\"run_ms\":{}}}", submission.run_time.as_millis());
        self.send(request.body(Full::from(body))?).await
    }

    /// Sends a job as JSON and waits for the response.
    pub async fn submit_job(&self, job: &serde_json::Value) -> Result<Answer> {
        let request = Request::post(self.uri("/v1/jobs")).body(Full::from(job.to_string()))?;
        self.send(request).await
    }

    /// Sends an HTTP request without a body.
    pub async fn call(&self, method: Method, path: &str) -> Result<Answer> {
        let request = Request::builder().method(method).uri(self.uri(path));
        self.send(request.body(Full::default())?).await
    }

    fn uri(&self, path: &str) -> Uri {
        let text = format!("http://{}{path}", self.entry);
        text.parse().expect("an address and a path make a URI")
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let response = self.client.request(request).await;
        let response = response.wrap_err_with(|| format!("calling the entry {}", self.entry))?;
        let header = |name| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let verdict = header("primrosemux-verdict").and_then(|text| match text.as_str() {
            "done" => Some(Verdict::Done),
            "not_run" => Some(Verdict::NotRun),
            "may_have_run" => Some(Verdict::MayHaveRun),
            _ => None,
        });
        let id = header("primrosemux-id");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.wrap_err("reading the answer")?.to_bytes();
        Ok(Answer { status, verdict, id, body })
    }
}

impl Answer {
    /// Whether the executor answered without an error of its own.
    pub fn is_done(&self) -> bool {
        self.verdict == Some(Verdict::Done) && self.status == StatusCode::OK.as_u16()
    }
}
