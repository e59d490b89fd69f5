//! Datagrams between entries and agents.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Member, Uptime};

/// Bytes of the largest datagram that is sent.
pub const MAX_DATAGRAM: usize = 60_000;

/// Name of a job, chosen by its caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct JobId(pub u64);

/// One run of one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RunKey {
    /// Job.
    pub job: JobId,
    /// Step of the job, from 0.
    pub step: u16,
    /// Task of the step, from 0.
    pub index: u16,
    /// Number of the run, from 1.
    pub run: u32,
}

/// Asks an agent to start tasks that need the same room.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StartOrder {
    /// Runs to start.
    pub runs: Vec<RunKey>,
    /// What the endpoint is to do.
    pub spec: String,
    /// Thousandths of a core that each task needs.
    pub cpu: u32,
    /// Memory that each task needs, in MB.
    pub memory: u32,
    /// Accelerators that each task needs.
    pub gpus: u32,
    /// Expected run time in ms.
    pub expected: u32,
    /// Longest wait for room at the agent, in ms.
    pub patience: u32,
    /// Newest time of the agent that the entry knew of when it decided.
    pub decided: Uptime,
}

/// What an entry asks of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// Start tasks.
    Start(StartOrder),
    /// Stop runs, or forget them if they have not started.
    Stop(Vec<RunKey>),
}

/// Why a run was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Refusal {
    /// No room within the patience of the order.
    Room,
    /// The order was on its way for too long.
    Stale,
    /// The agent has no endpoint that takes work.
    Closed,
    /// The endpoint did not take the start.
    Endpoint,
    /// The run was stopped before its start.
    Stopped,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum End {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run was stopped because it made no progress.
    Stalled,
    /// The run is over, and it is not known what it did.
    Lost,
}

/// What an agent tells the entry that gave an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Notice {
    /// The run has not started and will not start.
    Refused {
        /// Run.
        key: RunKey,
        /// Reason.
        refusal: Refusal,
    },
    /// The run is over.
    Ended {
        /// Run.
        key: RunKey,
        /// How it ended.
        end: End,
        /// Time from its start to its end, in ms.
        took: u32,
    },
}

/// Whether an endpoint takes work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Health {
    /// It takes work.
    Open,
    /// It takes one task at a time, to show whether it has recovered.
    Trial,
    /// It takes none.
    #[default]
    Closed,
}

/// Fixed properties of the endpoint beside an agent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Service that it serves.
    pub service: String,
    /// Labels, its rack among them.
    pub labels: Vec<String>,
    /// Thousandths of a core.
    pub cpu: u32,
    /// Memory in MB.
    pub memory: u32,
    /// Accelerators.
    pub gpus: u32,
}

/// State of an agent and its endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The agent's time.
    pub now: Uptime,
    /// The endpoint, if one is known.
    pub endpoint: Option<EndpointInfo>,
    /// Whether it takes work.
    pub health: Health,
    /// Free thousandths of a core.
    pub cpu: u32,
    /// Free memory in MB.
    pub memory: u32,
    /// Free accelerators.
    pub gpus: u32,
    /// Run time of its tasks against the expected one, in percent.
    pub slowness: u32,
    /// Work that waits for room at other entries than the receiver, in core-milliseconds.
    pub waiting: u32,
}

/// State of an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryState {
    /// Asks for a report in return.
    pub probe: bool,
    /// Work that waits for room, in core-milliseconds.
    pub waiting: u32,
    /// Time of the agent in the newest report that the entry has heard.
    ///
    /// An agent whose reports are lost must not count on an entry that it hears well.
    pub heard: Uptime,
}

/// Datagram of a channel.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Frame<I, S> {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Incarnation of the receiver as the sender knows it, 0 for unknown.
    pub receiver: u64,
    /// Number of the first item.
    pub first: u64,
    /// Items, numbered without gaps.
    pub items: Vec<I>,
    /// Number of the last item that was received.
    pub acknowledged: u64,
    /// State of the sender.
    pub state: S,
}

/// Members that a process knows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// Sender.
    pub from: Member,
    /// Others that were alive lately.
    pub members: Vec<Member>,
    /// Asks for the receiver's members in return.
    pub ask: bool,
}

/// Everything that is sent between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Datagram {
    /// From an entry to an agent.
    Entry(Frame<Command, EntryState>),
    /// From an agent to an entry.
    Agent(Frame<Notice, Report>),
    /// Between any two.
    Hello(Hello),
}

/// A datagram that is not of this version or was damaged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the datagram cannot be decoded")
    }
}

impl std::error::Error for DecodeError {}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}#{}", self.job, self.step, self.index, self.run)
    }
}

/// Encodes a datagram.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    postcard::to_stdvec(datagram).expect("datagrams hold nothing that cannot be encoded")
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((datagram, [])) => Ok(datagram),
        Ok(_) | Err(_) => Err(DecodeError),
    }
}
