//! HTTP client of the log.

use std::{error::Error, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use ident::Timestamp;
use register::{Entry, Page, Record, RecordId};
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::{
    AppendError, ReadError,
    protocol::{Appended, RECORDS_PATH, Records},
};

/// Time within which a connection to the log must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the log must answer, in addition to the wait of a read.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most records that a read requests.
const MAX_PAGE_RECORDS: usize = 1000;
/// Largest accepted body of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Attempts of a checked append, including the first.
const APPEND_ATTEMPTS: u32 = 4;
/// Longest delay before the first retry of a checked append; it doubles with each retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Client of the platform's log; clones share its connections.
#[derive(Debug, Clone)]
pub struct LogClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Error of a call without an answer.
enum CallError {
    /// No byte was sent.
    NotSent(String),
    /// The call may have taken effect.
    Lost(String),
}

/// An HTTP answer with its whole body.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl LogClient {
    /// Creates a client of the log at `address`; it connects with the first call.
    pub fn new(address: SocketAddr) -> LogClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        LogClient { address, client }
    }

    /// Address of the log.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Appends a record once and returns its offset.
    pub async fn append(&self, record: &Record) -> Result<u64, AppendError> {
        let body = serde_json::to_vec(record).map_err(|err| {
            AppendError::NotAppended(format!("the record cannot be encoded: {err}"))
        })?;
        let request = Request::post(self.url(""))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|err| AppendError::NotAppended(err.to_string()))?;
        let answer = self.call(request, ANSWER_TIMEOUT).await.map_err(|err| match err {
            CallError::NotSent(message) => AppendError::NotAppended(message),
            CallError::Lost(message) => AppendError::Unknown(message),
        })?;
        if is_rejection(answer.status) {
            return Err(AppendError::NotAppended(answer.describe()));
        }
        if !answer.status.is_success() {
            return Err(AppendError::Unknown(answer.describe()));
        }
        let appended: Appended = answer.parse().map_err(AppendError::Unknown)?;
        Ok(appended.offset)
    }

    /// Appends a record, with retries until it is known to be in the log.
    ///
    /// `since` is an offset that the log had not assigned before the call, such as
    /// the next one that the caller would read. After a lost answer the log is
    /// searched from there for the record's id. A delayed append may still arrive
    /// after the search, so the log can contain the record twice; the second copy
    /// of a record is always void.
    pub async fn append_checked(&self, record: &Record, since: u64) -> Result<u64, AppendError> {
        let mut lost_answer = None;
        let mut delay = RETRY_DELAY;
        let mut attempt = 1;
        loop {
            let message = match self.append(record).await {
                Ok(offset) => return Ok(offset),
                Err(AppendError::NotAppended(message)) => message,
                Err(AppendError::Unknown(message)) => {
                    lost_answer = Some(message.clone());
                    message
                }
            };
            if attempt == APPEND_ATTEMPTS {
                return match lost_answer {
                    Some(lost_answer) => self.resolve(record.id(), since, lost_answer).await,
                    None => Err(AppendError::NotAppended(message)),
                };
            }
            sleep(delay.mul_f64(rand::random::<f64>())).await;
            if lost_answer.is_some()
                && let Ok(Some(offset)) = self.find(record.id(), since).await
            {
                return Ok(offset);
            }
            attempt += 1;
            delay *= 2;
        }
    }

    /// Offset of the first record with the given id at or after `since`.
    pub async fn find(&self, id: RecordId, since: u64) -> Result<Option<u64>, ReadError> {
        let mut from = since;
        loop {
            let page = self.read(from, Duration::ZERO).await?;
            let found = page
                .entries
                .iter()
                .find(|entry| entry.record.as_ref().is_some_and(|it| it.id() == id));
            if let Some(entry) = found {
                return Ok(Some(entry.offset));
            }
            if page.reaches_end() {
                return Ok(None);
            }
            from = page.next;
        }
    }

    /// Reads records from offset `from`; waits up to `wait` for one if there are none.
    pub async fn read(&self, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let query = format!("?from={from}&limit={MAX_PAGE_RECORDS}&wait_ms={}", wait.as_millis());
        let request = Request::get(self.url(&query))
            .body(Full::default())
            .map_err(|err| ReadError { message: err.to_string() })?;
        let read_at = Timestamp::now();
        let answer = self.call(request, wait + ANSWER_TIMEOUT).await.map_err(|err| match err {
            CallError::NotSent(message) | CallError::Lost(message) => ReadError { message },
        })?;
        if !answer.status.is_success() {
            return Err(ReadError { message: answer.describe() });
        }
        let records: Records = answer.parse().map_err(|message| ReadError { message })?;
        Ok(page(from, &records, read_at))
    }

    /// Searches the log a last time after all attempts; one of them got no answer.
    async fn resolve(
        &self,
        id: RecordId,
        since: u64,
        lost_answer: String,
    ) -> Result<u64, AppendError> {
        match self.find(id, since).await {
            Ok(Some(offset)) => Ok(offset),
            Ok(None) | Err(_) => Err(AppendError::Unknown(lost_answer)),
        }
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        match timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => {
                let address = self.address;
                Err(CallError::Lost(format!("{address} did not answer within {limit:?}")))
            }
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        let address = self.address;
        let response = self.client.request(request).await.map_err(|err| {
            let message = format!("{address}: {}", error_chain(&err));
            match err.is_connect() {
                true => CallError::NotSent(message),
                false => CallError::Lost(message),
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|err| CallError::Lost(format!("{address}: {err}")))?;
        Ok(Answer { status, body: body.to_bytes() })
    }

    fn url(&self, query: &str) -> String {
        format!("http://{}{RECORDS_PATH}{query}", self.address)
    }
}

impl Answer {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body)
            .map_err(|err| format!("the answer cannot be parsed: {err}"))
    }

    fn describe(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        format!("it answered {}: {}", self.status, text.trim())
    }
}

fn page(from: u64, records: &Records, read_at: Timestamp) -> Page {
    let entries = records.records.iter().map(|it| Entry::parse(it.offset, it.record.get()));
    Page {
        from,
        first: records.first,
        next: records.next,
        end: records.end,
        entries: entries.collect(),
        read_at,
    }
}

/// Whether the status says that the log did not append the record.
fn is_rejection(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Formats an error with all its sources.
fn error_chain(err: &dyn Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
