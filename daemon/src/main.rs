//! Daemon of the primrosemux dispatcher.

mod cmd;

use std::process::ExitCode;

use settings::{Command, ParseError};

/// Exit code for missing or invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match settings::parse(&args, &|name| std::env::var(name).ok()) {
        Ok(Command::Entry(settings)) => cmd::run(cmd::entry::run(settings)),
        Ok(Command::Agent(settings)) => cmd::run(cmd::agent::run(settings)),
        Ok(Command::Check) => {
            println!("The settings are in order.");
            ExitCode::SUCCESS
        }
        Err(ParseError::Help(text)) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}
