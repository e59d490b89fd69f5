//! Reads request bodies within limits on size, time and memory.

use hyper::body::{Body, Incoming};
use intake::{Bodies, BodyError, BodyReservation, discard};

use crate::{error::RequestError, limits::Limits};

/// A body and the memory that is reserved for it.
pub(crate) struct BufferedBody {
    /// The body.
    pub(crate) bytes: Vec<u8>,
    /// Memory reserved for it, released on drop.
    pub(crate) reservation: BodyReservation,
}

/// Reads a body of at most `max_bytes`, within the time that the limits set.
pub(crate) async fn read_body(
    bodies: &Bodies,
    mut body: Incoming,
    max_bytes: usize,
    limits: &Limits,
) -> Result<BufferedBody, RequestError> {
    let limit = limits.body_timeout;
    let length = body.size_hint().exact();
    match bodies.read(&mut body, max_bytes, limit).await {
        Ok(whole) => {
            let (bytes, reservation) = whole.into_parts();
            Ok(BufferedBody { bytes, reservation })
        }
        Err(err) => {
            discard(body, max_bytes);
            Err(refusal(err, length, max_bytes, limits))
        }
    }
}

/// Error of a body that was not read; `length` is its size, if its headers tell.
fn refusal(err: BodyError, length: Option<u64>, max_bytes: usize, limits: &Limits) -> RequestError {
    match (err, length) {
        (BodyError::TooLarge, Some(length)) => RequestError::invalid(
            "body",
            format!("The body has {length} bytes; at most {max_bytes} are taken."),
        ),
        (BodyError::TooLarge, None) | (BodyError::Broken, _) => RequestError::invalid(
            "body",
            format!("The body could not be read: {err}; at most {max_bytes} bytes are taken."),
        ),
        (BodyError::Late, _) => RequestError::invalid(
            "body",
            format!(
                "The body had not arrived whole after {:?}; send it faster.",
                limits.body_timeout
            ),
        ),
        (BodyError::NoMemory, _) => {
            RequestError::overloaded("The entry has no memory for the body now; come back later.")
        }
    }
}
