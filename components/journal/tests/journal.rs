//! Client of the log, against a stand-in.

use std::time::Duration;

use ident::Timestamp;
use journal::{AppendError, LogClient};
use register::Record;
use standin::log::LogServer;
use uuid::Uuid;

fn record(number: u128) -> Record {
    Record::Config { record: Uuid::from_u128(number), base: 0, text: String::new() }
}

async fn log() -> (LogServer, LogClient) {
    let server = LogServer::start().await.unwrap();
    let client = LogClient::new(server.address());
    (server, client)
}

#[tokio::test]
async fn reads_what_was_appended_in_order() {
    let (_server, client) = log().await;
    client.append(&record(1)).await.unwrap();
    client.append(&record(2)).await.unwrap();

    let page = client.read(1, Duration::ZERO).await.unwrap();

    let ids: Vec<_> = page.entries.iter().map(|it| it.record.as_ref().unwrap().id()).collect();
    assert_eq!(ids, [Uuid::from_u128(1), Uuid::from_u128(2)]);
    assert_eq!((page.first, page.next, page.end), (1, 3, 3));
    assert!(page.reaches_end());
}

#[tokio::test]
async fn a_long_poll_ends_with_the_next_append() {
    let (server, client) = log().await;
    let before = Timestamp::now();
    let reader = client.clone();
    let read = tokio::spawn(async move { reader.read(1, Duration::from_secs(50)).await });
    while server.waiting() == 0 {
        tokio::task::yield_now().await;
    }
    let appended_at = Timestamp::now();

    client.append(&record(1)).await.unwrap();

    let page = read.await.unwrap().unwrap();
    assert_eq!(page.entries.len(), 1);
    assert!(before <= page.read_at && page.read_at <= appended_at);
}

#[tokio::test]
async fn a_record_of_no_known_type_keeps_its_offset() {
    let (server, client) = log().await;
    let deep = format!("{}{}", "[".repeat(500), "]".repeat(500));
    for json in ["17", "{\"type\":\"unheard\"}", "[1e999]", &deep] {
        server.append_raw(json).unwrap();
    }
    client.append(&record(1)).await.unwrap();

    let page = client.read(1, Duration::ZERO).await.unwrap();

    let known: Vec<_> = page.entries.iter().map(|it| it.record.is_some()).collect();
    assert_eq!(known, [false, false, false, false, true]);
    assert_eq!(page.entries[4].offset, 5);
}

#[tokio::test]
async fn a_read_before_the_oldest_record_starts_at_the_oldest() {
    let (server, client) = log().await;
    for number in 1..=5 {
        client.append(&record(number)).await.unwrap();
    }
    server.drop_before(4);

    let page = client.read(1, Duration::ZERO).await.unwrap();

    assert_eq!((page.first, page.entries[0].offset, page.next), (4, 4, 6));
}

#[tokio::test]
async fn the_log_keeps_no_more_records_than_it_is_told() {
    let (server, client) = log().await;
    server.set_max_records(2);

    for number in 1..=5 {
        client.append(&record(number)).await.unwrap();
    }

    let offsets: Vec<_> = server.records().iter().map(|it| it.offset).collect();
    assert_eq!(offsets, [4, 5]);
}

#[tokio::test]
async fn a_refused_append_is_known_not_to_be_in_the_log() {
    let (server, client) = log().await;
    server.set_outage(true);

    let err = client.append(&record(1)).await.unwrap_err();

    assert!(matches!(err, AppendError::NotAppended(_)), "{err}");
    assert_eq!(server.end(), 1);
}

#[tokio::test]
async fn an_append_to_a_closed_port_is_known_not_to_be_in_the_log() {
    let (server, client) = log().await;
    drop(server);
    tokio::task::yield_now().await;

    let err = client.append(&record(1)).await.unwrap_err();

    assert!(matches!(err, AppendError::NotAppended(_)), "{err}");
}

#[tokio::test]
async fn a_lost_answer_leaves_the_append_unknown() {
    let (server, client) = log().await;
    server.lose_answers(1);

    let err = client.append(&record(1)).await.unwrap_err();

    assert!(matches!(err, AppendError::Unknown(_)), "{err}");
    assert_eq!(server.end(), 2);
}

#[tokio::test]
async fn a_checked_append_finds_its_record_after_a_lost_answer() {
    let (server, client) = log().await;
    server.append_raw("{}").unwrap();
    server.lose_answers(1);

    let offset = client.append_checked(&record(1), 1).await.unwrap();

    assert_eq!(offset, 2);
    assert_eq!(server.appends(), 1);
}

#[tokio::test]
async fn a_checked_append_retries_after_a_refusal() {
    let (server, client) = log().await;
    server.refuse_calls(1);

    let offset = client.append_checked(&record(1), 1).await.unwrap();

    assert_eq!(offset, 1);
    assert_eq!(server.appends(), 1);
}

#[tokio::test]
async fn a_checked_append_through_an_outage_stays_unknown_once_an_answer_was_lost() {
    let (server, client) = log().await;
    server.lose_answers(1);
    let appender = client.clone();
    let append = tokio::spawn(async move { appender.append_checked(&record(1), 1).await });
    while server.appends() == 0 {
        tokio::task::yield_now().await;
    }
    server.set_outage(true);

    let err = append.await.unwrap().unwrap_err();

    assert!(matches!(err, AppendError::Unknown(_)), "{err}");
}

#[tokio::test]
async fn an_outage_ends_waiting_reads() {
    let (server, client) = log().await;
    let reader = client.clone();
    let read = tokio::spawn(async move { reader.read(1, Duration::from_secs(50)).await });
    while server.waiting() == 0 {
        tokio::task::yield_now().await;
    }

    server.set_unreachable(true);

    assert!(read.await.unwrap().is_err());
}
