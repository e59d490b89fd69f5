//! Limits on what a caller may use up.

use std::time::Duration;

/// Limits on connections, sizes and times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections that are open at a time.
    pub connections: usize,
    /// Bytes in the body of a request.
    pub request_bytes: usize,
    /// Bytes in the body of a job.
    pub job_bytes: usize,
    /// Bytes in the bodies of all requests that are in progress.
    pub buffered_bytes: usize,
    /// Time that a connection may be idle between two requests.
    pub idle_time: Duration,
    /// Time that a caller may take to send the headers.
    pub header_time: Duration,
    /// Time that a caller may take to send the body.
    pub body_time: Duration,
    /// Time that a caller may leave its answer unread.
    pub write_time: Duration,
    /// Time for requests in progress when the server stops.
    pub stop_time: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 10_000,
            request_bytes: 1024 * 1024,
            job_bytes: 8 * 1024 * 1024,
            buffered_bytes: 512 * 1024 * 1024,
            idle_time: Duration::from_secs(75),
            header_time: Duration::from_secs(10),
            body_time: Duration::from_secs(10),
            write_time: Duration::from_secs(30),
            stop_time: Duration::from_secs(60),
        }
    }
}
