//! The mailbox of a node's actor.

use std::sync::Arc;

use front::FromCaller;
use node::Event;
use ractor::ActorRef;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Calls and datagrams of peers that may wait for the core.
const MAX_WAITING: usize = 16_384;

/// Ticks that may wait for the core.
const MAX_TICKS: usize = 1;

/// What the actor is sent.
pub(crate) enum Message {
    /// Something for the core.
    Event(Event),
    /// Something for the core that takes up room until it is handled.
    Limited(Event, OwnedSemaphorePermit),
    /// News from a caller's connection.
    FromCaller(FromCaller),
}

/// Sends messages to a node's actor; clones share it.
#[derive(Clone)]
pub(crate) struct Inbox {
    actor: ActorRef<Message>,
    room: Arc<Semaphore>,
    ticks: Arc<Semaphore>,
}

impl Inbox {
    /// Sends to `actor`.
    pub(crate) fn new(actor: ActorRef<Message>) -> Inbox {
        Inbox {
            actor,
            room: Arc::new(Semaphore::new(MAX_WAITING)),
            ticks: Arc::new(Semaphore::new(MAX_TICKS)),
        }
    }

    /// Sends an event that the node itself caused.
    pub(crate) fn send(&self, event: Event) {
        self.cast(Message::Event(event));
    }

    /// Sends an event that a peer caused, once there is room for it.
    pub(crate) async fn send_from_peer(&self, event: Event) {
        if let Ok(permit) = Arc::clone(&self.room).acquire_owned().await {
            self.cast(Message::Limited(event, permit));
        }
    }

    /// Passes on what a caller's connection reports.
    pub(crate) fn send_from_caller(&self, report: FromCaller) {
        self.cast(Message::FromCaller(report));
    }

    /// Sends a tick, unless one waits already.
    pub(crate) fn tick(&self) {
        if let Ok(permit) = Arc::clone(&self.ticks).try_acquire_owned() {
            self.cast(Message::Limited(Event::Tick, permit));
        }
    }

    fn cast(&self, message: Message) {
        if self.actor.cast(message).is_err() {
            log::debug!("a message came after the node had ended");
        }
    }
}
