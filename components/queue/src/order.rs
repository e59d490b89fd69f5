//! Order in which queued requests start.

use std::time::Duration;

use ident::Timestamp;
use mutation::{Mechanism, is_disabled};

use crate::{Item, fair::FairShares};

/// One in this many starts goes to the request that has waited longest.
const AGED_START_INTERVAL: u32 = 8;
/// Shortest wait after which a request can start out of order.
const MIN_AGED_WAIT: Duration = Duration::from_millis(500);

/// Due time of a request in expected run times after its arrival, unless the
/// deadline is earlier.
const DUE_RUN_TIMES: u32 = 8;

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Queued<K> {
    pub(crate) item: Item<K>,
    pub(crate) queued_at: Timestamp,
    pub(crate) due: Timestamp,
    /// Whether it was admitted to measure its run time although it seemed too long.
    pub(crate) trial: bool,
}

impl<K> Queued<K> {
    pub(crate) fn new(item: Item<K>, now: Timestamp) -> Queued<K> {
        let due = item.deadline.min(now + item.expected * DUE_RUN_TIMES);
        Queued { item, queued_at: now, due, trial: false }
    }

    /// Whether it starts before a request with the given rank and due time.
    pub(crate) fn precedes(&self, rank: u8, due: Timestamp) -> bool {
        (self.item.rank, self.due) <= (rank, due)
    }
}

/// Position of the request to start next, among those that `admits` accepts.
///
/// `starts` is the number of starts before this one.
pub(crate) fn next_index<K>(
    queued: &[Queued<K>],
    admits: impl Fn(&Queued<K>) -> bool,
    shares: &FairShares,
    starts: u32,
    now: Timestamp,
) -> Option<usize> {
    let admitted = || (0..queued.len()).filter(|index| admits(&queued[*index]));
    if starts % AGED_START_INTERVAL == AGED_START_INTERVAL - 1 {
        let oldest = admitted().min_by_key(|index| queued[*index].queued_at);
        let is_aged = |index: &usize| now.since(queued[*index].queued_at) >= MIN_AGED_WAIT;
        if let Some(index) = oldest.filter(is_aged) {
            return Some(index);
        }
    }
    let rank = |it: &Queued<K>| if is_disabled(Mechanism::UrgencyOrder) { 0 } else { it.item.rank };
    let key = |it: &Queued<K>| (rank(it), shares.quanta_ahead(it.item.team), it.due);
    admitted().min_by_key(|index| key(&queued[*index]))
}
