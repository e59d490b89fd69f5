//! Frames on a TCP connection between two nodes.

use std::fmt;

use ident::{Incarnation, NodeId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Call, Reply};

/// Largest encoded frame that a node accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Number of a call on its connection; the reply carries the same number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// One message on a connection.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// First frame in each direction; identifies the sender.
    Hello {
        /// Node that sends the frame.
        node: NodeId,
        /// Its current incarnation.
        incarnation: Incarnation,
    },
    /// Checks that the connection works; the peer answers at once with a `Pong`.
    Ping(u64),
    /// Answer to the ping with the same number.
    Pong(u64),
    /// Call to the peer.
    Call(CallId, Call),
    /// Reply to the call with the same number.
    Reply(CallId, Reply),
}

/// Error for bytes that are not a valid message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    name: &'static str,
    detail: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cannot be decoded: {}", self.name, self.detail)
    }
}

impl std::error::Error for WireError {}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message).expect("messages contain only types that postcard can encode")
}

/// Decodes a message that takes up all of `bytes`; errors refer to it by `name`.
pub fn decode<T: DeserializeOwned>(name: &'static str, bytes: &[u8]) -> Result<T, WireError> {
    let (message, rest) = postcard::take_from_bytes(bytes)
        .map_err(|err| WireError { name, detail: err.to_string() })?;
    match rest.len() {
        0 => Ok(message),
        extra => Err(WireError { name, detail: format!("{extra} bytes follow the message") }),
    }
}
