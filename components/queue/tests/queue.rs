//! Admission, start order and predicted waits.

use std::time::Duration;

use ident::Timestamp;
use queue::{Cause, Item, Queue, TeamKey};

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn item(key: u32, run_ms: u64, deadline_ms: u64) -> Item<u32> {
    Item {
        key,
        rank: 0,
        deadline: START + ms(deadline_ms),
        expected: ms(run_ms),
        team: TeamKey::of("yard"),
    }
}

fn of_team(team: &str, item: Item<u32>) -> Item<u32> {
    Item { team: TeamKey::of(team), ..item }
}

/// A queue whose only slot runs request 0, which takes `run_ms`.
fn busy(run_ms: u64) -> Queue<u32> {
    let mut queue = Queue::new(1, 100);
    queue.push(item(0, run_ms, 60_000), START).expect("the slot is free");
    assert_eq!(queue.start_next(START), Some(0));
    queue
}

/// Finishes `running` and starts the next after each `step` until none is left;
/// returns the order of the starts.
fn drain(queue: &mut Queue<u32>, mut running: u32, mut now: Timestamp, step: Duration) -> Vec<u32> {
    let mut order = Vec::new();
    loop {
        now = now + step;
        queue.finish(running, now);
        let Some(next) = queue.start_next(now) else {
            return order;
        };
        order.push(next);
        running = next;
    }
}

#[test]
fn refuses_at_once_a_request_that_would_miss_its_deadline() {
    let mut queue = busy(400);

    let rejection = queue.push(item(1, 100, 450), START).unwrap_err();

    assert_eq!(rejection.cause, Cause::Late);
    assert_eq!(rejection.wait, ms(400));
    assert_eq!(rejection.retry_after, Some(ms(50)));
    assert_eq!(queue.push(item(2, 100, 500), START), Ok(()));
}

#[test]
fn gives_no_retry_time_if_the_run_time_alone_exceeds_the_deadline() {
    let mut queue = busy(100);

    let rejection = queue.push(item(1, 300, 200), START).unwrap_err();

    assert_eq!(rejection.retry_after, None);
}

#[test]
fn admits_an_occasional_trial_of_a_request_that_seems_too_long() {
    let mut queue = Queue::new(8, 100);
    let too_long = |key, after| Item { deadline: START + after + ms(200), ..item(key, 300, 0) };

    let first = queue.push(too_long(1, ms(0)), START);
    let started = queue.start_next(START);
    let second = queue.push(too_long(2, ms(0)), START);
    let later = queue.push(too_long(3, ms(5000)), START + ms(5000));

    assert_eq!((first, started), (Ok(()), Some(1)));
    assert_eq!(second.unwrap_err().cause, Cause::Late);
    assert_eq!(later, Ok(()));
}

#[test]
fn admits_no_trial_of_a_request_that_seems_far_too_long() {
    let mut queue = Queue::new(8, 100);

    let rejection = queue.push(item(1, 2000, 200), START).unwrap_err();

    assert_eq!(rejection.cause, Cause::Late);
}

#[test]
fn refuses_when_the_queue_is_full() {
    let mut queue = Queue::new(1, 1);
    queue.push(item(1, 100, 60_000), START).expect("there is room");

    let rejection = queue.push(item(2, 100, 60_000), START).unwrap_err();

    assert_eq!(rejection.cause, Cause::Full);
    assert!(rejection.retry_after.is_some());
}

