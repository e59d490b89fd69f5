//! Fault texts and the control port.

use std::time::Duration;

use journal::LogClient;
use standin::{control::Target, executor::Fault, log::LogServer};

#[test]
fn parses_the_faults_of_an_endpoint() {
    let faults = ["none", "fail_all", "straggler 5", "late 200"].map(str::parse);

    let expected =
        [Fault::None, Fault::FailAll, Fault::Straggler(5), Fault::Late(Duration::from_millis(200))];
    assert_eq!(faults, expected.map(Ok));
}

#[test]
fn names_an_unknown_fault_and_the_known_ones() {
    let refused: Result<Fault, _> = "straggler five".parse();

    let message = refused.unwrap_err().to_string();
    assert!(message.starts_with("The fault \"straggler five\" is not known; give one of: none, "));
}

#[tokio::test]
async fn switches_an_outage_of_the_log_on_and_off() {
    let server = LogServer::start().await.unwrap();
    let journal = LogClient::new(server.address());
    let target = Target::Log(server);

    target.set_fault("outage").unwrap();
    let during = journal.read(1, Duration::ZERO).await;
    target.set_fault("none").unwrap();
    let after = journal.read(1, Duration::ZERO).await;

    assert!(during.is_err());
    assert!(after.is_ok());
}
