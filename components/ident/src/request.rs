//! Request and job ids.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use uuid::{Builder, Uuid};

use crate::Timestamp;

/// Id of a request or job: a UUIDv7, which carries its creation time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct RequestId(Uuid);

/// Error for text that is not a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseIdError {
    /// The text is not a UUID.
    NotUuid(String),
    /// The UUID is not of version 7 and so has no creation time.
    WrongVersion(Uuid),
}

impl RequestId {
    /// Creates the id of a request first submitted at `now`.
    pub fn new(now: Timestamp, random: [u8; 10]) -> RequestId {
        RequestId(Builder::from_unix_timestamp_millis(now.as_millis(), &random).into_uuid())
    }

    /// Time of the first submission, to the millisecond.
    pub fn created_at(self) -> Timestamp {
        let (bytes, _) = self.0.as_bytes().split_at(6);
        let millis = bytes.iter().fold(0u64, |acc, byte| acc << 8 | u64::from(*byte));
        Timestamp::from_millis(millis)
    }

    /// The underlying UUID.
    pub fn uuid(self) -> Uuid {
        self.0
    }
}

impl TryFrom<Uuid> for RequestId {
    type Error = ParseIdError;

    fn try_from(uuid: Uuid) -> Result<RequestId, ParseIdError> {
        match uuid.get_version_num() {
            7 => Ok(RequestId(uuid)),
            _ => Err(ParseIdError::WrongVersion(uuid)),
        }
    }
}

impl From<RequestId> for Uuid {
    fn from(id: RequestId) -> Uuid {
        id.0
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<RequestId, ParseIdError> {
        let uuid = Uuid::try_parse(s).map_err(|_| ParseIdError::NotUuid(s.to_owned()))?;
        RequestId::try_from(uuid)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ParseIdError::NotUuid(text) => {
                write!(
                    f,
                    "{text:?} is not a UUID; send a UUIDv7 such as the ones that `primrosemux submit` makes"
                )
            }
            ParseIdError::WrongVersion(uuid) => {
                write!(
                    f,
                    "{uuid} is a UUID of version {}; ids must be UUIDv7",
                    uuid.get_version_num()
                )
            }
        }
    }
}

impl std::error::Error for ParseIdError {}
