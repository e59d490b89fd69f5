//! Publishes an inventory by appending it to the log.

use config::CheckError;
use journal::AppendError;
use register::{Applied, Record, VoidReason};
use uuid::Uuid;

use crate::{
    config_log::{ConfigLog, ConfigLogError},
    output::Failure,
};

/// Why an inventory was not published.
#[derive(Debug)]
pub(crate) enum PublishError {
    /// Another version came into force after the base.
    Conflict {
        /// Version that the inventory was edited from.
        base: u64,
        /// Version in force.
        current: u64,
    },
    /// The inventory fails its checks.
    Invalid(CheckError),
    /// The log did not accept the record.
    NotAppended(String),
    /// The record may be in the log, now or later.
    Unknown(String),
}

/// Appends an inventory that was edited from version `base`; returns its version.
pub(crate) async fn publish(
    log: &mut ConfigLog,
    base: u64,
    text: &str,
) -> Result<u64, PublishError> {
    if base != log.version() {
        return Err(PublishError::Conflict { base, current: log.version() });
    }
    let id = Uuid::new_v4();
    let record = Record::Config { record: id, base, text: text.to_owned() };
    log.append(&record).await.map_err(PublishError::from)?;
    match log.read_back(id).await.map_err(PublishError::from)? {
        Some(Applied::Config { version }) => Ok(version),
        Some(Applied::Void(VoidReason::StaleBase { base, current })) => {
            Err(PublishError::Conflict { base, current })
        }
        Some(Applied::Void(VoidReason::Invalid(err))) => Err(PublishError::Invalid(err)),
        Some(Applied::Assigned(_) | Applied::Snapshot | Applied::Void(_)) | None => {
            let message = "the log dropped the record before it could be read back";
            Err(PublishError::Unknown(message.to_owned()))
        }
    }
}

impl From<AppendError> for PublishError {
    fn from(err: AppendError) -> PublishError {
        match err {
            AppendError::NotAppended(message) => PublishError::NotAppended(message),
            AppendError::Unknown(message) => PublishError::Unknown(message),
        }
    }
}

impl From<ConfigLogError> for PublishError {
    /// Converts the failure to read the effect of an appended record.
    fn from(err: ConfigLogError) -> PublishError {
        PublishError::Unknown(err.to_string())
    }
}

impl From<PublishError> for Failure {
    fn from(err: PublishError) -> Failure {
        match err {
            PublishError::Conflict { base, current } => Failure::conflict(format!(
                "Nothing is published: the inventory was edited from version {base}, but version \
                 {current} is in force. Fetch that version with `primrosemux show`, repeat the \
                 edit and publish again."
            )),
            PublishError::Invalid(err) => Failure::usage(format!(
                "Nothing is published: the inventory fails its checks.\n{err}"
            )),
            PublishError::NotAppended(message) => {
                Failure::not_run(format!("Nothing is published: the log refused it: {message}."))
            }
            PublishError::Unknown(message) => Failure::failed(format!(
                "The inventory may have been published: {message}. Check with `primrosemux show` \
                 before you publish again."
            )),
        }
    }
}
