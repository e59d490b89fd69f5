//! Control port of a stand-in, for fault injection and counters.
//!
//! - `POST /fault` sets the fault that the body names, such as `straggler 5`.
//! - `GET /counts` answers with counters of the stand-in.

use std::{fmt, net::SocketAddr, str::FromStr, sync::Arc, time::Duration};

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Serialize;

use crate::{
    executor::ExecutorServer,
    fault::{Fault, Faults},
    log::LogServer,
    serve::{self, Handler, json},
    worker::{TaskId, WorkerServer},
};

/// Maximum number of connections to the control port.
const CONNECTIONS: usize = 16;

/// Stand-in that the control port controls.
#[derive(Debug)]
pub enum Target {
    /// The platform's log.
    Log(LogServer),
    /// An executor.
    Executor(ExecutorServer),
    /// A worker.
    Worker(WorkerServer),
}

/// Error for a fault text that the stand-in does not support.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownFault {
    text: String,
    known: &'static str,
}

/// Counters of a stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum Counts {
    /// Counters of the log.
    Log {
        /// Appends that have taken effect.
        appends: u64,
        /// Offset of the next record.
        end: u64,
    },
    /// Counters of an executor or worker.
    Endpoint {
        /// Starts of requests or tasks.
        starts: u32,
        /// Requests or tasks that were started more than once.
        started_twice: Vec<String>,
    },
}

/// Name of a fault and its argument, 0 if absent.
struct FaultSpec<'a> {
    name: &'a str,
    argument: u64,
}

#[derive(Serialize)]
struct Message {
    message: String,
}

/// Serves the control port forever.
pub async fn serve(target: Target, address: SocketAddr) -> eyre::Result<()> {
    let listener = serve::bind(address).await.wrap_err("cannot bind the control port")?;
    serve::serve(listener, CONNECTIONS, Arc::new(Faults::new()), Arc::new(target)).await;
    Ok(())
}

impl Target {
    /// Parses a fault and sets it.
    pub fn set_fault(&self, text: &str) -> Result<(), UnknownFault> {
        match self {
            Target::Log(log) => set_log_fault(log, text),
            Target::Executor(executor) => match text.trim() {
                "silence_connections" => {
                    executor.silence_connections();
                    Ok(())
                }
                text => text.parse().map(|fault| executor.set_fault(fault)),
            },
            Target::Worker(worker) => match text.trim() {
                "silence_connections" => {
                    worker.silence_connections();
                    Ok(())
                }
                text => text.parse().map(|fault| worker.set_fault(fault)),
            },
        }
    }

    /// Current counters.
    pub fn counts(&self) -> Counts {
        match self {
            Target::Log(log) => Counts::Log { appends: log.appends(), end: log.end() },
            Target::Executor(executor) => Counts::Endpoint {
                starts: executor.total_runs(),
                started_twice: executor.double_runs().iter().map(ToString::to_string).collect(),
            },
            Target::Worker(worker) => Counts::Endpoint {
                starts: worker.total_starts(),
                started_twice: worker.double_starts().iter().map(task_name).collect(),
            },
        }
    }
}

impl Handler for Target {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/counts") => json(StatusCode::OK, &self.counts()),
            (&Method::POST, "/fault") => self.handle_fault(request).await,
            _ => message(StatusCode::NOT_FOUND, "Only POST /fault and GET /counts are known."),
        }
    }
}

impl Target {
    async fn handle_fault(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Ok(body) = request.into_body().collect().await else {
            return message(StatusCode::BAD_REQUEST, "The body ended early.");
        };
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        match self.set_fault(&text) {
            Ok(()) => message(StatusCode::OK, &format!("In force: {}.", text.trim())),
            Err(err) => message(StatusCode::BAD_REQUEST, &err.to_string()),
        }
    }
}

impl UnknownFault {
    const ENDPOINT: &'static str = "none, fail_all, silent, down, silence_connections, \
                                    straggler FACTOR, late MILLISECONDS";
    const LOG: &'static str =
        "none, outage, unreachable, delay MILLISECONDS, drop_before OFFSET, lose_answers COUNT";

    fn new(text: &str, known: &'static str) -> UnknownFault {
        UnknownFault { text: text.to_owned(), known }
    }
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Fault, UnknownFault> {
        let unknown = || UnknownFault::new(text, UnknownFault::ENDPOINT);
        let FaultSpec { name, argument } = FaultSpec::parse(text).ok_or_else(unknown)?;
        match name {
            "none" => Ok(Fault::None),
            "fail_all" => Ok(Fault::FailAll),
            "silent" => Ok(Fault::Silent),
            "down" => Ok(Fault::Down),
            "straggler" => u32::try_from(argument).map(Fault::Straggler).map_err(|_| unknown()),
            "late" => Ok(Fault::Late(Duration::from_millis(argument))),
            _ => Err(unknown()),
        }
    }
}

impl fmt::Display for UnknownFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "The fault {:?} is not known; give one of: {}.", self.text, self.known)
    }
}

impl std::error::Error for UnknownFault {}

impl<'a> FaultSpec<'a> {
    fn parse(text: &'a str) -> Option<FaultSpec<'a>> {
        let mut words = text.split_whitespace();
        let name = words.next()?;
        let argument = match words.next() {
            Some(argument) => argument.parse().ok()?,
            None => 0,
        };
        words.next().is_none().then_some(FaultSpec { name, argument })
    }
}

fn set_log_fault(log: &LogServer, text: &str) -> Result<(), UnknownFault> {
    let unknown = || UnknownFault::new(text, UnknownFault::LOG);
    let FaultSpec { name, argument } = FaultSpec::parse(text).ok_or_else(unknown)?;
    match name {
        "none" => {
            log.set_outage(false);
            log.set_delay(Duration::ZERO);
        }
        "outage" => log.set_outage(true),
        "unreachable" => log.set_unreachable(true),
        "delay" => log.set_delay(Duration::from_millis(argument)),
        "drop_before" => log.drop_before(argument),
        "lose_answers" => log.lose_answers(u32::try_from(argument).map_err(|_| unknown())?),
        _ => return Err(unknown()),
    }
    Ok(())
}

fn task_name(task: &TaskId) -> String {
    format!("{}/{}", task.job, task.index)
}

fn message(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    json(status, &Message { message: text.to_owned() })
}
