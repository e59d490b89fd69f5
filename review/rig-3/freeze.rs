//! An entry stands still for 4 s while callers send it jobs.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    callers::{Balancer, Callers},
    check,
    system::{Machine, SIGCONT, SIGSTOP, System},
};

/// Jobs a second that callers send to each entry.
const JOBS_PER_S: u64 = 42;
/// Time for which the entry stands still, in ms.
const FREEZE_MS: u64 = 4_000;

pub fn run(trouble: bool) -> Result<check::Outcome, String> {
    let machine = Machine { cpu: 64_000, labels: vec!["a", "r1-1"], born: None };
    let system = Arc::new(System::start(2, &vec![machine; 6], "")?);
    let balancer = Balancer::start(Arc::clone(&system));
    let callers = Callers::new(Arc::clone(&system), Arc::clone(&balancer));
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (callers, stop) = (callers.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            let mut id = 1;
            while !stop.load(Ordering::Relaxed) {
                for home in 0..2 {
                    callers.submit(id, home, crate::system::job(2, 500, 900, ""));
                    id += 1;
                }
                thread::sleep(Duration::from_micros(1_000_000 / JOBS_PER_S));
            }
        })
    };
    thread::sleep(Duration::from_secs(3));
    if trouble {
        callers.note(&format!("entry 0 is stopped for {FREEZE_MS} ms"));
        system.entries[0].signal(SIGSTOP);
        thread::sleep(Duration::from_millis(FREEZE_MS));
        system.entries[0].signal(SIGCONT);
        callers.note("entry 0 continues");
    } else {
        thread::sleep(Duration::from_millis(FREEZE_MS));
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    traffic.join().map_err(|_| "a thread of the case failed".to_owned())?;
    thread::sleep(Duration::from_secs(5));
    balancer.stop();
    let outcome = check::twice(&system, &callers);
    system.finish();
    Ok(outcome)
}
