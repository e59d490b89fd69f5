//! One of eight executors crashes while it is idle, and 700 ms later one of another kind starts on
//! its machine.

use std::{net::TcpListener, sync::Arc, thread, time::Duration};

use crate::{
    callers::{Balancer, Callers},
    check,
    executor::Executor,
    system::{Machine, System},
};

/// Time from the crash of an executor to the start of the next one, in ms.
const DOWN_MS: u64 = 700;
/// Number of crashes.
const ROUNDS: u64 = 8;

pub fn run(trouble: bool) -> Result<check::Outcome, String> {
    let kinds = ["a", "b"];
    let machine =
        |kind: &'static str| Machine { cpu: 64_000, labels: vec![kind, "r1-1"], born: None };
    let mut machines = vec![machine("c"); 8];
    machines[0] = machine("a");
    let system = Arc::new(System::start(1, &machines, "")?);
    let balancer = Balancer::start(Arc::clone(&system));
    let callers = Callers::new(Arc::clone(&system), Arc::clone(&balancer));
    let mut executor = system.executors[0].clone();
    let mut labels = vec![(executor.description.id.clone(), "a")];
    let mut wanted = Vec::new();
    for round in 0..ROUNDS {
        let kind = kinds[(round % 2) as usize];
        let next = kinds[((round + 1) % 2) as usize];
        let needs = |kind: &str| format!(r#","requiredLabels":"{kind}""#);
        thread::sleep(Duration::from_millis(1_500));
        callers.submit(100 + round, 0, crate::system::job(1, 1_000, 100, &needs(kind)));
        wanted.push((100 + round, kind));
        thread::sleep(Duration::from_millis(1_500));
        if trouble {
            callers.note(&format!("executor {} of kind {kind} crashes", executor.description.id));
            executor.crash();
            thread::sleep(Duration::from_millis(DOWN_MS));
            let mut description =
                system.description(0, &format!("i-0-{}", round + 1), &machine(next));
            let port =
                TcpListener::bind((description.address.ip(), 0)).and_then(|it| it.local_addr());
            description.address.set_port(port.map_err(|err| err.to_string())?.port());
            labels.push((description.id.clone(), next));
            executor = Executor::start(description, system.epoch, &system.record)
                .map_err(|err| err.to_string())?;
            while !executor.is_registered() {
                thread::sleep(Duration::from_millis(1));
            }
            callers.note(&format!(
                "executor {} of kind {next} is registered",
                executor.description.id
            ));
            thread::sleep(Duration::from_millis(10));
        }
        callers.submit(200 + round, 0, crate::system::job(1, 1_000, 100, &needs(kind)));
        wanted.push((200 + round, kind));
        if !trouble {
            thread::sleep(Duration::from_millis(DOWN_MS));
        }
    }
    thread::sleep(Duration::from_secs(3));
    balancer.stop();
    let mut outcome = check::labels(&system, &callers, &wanted, &labels);
    outcome.valid = true;
    system.finish();
    Ok(outcome)
}
