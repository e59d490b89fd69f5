//! Reads the configuration in force from the platform's log and appends to it.

use std::{fmt, net::SocketAddr, time::Duration};

use ident::Timestamp;
use journal::{AppendError, LogClient, ReadError};
use register::{Applied, Config, Follower, Record, RecordId, State};
use uuid::Uuid;

/// The log and the state that follows from its records.
pub(crate) struct ConfigLog {
    journal: LogClient,
    follower: Follower,
}

/// Why the state could not be read or bootstrapped.
#[derive(Debug)]
pub(crate) enum ConfigLogError {
    /// Reading the log failed.
    Read(SocketAddr, ReadError),
    /// The log dropped the records of the state and holds no snapshot of it.
    Truncated(SocketAddr),
    /// The log still holds the state, so that it must not be bootstrapped.
    StatePresent(SocketAddr),
    /// Appending the empty state failed.
    Append(AppendError),
}

impl ConfigLog {
    /// Reads the log at `address` to its end.
    pub(crate) async fn read(address: SocketAddr) -> Result<ConfigLog, ConfigLogError> {
        let mut log = ConfigLog::open(address);
        log.read_to_end(None).await?;
        match log.follower.is_searching() {
            true => Err(ConfigLogError::Truncated(address)),
            false => Ok(log),
        }
    }

    /// Creates a reader of the log at `address` without reading it.
    pub(crate) fn open(address: SocketAddr) -> ConfigLog {
        // The tool never appends periodic snapshots; the longest interval disables them.
        let follower = Follower::new(Timestamp::now(), Duration::MAX);
        ConfigLog { journal: LogClient::new(address), follower }
    }

    /// Appends an empty state if the log has dropped the state.
    ///
    /// Processes that hold a state ignore the empty one, and those that start
    /// without a state adopt it. No process may still hold a state.
    pub(crate) async fn bootstrap(&mut self) -> Result<(), ConfigLogError> {
        self.read_to_end(None).await?;
        if !self.follower.is_searching() {
            return Err(ConfigLogError::StatePresent(self.journal.address()));
        }
        let mut state = Box::new(State::default());
        state.skip_to(self.follower.next_read());
        let record = Record::Snapshot { record: Uuid::new_v4(), state };
        self.append(&record).await.map_err(ConfigLogError::Append)?;
        self.read_to_end(None).await?;
        Ok(())
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<&Config> {
        self.follower.state().config.as_deref()
    }

    /// Version in force, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.follower.state().version()
    }

    /// Appends a record.
    pub(crate) async fn append(&self, record: &Record) -> Result<u64, AppendError> {
        self.journal.append_checked(record, self.follower.next_read()).await
    }

    /// Reads to the end of the log; returns the effect of the first copy of the record.
    pub(crate) async fn read_back(
        &mut self,
        id: RecordId,
    ) -> Result<Option<Applied>, ConfigLogError> {
        self.read_to_end(Some(id)).await
    }

    async fn read_to_end(
        &mut self,
        id: Option<RecordId>,
    ) -> Result<Option<Applied>, ConfigLogError> {
        let mut effect = None;
        loop {
            let from = self.follower.next_read();
            let page = self.journal.read(from, Duration::ZERO).await;
            let page = page.map_err(|err| ConfigLogError::Read(self.journal.address(), err))?;
            let changes = self.follower.on_page(&page, Timestamp::now());
            let copies = page.entries.iter().filter(|entry| {
                entry.record.as_ref().is_some_and(|record| Some(record.id()) == id)
            });
            for copy in copies {
                let change = changes.iter().find(|change| change.offset == copy.offset);
                effect = effect.or_else(|| change.map(|it| it.applied.clone()));
            }
            if page.reaches_end() && self.follower.next_read() >= page.end {
                return Ok(effect);
            }
        }
    }
}

impl fmt::Display for ConfigLogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigLogError::Read(address, err) => {
                write!(f, "The log at {address} cannot be read: {}.", err.message)
            }
            ConfigLogError::Truncated(address) => write!(
                f,
                "The log at {address} has forgotten the version in force and holds no snapshot of \
                 it; try again when an entry has repeated it. If every process was down at once, \
                 use `primrosemux publish --bootstrap`."
            ),
            ConfigLogError::StatePresent(address) => write!(
                f,
                "The log at {address} still holds the state; publish without --bootstrap."
            ),
            ConfigLogError::Append(err) => write!(f, "The empty state cannot be appended: {err}."),
        }
    }
}
