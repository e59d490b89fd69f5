//! Limits on the resources that callers use.

use std::time::Duration;

use intake::Shares;

/// Limits on connections, body sizes and times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most connections open at a time.
    pub connections: usize,
    /// Largest size of all headers of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub request_bytes: usize,
    /// Largest body of a job, in bytes.
    pub job_bytes: usize,
    /// Most bytes in the bodies of all requests and jobs in progress.
    pub buffered_bytes: usize,
    /// Longest idle time of a connection between two requests.
    pub idle_timeout: Duration,
    /// Time within which the headers must arrive, from their first byte.
    pub header_timeout: Duration,
    /// Time within which the body must arrive.
    pub body_timeout: Duration,
    /// Longest time for which a write may be blocked by a caller that does not read.
    pub write_timeout: Duration,
    /// Time within which requests in progress must finish when the server stops.
    pub stop_timeout: Duration,
}

impl Limits {
    /// The default limits with the connections and the memory for bodies of a process.
    pub fn of(shares: &Shares) -> Limits {
        let Shares { connections, body_bytes, .. } = *shares;
        Limits { connections, buffered_bytes: body_bytes, ..Limits::default() }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 10_000,
            header_bytes: 16 * 1024,
            request_bytes: 1024 * 1024,
            job_bytes: 8 * 1024 * 1024,
            buffered_bytes: 512 * 1024 * 1024,
            idle_timeout: Duration::from_secs(75),
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
            stop_timeout: Duration::from_secs(60),
        }
    }
}
