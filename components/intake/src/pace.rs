//! Pace at which a process reads from all clients of a port.
//!
//! A process with one thread reads, decodes and decides in turn. Clients that send as fast as they
//! can, mainly in small chunks, would keep it from its other work. So only some reads happen in each
//! window of time, in the order in which the connections became readable. As long as any of them
//! waits, a task starts one window after the other.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    sync::Semaphore,
    time::{Instant, sleep_until},
};
use tokio_util::sync::PollSemaphore;

/// Length of a window.
const WINDOW: Duration = Duration::from_millis(10);
/// Bytes that a turn is good for; a larger read takes several.
const TURN_BYTES: usize = 4_096;

/// Turns to read, shared by the connections of a port; clones share them.
#[derive(Clone)]
pub struct Pace {
    shared: Arc<Shared>,
}

struct Shared {
    /// Turns in a window.
    turns: usize,
    permits: Arc<Semaphore>,
    window: Mutex<Window>,
}

struct Window {
    started: Instant,
    /// Turns that were taken beyond those of the window.
    debt: usize,
    /// Connections that wait for their turn.
    waiting: usize,
    /// Whether a task starts the next windows.
    has_timer: bool,
}

/// Task that starts windows, which another one replaces if it is dropped.
struct WindowTimer {
    shared: Arc<Shared>,
    has_ended: bool,
}

/// A connection's place in the order of reads.
pub(crate) struct Place {
    pace: Pace,
    permits: PollSemaphore,
    waits: bool,
    has_turn: bool,
}

impl Pace {
    /// Creates a pace of this many turns, each for up to 4 KB, in 10 ms.
    pub fn new(turns: usize) -> Pace {
        let turns = turns.max(1);
        let window = Window { started: Instant::now(), debt: 0, waiting: 0, has_timer: false };
        let permits = Arc::new(Semaphore::new(turns));
        Pace { shared: Arc::new(Shared { turns, permits, window: Mutex::new(window) }) }
    }

    pub(crate) fn place(&self) -> Place {
        let permits = PollSemaphore::new(Arc::clone(&self.shared.permits));
        Place { pace: self.clone(), permits, waits: false, has_turn: false }
    }
}

impl Place {
    /// Waits for the turn to read.
    pub(crate) fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.has_turn {
            return Poll::Ready(());
        }
        let shared = &self.pace.shared;
        shared.start_window();
        let permit = self.permits.poll_acquire(context);
        if permit.is_pending() && !self.waits {
            self.waits = true;
            shared.lock().waiting += 1;
            WindowTimer::spawn(shared);
        }
        if let Some(permit) = ready!(permit) {
            permit.forget();
        }
        self.stop_waiting();
        self.has_turn = true;
        Poll::Ready(())
    }

    /// Returns a turn in which nothing was read.
    pub(crate) fn return_turn(&mut self) {
        if self.has_turn {
            self.has_turn = false;
            self.pace.shared.permits.add_permits(1);
        }
    }

    fn stop_waiting(&mut self) {
        if self.waits {
            self.waits = false;
            self.pace.shared.lock().waiting -= 1;
        }
    }

    /// Ends the turn after a read of this many bytes.
    pub(crate) fn end_turn(&mut self, bytes: usize) {
        self.has_turn = false;
        let further = bytes.div_ceil(TURN_BYTES).saturating_sub(1);
        let taken = self.pace.shared.permits.forget_permits(further);
        self.pace.shared.lock().debt += further - taken;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.stop_waiting();
        self.return_turn();
    }
}

impl WindowTimer {
    /// Starts the task unless there is one.
    fn spawn(shared: &Arc<Shared>) {
        if std::mem::replace(&mut shared.lock().has_timer, true) {
            return;
        }
        let mut timer = WindowTimer { shared: Arc::clone(shared), has_ended: false };
        tokio::spawn(async move {
            while let Some(end) = timer.next_window() {
                sleep_until(end).await;
                timer.shared.start_window();
            }
        });
    }

    /// Time at which the next window starts; none if no connection waits for it.
    fn next_window(&mut self) -> Option<Instant> {
        let mut window = self.shared.lock();
        if window.waiting > 0 {
            return Some(window.started + WINDOW);
        }
        window.has_timer = false;
        self.has_ended = true;
        None
    }
}

impl Drop for WindowTimer {
    fn drop(&mut self) {
        if !self.has_ended {
            self.shared.lock().has_timer = false;
        }
    }
}

impl Shared {
    /// Starts a window if the last one has ended.
    fn start_window(&self) {
        let mut window = self.lock();
        let now = Instant::now();
        if now.duration_since(window.started) < WINDOW {
            return;
        }
        window.started = now;
        let paid = window.debt.min(self.turns - 1);
        window.debt -= paid;
        let free = self.permits.available_permits();
        self.permits.add_permits((self.turns - paid).saturating_sub(free));
    }

    fn lock(&self) -> MutexGuard<'_, Window> {
        self.window.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
