//! Exactly-once, in-order delivery over datagrams that may be lost, reordered or duplicated.
//!
//! Each end numbers its items. A frame carries the items that are due and acknowledges the
//! received ones up to the first gap. If the oldest item is not acknowledged in time, items
//! are retransmitted from that one on. A process that restarts has a new incarnation; its peer
//! then resets the channel.

use std::collections::VecDeque;

use postcard::experimental::serialized_size;
use serde::Serialize;

use crate::{Frame, Uptime};

/// Time after which an unacknowledged item is retransmitted, in ms.
///
/// Covers several round trips between availability zones and the acknowledgement delay.
pub const RETRANSMIT_MS: u64 = 60;

/// Delay of an acknowledgement, in ms, so that one covers several items. It is short enough
/// that the delay does not cause a retransmission.
const ACK_DELAY_MS: u64 = 15;

/// Maximum number of items in one frame.
const MAX_ITEMS: usize = 12;

/// Maximum size of all items in one frame, in bytes, so that it fits into a datagram beside the state
/// of its sender. A larger item gets a frame of its own.
const MAX_ITEM_BYTES: usize = 44_000;

/// Number of earlier incarnations of a peer that are told apart from new ones.
const MAX_REPLACED: usize = 256;

/// One end of a channel that sends `O` and receives `I`.
#[derive(Debug)]
pub struct Channel<O, I> {
    /// Incarnation of this end.
    own: u64,
    /// Incarnation of the peer, 0 before its first frame.
    peer: u64,
    /// Earlier incarnations of the peer, the latest at the end.
    replaced: VecDeque<u64>,
    /// Number of the first item in `outgoing`.
    first: u64,
    /// Items that have not been acknowledged.
    outgoing: VecDeque<Outgoing<O>>,
    /// Number of the last item received without a gap.
    received: u64,
    /// Arrival of the oldest item whose acknowledgement is not yet sent, if any.
    ack_owed: Option<Uptime>,
    /// Whether to send a frame at once, which carries this incarnation to the peer.
    announce: bool,
    _in: std::marker::PhantomData<I>,
}

#[derive(Debug)]
struct Outgoing<O> {
    item: O,
    /// Size of the encoded item, in bytes.
    bytes: usize,
    /// Time of the last transmission, if any.
    last_sent: Option<Uptime>,
    /// Time of the first transmission; not valid before it.
    first_sent: Uptime,
}

/// Result of accepting a frame.
#[derive(Debug, PartialEq, Eq)]
pub struct Accepted<I> {
    /// New items, in order.
    pub items: Vec<I>,
    /// The peer has restarted and has lost the items that were sent to it before.
    pub restarted: bool,
    /// The frame names this incarnation as its receiver, or names none, and is not a late one of an
    /// earlier incarnation of the peer.
    pub current: bool,
    /// The frame names this incarnation as its receiver.
    pub known: bool,
}

impl<O: Clone + Serialize, I> Channel<O, I> {
    /// Creates a channel of incarnation `own` to a peer whose incarnation is unknown.
    pub fn new(own: u64) -> Channel<O, I> {
        Channel {
            own,
            peer: 0,
            replaced: VecDeque::new(),
            first: 1,
            outgoing: VecDeque::new(),
            received: 0,
            ack_owed: None,
            announce: false,
            _in: std::marker::PhantomData,
        }
    }

    /// Queues an item.
    pub fn push(&mut self, item: O) {
        let bytes = encoded_bytes(&item);
        let first_sent = Uptime::default();
        self.outgoing.push_back(Outgoing { item, bytes, last_sent: None, first_sent });
    }

    /// Items that have not been acknowledged.
    pub fn pending(&self) -> impl Iterator<Item = &O> {
        self.outgoing.iter().map(|it| &it.item)
    }

    /// Whether a frame should be sent at once.
    pub fn is_due(&self, now: Uptime) -> bool {
        let ack_due = self.ack_owed.is_some_and(|since| now.since(since) >= ACK_DELAY_MS);
        ack_due || self.announce || self.first_due(now).is_some()
    }

    /// Time since the oldest unacknowledged item was first sent, in ms; 0 if there is none.
    pub fn unacknowledged_ms(&self, now: Uptime) -> u64 {
        match self.outgoing.front() {
            Some(Outgoing { last_sent: Some(_), first_sent, .. }) => now.since(*first_sent),
            Some(Outgoing { last_sent: None, .. }) | None => 0,
        }
    }

    /// Builds the next frame with the items that are due.
    pub fn frame<S>(&mut self, now: Uptime, state: S) -> Frame<O, S> {
        self.ack_owed = None;
        self.announce = false;
        let start = self.first_due(now).unwrap_or(self.outgoing.len());
        let mut items = Vec::new();
        let mut bytes = 0;
        for outgoing in self.outgoing.iter_mut().skip(start).take(MAX_ITEMS) {
            bytes += outgoing.bytes;
            if bytes > MAX_ITEM_BYTES && !items.is_empty() {
                break;
            }
            if outgoing.last_sent.replace(now).is_none() {
                outgoing.first_sent = now;
            }
            items.push(outgoing.item.clone());
        }
        Frame {
            sender: self.own,
            receiver: self.peer,
            first: self.first + start as u64,
            items,
            acknowledged: self.received,
            state,
        }
    }

    /// Handles a frame from the peer.
    pub fn accept<S>(&mut self, now: Uptime, frame: Frame<I, S>) -> Accepted<I> {
        if self.replaced.contains(&frame.sender) {
            return Accepted { items: Vec::new(), restarted: false, current: false, known: false };
        }
        let restarted = self.peer != 0 && self.peer != frame.sender;
        if self.peer != frame.sender {
            self.reset(frame.sender);
        }
        if frame.receiver != self.own {
            let current = frame.receiver == 0;
            if !current {
                // Items for an earlier incarnation are ignored; the next frame carries this one.
                self.announce = true;
            }
            return Accepted { items: Vec::new(), restarted, current, known: false };
        }
        while self.first <= frame.acknowledged && self.outgoing.pop_front().is_some() {
            self.first += 1;
        }
        let Frame { first, items, .. } = frame;
        let mut delivered = Vec::new();
        for (position, item) in (0..).zip(items) {
            self.ack_owed.get_or_insert(now);
            let number = u64::saturating_add(first, position);
            if self.received.checked_add(1) == Some(number) {
                self.received = number;
                delivered.push(item);
            }
        }
        Accepted { items: delivered, restarted, current: true, known: true }
    }

    /// Index of the first item to send, if any.
    ///
    /// It is the oldest item if that one must be retransmitted, otherwise the first unsent one.
    fn first_due(&self, now: Uptime) -> Option<usize> {
        let overdue = |sent: Uptime| now.since(sent) >= RETRANSMIT_MS;
        if self.outgoing.front()?.last_sent.is_some_and(overdue) {
            return Some(0);
        }
        self.outgoing.iter().position(|it| it.last_sent.is_none())
    }

    /// Resets the channel for a new incarnation of the peer.
    ///
    /// Items queued before the first contact are kept; after a restart they are discarded.
    fn reset(&mut self, peer: u64) {
        if self.peer != 0 {
            if self.replaced.len() == MAX_REPLACED {
                self.replaced.pop_front();
            }
            self.replaced.push_back(self.peer);
            self.first = 1;
            self.outgoing.clear();
        }
        self.peer = peer;
        self.received = 0;
        self.announce = true;
    }
}

/// Size of an encoded item, in bytes.
fn encoded_bytes<O: Serialize>(item: &O) -> usize {
    serialized_size(item).expect("items contain only types that postcard can encode")
}
