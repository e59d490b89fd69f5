//! Daemon of the primrosemux dispatcher.

fn main() -> eyre::Result<()> {
    Ok(())
}
