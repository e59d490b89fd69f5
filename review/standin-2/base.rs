//! Small stand-ins of the platform, written with the standard library alone: the store, executors,
//! callers, and the processes of a deployment. All addresses are loopback addresses.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: a signal to this process when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Longest lease, and the time that a stop takes, in ms; `maxHoldMs` and less than `stopTimeoutMs`.
const MAX_HOLD_MS: u64 = 1_000;
pub const HOST: &str = "callers.example";
pub const SERVICE: &str = "desk";

// ---------------------------------------------------------------- record

/// Times of all events of a case, in ms since its start, and the lines of `record.txt`.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn log(&self, text: impl Into<String>) {
        let line = (self.now(), text.into());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) {
        let lines = self.lines.lock().unwrap();
        let text: String = lines.iter().map(|(at, line)| format!("{at:7} ms  {line}\n")).collect();
        fs::write(path, text).expect("the record can be written");
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(entries) => {
                entries.iter().find(|it| it.0 == key).map_or(&Json::Null, |it| &it.1)
            }
            _ => &Json::Null,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Json::Number(value) => Some(*value as u64),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> &str {
        match self.get(key) {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

fn skip_spaces(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_spaces(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut entries = Vec::new();
            loop {
                skip_spaces(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(entries));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(bytes, at)? else { return None };
                        skip_spaces(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        entries.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_spaces(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return String::from_utf8(text).ok().map(Json::Text),
                    b'\\' => {
                        let escaped = *bytes.get(*at)?;
                        *at += 1;
                        match escaped {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                *at += 4;
                                text.push(b'?');
                            }
                            other => text.push(other),
                        }
                    }
                    other => text.push(other),
                }
            }
        }
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

// ---------------------------------------------------------------- HTTP

pub struct Call {
    pub path: String,
    pub instance: String,
    pub body: Vec<u8>,
}

impl Call {
    fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.path.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads a message; returns its first line, its headers with lower-case names, and its body.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

/// Serves calls at `at`, each connection in a thread of its own; a call without an answer closes
/// its connection.
pub fn serve(
    at: SocketAddr,
    service: impl Fn(Call) -> Option<(u16, Vec<u8>)> + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(at).expect("an address for a stand-in");
    let service = Arc::new(service);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = Arc::clone(&service);
            let _ = stream.set_nodelay(true);
            let builder = thread::Builder::new().stack_size(128 * 1_024);
            let _ = builder.spawn(move || {
                let Ok(clone) = stream.try_clone() else { return };
                let mut reader = BufReader::new(clone);
                let mut stream = stream;
                while let Some((first, headers, body)) = read_message(&mut reader) {
                    let mut words = first.split_whitespace().map(str::to_owned);
                    let Some(path) = words.nth(1) else { return };
                    let instance = headers.get("primrosemux-expected-instance").cloned();
                    let instance = instance.unwrap_or_default();
                    let Some((status, body)) = service(Call { path, instance, body }) else {
                        return;
                    };
                    let mut answer = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                         content-length: {}\r\n\r\n",
                        body.len()
                    )
                    .into_bytes();
                    answer.extend(body);
                    if stream.write_all(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Answer to a request of a client: a status with a body, or none.
pub type Reply = Option<(u16, String)>;

/// Sends a request on a new connection and waits for its answer for up to `timeout_ms`.
pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout_ms: u64,
) -> Reply {
    let mut stream = connect(to, timeout_ms)?;
    stream.write_all(request_text(method, path, headers, body).as_bytes()).ok()?;
    read_reply(stream)
}

/// Opens a connection on which each read takes up to `timeout_ms`.
pub fn connect(to: SocketAddr, timeout_ms: u64) -> Option<TcpStream> {
    let timeout = Duration::from_millis(timeout_ms);
    let stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    Some(stream)
}

pub fn request_text(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads an answer and closes the connection.
pub fn read_reply(stream: TcpStream) -> Reply {
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

/// The platform's store: keyed topics of one partition.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<BTreeMap<String, Topic>>>,
}

impl Store {
    pub fn serve(&self, at: SocketAddr) {
        let store = self.clone();
        serve(at, move |call| Some(store.answer(&call)));
    }

    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.to_vec()));
    }

    fn answer(&self, call: &Call) -> (u16, Vec<u8>) {
        let topic = call.parameter("topic").unwrap_or_default().to_owned();
        let path = call.path.split('?').next().unwrap_or_default();
        match path {
            "/v1/log-append" => {
                let body = &call.body;
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return (403, Vec::new());
                }
                if body.len() < 5 {
                    return (400, Vec::new());
                }
                let length = usize::from(body[4]);
                let key = String::from_utf8_lossy(&body[5..5 + length]).into_owned();
                self.write(&topic, &key, &body[5 + length..]);
                (200, b"{\"offset\":0,\"endOffset\":0}".to_vec())
            }
            "/v1/log-newest" => {
                let mut topics = self.topics.lock().unwrap();
                let records = &topics.entry(topic).or_default().records;
                let mut newest = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter(|it| !it.1.1.is_empty())
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                let body = format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}");
                (200, body.into_bytes())
            }
            "/v1/log-read" => {
                let number =
                    |name| call.parameter(name).and_then(|it| it.parse().ok()).unwrap_or(0_u64);
                let (from, wait) = (number("from") as usize, number("waitMs"));
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    {
                        let mut topics = self.topics.lock().unwrap();
                        let records = &topics.entry(topic.clone()).or_default().records;
                        if records.len() > from || Instant::now() >= end {
                            let mut body = (records.len() as u64).to_be_bytes().to_vec();
                            body.extend(0_u64.to_be_bytes());
                            for (key, value) in records.iter().skip(from) {
                                let length = 1 + key.len() + value.len();
                                body.extend((length as u32).to_be_bytes());
                                body.push(key.len() as u8);
                                body.extend(key.as_bytes());
                                body.extend(value);
                            }
                            return (200, body);
                        }
                    }
                    thread::sleep(Duration::from_millis(4));
                }
            }
            _ => (404, Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0_u32;
        for position in 0..3 {
            number = number << 8 | u32::from(chunk.get(position).copied().unwrap_or(0));
        }
        for position in 0..4 {
            if position <= chunk.len() {
                let digit = number >> (18 - 6 * position) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- executors

/// A run on an executor, for the judgement.
#[derive(Debug, Clone)]
pub struct Span {
    pub executor: usize,
    pub task: String,
    pub run: u64,
    /// Start and end in the record's time; the end is none while the run goes on.
    pub from: u64,
    pub to: Option<u64>,
    pub how: &'static str,
}

/// Number of starts on all executors so far.
pub static STARTS: AtomicU64 = AtomicU64::new(0);

struct Run {
    task: String,
    run: u64,
    started: u64,
    ends: u64,
    /// Time at which its stop takes effect.
    stops: Option<u64>,
    span: usize,
}

struct ExecutorState {
    token: u64,
    lease: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_number: u64,
    last_closed: HashMap<String, u64>,
    spans: Vec<Span>,
    sequence: u64,
}

/// An executor without admission check. The spec of a task begins with its duration in ms.
#[derive(Clone)]
pub struct Executor {
    pub index: usize,
    pub id: String,
    cpu: u64,
    stop_ms: u64,
    label: String,
    record: Arc<Record>,
    state: Arc<Mutex<ExecutorState>>,
}

impl Executor {
    pub fn new(index: usize, cpu: u64, stop_ms: u64, record: &Arc<Record>) -> Executor {
        Executor {
            index,
            id: format!("i-{:08x}", 0x7f3a_0000 + index),
            cpu,
            stop_ms,
            label: format!("r1-{}", index + 1),
            record: Arc::clone(record),
            state: Arc::new(Mutex::new(ExecutorState {
                token: 0,
                lease: 0,
                running: Vec::new(),
                ended: Vec::new(),
                next_number: 1,
                last_closed: HashMap::new(),
                spans: Vec::new(),
                sequence: 0,
            })),
        }
    }

    /// All runs so far.
    pub fn spans(&self) -> Vec<Span> {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        state.spans.clone()
    }

    pub fn serve(&self, at: SocketAddr, registry: SocketAddr) {
        let executor = self.clone();
        serve(at, move |call| executor.answer(&call));
        let executor = self.clone();
        thread::spawn(move || {
            // Heartbeats come every heartbeatIntervalMs, those of the executors at different moments.
            thread::sleep(Duration::from_millis(400 + 300 * executor.index as u64 % 1_500));
            loop {
                executor.send_heartbeat(at, registry);
                thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    fn send_heartbeat(&self, at: SocketAddr, registry: SocketAddr) {
        let (sequence, clock) = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            (state.sequence, self.record.now())
        };
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{at}\",\"zone\":\"z\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\
             \"memoryRequestMb\":32768,\"gpus\":0}},\"labels\":[\"a\",\"{}\"],\"clockMs\":{clock},\
             \"sequence\":{sequence}}}",
            self.cpu, self.label
        );
        let path = format!("/v1/instances/{}", self.id);
        request(registry, "PUT", &path, "", &body, 1_000);
    }

    fn answer(&self, call: &Call) -> Option<(u16, Vec<u8>)> {
        if call.instance != self.id {
            return Some((421, Vec::new()));
        }
        let Some(body) = Json::parse(&String::from_utf8_lossy(&call.body)) else {
            return Some((400, Vec::new()));
        };
        let token = body.number("fencingToken").unwrap_or(0);
        let reject = |reason: &str| {
            let text = format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.record.now());
            Some((409, text.into_bytes()))
        };
        let accept = || {
            let text = format!("{{\"clockMs\":{}}}", self.record.now());
            Some((200, text.into_bytes()))
        };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if token < state.token {
            return reject("fence");
        }
        state.token = token;
        let now = self.record.now();
        let (task, run) = (body.text("task").to_owned(), body.number("runId").unwrap_or(0));
        match call.path.as_str() {
            "/v1/run-start" => {
                let deadline = body.number("deadlineMs").unwrap_or(0);
                state.lease = state.lease.max(deadline.min(now + MAX_HOLD_MS));
                if deadline < now {
                    return reject("late");
                }
                if state.running.iter().any(|it| it.task == task && it.run == run) {
                    return accept();
                }
                if run <= state.last_closed.get(&task).copied().unwrap_or(0) {
                    return reject("old");
                }
                let spec = body.text("spec");
                let duration: String = spec.chars().take_while(char::is_ascii_digit).collect();
                let ends = now + duration.parse().unwrap_or(50);
                STARTS.fetch_add(1, Ordering::Relaxed);
                let span = state.spans.len();
                state.spans.push(Span {
                    executor: self.index,
                    task: task.clone(),
                    run,
                    from: now,
                    to: None,
                    how: "",
                });
                state.running.push(Run { task, run, started: now, ends, stops: None, span });
                accept()
            }
            "/v1/run-stop" => {
                let last = state.last_closed.entry(task.clone()).or_default();
                *last = run.max(*last);
                let stops = now + self.stop_ms;
                if let Some(run) =
                    state.running.iter_mut().find(|it| it.task == task && it.run == run)
                {
                    run.stops.get_or_insert(stops);
                }
                accept()
            }
            "/v1/hold" => {
                if let Some(deadline) = body.number("deadlineMs") {
                    state.lease = state.lease.max(deadline.min(now + MAX_HOLD_MS));
                }
                let cursor = body.number("ackCursor").unwrap_or(0);
                state.ended.retain(|it| it.0 > cursor);
                let end = now + body.number("waitMs").unwrap_or(0);
                drop(state);
                loop {
                    let mut state = self.state.lock().unwrap();
                    self.advance(&mut state);
                    let now = self.record.now();
                    if !state.ended.is_empty() || now >= end {
                        return Some((200, self.lists(&state, now)));
                    }
                    drop(state);
                    thread::sleep(Duration::from_millis(2));
                }
            }
            _ => Some((404, Vec::new())),
        }
    }

    /// Ends what has finished, was stopped, or has lost its lease.
    fn advance(&self, state: &mut ExecutorState) {
        let now = self.record.now();
        let mut running = std::mem::take(&mut state.running);
        running.retain(|it| {
            let (at, how) =
                [(Some(it.ends), "done"), (it.stops, "stopped"), (Some(state.lease), "lapsed")]
                    .into_iter()
                    .filter_map(|(at, how)| Some((at?, how)))
                    .min_by_key(|it| it.0)
                    .expect("a time");
            if at > now {
                return true;
            }
            state.spans[it.span].to = Some(at);
            state.spans[it.span].how = how;
            let last = state.last_closed.entry(it.task.clone()).or_default();
            *last = it.run.max(*last);
            state.ended.push((state.next_number, it.task.clone(), it.run, how));
            state.next_number += 1;
            false
        });
        state.running = running;
    }

    fn lists(&self, state: &ExecutorState, now: u64) -> Vec<u8> {
        let running: Vec<String> = state
            .running
            .iter()
            .map(|it| {
                let percent = (now - it.started) * 100 / (it.ends - it.started).max(1);
                format!("[\"{}\",{},\"\",{}]", it.task, it.run, percent.min(100))
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|it| format!("[{},\"{}\",{},\"{}\",\"\"]", it.0, it.1, it.2, it.3))
            .collect();
        format!(
            "{{\"clockMs\":{now},\"running\":[{}],\"finished\":[{}]}}",
            running.join(","),
            ended.join(",")
        )
        .into_bytes()
    }
}

// ---------------------------------------------------------------- deployment

/// A host with one process of the project.
pub struct Node {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new("target/release/primrosemux-hostd");
        // No process outlives the case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg(self.role)
            .env("PRIMROSEMUX_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(err) => {
                eprintln!("the program of the deploy file can't be started: {err}");
                std::process::exit(2);
            }
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // Only processes that this program started are signalled.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Entries, agents, executors and the store of a small deployment.
pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Store,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub executors: Vec<Executor>,
    /// Addresses of the entries for clients, and for readiness.
    pub callers: Vec<SocketAddr>,
    pub readiness: Vec<SocketAddr>,
    folder: PathBuf,
}

const CALLER_PORT: u16 = 8_161;
const CONTROL_PORT: u16 = 8_166;
const READINESS_PORT: u16 = 8_167;
const STORE_PORT: u16 = 8_169;
const EXECUTOR_PORT: u16 = 8_165;
const MESH_PORT: u16 = 7_720;

impl Deployment {
    /// Starts everything on loopback addresses of its own, and waits until the entries are ready.
    pub fn start(entries: usize, agents: usize, cpu: u64, stop_ms: u64) -> Deployment {
        let record = Record::new();
        let pid = std::process::id();
        // Each case has a range of addresses of its own; a range in use is skipped.
        let net = (0..200_u32).map(|it| (pid + it) % 50_000).find(|net| {
            let at = Ipv4Addr::new(127, (20 + net / 250) as u8, (net % 250 + 1) as u8, 250);
            TcpListener::bind((at, STORE_PORT)).is_ok()
        });
        let Some(net) = net else {
            eprintln!("no free addresses");
            std::process::exit(2);
        };
        let ip = |host: usize| {
            Ipv4Addr::new(127, (20 + net / 250) as u8, (net % 250 + 1) as u8, host as u8)
        };
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::default();
        let store_at = SocketAddr::new(ip(250).into(), STORE_PORT);
        store.serve(store_at);
        let at = |host: usize, port: u16| SocketAddr::new(ip(host).into(), port);
        let seeds: Vec<String> =
            (1..=entries.min(3)).map(|it| format!("\"{}\"", at(it, CONTROL_PORT))).collect();
        let node = |host: usize, role: &'static str| {
            let listen = match role {
                "entry" => format!(
                    "frontend = \"{}\"\nreadiness = \"{}\"\ncontrol = \"{}\"",
                    at(host, CALLER_PORT),
                    at(host, READINESS_PORT),
                    at(host, CONTROL_PORT)
                ),
                _ => format!("control = \"{}\"", at(host, CONTROL_PORT)),
            };
            let class = if role == "entry" { "frontend" } else { "side" };
            let settings = folder.join(format!("{role}-{host}.toml"));
            let text = format!(
                "nodeName = \"{class}-z-{host}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\n\
                 serves = [\"{class}\"]\nip = \"{}\"\nzone = \"z\"\nregion = \"r\"\n\
                 internalPortRange = [{MESH_PORT},{}]\nseedNodes = [{}]\nbootstrap = true\n\
                 heartbeatIntervalMs = 1500\norders = \"call\"\n\
                 [zones]\nz = \"r\"\n[listenAddresses]\n{listen}\n\
                 [bounds]\ncontactTimeoutMs = 3000\nackTimeoutMs = 4000\ndrainTimeoutMs = 2000\n\
                 gracePeriodS = 6\nconfigApplyMs = 2000\nrecoveryS = 12\nmaxHoldMs = 1000\n\
                 stopTimeoutMs = 50\ncancel_ms = 3000\nvisible_ms = 3000\nstatus_s = 120\n\
                 remoteFactor = 1.5\nresendIntervalMs = 1300\n\
                 [platform]\naddress = \"{store_at}\"\nform = \"log\"\n",
                ip(host),
                MESH_PORT + 15,
                seeds.join(",")
            );
            fs::write(&settings, text).expect("a settings file");
            Node { role, settings, log: folder.join(format!("{role}-{host}.log")), child: None }
        };
        let mut deployment = Deployment {
            record: Arc::clone(&record),
            store,
            entries: (1..=entries).map(|it| node(it, "entry")).collect(),
            agents: (1..=agents).map(|it| node(100 + it, "agent")).collect(),
            executors: Vec::new(),
            callers: (1..=entries).map(|it| at(it, CALLER_PORT)).collect(),
            readiness: (1..=entries).map(|it| at(it, READINESS_PORT)).collect(),
            folder,
        };
        deployment.publish(1);
        for index in 0..agents {
            let executor = Executor::new(index, cpu, stop_ms, &record);
            executor.serve(at(101 + index, EXECUTOR_PORT), at(101 + index, CONTROL_PORT));
            deployment.executors.push(executor);
        }
        deployment.start_all();
        deployment.wait_until_ready();
        deployment
    }

    /// Publishes a configuration with one queue, `/q/`.
    pub fn publish(&self, version: u64) {
        let text = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-q\",\"hostname\":\"{HOST}\",\
             \"pathPrefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\
             \"targetLatencyMs\":60,\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\
             \"stretchFactor\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\
             \"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admissionCheck\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        );
        self.store.write("keyed.op", "config", text.as_bytes());
        self.record.log(format!("operator: configuration {version} is acknowledged"));
    }

    pub fn start_all(&mut self) {
        self.entries.iter_mut().chain(&mut self.agents).for_each(Node::start);
    }

    pub fn kill_all(&mut self) {
        self.entries.iter_mut().chain(&mut self.agents).for_each(Node::kill);
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        let reply = request(self.readiness[entry], "GET", "/v1/readiness", "", "", 500);
        reply.is_some_and(|it| it.0 == 200)
    }

    /// Waits until each entry is ready and has run a job on all executors.
    fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        let mut job = 0xffff_0000_0000_0000_u64;
        for entry in 0..self.callers.len() {
            while !self.is_ready(entry) {
                self.check_time(end);
            }
        }
        while self.executors.iter().any(|it| it.spans().is_empty()) {
            job += 1;
            let body = job_text("1", &step(self.executors.len() * 4, 100, 1, ""));
            let entry = job as usize % self.callers.len();
            submit(self.callers[entry], job, 1_500, &body);
            self.check_time(end);
        }
        self.record.log("all entries are ready, and all executors have run a task");
    }

    fn check_time(&self, end: Instant) {
        if Instant::now() >= end {
            eprintln!("the deployment isn't ready in time; its logs: {}", self.folder.display());
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(30));
    }

    /// Ends all processes, and writes the runs and the record.
    pub fn finish(&mut self) -> Vec<Span> {
        self.kill_all();
        let mut spans: Vec<Span> = self.executors.iter().flat_map(Executor::spans).collect();
        spans.sort_by_key(|it| it.from);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
        spans
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// A step of a job as JSON; `more` are further fields, each with a comma before it.
pub fn step(count: usize, cpu: u64, estimate_ms: u64, more: &str) -> String {
    format!(
        "{{\"count\":{count},\"cpu\":{cpu},\"memoryRequestMb\":1,\
         \"estimatedDurationMs\":{estimate_ms}{more}}}"
    )
}

/// A job that needn't be kept; `spec` begins with the duration of its tasks.
pub fn job_text(spec: &str, steps: &str) -> String {
    format!("{{\"spec\":\"{spec}\",\"bestEffort\":true,\"steps\":[{steps}]}}")
}

pub fn submit(to: SocketAddr, job: u64, deadline_ms: u64, body: &str) -> Reply {
    let mut stream = connect(to, deadline_ms)?;
    stream.write_all(submission_text(job, deadline_ms, body).as_bytes()).ok()?;
    read_reply(stream)
}

/// The request that submits a job.
pub fn submission_text(job: u64, deadline_ms: u64, body: &str) -> String {
    let headers = format!("Primrosemux-Request-Deadline: {deadline_ms}\r\n");
    request_text("POST", &format!("/q/{job:016x}"), &headers, body)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the case is played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// A random id of a job.
pub fn random_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut seed = NEXT.fetch_add(1, Ordering::Relaxed) ^ u64::from(std::process::id()) << 32;
    // Steps of the generator splitmix64.
    for _ in 0..2 {
        seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        seed = (seed ^ seed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        seed = (seed ^ seed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        seed ^= seed >> 31;
    }
    seed
}
