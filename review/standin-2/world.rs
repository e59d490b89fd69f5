//! The cases of `review/6` and later: each starts a small deployment, plays its clients and its
//! disruption, and exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.

mod base;
mod frozen;

use std::{thread, time::Duration};

/// Time after which a case counts as one that couldn't run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let arguments: Vec<String> = std::env::args().collect();
    let record = arguments.get(2).map_or("record.txt", String::as_str);
    let held = match arguments.get(1).map(String::as_str) {
        Some("frozen") => frozen::run(record),
        _ => {
            eprintln!("a case and the path of its record are needed");
            std::process::exit(2);
        }
    };
    std::process::exit(i32::from(!held));
}
