//! Mailbox of a node's actor.
//!
//! Permits bound how many messages from peers and how many ticks are queued.

use std::{ops::RangeInclusive, sync::Arc};

use front::CallerEvent;
use intake::BodyReservation;
use node::Event;
use ractor::ActorRef;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Smallest and largest number of calls and datagrams from peers that may be queued for the core.
const QUEUED_PEER_EVENTS: RangeInclusive<usize> = 64..=16_384;

/// Ticks that may be queued for the core.
const MAX_QUEUED_TICKS: usize = 1;

/// Message to a node's actor.
pub(crate) enum Message {
    /// Event for the core.
    Event(Event),
    /// Event for the core that holds its permit and its memory until it is handled.
    Limited(Event, OwnedSemaphorePermit, Option<BodyReservation>),
    /// Event from a caller's connection.
    Caller(CallerEvent),
}

/// Sends messages to a node's actor; clones share its limits.
#[derive(Clone)]
pub(crate) struct Mailbox {
    actor: ActorRef<Message>,
    peer_permits: Arc<Semaphore>,
    tick_permits: Arc<Semaphore>,
}

impl Mailbox {
    /// Creates a mailbox that sends to `actor`, with room for this many events from peers.
    pub(crate) fn new(actor: ActorRef<Message>, peer_events: usize) -> Mailbox {
        let peer_events = peer_events.clamp(*QUEUED_PEER_EVENTS.start(), *QUEUED_PEER_EVENTS.end());
        Mailbox {
            actor,
            peer_permits: Arc::new(Semaphore::new(peer_events)),
            tick_permits: Arc::new(Semaphore::new(MAX_QUEUED_TICKS)),
        }
    }

    /// Sends an event caused by the node itself, which no limit delays.
    pub(crate) fn send(&self, event: Event) {
        self.cast(Message::Event(event));
    }

    /// Sends an event caused by a peer, once a permit is free, with the memory reserved for it.
    pub(crate) async fn send_from_peer(&self, event: Event, memory: Option<BodyReservation>) {
        if let Ok(permit) = Arc::clone(&self.peer_permits).acquire_owned().await {
            self.cast(Message::Limited(event, permit, memory));
        }
    }

    /// Sends an event from a caller's connection.
    pub(crate) fn send_caller_event(&self, event: CallerEvent) {
        self.cast(Message::Caller(event));
    }

    /// Sends a tick, unless one is queued already.
    pub(crate) fn tick(&self) {
        if let Ok(permit) = Arc::clone(&self.tick_permits).try_acquire_owned() {
            self.cast(Message::Limited(Event::Tick, permit, None));
        }
    }

    fn cast(&self, message: Message) {
        if self.actor.cast(message).is_err() {
            log::debug!("dropped a message to a node that has ended");
        }
    }
}
