//! A bounded number of connections to one address.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use node::LinkError;
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout_at},
};
use verdict::Answer;

use crate::connection::Connection;

/// Connections to one address, each with at most one request on it.
///
/// A request holds a permit, and a connection is opened only when none is
/// idle, so there are never more connections than permits.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    permits: Semaphore,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Opens at most `connections` connections to `address`.
    pub(crate) fn new(address: SocketAddr, connections: usize) -> Pool {
        Pool { address, permits: Semaphore::new(connections), idle: Mutex::default() }
    }

    /// Sends a request once and waits for its answer until `deadline`.
    pub(crate) async fn send(
        &self,
        request: &Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Answer, LinkError> {
        let permit = timeout_at(deadline, self.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else { return Err(LinkError::NotSent) };
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
                    self.idle().push(connection);
                    return Ok(answer);
                }
                // The endpoint closed the idle connection just before.
                Ok(Err(LinkError::NotSent)) if !fresh => {}
                Ok(Err(err)) => return Err(err),
                Err(_) => {
                    self.idle().clear();
                    return Err(LinkError::Lost);
                }
            }
        }
    }

    /// Takes a live idle connection, or opens one.
    async fn connection(&self) -> Result<Taken, LinkError> {
        while let Some(mut connection) = self.take_idle() {
            if connection.prove().await {
                return Ok(Taken { connection, fresh: false });
            }
            // What silenced one connection has likely silenced the others.
            self.idle().retain(Connection::is_proven);
        }
        let connection = Connection::open(self.address).await?;
        Ok(Taken { connection, fresh: true })
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle().pop()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection for one request.
struct Taken {
    connection: Connection,
    fresh: bool,
}
