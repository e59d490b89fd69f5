//! Sending and receiving datagrams.

use std::net::Ipv4Addr;

use ident::{Incarnation, NodeId, Timestamp};
use link::udp::{MAX_DATAGRAM_BYTES, Socket};
use tokio::net::UdpSocket;
use wire::{Datagram, Promise, encode};

#[tokio::test]
async fn counts_and_drops_bytes_that_cannot_be_decoded() {
    let socket = Socket::bind((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
    let address = socket.local_addr().unwrap();
    let sender = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let trailing = [encode(&promise(0)), vec![0]].concat();

    sender.send_to(b"garbage", address).await.unwrap();
    sender.send_to(&trailing, address).await.unwrap();
    sender.send_to(&encode(&promise(1)), address).await.unwrap();
    let received = socket.receive().await.unwrap();

    assert_eq!(received, promise(1));
    assert_eq!(socket.malformed(), 2);
}

#[tokio::test]
async fn carries_a_datagram_between_two_sockets() {
    let from = Socket::bind((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
    let to = Socket::bind((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
    let node = NodeId(to.local_addr().unwrap());

    from.send(node, &promise(7)).await.unwrap();

    assert_eq!(to.receive().await.unwrap(), promise(7));
}

#[tokio::test]
async fn refuses_a_datagram_that_does_not_fit() {
    let socket = Socket::bind((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
    let node = NodeId(socket.local_addr().unwrap());
    let entries = vec![node; MAX_DATAGRAM_BYTES / 4];
    let datagram = Datagram::HeartbeatAck {
        from: node,
        next_offset: 1,
        read_at: Timestamp::ZERO,
        entries,
        zone_entries: Vec::new(),
        peers: Vec::new(),
    };

    let result = socket.send(node, &datagram).await;

    assert!(result.unwrap_err().to_string().contains("at most 65507 fit"));
}

fn promise(millis: u64) -> Datagram {
    Datagram::Promise(Promise {
        deputy: NodeId("127.0.0.1:1".parse().unwrap()),
        incarnation: Incarnation(Timestamp::ZERO),
        owner_incarnation: Incarnation(Timestamp::ZERO),
        next_offset: 1,
        until: Timestamp::from_millis(millis),
    })
}
