//! Callers, and the platform's balancer in front of the entries.

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    system::{HOST, PREFIX, System},
};

/// Time that callers wait for an answer, as on the sheets of the small deployments, in ms.
pub const DEADLINE_MS: u64 = 1_500;
/// `resendIntervalMs`.
pub const RESEND_MS: u64 = 1_300;
/// Attempts of a caller to hand a job in.
const ATTEMPTS: usize = 3;

/// The platform's readiness checks; an entry that misses two gets no new connections.
pub struct Balancer {
    misses: Mutex<Vec<u32>>,
    stopped: AtomicBool,
}

impl Balancer {
    pub fn start(system: Arc<System>) -> Arc<Balancer> {
        let entries = system.entries.len();
        let balancer = Arc::new(Balancer {
            misses: Mutex::new(vec![0; entries]),
            stopped: AtomicBool::new(false),
        });
        for entry in 0..entries {
            let (balancer, system) = (Arc::clone(&balancer), Arc::clone(&system));
            thread::spawn(move || {
                while !balancer.stopped.load(Ordering::Relaxed) {
                    let next = Instant::now() + Duration::from_secs(1);
                    let ready = system.readiness(entry, Duration::from_millis(900));
                    let mut misses = balancer.misses.lock().unwrap();
                    misses[entry] = if ready { 0 } else { misses[entry] + 1 };
                    drop(misses);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        balancer
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Entry for a new connection whose hash names `home`; a retry reaches another one.
    fn choose(&self, home: usize, attempt: usize) -> usize {
        let misses = self.misses.lock().unwrap();
        let count = misses.len();
        let wanted = (home + attempt) % count;
        (0..count).map(|it| (wanted + it) % count).find(|it| misses[*it] < 2).unwrap_or(wanted)
    }
}

/// An attempt of a caller, with times in ms since the start of the case.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub job: u64,
    pub number: usize,
    pub entry: usize,
    pub sent: u64,
    pub ended: u64,
    pub status: Option<u16>,
    pub body: String,
}

/// Callers; clones share their record.
#[derive(Clone)]
pub struct Callers {
    system: Arc<System>,
    balancer: Arc<Balancer>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    pub notes: Arc<Mutex<Vec<(u64, String)>>>,
    /// Addresses by which callers reach entries, where they differ from the entries' own.
    links: Arc<Mutex<HashMap<usize, SocketAddr>>>,
    /// Connections that callers keep open after an answer.
    idle: Arc<Mutex<Vec<TcpStream>>>,
}

/// First attempt of a job that was sent on an open connection.
pub struct Sent {
    pub job: u64,
    pub home: usize,
    /// When it was sent, in ms since the start of the case.
    pub at: u64,
    pub stream: TcpStream,
    /// How long its caller waits.
    pub until: Instant,
}

impl Callers {
    pub fn new(system: Arc<System>, balancer: Arc<Balancer>) -> Callers {
        Callers {
            system,
            balancer,
            attempts: Arc::default(),
            notes: Arc::default(),
            links: Arc::default(),
            idle: Arc::default(),
        }
    }

    /// Records an event of the case.
    pub fn note(&self, text: &str) {
        self.notes.lock().unwrap().push((self.system.now(), text.to_owned()));
    }

    /// Lets callers reach an entry by the address of a link.
    pub fn use_link(&self, entry: usize, address: SocketAddr) {
        self.links.lock().unwrap().insert(entry, address);
    }

    /// Sends a job on a connection of its own; without an answer it is sent again after
    /// `resendIntervalMs`, to another entry.
    pub fn submit(&self, job: u64, home: usize, body: String) {
        let callers = self.clone();
        thread::spawn(move || {
            let entry = callers.balancer.choose(home, 0);
            let status = callers.attempt(job, 0, entry, &body);
            callers.send_again(job, home, status, &body);
        });
    }

    /// Waits for the answer to the first attempt of a job; without one the connection is closed, and
    /// the job is sent again as in [`Callers::submit`]. A connection with an answer stays open.
    pub fn await_answer(&self, sent: Sent, body: String) {
        let callers = self.clone();
        thread::spawn(move || {
            let Sent { job, home, at, stream, until } = sent;
            let answer = http::await_answer(&stream, until);
            let status = answer.as_ref().map(|it| it.0);
            if status.is_some() {
                callers.idle.lock().unwrap().push(stream);
            } else {
                drop(stream);
            }
            callers.record(job, 0, home, at, answer);
            callers.send_again(job, home, status, &body);
        });
    }

    /// Sends a job again for as long as its attempts get no answer, 502 or 504.
    fn send_again(&self, job: u64, home: usize, first: Option<u16>, body: &str) {
        let mut status = first;
        for number in 1..ATTEMPTS {
            if !matches!(status, None | Some(502 | 504)) {
                return;
            }
            thread::sleep(Duration::from_millis(RESEND_MS));
            let entry = self.balancer.choose(home, number);
            status = self.attempt(job, number, entry, body);
        }
    }

    /// One attempt; returns the status of the answer.
    fn attempt(&self, job: u64, number: usize, entry: usize, body: &str) -> Option<u16> {
        let sent = self.system.now();
        let path = format!("{PREFIX}{job:016x}");
        let deadline = DEADLINE_MS.to_string();
        let headers = [("Host", HOST), ("Primrosemux-Request-Deadline", deadline.as_str())];
        let limit = Duration::from_millis(DEADLINE_MS);
        let link = self.links.lock().unwrap().get(&entry).copied();
        let to = link.unwrap_or_else(|| self.system.frontend(entry));
        let answer = http::call(to, "POST", &path, &headers, body, limit);
        let status = answer.as_ref().map(|it| it.0);
        self.record(job, number, entry, sent, answer);
        status
    }

    /// Records an attempt that has ended.
    fn record(
        &self,
        job: u64,
        number: usize,
        entry: usize,
        sent: u64,
        answer: Option<(u16, Vec<u8>)>,
    ) {
        let status = answer.as_ref().map(|it| it.0);
        let body = answer.map(|it| String::from_utf8_lossy(&it.1).into_owned());
        self.attempts.lock().unwrap().push(Attempt {
            job,
            number,
            entry,
            sent,
            ended: self.system.now(),
            status,
            body: body.unwrap_or_default(),
        });
    }
}
