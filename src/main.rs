//! Command-line tool of the primrosemux dispatcher.

fn main() -> eyre::Result<()> {
    Ok(())
}
