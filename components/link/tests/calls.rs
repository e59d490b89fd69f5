//! Calls and replies on working connections.

mod common;

use std::time::Duration;

use common::{call, listen, number, peers, reply, serve, serve_echo};
use node::LinkError;

const LONG: Duration = Duration::from_secs(60);
const SHORT: Duration = Duration::from_millis(50);

#[tokio::test]
async fn matches_replies_out_of_order_by_number() {
    let (listener, node) = listen().await;
    let (server, mut calls) = serve(listener, node);
    let peers = peers();

    let (first, second, ()) =
        tokio::join!(peers.call(node, call(1), LONG), peers.call(node, call(2), LONG), async {
            let earlier = calls.recv().await.unwrap();
            let later = calls.recv().await.unwrap();
            server.reply(later.from, reply(number(&later.call)));
            server.reply(earlier.from, reply(number(&earlier.call)));
        });

    assert_eq!(first, Ok(reply(1)));
    assert_eq!(second, Ok(reply(2)));
    assert_eq!(server.open_connections(), 1);
}

#[tokio::test]
async fn drops_the_late_reply_to_a_call_that_timed_out() {
    let (listener, node) = listen().await;
    let (server, mut calls) = serve(listener, node);
    let peers = peers();

    let timed_out = peers.call(node, call(1), SHORT).await;
    let late = calls.recv().await.unwrap();
    server.reply(late.from, reply(1));
    let (next, ()) = tokio::join!(peers.call(node, call(2), LONG), async {
        let incoming = calls.recv().await.unwrap();
        server.reply(incoming.from, reply(2));
    });

    assert_eq!(timed_out, Err(LinkError::Lost));
    assert_eq!(next, Ok(reply(2)));
}

#[tokio::test]
async fn drops_the_reply_to_a_connection_that_has_closed() {
    let (listener, node) = listen().await;
    let (server, mut calls) = serve(listener, node);
    let closing = peers();
    let lost_call = {
        let closing = closing.clone();
        tokio::spawn(async move { closing.call(node, call(1), LONG).await })
    };
    let unanswered = calls.recv().await.unwrap();
    lost_call.abort();
    drop(closing);
    while server.open_connections() > 0 {
        tokio::time::sleep(SHORT).await;
    }

    server.reply(unanswered.from, reply(1));
    let other = peers();
    let (next, ()) = tokio::join!(other.call(node, call(2), LONG), async {
        let incoming = calls.recv().await.unwrap();
        server.reply(incoming.from, reply(2));
    });

    assert_eq!(next, Ok(reply(2)));
}

#[tokio::test]
async fn carries_many_calls_on_one_connection() {
    let (listener, node) = listen().await;
    let server = serve_echo(listener, node);
    let peers = peers();

    let calls = (0..500).map(|number| peers.call(node, call(number), LONG));
    let replies = futures::future::join_all(calls).await;

    let expected: Vec<_> = (0..500).map(|number| Ok(reply(number))).collect();
    assert_eq!(replies, expected);
    assert_eq!(server.open_connections(), 1);
}
