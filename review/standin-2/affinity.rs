//! ROUTE: tasks of a step with `antiAffinity` meet on an executor whose machine froze for a moment.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use crate::base::{
    Deployment, SIGCONT, SIGSTOP, Span, has_trouble, job_text, random_id, sleep_ms, step, submit,
};

const AGENTS: usize = 3;
const FREEZE_MS: u64 = 430;
const FREEZES: usize = 30;

pub fn run(record_path: &str) -> bool {
    let mut deployment = Deployment::start(1, AGENTS, 16_000, 40);
    let record = Arc::clone(&deployment.record);
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..2)
        .map(|_| {
            let (record, ends) = (Arc::clone(&record), Arc::clone(&ends));
            let to = deployment.callers[0];
            thread::spawn(move || {
                let body = job_text("900", &step(4, 1_600, 900, ",\"antiAffinity\":1"));
                while !ends.load(Ordering::Relaxed) {
                    let job = random_id();
                    let reply = submit(to, job, 6_000, &body);
                    record.log(format!("job {job:016x}: {reply:?}"));
                }
            })
        })
        .collect();
    for freeze in 0..FREEZES {
        sleep_ms(1_500 + freeze as u64 * 37 % 300);
        if has_trouble() {
            let agent = freeze % AGENTS;
            record.log(format!("the process of side machine {agent} stands still"));
            deployment.agents[agent].signal(SIGSTOP);
            sleep_ms(FREEZE_MS);
            deployment.agents[agent].signal(SIGCONT);
            record.log(format!("the process of side machine {agent} goes on"));
        } else {
            sleep_ms(FREEZE_MS);
        }
    }
    ends.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| it.join().expect("a client"));
    let spans = deployment.finish();
    let mut by_step: HashMap<(usize, String), Vec<&Span>> = HashMap::new();
    for it in &spans {
        let step = it.task.rsplit_once('.').map_or("", |it| it.0).to_owned();
        record.log(format!(
            "run {} #{} on executor {} from {} to {:?} {}",
            it.task, it.run, it.executor, it.from, it.to, it.how
        ));
        if it.from > 0 && !it.task.starts_with("ffff0000") {
            by_step.entry((it.executor, step)).or_default().push(it);
        }
    }
    let mut broken = 0;
    for ((executor, step), spans) in &by_step {
        for (position, it) in spans.iter().enumerate() {
            for earlier in &spans[..position] {
                if earlier.to.is_none_or(|to| to > it.from) {
                    broken += 1;
                    let line = format!(
                        "broken: {} starts at {} on executor {executor} while {} of step {step} \
                         runs there until {:?}",
                        it.task, it.from, earlier.task, earlier.to
                    );
                    println!("{line}");
                    record.log(line);
                }
            }
        }
    }
    record.log(format!("{broken} starts beyond antiAffinity, of {} runs", spans.len()));
    record.write(record_path);
    broken == 0
}
