//! Bounded connection pool for one address.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use node::LinkError;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time::{Instant, timeout_at},
};
use verdict::Answer;

use crate::connection::Connection;

/// Connections to one address, each with at most one request at a time.
///
/// Every request holds a permit, and a connection is opened only if none is idle,
/// so there are never more connections than permits.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    permits: Semaphore,
    size: Mutex<Size>,
    idle: Mutex<Vec<Connection>>,
}

/// Maximum number of connections.
#[derive(Debug)]
struct Size {
    connections: usize,
    /// Permits in use to drop on release, after the maximum was lowered.
    surplus: usize,
}

impl Pool {
    /// Creates a pool of at most `connections` connections to `address`.
    pub(crate) fn new(address: SocketAddr, connections: usize) -> Pool {
        Pool {
            address,
            permits: Semaphore::new(connections),
            size: Mutex::new(Size { connections, surplus: 0 }),
            idle: Mutex::default(),
        }
    }

    /// Changes the maximum; requests in progress continue.
    pub(crate) fn resize(&self, connections: usize) {
        let mut size = self.size();
        let more = connections.saturating_sub(size.connections);
        let fewer = size.connections.saturating_sub(connections);
        let kept = more.min(size.surplus);
        size.surplus -= kept;
        self.permits.add_permits(more - kept);
        size.surplus += fewer - self.permits.forget_permits(fewer);
        size.connections = connections;
        if fewer > 0 {
            self.idle().clear();
        }
    }

    /// Sends a request once and waits for its answer until `deadline`.
    pub(crate) async fn send(
        &self,
        request: &Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Answer, LinkError> {
        let permit = timeout_at(deadline, self.permits.acquire()).await;
        let Ok(Ok(permit)) = permit else { return Err(LinkError::NotSent) };
        let _slot = Slot { pool: self, permit: Some(permit) };
        loop {
            let Ok(connection) = timeout_at(deadline, self.connection()).await else {
                return Err(LinkError::NotSent);
            };
            let Taken { mut connection, fresh } = connection?;
            if Instant::now() >= deadline {
                return Err(LinkError::NotSent);
            }
            match timeout_at(deadline, connection.send(request.clone())).await {
                Ok(Ok(answer)) => {
                    self.put_back(connection);
                    return Ok(answer);
                }
                // The endpoint closed the idle connection in the meantime; retry on another one.
                Ok(Err(LinkError::NotSent)) if !fresh => {}
                Ok(Err(err)) => return Err(err),
                Err(_) => {
                    self.idle().clear();
                    return Err(LinkError::Lost);
                }
            }
        }
    }

    /// Takes an idle connection that is alive, or opens one.
    async fn connection(&self) -> Result<Taken, LinkError> {
        while let Some(mut connection) = self.take_idle() {
            if connection.prove().await {
                return Ok(Taken { connection, fresh: false });
            }
            // A fault that silences one connection likely affects the other idle ones, so only
            // those with a recent answer are kept.
            self.idle().retain(Connection::is_proven);
        }
        let connection = Connection::open(self.address).await?;
        Ok(Taken { connection, fresh: true })
    }

    /// Returns a connection to the pool, unless the pool is above its maximum.
    fn put_back(&self, connection: Connection) {
        if self.size().surplus == 0 {
            self.idle().push(connection);
        }
    }

    fn size(&self) -> MutexGuard<'_, Size> {
        self.size.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle().pop()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permit for one connection, released on drop.
struct Slot<'a> {
    pool: &'a Pool,
    permit: Option<SemaphorePermit<'a>>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut size = self.pool.size();
        if size.surplus > 0 {
            size.surplus -= 1;
            if let Some(permit) = self.permit.take() {
                permit.forget();
            }
        }
    }
}

/// A connection for one request.
struct Taken {
    connection: Connection,
    fresh: bool,
}
