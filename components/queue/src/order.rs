//! Which queued request starts next.

use std::time::Duration;

use ident::Timestamp;

use crate::{Item, fair::Shares};

/// Of this many starts, one goes to the request that has waited longest.
const AGED_EVERY: u32 = 8;
/// Wait after which a request may start in that way.
const AGED_AFTER: Duration = Duration::from_millis(500);

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Queued<K> {
    pub(crate) item: Item<K>,
    pub(crate) since: Timestamp,
}

/// Position of the request that starts next, among those that `in_time` admits.
///
/// `starts` counts the starts before this one.
pub(crate) fn next<K>(
    queued: &[Queued<K>],
    in_time: impl Fn(&Queued<K>) -> bool,
    shares: &Shares,
    starts: u32,
    now: Timestamp,
) -> Option<usize> {
    let admitted = || (0..queued.len()).filter(|index| in_time(&queued[*index]));
    if starts % AGED_EVERY == AGED_EVERY - 1 {
        let oldest = admitted().min_by_key(|index| queued[*index].since);
        let is_aged = |index: &usize| now.since(queued[*index].since) >= AGED_AFTER;
        if let Some(index) = oldest.filter(is_aged) {
            return Some(index);
        }
    }
    let key = |it: &Queued<K>| (it.item.rank, shares.turn(it.item.team), it.item.deadline);
    admitted().min_by_key(|index| key(&queued[*index]))
}
