//! Frames on a TCP connection between two nodes.

use std::fmt;

use ident::{Incarnation, NodeId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Call, Reply};

/// Largest encoded frame that a node accepts.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Number of a call on its connection; replies repeat it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// One message on a connection.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// First frame in each direction: who speaks.
    Hello {
        /// Node that sends the frame.
        node: NodeId,
        /// Its current start.
        incarnation: Incarnation,
    },
    /// Asks the peer to answer at once, to prove that the connection works.
    Ping(u64),
    /// Answers the ping with the same number.
    Pong(u64),
    /// Asks the peer to do something.
    Call(CallId, Call),
    /// Answers the call with the same number.
    Reply(CallId, Reply),
}

/// Bytes that are not a valid message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    what: &'static str,
    detail: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cannot be decoded: {}", self.what, self.detail)
    }
}

impl std::error::Error for WireError {}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message).expect("messages have only types that postcard can hold")
}

/// Decodes a message that must fill `bytes` to the end.
pub fn decode<T: DeserializeOwned>(what: &'static str, bytes: &[u8]) -> Result<T, WireError> {
    let (message, rest) = postcard::take_from_bytes(bytes)
        .map_err(|err| WireError { what, detail: err.to_string() })?;
    match rest.len() {
        0 => Ok(message),
        extra => Err(WireError { what, detail: format!("{extra} bytes follow the message") }),
    }
}
