//! Datagrams between entries and agents.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Crashes, CrashesSeen, Evacuations, Member, Uptime};

/// Maximum size of an encoded datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Identifier of a job, chosen by its caller.
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
    /// Number of the run within its task, from 1.
    pub run: u32,
}

/// Orders an agent to start tasks with equal resource needs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StartOrder {
    /// Runs to start.
    pub runs: Vec<RunKey>,
    /// Task specification for the endpoint.
    pub spec: String,
    /// Thousandths of a core that each task needs.
    pub cpu: u32,
    /// Memory that each task needs, in MB.
    pub memory: u32,
    /// Accelerators that each task needs.
    pub gpus: u32,
    /// Expected run time in ms.
    pub expected: u32,
    /// Maximum wait for free capacity at the agent, in ms.
    #[serde(rename = "patience")]
    pub max_wait: u32,
    /// Agent's time in the newest report that the entry had when it made the decision.
    pub decided: Uptime,
}

/// Command from an entry to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// Start tasks.
    Start(StartOrder),
    /// Stop runs, or drop them if they have not started.
    Stop(Vec<RunKey>),
}

/// Why a run was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Refusal {
    /// No free capacity within the order's maximum wait.
    Room,
    /// The order was in transit for too long.
    Stale,
    /// The agent has no endpoint that accepts work.
    Closed,
    /// The endpoint did not accept the start.
    Endpoint,
    /// The run was stopped before its start.
    Stopped,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum End {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run was stopped because it made no progress.
    Stalled,
    /// The run is over with an unknown outcome.
    Lost,
}

/// Notice from an agent to the entry that ordered the run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Notice {
    /// The run did not start and will not start.
    Refused {
        /// Run that did not start.
        key: RunKey,
        /// Reason.
        refusal: Refusal,
    },
    /// The run is over.
    Ended {
        /// Run that is over.
        key: RunKey,
        /// Outcome of the run.
        end: End,
        /// Time from its start to its end, in ms.
        took: u32,
    },
}

/// Whether an endpoint accepts work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Health {
    /// It accepts work.
    Open,
    /// It accepts one task at a time, to probe whether it has recovered.
    Trial,
    /// It accepts no work.
    #[default]
    Closed,
}

/// Properties of an agent's endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Service that it provides.
    pub service: String,
    /// Labels, including its rack.
    pub labels: Vec<String>,
    /// Thousandths of a core that it has at present.
    pub cpu: u32,
    /// Memory that it has at present, in MB.
    pub memory: u32,
    /// Accelerators that it has at present.
    pub gpus: u32,
}

/// State of an agent and its endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The agent's time.
    pub now: Uptime,
    /// Properties of the endpoint, if the agent has one.
    pub endpoint: Option<EndpointInfo>,
    /// Whether the endpoint accepts work.
    pub health: Health,
    /// Free thousandths of a core.
    pub cpu: u32,
    /// Free memory in MB.
    pub memory: u32,
    /// Free accelerators.
    pub gpus: u32,
    /// Run time of the endpoint's tasks relative to the expected one, in percent.
    pub slowness: u32,
    /// Work waiting for capacity at all entries except the receiver, in core-milliseconds.
    pub waiting: u32,
}

/// State of an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryState {
    /// Whether the entry requests a report in return.
    pub probe: bool,
    /// Work waiting for capacity, in core-milliseconds.
    pub waiting: u32,
    /// Agent's time in the newest report that the entry has received.
    ///
    /// It shows the agent whether its reports arrive. An agent whose reports are lost must not
    /// rely on the entry, even while it receives the entry's datagrams.
    pub heard: Uptime,
}

/// One datagram of a [`Channel`](crate::Channel).
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Frame<I, S> {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Incarnation of the receiver in its last frame to the sender, 0 before the first one.
    pub receiver: u64,
    /// Number of the first item.
    pub first: u64,
    /// Items, numbered without gaps.
    pub items: Vec<I>,
    /// Number of the last item received without a gap.
    pub acknowledged: u64,
    /// State of the sender.
    pub state: S,
}

/// Hello message with members that the sender has discovered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// Sender.
    pub from: Member,
    /// Recently active members other than the sender.
    pub members: Vec<Member>,
    /// Requests a hello message in return.
    pub ask: bool,
}

/// Part of an encoded configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPart {
    /// Offset of the configuration in the operator's log.
    pub offset: u64,
    /// Version number of the configuration, set by the operator.
    pub version: u64,
    /// Number of the part, from 0.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// Content.
    pub bytes: Vec<u8>,
}

/// A datagram between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Datagram {
    /// From an entry to an agent.
    Entry(Frame<Command, EntryState>),
    /// From an agent to an entry.
    Agent(Frame<Notice, Report>),
    /// Discovery message between any two processes.
    Hello(Hello),
    /// From an entry to any process: the evacuated zones.
    Evacuations(Evacuations),
    /// Confirms evacuated zones.
    EvacuationsSeen {
        /// End of the newest state that the sender knows.
        end: u64,
    },
    /// Asks an entry for its configuration.
    ConfigRequest {
        /// Offset of the sender's configuration, if it has one.
        known: Option<u64>,
    },
    /// Part of an entry's configuration.
    ConfigPart(ConfigPart),
    /// From an agent to an entry: crashes of its endpoint.
    Crashes(Crashes),
    /// Confirms crashes.
    CrashesSeen(CrashesSeen),
}

/// The datagram has another format version or is damaged.
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
    postcard::to_stdvec(datagram).expect("datagrams contain only types that postcard can encode")
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((datagram, [])) => Ok(datagram),
        Ok(_) | Err(_) => Err(DecodeError),
    }
}
