//! Opens connections to peers.

use std::{io, time::Duration};

use ident::{Incarnation, NodeId};
use intake::Bodies;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::sync::CancellationToken;
use wire::Frame;

use crate::{
    channel::{Outbox, Reader, Writer, split},
    connection::Connection,
};

/// Time within which the connection must open and the peer's hello arrive.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1000);

/// Opens a connection to `to` and waits for the peer's hello.
///
/// No call is sent before the hello arrives, so that calls over a broken path fail
/// as not sent.
pub(crate) async fn dial(
    node: NodeId,
    incarnation: Incarnation,
    to: NodeId,
    memory: Bodies,
    closing: CancellationToken,
) -> io::Result<Connection> {
    let opened = timeout(OPEN_TIMEOUT, open(node, incarnation, to, memory)).await??;
    let (reader, writer, outbox) = opened;
    Ok(Connection::start(reader, writer, outbox, closing))
}

async fn open(
    node: NodeId,
    incarnation: Incarnation,
    to: NodeId,
    memory: Bodies,
) -> io::Result<(Reader, Writer, Outbox)> {
    let stream = TcpStream::connect(to.0).await?;
    let (mut reader, mut writer, outbox) = split(stream, memory)?;
    writer.write(&Frame::Hello { node, incarnation }).await?;
    expect_hello(&mut reader, to).await?;
    Ok((reader, writer, outbox))
}

async fn expect_hello(reader: &mut Reader, to: NodeId) -> io::Result<()> {
    match reader.next().await? {
        Some((Frame::Hello { node, .. }, _)) if node == to => Ok(()),
        Some((Frame::Hello { node, .. }, _)) => {
            Err(io::Error::other(format!("expected {to}, but the peer is {node}")))
        }
        Some(_) | None => Err(io::Error::other(format!("{to} sent no hello"))),
    }
}
