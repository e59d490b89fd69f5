//! Delivers items once and in order over datagrams that may be lost or repeated.
//!
//! Each side numbers its items. A frame carries those that are due, and acknowledges all
//! that were received without a gap. What is not acknowledged in time is sent again from
//! the oldest on. A peer that was started anew begins with a new channel.

use std::collections::VecDeque;

use crate::{Frame, Uptime};

/// Time after which an item that is not acknowledged is sent again, in ms.
///
/// Several round trips between availability zones, and the delay of acknowledgements.
pub const RESEND_MS: u64 = 60;

/// Delay of an acknowledgement, in ms, so that one serves several items; an item that is
/// acknowledged so late is not sent again.
const ACKNOWLEDGE_MS: u64 = 15;

/// Items in one frame at most, so that it fits a datagram.
const MAX_ITEMS: usize = 12;

/// One end of a channel that sends `O` and receives `I`.
#[derive(Debug)]
pub struct Channel<O, I> {
    own: u64,
    peer: u64,
    first: u64,
    out: VecDeque<Sent<O>>,
    received: u64,
    /// Since when an acknowledgement is owed.
    owes: Option<Uptime>,
    /// The peer must learn of this incarnation at once.
    unknown: bool,
    _in: std::marker::PhantomData<I>,
}

#[derive(Debug)]
struct Sent<O> {
    item: O,
    sent: Option<Uptime>,
    first_sent: Uptime,
}

/// What a frame brought.
#[derive(Debug, PartialEq, Eq)]
pub struct Accepted<I> {
    /// New items, in order.
    pub items: Vec<I>,
    /// The peer was started anew: what it had been told before is gone.
    pub restarted: bool,
    /// The frame was meant for this incarnation or came from one that knew none.
    pub current: bool,
    /// The peer knows this incarnation.
    pub known: bool,
}

impl<O: Clone, I> Channel<O, I> {
    /// A channel to a peer of which nothing is known.
    pub fn new(own: u64) -> Channel<O, I> {
        Channel {
            own,
            peer: 0,
            first: 1,
            out: VecDeque::new(),
            received: 0,
            owes: None,
            unknown: false,
            _in: std::marker::PhantomData,
        }
    }

    /// Queues an item.
    pub fn push(&mut self, item: O) {
        self.out.push_back(Sent { item, sent: None, first_sent: Uptime::default() });
    }

    /// Items that are not acknowledged yet.
    pub fn pending(&self) -> impl Iterator<Item = &O> {
        self.out.iter().map(|it| &it.item)
    }

    /// Whether a frame should be sent at once.
    pub fn is_due(&self, now: Uptime) -> bool {
        let owes = self.owes.is_some_and(|since| now.since(since) >= ACKNOWLEDGE_MS);
        owes || self.unknown || self.start(now).is_some()
    }

    /// Time for which the oldest item that was sent has not been acknowledged, in ms.
    pub fn overdue(&self, now: Uptime) -> u64 {
        match self.out.front() {
            Some(Sent { sent: Some(_), first_sent, .. }) => now.since(*first_sent),
            Some(Sent { sent: None, .. }) | None => 0,
        }
    }

    /// Next frame, with the items that are due.
    pub fn frame<S>(&mut self, now: Uptime, state: S) -> Frame<O, S> {
        self.owes = None;
        self.unknown = false;
        let start = self.start(now).unwrap_or(self.out.len());
        let mut items = Vec::new();
        for sent in self.out.iter_mut().skip(start).take(MAX_ITEMS) {
            if sent.sent.replace(now).is_none() {
                sent.first_sent = now;
            }
            items.push(sent.item.clone());
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

    /// Takes a frame in.
    pub fn accept<S>(&mut self, now: Uptime, frame: Frame<I, S>) -> Accepted<I> {
        let restarted = self.peer != 0 && self.peer != frame.sender;
        if self.peer != frame.sender {
            self.reset(frame.sender);
        }
        if frame.receiver != self.own {
            let current = frame.receiver == 0;
            if !current {
                // The peer must learn of this incarnation before its items count.
                self.unknown = true;
            }
            return Accepted { items: Vec::new(), restarted, current, known: false };
        }
        while self.first <= frame.acknowledged && self.out.pop_front().is_some() {
            self.first += 1;
        }
        let Frame { first, items, .. } = frame;
        let mut fresh = Vec::new();
        for (number, item) in (first..).zip(items) {
            self.owes.get_or_insert(now);
            if number == self.received + 1 {
                self.received = number;
                fresh.push(item);
            }
        }
        Accepted { items: fresh, restarted, current: true, known: true }
    }

    /// Position of the first item that is due.
    fn start(&self, now: Uptime) -> Option<usize> {
        let overdue = |sent: Uptime| now.since(sent) >= RESEND_MS;
        if self.out.front()?.sent.is_some_and(overdue) {
            return Some(0);
        }
        self.out.iter().position(|it| it.sent.is_none())
    }

    /// Starts afresh with another incarnation of the peer.
    fn reset(&mut self, peer: u64) {
        let unknown = self.peer == 0;
        self.peer = peer;
        self.received = 0;
        self.unknown = true;
        if !unknown {
            self.first = 1;
            self.out.clear();
        }
    }
}
