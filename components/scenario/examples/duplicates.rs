//! Measures the cost of deduplication against the same load of an idempotent kind.

use std::{fs, path::Path};

use scenario::{Script, World};

/// Loads as shares of 80 slots, for requests that run 150 ms.
const LOADS: [Load; 3] = [
    Load { percent: 25, every_us: 7_500 },
    Load { percent: 50, every_us: 3_750 },
    Load { percent: 75, every_us: 2_500 },
];

struct Load {
    percent: u32,
    every_us: u64,
}

/// Averages over all requests of a run.
struct Cost {
    messages: f64,
    datagrams: f64,
    time_ms: f64,
    done_percent: f64,
}

fn main() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../inventories/harborlift.toml");
    let protected = fs::read_to_string(path).expect("the inventory exists");
    let unprotected = protected.replace("idempotent = false", "idempotent = true");
    println!("| Busy slots | Requests | Messages each | Datagrams each | Response time | Done |");
    println!("|---|---|---|---|---|---|");
    for load in &LOADS {
        print_row(load, "idempotent, no owner", play(load, "", &unprotected));
        print_row(load, "protected, id made by the entry", play(load, "without id", &protected));
        print_row(load, "protected, id chosen by the caller", play(load, "", &protected));
    }
}

fn play(load: &Load, option: &str, inventory: &str) -> Cost {
    let every = load.every_us * 3;
    let count = 30_000_000 / every;
    let mut text = "inventory harborlift\nentries 3\nagents 10\nend 40s\n".to_owned();
    for entry in 1..=3 {
        let what = format!("submit ticket-{entry} wrap-ticket via entry-{entry}");
        text += &format!("at 0s {what} times {count} every {every}us {option}\n");
    }
    let script = Script::parse(&text).expect("the script is valid");
    let report = World::play(script, inventory).expect("the inventory is valid");
    let sent: u64 = report.tallies.values().map(|it| it.sent).sum();
    let done: u64 = report.tallies.values().map(|it| it.done).sum();
    let time: f64 = report.tallies.values().map(|it| it.time.as_secs_f64()).sum();
    Cost {
        messages: report.messages as f64 / sent as f64,
        datagrams: report.datagrams as f64 / sent as f64,
        time_ms: time * 1000.0 / done as f64,
        done_percent: done as f64 * 100.0 / sent as f64,
    }
}

fn print_row(load: &Load, kind: &str, cost: Cost) {
    let Cost { messages, datagrams, time_ms, done_percent } = cost;
    let percent = load.percent;
    println!(
        "| {percent}% | {kind} | {messages:.2} | {datagrams:.2} | {time_ms:.2} ms | {done_percent:.1}% |"
    );
}
