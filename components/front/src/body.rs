//! Reads request bodies within limits on size, time and memory.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::{error::RequestError, limits::Limits};

/// Bytes of a body per permit of the budget.
const PERMIT_BYTES: usize = 1024;

/// Memory budget for the bodies of all requests in progress.
pub(crate) struct BodyBudget {
    permits: Arc<Semaphore>,
}

/// A body and its share of the memory budget.
pub(crate) struct BufferedBody {
    /// The body.
    pub(crate) bytes: Bytes,
    /// Share of the budget, released on drop.
    pub(crate) permit: OwnedSemaphorePermit,
}

impl BodyBudget {
    /// Creates the budget that the limits set.
    pub(crate) fn new(limits: &Limits) -> BodyBudget {
        BodyBudget { permits: Arc::new(Semaphore::new(limits.buffered_bytes / PERMIT_BYTES)) }
    }

    /// Reads a body of at most `max_bytes`, within the time that the limits set.
    pub(crate) async fn read(
        &self,
        body: Incoming,
        max_bytes: usize,
        limits: &Limits,
    ) -> Result<BufferedBody, RequestError> {
        let expected = body.size_hint().upper().map_or(max_bytes, |len| len as usize);
        if expected > max_bytes {
            return Err(RequestError::invalid(
                "body",
                format!("The body has {expected} bytes; at most {max_bytes} are taken."),
            ));
        }
        let permit = self.reserve(expected)?;
        let limit = limits.body_timeout;
        match timeout(limit, Limited::new(body, max_bytes).collect()).await {
            Ok(Ok(body)) => Ok(BufferedBody { bytes: body.to_bytes(), permit }),
            Ok(Err(err)) => Err(RequestError::invalid(
                "body",
                format!("The body could not be read: {err}; at most {max_bytes} bytes are taken."),
            )),
            Err(_) => Err(RequestError::invalid(
                "body",
                format!("The body had not arrived whole after {limit:?}; send it faster."),
            )),
        }
    }

    /// Reserves budget for a body; fails at once if there is not enough.
    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, RequestError> {
        let units = bytes.div_ceil(PERMIT_BYTES) as u32;
        let permit = Arc::clone(&self.permits).try_acquire_many_owned(units);
        permit.map_err(|_| {
            RequestError::overloaded(format!(
                "The entry has no room for a body of {bytes} bytes now; come back later."
            ))
        })
    }
}
