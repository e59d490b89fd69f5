//! Command-line tool of the primrosemux dispatcher.

use std::{
    env,
    io::{self, Write},
    process::ExitCode,
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let finished = primrosemux::run(&args, &|name| env::var(name).ok()).await;
    // A closed pipe, as with `| head`, is not a failure of the command.
    let _ = io::stdout().write_all(finished.stdout.as_bytes());
    let _ = io::stderr().write_all(finished.stderr.as_bytes());
    ExitCode::from(finished.exit.code())
}
