//! Processor time and traffic of idle entries and agents, and processor time per request.

use std::time::Duration;

use eyre::Result;

use super::{
    cores::Cost,
    fleet,
    requests::{agent_request, entry_request},
    simulation::Simulation,
    usage::Usage,
};

/// Numbers of workers to measure.
const WORKERS: [u32; 4] = [10, 100, 400, fleet::FULL_WORKERS];
/// Time for the entries to learn of every agent.
const WARM_UP: Duration = Duration::from_secs(30);
/// Duration of the measurement.
const MEASURED: Duration = Duration::from_secs(10);

/// Prints one row per role and size.
pub fn measure(seed: u64) -> Result<()> {
    println!(
        "{:<14} {:>7} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6}",
        "role",
        "workers",
        "tick µs",
        "beat µs",
        "gossip µs",
        "ack µs",
        "core %",
        "out/s",
        "in/s",
        "B/s out",
        "B/s in",
        "appends",
        "peers"
    );
    let mut costs = Vec::new();
    for workers in WORKERS {
        let mut simulation = Simulation::new(workers, seed)?;
        simulation.run(WARM_UP);
        simulation.reset_usage();
        simulation.run(MEASURED);
        print_row("entry", workers, &simulation.usage(0), simulation.peers(0));
        print_row(
            "agent/worker",
            workers,
            &simulation.usage(simulation.worker()),
            simulation.peers(simulation.worker()),
        );
        print_row(
            "agent/executor",
            workers,
            &simulation.usage(simulation.executor()),
            simulation.peers(simulation.executor()),
        );
        costs.push((workers, requests(&mut simulation)));
    }
    println!();
    println!(
        "{:>7} {:>14} {:>16} {:>14} {:>14}",
        "workers", "entry check µs", "entry reserve µs", "agent check µs", "agent reserve µs"
    );
    for (workers, [check, reserve, run, owned]) in costs {
        println!(
            "{workers:>7} {:>14.1} {:>16.1} {:>14.1} {:>14.1}",
            check.micros(),
            reserve.micros(),
            run.micros(),
            owned.micros()
        );
    }
    Ok(())
}

fn requests(simulation: &mut Simulation) -> [Cost; 4] {
    [
        entry_request(simulation, "check"),
        entry_request(simulation, "reserve"),
        agent_request(simulation, "check"),
        agent_request(simulation, "reserve"),
    ]
}

fn print_row(role: &str, workers: u32, usage: &Usage, peers: usize) {
    let seconds = MEASURED.as_secs_f64();
    let per_s = |count: usize| count as f64 / seconds;
    println!(
        "{role:<14} {workers:>7} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>8.3} {:>8.0} {:>8.0} {:>8.0} \
         {:>8.0} {:>8} {peers:>6}",
        usage.tick.micros(),
        usage.heartbeat.micros(),
        usage.gossip.micros(),
        usage.ack.micros(),
        usage.total().as_secs_f64() * 100.0 / seconds,
        per_s(usage.sent.count),
        per_s(usage.received.count),
        per_s(usage.sent.bytes),
        per_s(usage.received.bytes),
        usage.appended,
    );
}
