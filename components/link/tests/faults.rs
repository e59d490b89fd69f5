//! Faulty connections, and the errors of calls on them.

mod common;

use std::time::Duration;

use common::{
    INCARNATION, Proxy, accept_raw, call, caller, listen, number, peers, read_frame, reply, serve,
    serve_echo, write_frame,
};
use futures::future::join_all;
use link::Server;
use node::LinkError;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};
use wire::{Call, Frame, HandOver};

const LONG: Duration = Duration::from_secs(60);
/// Interval between checks of the number of open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[tokio::test]
async fn loses_a_call_on_a_connection_that_stops_carrying_data_and_makes_the_next_on_a_new_one() {
    let (front, node) = listen().await;
    let (back, target) = listen().await;
    let proxy = Proxy::start(front, target.0);
    let (server, mut calls) = serve(back, node);
    let peers = peers();

    let (lost, unanswered) = tokio::join!(peers.call(node, call(1), LONG), async {
        let incoming = calls.recv().await.unwrap();
        proxy.stop_forwarding();
        number(&incoming.call)
    });
    let open_after_loss = peers.open_connections();
    let (again, ()) = tokio::join!(peers.call(node, call(1), LONG), async {
        let incoming = calls.recv().await.unwrap();
        server.reply(incoming.from, reply(1));
    });

    assert_eq!(unanswered, 1);
    assert_eq!(lost, Err(LinkError::Lost));
    assert_eq!(open_after_loss, 0, "the heartbeat closes the connection before the timeout");
    assert_eq!(again, Ok(reply(1)));
}

#[tokio::test]
async fn replaces_an_idle_connection_that_stopped_carrying_data() {
    let (front, node) = listen().await;
    let (back, target) = listen().await;
    let proxy = Proxy::start(front, target.0);
    let _server = serve_echo(back, node);
    let peers = peers();
    peers.call(node, call(1), LONG).await.unwrap();

    proxy.stop_forwarding();
    while peers.open_connections() > 0 {
        sleep(POLL_INTERVAL).await;
    }

    assert_eq!(peers.call(node, call(2), LONG).await, Ok(reply(2)));
}

#[tokio::test]
async fn keeps_a_connection_whose_peer_takes_long_to_reply() {
    let (listener, node) = listen().await;
    let (server, mut calls) = serve(listener, node);
    let peers = peers();

    let (answer, ()) = tokio::join!(peers.call(node, call(1), LONG), async {
        let incoming = calls.recv().await.unwrap();
        sleep(Duration::from_millis(2500)).await;
        server.reply(incoming.from, reply(1));
    });

    assert_eq!(answer, Ok(reply(1)));
}

#[tokio::test]
async fn sends_nothing_if_the_peer_does_not_listen() {
    let (listener, node) = listen().await;
    drop(listener);

    let result = peers().call(node, call(1), LONG).await;

    assert_eq!(result, Err(LinkError::NotSent));
}

#[tokio::test]
async fn sends_nothing_to_a_peer_that_sends_no_hello() {
    let (listener, node) = listen().await;
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.unwrap();
        received
    });

    let result = peers().call(node, call(1), LONG).await;
    let received = peer.await.unwrap();

    let hello = Frame::Hello { node: caller(), incarnation: INCARNATION };
    assert_eq!(result, Err(LinkError::NotSent));
    assert_eq!(received[4..], wire::encode(&hello));
}

#[tokio::test]
async fn sends_nothing_to_a_node_with_another_id() {
    let (listener, node) = listen().await;
    let (_, other) = listen().await;
    let _server = serve_echo(listener, other);

    let result = peers().call(node, call(1), LONG).await;

    assert_eq!(result, Err(LinkError::NotSent));
}

#[tokio::test]
async fn rejects_calls_to_a_peer_that_never_reads() {
    let (listener, node) = listen().await;
    let peers = peers();
    let bulky = || {
        let ledger = vec![0; 1024 * 1024];
        Call::HandOver(HandOver { from: node, ledger })
    };

    let peer = tokio::spawn(async move {
        let stream = accept_raw(&listener, node).await;
        std::future::pending::<()>().await;
        drop(stream);
    });
    let calls = (0..100).map(|_| peers.call(node, bulky(), LONG));
    let results = join_all(calls).await;
    peer.abort();

    let rejected = results.iter().filter(|it| **it == Err(LinkError::NotSent)).count();
    let lost = results.iter().filter(|it| **it == Err(LinkError::Lost)).count();
    assert_eq!(rejected + lost, 100);
    assert!(lost > 0, "the first calls were partly written");
    assert!(rejected >= 68, "at most 32 MiB may be queued, but {lost} calls were sent");
}

#[tokio::test]
async fn loses_calls_when_the_peer_sends_garbage() {
    let (listener, node) = listen().await;
    let peers = peers();

    let (result, ()) = tokio::join!(peers.call(node, call(1), LONG), async {
        let mut stream = accept_raw(&listener, node).await;
        let _hello = read_frame(&mut stream).await;
        let _call = read_frame(&mut stream).await;
        stream.write_all(&[0, 0, 0, 3, 0xff, 0xff, 0xff]).await.unwrap();
    });

    assert_eq!(result, Err(LinkError::Lost));
}

#[tokio::test]
async fn closes_the_connection_of_a_peer_that_sends_garbage() {
    let (listener, node) = listen().await;
    let server = serve_echo(listener, node);
    let too_long = u32::MAX.to_be_bytes();

    let mut stream = TcpStream::connect(node.0).await.unwrap();
    stream.write_all(&too_long).await.unwrap();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;

    assert_eq!(server.open_connections(), 0);
    assert_eq!(peers().call(node, call(1), LONG).await, Ok(reply(1)));
}

#[tokio::test]
async fn closes_a_half_open_connection() {
    let (listener, node) = listen().await;
    let server = serve_echo(listener, node);
    let mut stream = TcpStream::connect(node.0).await.unwrap();
    let hello = Frame::Hello { node: caller(), incarnation: INCARNATION };
    write_frame(&mut stream, &hello).await;
    wait_for_connections(&server, 1).await;

    wait_for_connections(&server, 0).await;

    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received).await;
    assert!(end.is_ok(), "the server closes the connection without a reset");
}

/// Waits until the server has the given number of connections.
async fn wait_for_connections(server: &Server, number: usize) {
    while server.open_connections() != number {
        sleep(POLL_INTERVAL).await;
    }
}
