//! Faults of the log that the tests of the `journal` client do not cover.

use std::time::Duration;

use journal::LogClient;
use register::Record;
use standin::log::LogServer;
use tokio::{io::AsyncWriteExt, net::TcpStream};
use uuid::Uuid;

fn record() -> Record {
    Record::Config { record: Uuid::nil(), base: 0, text: String::new() }
}

#[tokio::test]
async fn a_slow_append_takes_effect_after_its_client_has_gone() {
    let server = LogServer::start().await.unwrap();
    server.set_delay(Duration::from_millis(50));
    let mut client = TcpStream::connect(server.address()).await.unwrap();
    let request = "POST /records HTTP/1.1\r\nhost: log\r\ncontent-length: 2\r\n\r\n{}";
    client.write_all(request.as_bytes()).await.unwrap();

    drop(client);

    while server.appends() == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(server.end(), 2);
}

#[tokio::test]
async fn records_older_than_the_limit_are_dropped() {
    let server = LogServer::start().await.unwrap();
    let journal = LogClient::new(server.address());
    journal.append(&record()).await.unwrap();
    server.set_max_age(Duration::ZERO);

    let page = journal.read(1, Duration::ZERO).await.unwrap();

    assert_eq!((page.first, page.next, page.end), (2, 2, 2));
}
