//! Shares of a process's memory and file descriptors.
//!
//! | Held for clients | Share of the memory |
//! |---|---|
//! | Connections: unread bytes, read buffers, answers | 1/4 |
//! | Bodies that are being read | 1/8 |
//! | Requests in progress, as decoded | 1/8 |
//! | Messages between processes that wait to be handled | 1/32 |
//!
//! The rest is for the process itself.

/// Memory that one connection can take, in bytes: a receive buffer, a read buffer of twice its first
/// size, and the state and the answer of a request.
const CONNECTION_BYTES: usize = 40 * 1_024;
/// File descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// File descriptors for sockets of the process itself and for its calls to others.
const OWN_DESCRIPTORS: usize = 64;
/// Divisor of the descriptors for the share of one internal port.
const INTERNAL_DIVISOR: usize = 8;
/// Most connections at an internal port.
const MAX_INTERNAL_CONNECTIONS: usize = 64;
/// Number of internal ports of a process.
const INTERNAL_PORTS: usize = 2;
/// Fewest connections at a port, however low the limits are.
const MIN_CONNECTIONS: usize = 8;

/// Memory and file descriptors that a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resources {
    /// Memory in bytes, with what its sockets hold unread.
    pub memory: usize,
    /// File descriptors.
    pub descriptors: usize,
}

/// What clients may make a process hold at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// Connections at the port for callers.
    pub connections: usize,
    /// Connections at each other port.
    pub internal_connections: usize,
    /// Bytes of bodies that are being read.
    pub body_bytes: usize,
    /// Bytes of decoded requests in progress.
    pub request_bytes: usize,
    /// Bytes of messages between processes that wait to be handled.
    pub message_bytes: usize,
}

impl Default for Resources {
    /// Resources of a host that leaves a process a good part of its memory.
    fn default() -> Resources {
        Resources { memory: 4_096_000_000, descriptors: 14_000 }
    }
}

impl Default for Shares {
    fn default() -> Shares {
        Shares::of(Resources::default())
    }
}

impl Shares {
    /// Divides what a process may use.
    pub fn of(resources: Resources) -> Shares {
        let Resources { memory, descriptors } = resources;
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let internal = (sockets / INTERNAL_DIVISOR).min(MAX_INTERNAL_CONNECTIONS);
        let others = INTERNAL_PORTS * internal + OWN_DESCRIPTORS;
        let connections = (memory / 4 / CONNECTION_BYTES).min(sockets.saturating_sub(others));
        Shares {
            connections: connections.max(MIN_CONNECTIONS),
            internal_connections: internal.max(MIN_CONNECTIONS),
            body_bytes: memory / 8,
            request_bytes: memory / 8,
            message_bytes: memory / 32,
        }
    }

    /// The same, with a quarter of the connections kept for other processes; returns their number.
    pub fn without_peers(self) -> (Shares, usize) {
        let peers = self.connections / 4;
        (Shares { connections: self.connections - peers, ..self }, peers)
    }
}
