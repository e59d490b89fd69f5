//! Fixtures: a server with a scripted core, and a plain HTTP client.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::net::{Ipv4Addr, SocketAddr};

use front::{CallerEvent, HttpServer, Limits, Pages, Readiness, serve};
use ident::RequestId;
use node::{CallerReply, CallerRequest, CallerToken};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::JoinHandle,
};

/// Text form of the id that the tests use.
pub const ID: &str = "018f0000-0000-7000-8000-000000000001";

/// A server and the events that reach its core.
pub struct Fixture {
    pub address: SocketAddr,
    pub events: mpsc::UnboundedReceiver<CallerEvent>,
    pub stop: oneshot::Sender<()>,
    pub serving: JoinHandle<()>,
}

/// A request that reached the core.
pub struct CoreRequest {
    pub token: CallerToken,
    pub request: CallerRequest,
    pub reply: oneshot::Sender<CallerReply>,
}

/// An HTTP response, without its date header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: String,
    pub body: String,
}

/// Starts a server on any free port.
pub async fn start(limits: Limits) -> Fixture {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, events) = mpsc::unbounded_channel();
    let sink = move |event| drop(sender.send(event));
    let server = HttpServer::new(sink, pages(), limits);
    let (stop, stopped) = oneshot::channel();
    let serving = tokio::spawn(serve(listener, server, async move {
        let _ = stopped.await;
    }));
    Fixture { address, events, stop, serving }
}

/// Starts a server whose core sends the same reply to every request.
pub async fn start_with_reply(reply: CallerReply) -> SocketAddr {
    let mut fixture = start(Limits::default()).await;
    let address = fixture.address;
    tokio::spawn(async move {
        loop {
            let received = fixture.next_request().await;
            let _ = received.reply.send(reply.clone());
        }
    });
    address
}

impl Fixture {
    /// Waits for the next request that reaches the core.
    pub async fn next_request(&mut self) -> CoreRequest {
        match self.events.recv().await.unwrap() {
            CallerEvent::Request { token, request, reply } => CoreRequest { token, request, reply },
            CallerEvent::Disconnected { token } => panic!("the caller of {token:?} disconnected"),
        }
    }
}

/// The id that the tests use.
pub fn id() -> RequestId {
    ID.parse().unwrap()
}

/// Sends raw bytes on a new connection and reads the response up to its end.
pub async fn exchange(address: SocketAddr, request: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    read_answer(&mut stream).await
}

/// Reads a response up to the end of the connection.
pub async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let (head, body) = text.split_once("\r\n\r\n").expect("the answer has a head");
    let (line, headers) = head.split_once("\r\n").unwrap_or((head, ""));
    let status = line.split(' ').nth(1).unwrap().parse().unwrap();
    let headers: Vec<&str> =
        headers.lines().filter(|header| !header.starts_with("date:")).collect();
    Answer { status, headers: headers.join("\n"), body: body.to_owned() }
}

/// A request without a body that closes its connection.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n")
}

/// A request with a body that closes its connection; each header line ends with CRLF.
pub fn post(path: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         content-length: {len}\r\n{headers}\r\n{body}"
    )
}

fn pages() -> Pages {
    let readiness = || Readiness {
        ready: false,
        version: 0,
        reason: Some("the node has no configuration yet".to_owned()),
    };
    Pages::new(readiness, || "requests 1\n".to_owned())
}
