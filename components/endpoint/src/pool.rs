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
    capacity: Mutex<Capacity>,
    idle: Mutex<Vec<Connection>>,
}

/// Maximum number of connections.
#[derive(Debug)]
struct Capacity {
    connections: usize,
    /// Permits in use to drop on release, after the maximum was lowered.
    excess: usize,
}

impl Pool {
    /// Creates a pool of at most `connections` connections to `address`.
    pub(crate) fn new(address: SocketAddr, connections: usize) -> Pool {
        Pool {
            address,
            permits: Semaphore::new(connections),
            capacity: Mutex::new(Capacity { connections, excess: 0 }),
            idle: Mutex::default(),
        }
    }

    /// Changes the maximum; requests in progress continue.
    pub(crate) fn resize(&self, connections: usize) {
        let mut capacity = self.capacity();
        let more = connections.saturating_sub(capacity.connections);
        let fewer = capacity.connections.saturating_sub(connections);
        let kept = more.min(capacity.excess);
        capacity.excess -= kept;
        self.permits.add_permits(more - kept);
        capacity.excess += fewer - self.permits.forget_permits(fewer);
        capacity.connections = connections;
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
        let _permit = ConnectionPermit { pool: self, permit: Some(permit) };
        loop {
            let Ok(connection) = timeout_at(deadline, self.connection()).await else {
                return Err(LinkError::NotSent);
            };
            let PooledConnection { mut connection, is_new } = connection?;
            if Instant::now() >= deadline {
                return Err(LinkError::NotSent);
            }
            match timeout_at(deadline, connection.send(request.clone())).await {
                Ok(Ok(answer)) => {
                    self.put_back(connection);
                    return Ok(answer);
                }
                // The endpoint closed the idle connection in the meantime; retry on another one.
                Ok(Err(LinkError::NotSent)) if !is_new => {}
                Ok(Err(err)) => return Err(err),
                Err(_) => {
                    self.idle().clear();
                    return Err(LinkError::Lost);
                }
            }
        }
    }

    /// Takes an idle connection that is alive, or opens one.
    async fn connection(&self) -> Result<PooledConnection, LinkError> {
        while let Some(mut connection) = self.take_idle() {
            if connection.check_alive().await {
                return Ok(PooledConnection { connection, is_new: false });
            }
            // A fault that silences one connection likely affects the other idle ones, so only
            // those with a recent answer are kept.
            self.idle().retain(Connection::answered_recently);
        }
        let connection = Connection::open(self.address).await?;
        Ok(PooledConnection { connection, is_new: true })
    }

    /// Returns a connection to the pool, unless the pool is above its maximum.
    fn put_back(&self, connection: Connection) {
        if self.capacity().excess == 0 {
            self.idle().push(connection);
        }
    }

    fn capacity(&self) -> MutexGuard<'_, Capacity> {
        self.capacity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle().pop()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permit for one connection, released on drop.
struct ConnectionPermit<'a> {
    pool: &'a Pool,
    permit: Option<SemaphorePermit<'a>>,
}

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        let mut capacity = self.pool.capacity();
        if capacity.excess > 0 {
            capacity.excess -= 1;
            if let Some(permit) = self.permit.take() {
                permit.forget();
            }
        }
    }
}

/// A connection for one request.
struct PooledConnection {
    connection: Connection,
    is_new: bool,
}
