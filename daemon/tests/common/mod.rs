//! Fixture: a small cluster in one process.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::time::Duration;

use hyper::Method;
use ident::{RequestId, Timestamp};
use load::{Answer, Caller, Cluster, ClusterOptions, Submission};
use serde_json::Value;

const INVENTORY: &str = include_str!("inventory.toml");

/// Interval at which a condition is checked.
pub const PAUSE: Duration = Duration::from_millis(10);

/// Starts two entries and two executors with one agent each.
pub async fn start(seed: u64) -> Cluster {
    let options = ClusterOptions { inventory: INVENTORY.to_owned(), entries: 2, seed };
    Cluster::start(&options).await.unwrap()
}

/// Client of the given entry.
pub fn caller(cluster: &Cluster, entry: usize) -> Caller {
    Caller::new(cluster.entries[entry].http_address().unwrap())
}

/// A non-idempotent request of the given run time.
pub fn wrap_ticket(id: RequestId, run_time: Duration) -> Submission<'static> {
    Submission {
        id: Some(id),
        service: "yardbook",
        kind: "wrap-ticket",
        team: "yard",
        deadline: Some(Duration::from_secs(5)),
        declared: Some(run_time),
        run_time,
    }
}

/// An id with the present time.
pub fn new_id(number: u8) -> RequestId {
    RequestId::new(Timestamp::now(), [number; 10])
}

/// Waits until an executor has started a request, and returns the host's name.
pub async fn wait_for_start(cluster: &Cluster) -> String {
    loop {
        if let Some(host) = cluster.hosts.iter().find(|host| host.starts() > 0) {
            return host.name.clone();
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Gets and parses a JSON page.
pub async fn get_json(caller: &Caller, path: &str) -> Value {
    let answer: Answer = caller.call(Method::GET, path).await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}
