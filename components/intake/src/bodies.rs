//! Memory for the bodies of requests that are being read.
//!
//! Each body is one contiguous buffer, whatever the size of its chunks, and counts as the capacity
//! of that buffer. A body that finds no memory displaces another one: the largest of those that have
//! been read for long, or else one that is larger than itself. So neither many bodies that never end
//! nor many large ones keep out a small one.

use std::{
    fmt,
    ops::Deref,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time after which a body that is still being read gives way to any other.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// Smallest capacity of a buffer, in bytes.
const MIN_CAPACITY: usize = 1_024;

new_key_type! {
    struct BodyKey;
}

/// Memory for bodies; clones share it.
#[derive(Clone)]
pub struct Bodies {
    table: Arc<Mutex<Table>>,
}

struct Table {
    /// Bytes that no body has reserved.
    free: usize,
    bodies: SlotMap<BodyKey, Buffer>,
    displaced: u64,
}

/// Buffer of a body that is being read.
struct Buffer {
    bytes: Vec<u8>,
    /// Bytes reserved for it, which is its capacity.
    reserved: usize,
    started: Instant,
    displaced: CancellationToken,
}

/// A body that is being read; its memory is released on drop.
pub struct PartialBody {
    pool: Bodies,
    key: BodyKey,
    displaced: CancellationToken,
}

/// A whole body, with its memory.
pub struct WholeBody {
    bytes: Vec<u8>,
    reservation: BodyReservation,
}

/// Memory that is reserved for a whole body, released on drop.
pub struct BodyReservation {
    pool: Bodies,
    reserved: usize,
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// The connection failed, or the encoding is invalid.
    Broken,
    /// It did not arrive in time.
    Late,
    /// There is no memory for it at present.
    NoMemory,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLarge => "the body is too large",
            BodyError::Broken => "the body has not arrived whole",
            BodyError::Late => "the body has not arrived in time",
            BodyError::NoMemory => "there is no memory for the body at present",
        })
    }
}

impl std::error::Error for BodyError {}

impl Bodies {
    /// Creates a pool of this many bytes.
    pub fn new(bytes: usize) -> Bodies {
        let table = Table { free: bytes, bodies: SlotMap::with_key(), displaced: 0 };
        Bodies { table: Arc::new(Mutex::new(table)) }
    }

    /// Bytes that no body has reserved.
    pub fn free(&self) -> usize {
        self.lock().free
    }

    /// Number of bodies that were displaced so far.
    pub fn displaced(&self) -> u64 {
        self.lock().displaced
    }

    /// Starts a body.
    pub fn open(&self) -> PartialBody {
        let displaced = CancellationToken::new();
        let buffer = Buffer {
            bytes: Vec::new(),
            reserved: 0,
            started: Instant::now(),
            displaced: displaced.clone(),
        };
        let key = self.lock().bodies.insert(buffer);
        PartialBody { pool: self.clone(), key, displaced }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PartialBody {
    /// Waits until the body has given way to another one.
    pub async fn wait_until_displaced(&self) {
        self.displaced.cancelled().await;
    }

    /// Appends a chunk to the body, which may have up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// If it exceeds them, if there is no memory for it, or if it has given way to another one.
    pub fn push(&self, chunk: &[u8], max_bytes: usize) -> Result<(), BodyError> {
        let mut table = self.pool.lock();
        let buffer = table.bodies.get(self.key).ok_or(BodyError::NoMemory)?;
        let length = buffer.bytes.len() + chunk.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > buffer.reserved {
            let capacity = (buffer.reserved * 2).max(MIN_CAPACITY).min(max_bytes).max(length);
            table.reserve(self.key, capacity)?;
        }
        let buffer = table.bodies.get_mut(self.key).ok_or(BodyError::NoMemory)?;
        buffer.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Ends the body; nothing displaces it any more.
    ///
    /// # Errors
    ///
    /// If it has given way to another one.
    pub fn finish(self) -> Result<WholeBody, BodyError> {
        let buffer = self.pool.lock().bodies.remove(self.key).ok_or(BodyError::NoMemory)?;
        let Buffer { bytes, reserved, .. } = buffer;
        let reservation = BodyReservation { pool: self.pool.clone(), reserved };
        Ok(WholeBody { bytes, reservation })
    }
}

impl Drop for PartialBody {
    fn drop(&mut self) {
        let mut table = self.pool.lock();
        if let Some(buffer) = table.bodies.remove(self.key) {
            table.free += buffer.reserved;
        }
    }
}

impl Deref for WholeBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl WholeBody {
    /// The bytes of the body, and their reservation.
    pub fn into_parts(self) -> (Vec<u8>, BodyReservation) {
        (self.bytes, self.reservation)
    }
}

impl fmt::Debug for BodyReservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyReservation").field("reserved", &self.reserved).finish_non_exhaustive()
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.pool.lock().free += self.reserved;
    }
}

impl Table {
    /// Reserves `capacity` bytes in all for a body, and displaces others if there are too few.
    fn reserve(&mut self, key: BodyKey, capacity: usize) -> Result<(), BodyError> {
        let reserved = self.bodies.get(key).map_or(0, |it| it.reserved);
        let missing = capacity - reserved;
        while self.free < missing {
            let victim = self.victim(key, capacity).ok_or(BodyError::NoMemory)?;
            if let Some(buffer) = self.bodies.remove(victim) {
                self.free += buffer.reserved;
                self.displaced += 1;
                buffer.displaced.cancel();
            }
        }
        if let Some(buffer) = self.bodies.get_mut(key) {
            self.free -= missing;
            buffer.reserved = capacity;
            buffer.bytes.reserve_exact(capacity - buffer.bytes.len());
        }
        Ok(())
    }

    /// Body that gives way to one that needs `capacity` bytes in all.
    fn victim(&self, key: BodyKey, capacity: usize) -> Option<BodyKey> {
        let others = self.bodies.iter().filter(|(other, it)| *other != key && it.reserved > 0);
        let rank = |buffer: &Buffer| {
            let is_slow = buffer.started.elapsed() >= SLOW_AFTER;
            (is_slow, buffer.reserved)
        };
        let (victim, buffer) = others.max_by_key(|(_, it)| rank(it))?;
        let (is_slow, reserved) = rank(buffer);
        (is_slow || reserved > capacity).then_some(victim)
    }
}
