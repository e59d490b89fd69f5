//! HTTP client of an entry.

use std::{error::Error, fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use node::NodeStatus;
use tokio::time::timeout;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;
/// Timeout of a call that does not wait for a request or job to run.
pub(crate) const QUICK_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client of one entry.
#[derive(Debug, Clone)]
pub(crate) struct EntryClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An HTTP request to an entry.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
    /// Timeout after which the response counts as lost.
    pub(crate) timeout: Duration,
}

/// A header of a call.
#[derive(Debug, Clone)]
pub(crate) struct Header {
    pub(crate) name: &'static str,
    pub(crate) value: String,
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why a call has no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallError {
    /// Nothing was sent.
    NotSent(String),
    /// The call may have arrived.
    Lost(String),
}

impl Call {
    /// Creates a call with [`QUICK_TIMEOUT`], without headers or body.
    pub(crate) fn quick(method: Method, path: impl Into<String>) -> Call {
        Call { method, path: path.into(), headers: vec![], body: vec![], timeout: QUICK_TIMEOUT }
    }
}

impl EntryClient {
    /// Creates a client of the entry at `address`.
    pub(crate) fn new(address: SocketAddr) -> EntryClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // Opens a connection for each call: a pooled one may have stopped responding.
        let client =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(connector);
        EntryClient { address, client }
    }

    /// Address of the entry's HTTP port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn call(&self, call: Call) -> Result<Response, CallError> {
        let limit = call.timeout;
        match timeout(limit, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => {
                let address = self.address;
                Err(CallError::Lost(format!("{address} did not answer within {limit:?}")))
            }
        }
    }

    /// Fetches the entry's view of the system.
    pub(crate) async fn status(&self) -> Result<NodeStatus, CallError> {
        let response = self.call(Call::quick(Method::GET, "/v1/status")).await?;
        serde_json::from_slice(&response.body)
            .map_err(|_| CallError::Lost(response.describe(self.address)))
    }

    async fn exchange(&self, call: Call) -> Result<Response, CallError> {
        let address = self.address;
        let url = format!("http://{address}{}", call.path);
        let mut request = Request::builder().method(call.method).uri(url);
        for header in &call.headers {
            request = request.header(header.name, &header.value);
        }
        let request = request
            .body(Full::from(call.body))
            .map_err(|err| CallError::NotSent(format!("the request cannot be made: {err}")))?;
        let response = self.client.request(request).await.map_err(|err| {
            let message = format!("{address}: {}", error_chain(&err));
            match err.is_connect() {
                true => CallError::NotSent(message),
                false => CallError::Lost(message),
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|err| CallError::Lost(format!("{address}: {err}")))?;
        let status = parts.status.as_u16();
        Ok(Response { status, headers: parts.headers, body: body.to_bytes() })
    }
}

impl Response {
    /// Value of a header, if it is present and text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Describes a response that does not follow the entry's API.
    pub(crate) fn describe(&self, address: SocketAddr) -> String {
        let text = String::from_utf8_lossy(&self.body);
        let start: String = text.trim().chars().take(200).collect();
        format!(
            "{address} answered {} with {start:?}, which is not a response of an entry",
            self.status
        )
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(message) => write!(f, "The entry cannot be reached: {message}."),
            CallError::Lost(message) => write!(f, "The entry's answer is lost: {message}."),
        }
    }
}

fn error_chain(err: &dyn Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
