//! Tests of the operators' commands against a stand-in of the log.

mod support;

use insta::assert_snapshot;
use standin::log::LogServer;

use crate::support::{
    FakeEntry, HARBORLIFT, Reply, format_run, harborlift, run, temp_dir, write_file,
};

struct Fixture {
    log: LogServer,
    variables: Vec<(&'static str, String)>,
}

impl Fixture {
    /// Starts an empty log.
    async fn new() -> Fixture {
        let log = LogServer::start().await.unwrap();
        let variables = vec![("PRIMROSEMUX_LOG", log.address().to_string())];
        Fixture { log, variables }
    }

    /// Starts a log with the example inventory as version 1.
    async fn published() -> Fixture {
        let fixture = Fixture::new().await;
        let finished = run(&["publish", HARBORLIFT, "--no-wait"], &fixture.variables).await;
        assert_eq!(finished.exit.code(), 0, "{}", finished.stderr);
        fixture
    }

    /// Runs the tool and formats the result.
    async fn run(&self, args: &[&str]) -> String {
        let finished = run(args, &self.variables).await;
        format_run(&finished, &[temp_dir(), (self.log.address().to_string(), "LOG")])
    }

    /// Inventory text of the record at `offset`.
    fn inventory_text(&self, offset: u64) -> String {
        let records = self.log.records();
        let raw = records.iter().find(|it| it.offset == offset).unwrap().record.get().to_owned();
        let record: serde_json::Value = serde_json::from_str(&raw).unwrap();
        record["text"].as_str().unwrap().to_owned()
    }
}

/// Writes the example inventory with six instead of eight slots on one executor.
fn fewer_slots(name: &str) -> String {
    write_file(name, &harborlift().replacen("slots = 8", "slots = 6", 1))
}

/// Status of two entries and two agents; `first` and `second` are the agents' next offsets.
fn status(version: u64, first: u64, second: u64) -> Reply {
    let agent = |node: &str, name: &str, next: u64| {
        format!(
            r#"{{"node":"{node}","incarnation":1,"sequence":1,"name":"{name}","group":{{"Service":"yardbook"}},"availability_zone":"pier-yard","leaving":false,"load":{{"busy":2,"slots":8,"queued":0,"work":{{"secs":0,"nanos":0}}}},"next_offset":{next}}}"#
        )
    };
    let body = format!(
        r#"{{"node":"192.0.2.1:7400","version":{version},"next_offset":{},"entries":[["192.0.2.1:7400",{0}],["192.0.2.2:7400",{0}]],"agents":[{},{}]}}"#,
        version + 1,
        agent("192.0.2.12:7500", "yard-2", second),
        agent("192.0.2.11:7500", "yard-1", first)
    );
    Reply::json(200, &body.replace("{0}", &(version + 1).to_string()))
}

#[tokio::test]
async fn check_accepts_a_valid_inventory() {
    let fixture = Fixture::new().await;

    assert_snapshot!(fixture.run(&["check", HARBORLIFT]).await);
}

#[tokio::test]
async fn check_names_an_unknown_zone() {
    let fixture = Fixture::new().await;
    let text = harborlift().replacen("_zone = \"pier-yard\"\nslots", "_zone = \"moon\"\nslots", 1);
    let file = write_file("unknown-zone.toml", &text);

    assert_snapshot!("check_unknown_zone", fixture.run(&["check", &file]).await);
    assert_snapshot!("check_unknown_zone_json", fixture.run(&["check", &file, "--json"]).await);
}

#[tokio::test]
async fn check_names_a_missing_file() {
    let fixture = Fixture::new().await;

    assert_snapshot!(fixture.run(&["check", "inventories/missing.toml"]).await);
}

#[tokio::test]
async fn show_and_drain_report_that_no_version_is_in_force() {
    let fixture = Fixture::new().await;

    assert_snapshot!("show_nothing", fixture.run(&["show"]).await);
    assert_snapshot!("drain_nothing", fixture.run(&["drain", "yard-1", "--no-wait"]).await);
}

#[tokio::test]
async fn show_prints_the_text_as_it_was_published() {
    let fixture = Fixture::published().await;

    let shown = fixture.run(&["show"]).await;

    assert_eq!(shown, format!("exit 0\n--- stdout\n{}", harborlift()));
}

#[tokio::test]
async fn show_prints_json() {
    let fixture = Fixture::new().await;
    let file = write_file("small.toml", "[[services]]\nname = \"yardbook\" # the yard\n");
    fixture.run(&["publish", &file, "--no-wait"]).await;

    assert_snapshot!(fixture.run(&["show", "--json"]).await);
}

#[tokio::test]
async fn diff_names_changed_fields() {
    let fixture = Fixture::published().await;
    let file = fewer_slots("diff.toml");

    assert_snapshot!("diff_changed", fixture.run(&["diff", &file]).await);
    assert_snapshot!("diff_changed_json", fixture.run(&["diff", &file, "--json"]).await);
    assert_snapshot!("diff_equal", fixture.run(&["diff", HARBORLIFT]).await);
}

#[tokio::test]
async fn publish_prints_version_base_and_changes() {
    let fixture = Fixture::published().await;
    let file = fewer_slots("publish.toml");

    assert_snapshot!("publish", fixture.run(&["publish", &file, "--no-wait"]).await);
    assert_eq!(fixture.inventory_text(2), std::fs::read_to_string(&file).unwrap());
}

#[tokio::test]
async fn publish_refuses_a_stale_base() {
    let fixture = Fixture::published().await;
    let file = fewer_slots("stale.toml");
    fixture.run(&["publish", &file, "--no-wait"]).await;

    let shown = fixture.run(&["publish", HARBORLIFT, "--base", "1", "--no-wait"]).await;

    assert_snapshot!("publish_stale", shown);
    assert_eq!(fixture.log.end(), 3);
}

#[tokio::test]
async fn publish_reports_a_concurrent_version() {
    let fixture = Fixture::published().await;
    let file = fewer_slots("race.toml");
    let rival = fixture.inventory_text(1);

    let shown = run_with_rival(&fixture, &["publish", &file, "--no-wait"], &rival).await;

    assert_snapshot!("publish_race", shown);
}

#[tokio::test]
async fn drain_is_repeated_on_a_concurrent_version() {
    let fixture = Fixture::published().await;
    let rival = fixture.inventory_text(1).replacen("slots = 8", "slots = 4", 1);

    let shown = run_with_rival(&fixture, &["drain", "yard-3", "--no-wait"], &rival).await;

    assert_snapshot!("drain_race", shown);
    assert!(fixture.inventory_text(4).contains("slots = 4"));
    assert!(fixture.inventory_text(4).contains("state = \"draining\""));
}

/// Runs the tool and publishes `rival` right after its first read of the log.
async fn run_with_rival(fixture: &Fixture, args: &[&str], rival: &str) -> String {
    let reads = fixture.log.reads();
    fixture.log.set_delay(std::time::Duration::from_millis(200));
    let record = serde_json::json!({
        "type": "config",
        "record": "00000000-0000-4000-8000-000000000001",
        "base": 1,
        "text": rival,
    });
    let publish_rival = async {
        while fixture.log.reads() == reads {
            tokio::task::yield_now().await;
        }
        fixture.log.append_raw(&record.to_string()).unwrap();
    };
    let (shown, ()) = tokio::join!(fixture.run(args), publish_rival);
    shown
}

#[tokio::test]
async fn publish_resolves_a_lost_answer() {
    let fixture = Fixture::new().await;
    fixture.log.lose_answers(1);

    let shown = fixture.run(&["publish", HARBORLIFT, "--no-wait", "--json"]).await;

    assert!(shown.starts_with("exit 0\n"), "{shown}");
    assert!(shown.contains("\"version\": 1,"), "{shown}");
    assert_eq!(fixture.log.end(), 2);
}

#[tokio::test]
async fn publish_reports_an_unknown_outcome_if_the_log_drops_the_record_at_once() {
    let fixture = Fixture::new().await;
    fixture.log.set_max_records(0);

    let shown = fixture.run(&["publish", HARBORLIFT, "--no-wait"]).await;

    assert_snapshot!("publish_forgotten", shown);
}

#[tokio::test]
async fn an_outage_of_the_log_leaves_nothing_published() {
    let fixture = Fixture::new().await;
    fixture.log.set_outage(true);

    assert_snapshot!("publish_outage", fixture.run(&["publish", HARBORLIFT, "--no-wait"]).await);
}

#[tokio::test]
async fn a_bad_inventory_is_not_published() {
    let fixture = Fixture::new().await;
    let file = write_file("bad.toml", &harborlift().replace("slots = 8", "slots = 0"));

    let shown = fixture.run(&["publish", &file, "--no-wait"]).await;

    assert!(shown.starts_with("exit 2\n"), "{shown}");
    assert!(shown.contains("has 10 problems"), "{shown}");
    assert_eq!(fixture.log.end(), 1);
}

#[tokio::test]
async fn publish_waits_until_the_version_is_in_force_on_every_node() {
    let mut fixture = Fixture::new().await;
    let routes = [("GET /v1/status", status(1, 2, 1)), ("GET /v1/status", status(1, 2, 2))];
    let entry = FakeEntry::start(&routes).await;
    fixture.variables.push(entry.variable());
    let file = write_file("wait.toml", "[[services]]\nname = \"yardbook\"\n");

    let shown = fixture.run(&["publish", &file]).await;

    assert_snapshot!("publish_in_force", shown);
    assert_eq!(entry.received().len(), 2);
}

#[tokio::test]
async fn publish_names_stragglers() {
    let mut fixture = Fixture::new().await;
    let entry = FakeEntry::start(&[("GET /v1/status", status(1, 2, 1))]).await;
    fixture.variables.push(entry.variable());
    let file = write_file("straggler.toml", "[[services]]\nname = \"yardbook\"\n");

    let shown = fixture.run(&["publish", &file, "--wait-s", "0"]).await;

    assert_snapshot!("publish_stragglers", shown);
}

#[tokio::test]
async fn publish_reports_that_the_entry_did_not_list_the_nodes() {
    let mut fixture = Fixture::new().await;
    let entry = FakeEntry::start(&[("GET /v1/status", Reply::json(404, "nobody"))]).await;
    fixture.variables.push(entry.variable());
    let file = write_file("silent.toml", "[[services]]\nname = \"yardbook\"\n");

    let finished = run(&["publish", &file, "--wait-s", "0"], &fixture.variables).await;

    assert_snapshot!("publish_no_status", format_run(&finished, &[entry.replacement()]));
}

#[tokio::test]
async fn status_lists_nodes_and_stragglers() {
    let mut fixture = Fixture::new().await;
    let entry = FakeEntry::start(&[("GET /v1/status", status(7, 8, 7))]).await;
    fixture.variables.push(entry.variable());

    assert_snapshot!("status", fixture.run(&["status"]).await);
    assert_snapshot!("status_json", fixture.run(&["status", "--json"]).await);
}

#[tokio::test]
async fn drain_and_undrain_change_one_endpoint() {
    let fixture = Fixture::published().await;

    assert_snapshot!("drain", fixture.run(&["drain", "yard-3", "--no-wait"]).await);
    assert_snapshot!("drain_again", fixture.run(&["drain", "yard-3", "--no-wait"]).await);
    assert_snapshot!("undrain", fixture.run(&["undrain", "yard-3", "--no-wait"]).await);
    assert!(fixture.inventory_text(3).contains("# A ticket bills a customer."));
}

#[tokio::test]
async fn drain_refuses_an_unknown_name() {
    let fixture = Fixture::published().await;

    assert_snapshot!(fixture.run(&["drain", "yard-99", "--no-wait"]).await);
}

#[tokio::test]
async fn a_truncated_log_is_read_from_a_snapshot() {
    let fixture = Fixture::published().await;
    let state = serde_json::json!({
        "next_offset": 2,
        "config": { "version": 1, "text": harborlift() },
        "table": [],
    });
    let snapshot = serde_json::json!({
        "type": "snapshot",
        "record": "00000000-0000-4000-8000-000000000002",
        "state": state,
    });
    fixture.log.append_raw(&snapshot.to_string()).unwrap();
    fixture.log.drop_before(2);
    let file = fewer_slots("snapshot.toml");

    let shown = fixture.run(&["publish", &file, "--no-wait"]).await;

    assert_snapshot!("publish_after_snapshot", shown);
}

#[tokio::test]
async fn a_truncated_log_without_a_snapshot_is_refused() {
    let fixture = Fixture::published().await;
    fixture.log.drop_before(2);

    assert_snapshot!(fixture.run(&["show"]).await);
}

#[tokio::test]
async fn publish_bootstraps_a_log_that_dropped_the_state() {
    let mut fixture = Fixture::published().await;
    fixture.log.drop_before(2);
    let entry = FakeEntry::start(&[("GET /v1/status", status(0, 0, 0))]).await;
    fixture.variables.push(entry.variable());

    let shown = fixture.run(&["publish", HARBORLIFT, "--bootstrap", "--no-wait"]).await;

    assert!(shown.contains("Published version 3, the first one."), "{shown}");
    assert_eq!(fixture.run(&["show"]).await, format!("exit 0\n--- stdout\n{}", harborlift()));
}

#[tokio::test]
async fn publish_does_not_bootstrap_while_an_entry_holds_a_version() {
    let mut fixture = Fixture::published().await;
    fixture.log.drop_before(2);
    let entry = FakeEntry::start(&[("GET /v1/status", status(1, 2, 2))]).await;
    fixture.variables.push(entry.variable());

    assert_snapshot!(fixture.run(&["publish", HARBORLIFT, "--bootstrap", "--no-wait"]).await);
    assert_eq!(fixture.log.end(), 2);
}

#[tokio::test]
async fn publish_does_not_bootstrap_a_log_that_holds_the_state() {
    let mut fixture = Fixture::published().await;
    let entry = FakeEntry::start(&[("GET /v1/status", status(0, 0, 0))]).await;
    fixture.variables.push(entry.variable());

    assert_snapshot!(fixture.run(&["publish", HARBORLIFT, "--bootstrap", "--no-wait"]).await);
    assert_eq!(fixture.log.end(), 2);
}

#[tokio::test]
async fn publish_of_the_text_in_force_appends_nothing() {
    let fixture = Fixture::published().await;

    assert_snapshot!(fixture.run(&["publish", HARBORLIFT, "--no-wait"]).await);
    assert_eq!(fixture.log.end(), 2);
}

#[tokio::test]
async fn a_setting_that_is_missing_or_wrong_is_named() {
    let missing = run(&["show"], &[]).await;
    let wrong = run(&["show", "--log", "localhost"], &[]).await;
    let variable = run(&["show"], &[("PRIMROSEMUX_LOG", "192.0.2.7".to_owned())]).await;
    let entry = run(&["publish", HARBORLIFT, "--log", "192.0.2.7:1"], &[]).await;

    let shown = [missing, wrong, variable, entry].map(|it| format_run(&it, &[])).concat();
    assert_snapshot!("settings", shown);
}

#[tokio::test]
async fn help_documents_settings_and_exit_codes() {
    let finished = run(&["--help"], &[]).await;

    assert_snapshot!("help", format_run(&finished, &[]));
}
