//! Measures the share of requests refused during a log outage of two minutes.

use std::{fs, path::Path, thread};

use scenario::{Script, Tally, World};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Faults besides the outage, as steps of the scenario language; `AGENT` depends on the seed.
const CASES: [Case; 4] = [
    Case { title: "nobody dies", step: "" },
    Case { title: "one agent's host dies", step: "at 20s kill AGENT" },
    Case { title: "an agent's process restarts", step: "at 20s restart AGENT" },
    Case { title: "an entry starts", step: "at 20s restart entry-2" },
];

struct Case {
    title: &'static str,
    step: &'static str,
}

/// Shares of refused requests, by who generates the ids, in percent.
struct Refused {
    by_caller: f64,
    by_entry: f64,
}

fn main() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../inventories/harborlift.toml");
    let inventory = fs::read_to_string(path).expect("the inventory exists");
    println!(
        "| Besides the outage | Ids | {} | Mean |",
        SEEDS.map(|it| format!("Seed {it}")).join(" | ")
    );
    println!("|---|---|{}---|", "---|".repeat(SEEDS.len()));
    for case in &CASES {
        let results = play_all(case, &inventory);
        print_row(
            case.title,
            "chosen by the caller",
            results.iter().map(|it| it.by_caller).collect(),
        );
        print_row(case.title, "made by the entry", results.iter().map(|it| it.by_entry).collect());
    }
}

fn play_all(case: &Case, inventory: &str) -> Vec<Refused> {
    thread::scope(|scope| {
        let runs = SEEDS.map(|seed| scope.spawn(move || play(case, seed, inventory)));
        runs.map(|run| run.join().expect("the run ends")).into()
    })
}

fn play(case: &Case, seed: u64, inventory: &str) -> Refused {
    let mut text = format!("inventory harborlift\nentries 3\nagents 10\nseed {seed}\nend 130s\n");
    text += "at 0s log down\nat 120s log up\n";
    for entry in 1..=3 {
        let load = format!("wrap-ticket times 380 every 300ms via entry-{entry}");
        text += &format!("at 1s submit chosen-{entry} {load}\n");
        text += &format!("at 1s submit made-{entry} {load} without id\n");
    }
    text += &case.step.replace("AGENT", &format!("yard-{}", 2 * seed));
    let script = Script::parse(&text).expect("the script is valid");
    let report = World::play(script, inventory).expect("the inventory is valid");
    let refused = |prefix: &str| {
        let named = report.tallies.iter().filter(|(name, _)| name.starts_with(prefix));
        share(named.map(|(_, tally)| tally))
    };
    Refused { by_caller: refused("chosen"), by_entry: refused("made") }
}

fn share<'a>(tallies: impl Iterator<Item = &'a Tally>) -> f64 {
    let (mut sent, mut done) = (0, 0);
    for tally in tallies {
        sent += tally.sent;
        done += tally.done;
    }
    (sent - done) as f64 * 100.0 / sent as f64
}

fn print_row(title: &str, ids: &str, shares: Vec<f64>) {
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let cells: Vec<String> = shares.iter().map(|share| format!("{share:.1}%")).collect();
    println!("| {title} | {ids} | {} | {mean:.1}% |", cells.join(" | "));
}
