//! Pace of reads from many clients.

use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use intake::{ClientStream, Pace, Phase, Timeouts};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    task::{JoinHandle, yield_now},
    time::timeout,
};

/// Time after which a read is taken to wait for ever.
const STALL: Duration = Duration::from_secs(5);

/// Time limits that do not matter.
const LONG: Timeouts =
    Timeouts { header: Duration::from_secs(3_600), write: Duration::from_secs(3_600) };

#[tokio::test]
async fn all_clients_are_read_from_however_many_there_are() {
    let pace = Pace::new(2);
    let (mut clients, mut streams) = (Vec::new(), Vec::new());
    for _ in 0..20 {
        let (client, stream) = connect(&pace).await;
        clients.push(client);
        streams.push(stream);
    }
    for client in &mut clients {
        client.write_all(&[1; 100]).await.expect("bytes are sent");
    }

    let read = streams.into_iter().map(async |mut it| it.read_exact(&mut [0; 100]).await);
    let read = futures_count(read).await;

    assert_eq!(read, 20);
}

#[tokio::test]
async fn clients_that_send_all_the_time_leave_room_for_other_work() {
    let pace = Pace::new(4);
    let read = Arc::new(AtomicUsize::new(0));
    for _ in 0..50 {
        let (mut client, mut stream) = connect(&pace).await;
        tokio::spawn(async move {
            while client.write_all(&[1; 4_096]).await.is_ok() {}
            pending::<()>().await;
        });
        let read = Arc::clone(&read);
        tokio::spawn(async move {
            while stream.read(&mut [0; 4_096]).await.is_ok() {
                read.fetch_add(1, Ordering::Relaxed);
            }
        });
    }

    let mut most = 0;
    for _ in 0..1_000 {
        let before = read.load(Ordering::Relaxed);
        yield_now().await;
        most = most.max(read.load(Ordering::Relaxed) - before);
    }

    assert!(read.load(Ordering::Relaxed) > 0);
    assert!(most <= 8, "{most} reads between two turns of other work");
}

/// Guards against reads that wait for ever once no other connection asks for a turn.
#[tokio::test]
async fn reads_that_wait_go_on_when_no_other_connection_asks_for_a_turn() {
    let pace = Pace::new(2);
    let clients = connect_readable(&pace, 20).await;
    let reads = clients.into_iter().map(|(client, stream)| tokio::spawn(read_one(client, stream)));
    let reads: Vec<_> = reads.collect();

    let read = count_reads(reads).await;

    assert_eq!(read, 20);
}

/// Guards against reads that wait for ever after a connection that waited before them has closed.
#[tokio::test]
async fn reads_that_wait_go_on_when_connections_before_them_close() {
    let pace = Pace::new(2);
    let clients = connect_readable(&pace, 20).await;
    let reads = clients.into_iter().map(|(client, stream)| tokio::spawn(read_one(client, stream)));
    let mut reads: Vec<_> = reads.collect();
    yield_now().await;

    for closed in reads.drain(..10) {
        closed.abort();
    }
    let read = count_reads(reads).await;

    assert_eq!(read, 10);
}

/// Guards against reads that wait for ever after the task that would have woken them was dropped.
#[test]
fn reads_that_wait_go_on_when_the_runtime_of_an_earlier_one_has_ended() {
    let pace = Pace::new(1);
    let earlier = runtime();
    earlier.block_on(async {
        for (client, stream) in connect_readable(&pace, 3).await {
            tokio::spawn(read_one(client, stream));
        }
        yield_now().await;
    });
    drop(earlier);

    let read = runtime().block_on(async {
        let clients = connect_readable(&pace, 3).await;
        let reads = clients.into_iter().map(|(client, stream)| read_one(client, stream));
        count_reads(reads.map(tokio::spawn).collect()).await
    });

    assert_eq!(read, 3);
}

/// A runtime with one thread.
fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Connections with their streams, each of which has bytes to read.
async fn connect_readable(pace: &Pace, count: usize) -> Vec<(TcpStream, ClientStream)> {
    let mut connections = Vec::new();
    for _ in 0..count {
        let (mut client, stream) = connect(pace).await;
        client.write_all(&[1; 100]).await.expect("bytes are sent");
        connections.push((client, stream));
    }
    connections
}

/// Reads the bytes of a connection, which stays open until then.
async fn read_one(_client: TcpStream, mut stream: ClientStream) -> std::io::Result<usize> {
    stream.read_exact(&mut [0; 100]).await
}

/// Number of reads that succeed before nothing is read for long.
async fn count_reads(reads: Vec<JoinHandle<std::io::Result<usize>>>) -> usize {
    let mut count = 0;
    for read in reads {
        count += usize::from(matches!(timeout(STALL, read).await, Ok(Ok(Ok(_)))));
    }
    count
}

/// A connection and the stream of its other end.
async fn connect(pace: &Pace) -> (TcpStream, ClientStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (stream, _) = accepted.expect("a connection");
    (client.expect("a connection"), ClientStream::new(stream, Phase::default(), LONG, pace))
}

/// Number of reads that succeed.
async fn futures_count<T>(
    reads: impl Iterator<Item = impl Future<Output = std::io::Result<T>>>,
) -> usize {
    let mut count = 0;
    for read in reads {
        count += usize::from(read.await.is_ok());
    }
    count
}