#[test]
fn starts_by_rank_then_by_due_time() {
    let mut queue = busy(100);
    let later = Item { rank: 1, ..item(1, 10, 300) };
    for it in [later, item(2, 100, 5000), item(3, 100, 400), item(4, 20, 5000)] {
        queue.push(it, START).expect("all deadlines can be met");
    }

    let order = drain(&mut queue, 0, START, ms(1));

    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn an_urgent_request_is_not_held_up_by_a_queue_of_others() {
    let mut queue = busy(100);
    for key in 1..20 {
        queue
            .push(Item { rank: 1, ..item(key, 100, 60_000) }, START)
            .expect("all deadlines can be met");
    }

    assert_eq!(queue.predicted_wait(0, START), ms(100));
    assert_eq!(queue.predicted_wait(1, START), ms(2000));
    assert_eq!(queue.push(item(20, 100, 250), START), Ok(()));
}

#[test]
fn urgent_requests_do_not_starve_others() {
    let mut queue = busy(100);
    queue.push(Item { rank: 9, ..item(1, 100, 60_000) }, START).expect("its deadline can be met");
    let mut running = 0;
    let mut now = START;

    for key in 2..40 {
        queue.push(item(key, 100, 60_000), now).expect("its deadline can be met");
        now = now + ms(100);
        queue.finish(running, now);
        running = queue.start_next(now).expect("requests wait");
        if running == 1 {
            break;
        }
    }

    assert_eq!(running, 1);
    assert!(now.since(START) < ms(2000));
}

#[test]
fn a_burst_of_one_team_does_not_hold_up_another() {
    let mut queue = busy(100);
    for key in 1..50 {
        queue
            .push(of_team("wrap", item(key, 100, 60_000)), START)
            .expect("its deadline can be met");
    }
    queue
        .push(of_team("crew", item(50, 100, 60_000)), START + ms(1))
        .expect("its deadline can be met");

    let order = drain(&mut queue, 0, START, ms(100));

    let position = order.iter().position(|key| *key == 50).expect("the request starts");
    assert!(position <= 3, "{order:?}");
}

#[test]
fn long_requests_leave_slots_for_short_ones() {
    let mut queue = Queue::new(8, 100);
    for key in 0..4 {
        queue.push(item(key, 300, 60_000), START).expect("its deadline can be met");
        queue.start_next(START);
        queue.finish(key, START);
    }
    for key in 10..20 {
        queue.push(item(key, 4000, 60_000), START).expect("its deadline can be met");
    }

    let long = std::iter::from_fn(|| queue.start_next(START)).count();

    assert_eq!(long, 6);
    assert_eq!(queue.push(item(30, 50, 100), START), Ok(()));
    assert_eq!(queue.start_next(START), Some(30));
}

#[test]
fn long_requests_take_all_slots_where_no_short_ones_come() {
    let mut queue = Queue::new(8, 100);
    for key in 0..10 {
        queue.push(item(key, 4000, 60_000), START).expect("its deadline can be met");
    }

    let long = std::iter::from_fn(|| queue.start_next(START)).count();

    assert_eq!(long, 8);
}

#[test]
fn skips_and_returns_requests_that_can_no_longer_meet_their_deadline() {
    let mut queue = busy(100);
    queue.push(item(1, 100, 300), START).expect("its deadline can be met");
    queue.push(item(2, 100, 900), START).expect("its deadline can be met");
    let late = START + ms(250);
    queue.finish(0, late);

    let started = queue.start_next(late);

    assert_eq!(started, Some(2));
    assert_eq!(queue.take_late(late), [1]);
    assert_eq!(queue.take_late(late), []);
}

#[test]
fn a_removed_request_does_not_start() {
    let mut queue = busy(100);
    queue.push(item(1, 100, 900), START).expect("its deadline can be met");

    assert!(queue.remove(1));
    assert!(!queue.remove(1));
    assert_eq!(drain(&mut queue, 0, START, ms(100)), []);
    assert!(queue.is_idle());
}

#[test]
fn starts_nothing_while_more_run_than_there_are_slots() {
    let mut queue = Queue::new(2, 100);
    for key in 0..3 {
        queue.push(item(key, 100, 60_000), START).expect("its deadline can be met");
    }
    queue.start_next(START);
    queue.start_next(START);
    queue.set_slots(1);

    queue.finish(0, START + ms(100));
    let while_one_runs = queue.start_next(START + ms(100));
    queue.finish(1, START + ms(100));

    assert_eq!(while_one_runs, None);
    assert_eq!(queue.start_next(START + ms(100)), Some(2));
}

#[test]
fn predictions_account_for_a_slow_endpoint() {
    let mut queue = Queue::new(1, 100);
    let mut now = START;
    for key in 0..200 {
        queue
            .push(Item { deadline: now + ms(9000), ..item(key, 100, 0) }, now)
            .expect("the queue is idle");
        queue.start_next(now);
        now = now + ms(300);
        queue.finish(key, now);
    }

    queue
        .push(Item { deadline: now + ms(9000), ..item(900, 100, 0) }, now)
        .expect("the queue is idle");
    queue.start_next(now);

    let wait = queue.predicted_wait(0, now);
    assert!((ms(290)..ms(310)).contains(&wait), "{wait:?}");
    let load = queue.load(now);
    assert_eq!((load.busy, load.slots, load.queued), (1, 1, 0));
    assert_eq!(load.backlog, wait);
}
