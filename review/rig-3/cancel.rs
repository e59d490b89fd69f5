//! A caller moves to another zone, and cancels its job in progress at the entry there.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    callers::{Balancer, Callers},
    check::{self, Cancel},
    http,
    system::{HOST, Machine, PREFIX, System},
};

/// Run time of a task, the longest of the site's `merits-review`, in ms.
const WORK_MS: u64 = 3_600;
/// Time that the caller waits for the answer to its job, in ms.
const DEADLINE_MS: u64 = 6_000;
/// Time from a job to its cancelling, in ms.
const CANCEL_AFTER_MS: u64 = 200;
const JOBS: u64 = 5;

pub fn run(trouble: bool) -> Result<check::Outcome, String> {
    let machine = Machine { cpu: 64_000, labels: vec!["a", "r1-1"], born: None };
    let system = Arc::new(System::start(2, &vec![machine; 6], "")?);
    let balancer = Balancer::start(Arc::clone(&system));
    let callers = Callers::new(Arc::clone(&system), Arc::clone(&balancer));
    let mut cancels = Vec::new();
    for id in 1..=JOBS {
        let sender = callers.clone();
        let body = crate::system::job(4, 1_600, WORK_MS, "");
        thread::spawn(move || sender.attempt(id, 0, 0, &body, DEADLINE_MS));
        thread::sleep(Duration::from_millis(CANCEL_AFTER_MS));
        let path = format!("{PREFIX}{id:016x}");
        let entry = usize::from(trouble);
        let limit = Duration::from_secs(2);
        let to = system.frontend(entry);
        let answer = http::call(to, "DELETE", &path, &[("Host", HOST)], "", limit);
        let status = answer.map(|it| it.0);
        callers.note(&format!("cancel of job {id:016x} at entry {entry}, answered {status:?}"));
        if matches!(status, Some(200..=299 | 410)) {
            cancels.push(Cancel { job: format!("{id:016x}"), acknowledged: system.now() });
        }
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_millis(DEADLINE_MS + 1_000));
    balancer.stop();
    let outcome = check::unasked(&system, &callers, &cancels);
    system.finish();
    Ok(outcome)
}
