//! The version in force, read from the log.

use std::{fmt, net::SocketAddr, time::Duration};

use ident::Timestamp;
use journal::{AppendError, Journal, ReadError};
use register::{Applied, Config, Follower, Record, RecordId, State};
use uuid::Uuid;

/// The log, read up to its end.
pub(crate) struct Current {
    journal: Journal,
    follower: Follower,
}

/// Why the version in force is not known.
#[derive(Debug)]
pub(crate) enum CurrentError {
    /// The log did not answer.
    Read(SocketAddr, ReadError),
    /// The log has forgotten the version and holds no snapshot of it.
    Forgotten(SocketAddr),
    /// The log has not forgotten the version.
    Known(SocketAddr),
    /// The log did not take the empty state.
    Append(AppendError),
}

impl Current {
    /// Reads the log at `address` to its end.
    pub(crate) async fn read(address: SocketAddr) -> Result<Current, CurrentError> {
        let mut current = Current::open(address);
        current.read_to_end(None).await?;
        match current.follower.is_searching() {
            true => Err(CurrentError::Forgotten(address)),
            false => Ok(current),
        }
    }

    /// Prepares to read the log at `address`.
    pub(crate) fn open(address: SocketAddr) -> Current {
        // The tool never repeats the state in the log.
        let follower = Follower::new(Timestamp::now(), Duration::MAX);
        Current { journal: Journal::new(address), follower }
    }

    /// Appends an empty state if the log has forgotten the state.
    ///
    /// Processes that hold a state pass over it; those that start without one
    /// adopt it. There must be none of the first sort.
    pub(crate) async fn bootstrap(&mut self) -> Result<(), CurrentError> {
        self.read_to_end(None).await?;
        if !self.follower.is_searching() {
            return Err(CurrentError::Known(self.journal.address()));
        }
        let mut state = Box::new(State::default());
        state.skip_to(self.follower.next_read());
        let record = Record::Snapshot { record: Uuid::new_v4(), state };
        self.append(&record).await.map_err(CurrentError::Append)?;
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

    /// Reads on to the end of the log; returns what the first copy of the record did.
    pub(crate) async fn verdict(&mut self, id: RecordId) -> Result<Option<Applied>, CurrentError> {
        self.read_to_end(Some(id)).await
    }

    async fn read_to_end(&mut self, id: Option<RecordId>) -> Result<Option<Applied>, CurrentError> {
        let mut verdict = None;
        loop {
            let from = self.follower.next_read();
            let page = self.journal.read(from, Duration::ZERO).await;
            let page = page.map_err(|err| CurrentError::Read(self.journal.address(), err))?;
            let changes = self.follower.on_page(&page, Timestamp::now());
            let copies = page.entries.iter().filter(|entry| {
                entry.record.as_ref().is_some_and(|record| Some(record.id()) == id)
            });
            for copy in copies {
                let change = changes.iter().find(|change| change.offset == copy.offset);
                verdict = verdict.or_else(|| change.map(|it| it.applied.clone()));
            }
            if page.reaches_end() && self.follower.next_read() >= page.end {
                return Ok(verdict);
            }
        }
    }
}

impl fmt::Display for CurrentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CurrentError::Read(address, err) => {
                write!(f, "The log at {address} cannot be read: {}.", err.message)
            }
            CurrentError::Forgotten(address) => write!(
                f,
                "The log at {address} has forgotten the version in force and holds no snapshot of \
                 it; try again when an entry has repeated it. If every process was down at once, \
                 use `primrosemux publish --bootstrap`."
            ),
            CurrentError::Known(address) => write!(
                f,
                "The log at {address} still holds the state; publish without --bootstrap."
            ),
            CurrentError::Append(err) => write!(f, "The state cannot be started anew: {err}."),
        }
    }
}
