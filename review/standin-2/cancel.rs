//! UNASKED: a cancelled job starts again, as the process that acknowledged the cancel is killed and
//! the request arrives again seconds later.

use std::{sync::Arc, thread};

use crate::base::{Deployment, cancel, has_trouble, job_text, random_id, sleep_ms, step, submit};

const JOBS: usize = 4;
const CANCEL_MS: u64 = 3_000;

pub fn run(record_path: &str) -> bool {
    let mut deployment = Deployment::start(2, 3, 16_000, 20);
    let record = Arc::clone(&deployment.record);
    let body = job_text("900 merits", &step(4, 1_600, 900, ""));
    let to = deployment.callers[0];
    let mut cancelled = Vec::new();
    for _ in 0..JOBS {
        let job = random_id();
        let (first_record, first_body) = (Arc::clone(&record), body.clone());
        let first = thread::spawn(move || {
            let reply = submit(to, job, 1_500, &first_body);
            first_record.log(format!("POST {job:016x} at entry 0: {reply:?}"));
        });
        sleep_ms(150);
        let reply = cancel(to, job);
        let at = record.now();
        record.log(format!("DELETE {job:016x} at entry 0: {reply:?}"));
        if !matches!(reply, Some((200, _))) {
            eprintln!("a cancel was not acknowledged");
            std::process::exit(2);
        }
        first.join().expect("a client");
        cancelled.push((job, at));
    }
    sleep_ms(300);
    if has_trouble() {
        record.log("entry 0 is killed (node_kill)");
        deployment.entries[0].kill();
        sleep_ms(300);
        deployment.entries[0].start();
        record.log("entry 0 is started again");
    }
    // Until the entry is back, and in touch for contactTimeoutMs.
    sleep_ms(4_000);
    while !deployment.is_ready(0) {
        sleep_ms(50);
    }
    for (job, _) in &cancelled {
        let reply = submit(to, *job, 1_500, &body);
        record.log(format!("POST {job:016x} arrives again at entry 0: {reply:?}"));
    }
    let spans = deployment.finish();
    let mut broken = 0;
    for it in &spans {
        let Some((job, at)) =
            cancelled.iter().find(|job| it.task.starts_with(&format!("{:016x}.", job.0)))
        else {
            continue;
        };
        let late = it.from.saturating_sub(*at);
        record.log(format!(
            "run {} #{} on executor {} from {} to {:?} {}, {late} ms after the cancel of {job:016x}",
            it.task, it.run, it.executor, it.from, it.to, it.how
        ));
        broken += usize::from(late > CANCEL_MS);
    }
    let line = format!("{broken} starts later than cancel_ms after an acknowledged cancel");
    record.log(line.clone());
    println!("{line}");
    record.write(record_path);
    broken == 0
}
