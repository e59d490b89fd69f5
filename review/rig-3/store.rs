//! Stand-in of the platform's store: keyed topics in memory.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{Answer, Request, serve};

/// A store; clones share its state.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Vec<(String, Vec<u8>)>>>,
    changed: Condvar,
}

impl Store {
    /// Serves the store at `at`.
    pub fn serve(&self, at: SocketAddr) -> std::io::Result<()> {
        let store = self.clone();
        serve(TcpListener::bind(at)?, move |request| store.answer(&request));
        Ok(())
    }

    /// Appends a record to the keyed topic `topic`; returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let mut topics = self.shared.topics.lock().unwrap();
        let records = topics.entry(format!("keyed.{topic}")).or_default();
        records.push((key.to_owned(), value.to_vec()));
        self.shared.changed.notify_all();
        records.len() - 1
    }

    fn answer(&self, request: &Request) -> Answer {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/log-newest") => self.newest(&topic),
            ("GET", "/v1/log-read") => {
                let number =
                    |name| request.query.get(name).and_then(|it: &String| it.parse::<usize>().ok());
                self.read(&topic, number("from").unwrap_or(0), number("waitMs").unwrap_or(0) as u64)
            }
            ("POST", "/v1/log-append") => self.append(&topic, &request.body),
            _ => Answer::Response(404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Answer {
        let topics = self.shared.topics.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items: Vec<_> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let body = format!(
            r#"{{"items":[{}],"hasMore":false,"endOffset":{}}}"#,
            items.join(","),
            records.len()
        );
        Answer::Response(200, body.into_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.shared.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Answer::Response(200, body);
            }
            topics = self.shared.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Answer {
        let mut topics = self.shared.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let first = records.len();
        while body.len() >= 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key = usize::from(record[0]);
            let name = String::from_utf8_lossy(&record[1..1 + key]).into_owned();
            records.push((name, record[1 + key..].to_vec()));
            body = &body[4 + length..];
        }
        let end = records.len();
        self.shared.changed.notify_all();
        Answer::Response(200, format!(r#"{{"offset":{first},"endOffset":{end}}}"#).into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
