//! Runs a case of the review: a small deployment of the project's own processes, with stand-ins of
//! its callers, executors and store.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod burst;
mod callers;
mod check;
mod cut;
mod drain;
mod executor;
mod freeze;
mod http;
mod json;
mod kind;
mod store;
mod system;

use std::{fs, process::ExitCode};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let outcome = match case.as_str() {
        "kind" => kind::run(trouble),
        "burst" => burst::run(trouble),
        "cut" => cut::run(trouble),
        "drain" => drain::run(trouble),
        "freeze" => freeze::run(trouble),
        other => Err(format!("there is no case {other}")),
    };
    let outcome = match outcome {
        Ok(outcome) => outcome,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            return ExitCode::from(2);
        }
    };
    let mut text = outcome.record;
    for line in &outcome.broken {
        text += &format!("broken    {line}\n");
    }
    text += &format!("{} breaches\n", outcome.broken.len());
    if let Err(err) = fs::write(&record, text) {
        eprintln!("the record cannot be written: {err}");
        return ExitCode::from(2);
    }
    println!("{case}: {} breaches", outcome.broken.len());
    for line in outcome.broken.iter().take(3) {
        println!("  {line}");
    }
    match (outcome.valid, outcome.broken.is_empty()) {
        (false, _) => {
            eprintln!("the case could not run: too few jobs were served");
            ExitCode::from(2)
        }
        (true, true) => ExitCode::SUCCESS,
        (true, false) => ExitCode::from(1),
    }
}
