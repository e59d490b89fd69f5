//! Reading of request bodies.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::bodies::{Bodies, BodyError, PartialBody, WholeBody};

/// Time for which the rest of a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

impl Bodies {
    /// Reads a body of up to `max_bytes` within `limit`.
    ///
    /// # Errors
    ///
    /// If it does not arrive whole, is too large, or there is no memory for it.
    pub async fn read<B: Body<Data = Bytes> + Unpin>(
        &self,
        body: &mut B,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<WholeBody, BodyError> {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        let partial = self.open();
        let arrived = tokio::select! {
            arrived = timeout(limit, read_chunks(&partial, body, max_bytes)) => arrived,
            () = partial.wait_until_displaced() => Ok(Err(BodyError::NoMemory)),
        };
        arrived.map_err(|_| BodyError::Late)??;
        partial.finish()
    }
}

async fn read_chunks<B: Body<Data = Bytes> + Unpin>(
    partial: &PartialBody,
    body: &mut B,
    max_bytes: usize,
) -> Result<(), BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        if let Some(chunk) = frame.data_ref() {
            partial.push(chunk, max_bytes)?;
        }
    }
    Ok(())
}

/// Reads and drops up to `max_bytes` of the rest of a refused body in the background.
///
/// Closing a connection with unread bytes resets it, which can discard the answer before the client
/// has read it.
pub fn discard(mut body: Incoming, max_bytes: usize) {
    let read = async move {
        let mut length = 0;
        while let Some(Ok(frame)) = body.frame().await
            && length <= max_bytes
        {
            length += frame.data_ref().map_or(0, |it| it.len());
        }
    };
    tokio::spawn(timeout(DISCARD_TIMEOUT, read));
}
