//! A heartbeat that is not the executor's own names its id, a service that nobody has, and a high
//! sequence number; later the executor drains.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    callers::{Balancer, Callers},
    check,
    executor::beat_text,
    http,
    system::{Machine, System},
};

pub fn run(trouble: bool) -> Result<check::Outcome, String> {
    let machine = |born| Machine { cpu: 4_000, labels: vec!["a", "r1-1"], born: Some(born) };
    let machines = [machine(1_790_000_000_000), machine(1_790_000_000_001)];
    let system = Arc::new(System::start(1, &machines, "")?);
    let balancer = Balancer::start(Arc::clone(&system));
    let callers = Callers::new(Arc::clone(&system), Arc::clone(&balancer));
    let executor = &system.executors[0];
    if trouble {
        let mut other = executor.description.clone();
        other.service = "nobody".to_owned();
        other.born = None;
        let text = beat_text(&other, false, 1, 1_000_000);
        let path = format!("/v1/instances/{}", other.id);
        let answer = http::call(other.control, "PUT", &path, &[], &text, Duration::from_secs(1));
        callers.note(&format!(
            "a heartbeat of another writer: {path} {text}, answered {:?}",
            answer.map(|it| it.0)
        ));
    }
    for id in 1..=160 {
        callers.submit(id, 0, crate::system::job(2, 500, 300, ""));
        thread::sleep(Duration::from_millis(50));
        if id == 92 {
            executor.leave();
            callers.note(&format!("executor {} leaves", executor.description.id));
        }
        if id == 20 {
            executor.drain();
            executor.beat();
            callers.note(&format!(
                "executor {} reports draining, acknowledged at {:?} ms",
                executor.description.id,
                executor.drain_acknowledged()
            ));
        }
    }
    thread::sleep(Duration::from_secs(3));
    balancer.stop();
    let outcome = check::drain(&system, &callers);
    system.finish();
    Ok(outcome)
}
