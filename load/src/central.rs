//! An idealized central dispatcher, for comparison.
//!
//! It knows every slot and every true run time at no cost, and starts the request
//! with the shortest run time first. Deadlines that it misses count as unavoidable.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    time::Duration,
};

use verdict::Verdict;

use crate::{
    stats::{Completion, Stats},
    workload::Arrival,
};

/// Simulates the arrivals with one queue for all slots.
pub fn simulate(arrivals: &[Arrival], slots: u32) -> Stats {
    let mut stats = Stats::new();
    let mut waiting: BTreeSet<(Duration, usize)> = BTreeSet::new();
    let mut busy: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
    let mut next = 0;
    while next < arrivals.len() || !waiting.is_empty() {
        let arrival = arrivals.get(next).map(|arrival| arrival.at);
        let is_full = busy.len() >= slots as usize;
        let free_at = busy.peek().map(|Reverse(at)| *at).filter(|_| is_full);
        match (arrival, free_at) {
            (Some(at), Some(free)) if at < free => {
                waiting.insert((arrivals[next].run_time, next));
                next += 1;
            }
            (Some(_), None) if waiting.is_empty() => {
                start(&arrivals[next], arrivals[next].at, &mut busy, &mut stats);
                next += 1;
            }
            (_, Some(free)) => {
                busy.pop();
                if let Some((_, index)) = waiting.pop_first() {
                    start(&arrivals[index], free, &mut busy, &mut stats);
                }
            }
            (_, None) => {
                let Some((_, index)) = waiting.pop_first() else { break };
                start(&arrivals[index], arrivals[index].at, &mut busy, &mut stats);
            }
        }
    }
    stats
}

fn start(
    arrival: &Arrival,
    at: Duration,
    busy: &mut BinaryHeap<Reverse<Duration>>,
    stats: &mut Stats,
) {
    let end = at + arrival.run_time;
    busy.push(Reverse(end));
    let response_time = end - arrival.at;
    stats.add(arrival, Completion { verdict: Some(Verdict::Done), done: true, response_time });
}
