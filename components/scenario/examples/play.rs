//! Runs one scenario and prints its trace and violations.

use std::{env, fs, path::Path};

use scenario::{Script, World};

fn main() {
    let path = env::args().nth(1).expect("usage: play SCENARIO");
    let script = Script::parse(&fs::read_to_string(&path).unwrap()).unwrap_or_else(|err| {
        eprintln!("{path}:\n{err}");
        std::process::exit(2)
    });
    let folder = Path::new(&path).parent().unwrap();
    let local = folder.join(format!("{}.toml", script.inventory));
    let shared = folder.join(format!("../inventories/{}.toml", script.inventory));
    let inventory = fs::read_to_string(local).or_else(|_| fs::read_to_string(shared)).unwrap();
    let report = World::play(script, &inventory).unwrap();
    print!("{}", report.trace_text());
    println!("{report}");
    std::process::exit(i32::from(!report.holds()));
}
