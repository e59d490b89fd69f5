//! Runs the tool in-process against stand-ins of its servers.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use primrosemux::Finished;
use tokio::{net::TcpListener, task::JoinHandle};

/// Id of the requests in the tests.
pub const ID: &str = "01935fb7-8c00-7000-8000-000000000001";

/// Path of the example inventory, relative to the workspace.
pub const HARBORLIFT: &str = "inventories/harborlift.toml";

/// Runs the tool with the given environment variables.
pub async fn run(args: &[&str], variables: &[(&str, String)]) -> Finished {
    let args: Vec<String> = args.iter().map(|it| (*it).to_owned()).collect();
    let env = |name: &str| {
        variables.iter().find(|(known, _)| *known == name).map(|(_, value)| value.clone())
    };
    primrosemux::run(&args, &env).await
}

/// Formats exit code and output of a run, with variable parts replaced.
pub fn format_run(finished: &Finished, replaced: &[(String, &str)]) -> String {
    let mut text = format!("exit {}\n", finished.exit.code());
    if !finished.stdout.is_empty() {
        text += &format!("--- stdout\n{}", finished.stdout);
    }
    if !finished.stderr.is_empty() {
        text += &format!("--- stderr\n{}", finished.stderr);
    }
    for (from, to) in replaced {
        text = text.replace(from, to);
    }
    text
}

/// Writes a temporary file and returns its path; `name` must be unique among the tests.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Replaces the directory of the temporary files, for [`format_run`].
pub fn temp_dir() -> (String, &'static str) {
    (format!("{}/", env!("CARGO_TARGET_TMPDIR")), "")
}

/// Text of the example inventory.
pub fn harborlift() -> String {
    fs::read_to_string(HARBORLIFT).unwrap()
}

/// A prepared response of the fake entry.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

/// A request that the fake entry received.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedRequest {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// An entry that answers each method and path with its prepared replies in order.
///
/// The last reply is repeated. Connections with any other request are closed.
pub struct FakeEntry {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    task: JoinHandle<()>,
}

impl Reply {
    pub fn json(status: u16, body: &str) -> Reply {
        Reply { status, headers: Vec::new(), body: body.to_owned() }
    }

    pub fn done(status: u16, body: &str) -> Reply {
        let headers = vec![
            ("primrosemux-verdict", "done".to_owned()),
            ("primrosemux-id", ID.to_owned()),
            ("primrosemux-ran-on", "192.0.2.21:7500".to_owned()),
        ];
        Reply { status, headers, body: body.to_owned() }
    }

    pub fn refused(status: u16, verdict: &str, reason: &str, message: &str) -> Reply {
        let body = format!(
            r#"{{"error":{{"id":"{ID}","verdict":"{verdict}","reason":"{reason}","field":null,"message":"{message}","retry_after_ms":1500}}}}"#
        );
        let headers = vec![("primrosemux-verdict", verdict.to_owned())];
        Reply { status, headers, body }
    }
}

impl FakeEntry {
    pub async fn start(routes: &[(&str, Reply)]) -> FakeEntry {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut replies: HashMap<String, Vec<Reply>> = HashMap::new();
        for (line, reply) in routes.iter().rev() {
            replies.entry((*line).to_owned()).or_default().push(reply.clone());
        }
        let replies = Arc::new(Mutex::new(replies));
        let received = Arc::new(Mutex::new(Vec::new()));
        let calls = Arc::clone(&received);
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let replies = Arc::clone(&replies);
                let calls = Arc::clone(&calls);
                let service = service_fn(move |request| {
                    answer(request, Arc::clone(&replies), Arc::clone(&calls))
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        FakeEntry { address, received, task }
    }

    /// Requests received so far, in order.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    /// Environment variable with the entry's address.
    pub fn variable(&self) -> (&'static str, String) {
        ("PRIMROSEMUX_ENTRY", self.address.to_string())
    }

    /// Replaces the entry's address, for [`format_run`].
    pub fn replacement(&self) -> (String, &'static str) {
        (self.address.to_string(), "ENTRY")
    }
}

impl Drop for FakeEntry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn answer(
    request: Request<Incoming>,
    replies: Arc<Mutex<HashMap<String, Vec<Reply>>>>,
    calls: Arc<Mutex<Vec<ReceivedRequest>>>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let line = format!("{} {}", request.method(), request.uri().path());
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap().into()));
    let headers = headers.collect();
    let body = request.into_body().collect().await.unwrap_or_default().to_bytes();
    let body = String::from_utf8(body.to_vec()).unwrap();
    calls.lock().unwrap().push(ReceivedRequest { line: line.clone(), headers, body });
    let mut replies = replies.lock().unwrap();
    let reply = match replies.get_mut(&line) {
        Some(queued) if queued.len() > 1 => queued.pop().unwrap(),
        Some(queued) => queued[0].clone(),
        None => return Err(std::io::Error::other("no reply is prepared")),
    };
    let mut response = Response::builder().status(reply.status);
    for (name, value) in &reply.headers {
        response = response.header(*name, value);
    }
    Ok(response.body(Full::from(reply.body)).unwrap())
}
