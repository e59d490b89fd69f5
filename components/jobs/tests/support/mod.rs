//! Fixtures: workers of one zone, and jobs for them.

use std::{net::SocketAddr, time::Duration};

use config::Inventory;
use ident::{Group, Incarnation, NodeId, RequestId, Timestamp};
use jobs::Jobs;
use placement::Placer;
use verdict::Answer;
use wire::{AgentReport, JobSpec, Load, TaskSpec};

/// Time at which the tests start.
pub const NOW: Timestamp = Timestamp::from_millis(1_700_000_000_000);
/// Cores of each worker.
pub const CORES: u32 = 8;
/// Time until the deadline of a job.
pub const BUDGET: Duration = Duration::from_secs(10);

/// Empty set of jobs with `workers` idle workers.
pub fn jobs(workers: u16) -> Jobs {
    let mut jobs = Jobs::new(Placer::new("suva-a", 11));
    jobs.set_inventory(&inventory(workers));
    for index in 0..workers {
        jobs.placer().on_report(&report(index), NOW);
    }
    jobs
}

fn inventory(workers: u16) -> Inventory {
    let mut text = String::from(
        "[[availability_zones]]\nname = \"suva-a\"\nregion = \"suva\"\n\
         [[racks]]\nname = \"r1\"\navailability_zone = \"suva-a\"\n\
         [[urgencies]]\nname = \"counter\"\nrank = 0\ndeadline_ms = 10000\n\
         [[urgencies]]\nname = \"later\"\nrank = 2\ndeadline_ms = 10000\n",
    );
    for index in 0..workers {
        text += &format!(
            "[[workers]]\nname = \"w{index}\"\nrack = \"r1\"\ncores = {CORES}\nmemory_gb = 8\n"
        );
    }
    Inventory::parse(&text).unwrap()
}

fn report(index: u16) -> AgentReport {
    AgentReport {
        node: NodeId(SocketAddr::from(([127, 0, 0, 1], 7000 + index))),
        incarnation: Incarnation(NOW),
        sequence: 1,
        name: format!("w{index}"),
        group: Group::Workers,
        availability_zone: "suva-a".to_owned(),
        leaving: false,
        load: Load { busy: 0, slots: CORES, ..Load::default() },
        next_offset: 0,
    }
}

/// Id of a job.
pub fn id(number: u16) -> RequestId {
    let [high, low] = number.to_be_bytes();
    RequestId::new(NOW, [0, 0, 0, 0, 0, 0, 0, 0, high, low])
}

/// A job of `tasks` tasks of `cores` cores each.
pub fn spec(number: u16, tasks: usize, cores: u32) -> JobSpec {
    let task = TaskSpec { cores, memory_mb: 64, accelerators: 0, run_ms: 100, body: String::new() };
    JobSpec {
        id: id(number),
        attempt: 1,
        submitted: NOW,
        over_quota: false,
        team: "clerks".to_owned(),
        urgency: "counter".to_owned(),
        budget: BUDGET,
        tasks: vec![task; tasks],
    }
}

/// A successful answer.
pub fn answer(body: &str) -> Answer {
    Answer { status: 200, body: body.as_bytes().to_vec() }
}
