//! Which queued request starts next.

use std::time::Duration;

use ident::Timestamp;
use mutation::{Mechanism, is_off};

use crate::{Item, fair::Shares};

/// Of this many starts, one goes to the request that has waited longest.
const AGED_EVERY: u32 = 8;
/// Wait after which a request may start in that way.
const AGED_AFTER: Duration = Duration::from_millis(500);

/// Run times after its arrival at which a request is due at the latest.
const DUE_RUN_TIMES: u32 = 8;

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Queued<K> {
    pub(crate) item: Item<K>,
    pub(crate) since: Timestamp,
    pub(crate) due: Timestamp,
    /// Whether it was let in to find out how long it takes.
    pub(crate) trial: bool,
}

impl<K> Queued<K> {
    pub(crate) fn new(item: Item<K>, now: Timestamp) -> Queued<K> {
        let due = item.deadline.min(now + item.expected * DUE_RUN_TIMES);
        Queued { item, since: now, due, trial: false }
    }

    /// Whether it goes before one of the rank and due time.
    pub(crate) fn precedes(&self, rank: u8, due: Timestamp) -> bool {
        (self.item.rank, self.due) <= (rank, due)
    }
}

/// Position of the request that starts next, among those that `admits` lets pass.
///
/// `starts` counts the starts before this one.
pub(crate) fn next<K>(
    queued: &[Queued<K>],
    admits: impl Fn(&Queued<K>) -> bool,
    shares: &Shares,
    starts: u32,
    now: Timestamp,
) -> Option<usize> {
    let admitted = || (0..queued.len()).filter(|index| admits(&queued[*index]));
    if starts % AGED_EVERY == AGED_EVERY - 1 {
        let oldest = admitted().min_by_key(|index| queued[*index].since);
        let is_aged = |index: &usize| now.since(queued[*index].since) >= AGED_AFTER;
        if let Some(index) = oldest.filter(is_aged) {
            return Some(index);
        }
    }
    let rank = |it: &Queued<K>| if is_off(Mechanism::UrgencyOrder) { 0 } else { it.item.rank };
    let key = |it: &Queued<K>| (rank(it), shares.turn(it.item.team), it.due);
    admitted().min_by_key(|index| key(&queued[*index]))
}
