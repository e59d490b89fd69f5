//! HTTP/1.1 over TCP, as far as the stand-ins need it.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// A request that a stand-in has received.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: HashMap<String, String>,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// What a stand-in does with a request.
pub enum Answer {
    /// Status and body.
    Response(u16, Vec<u8>),
    /// The connection ends without an answer.
    Close,
}

/// Serves requests at `listener`, each connection on a thread of its own.
pub fn serve(listener: TcpListener, answer: impl Fn(Request) -> Answer + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader { stream, buffer: Vec::new() };
                while let Some(request) = reader.request() {
                    let Answer::Response(status, body) = answer(request) else { return };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let mut bytes = head.into_bytes();
                    bytes.extend(body);
                    if reader.stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a connection of its own and waits for the status until `limit` has passed;
/// none if there is no answer. The connection is closed in any case.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let mut reader = Reader { stream, buffer: Vec::new() };
    reader.stream.write_all(request_text(to, method, path, headers, body).as_bytes()).ok()?;
    reader.response(until)
}

/// Waits on an open connection for the status of an answer; the connection stays open after one.
pub fn await_answer(stream: &TcpStream, until: Instant) -> Option<(u16, Vec<u8>)> {
    Reader { stream: stream.try_clone().ok()?, buffer: Vec::new() }.response(until)
}

/// Text of a request.
pub fn request_text(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|it| it.0 == "Host") {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk).ok().filter(|it| *it > 0)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Some(())
    }

    /// First line and headers, and the length of the body.
    fn head(&mut self) -> Option<(String, HashMap<String, String>)> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8(self.buffer.drain(..end + 4).collect()).ok()?;
        let mut lines = head.lines();
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|it| it.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some((first, headers.collect()))
    }

    fn body(&mut self, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
        let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn request(&mut self) -> Option<Request> {
        let (first, headers) = self.head()?;
        let body = self.body(&headers)?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|it| it.split_once('='));
        let query = query.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        Some(Request { method, path: path.to_owned(), query, headers, body })
    }

    fn response(&mut self, until: Instant) -> Option<(u16, Vec<u8>)> {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left)).ok()?;
        let (first, headers) = self.head()?;
        let body = self.body(&headers)?;
        Some((first.split(' ').nth(1)?.parse().ok()?, body))
    }
}
