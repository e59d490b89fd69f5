//! Validation of inventories.

use config::{Inventory, Problem};

/// A valid inventory, in which each test changes one thing.
const VALID: &str = r#"
[rules]
window_s = 600

[[availability_zones]]
name = "pier-yard"
region = "south-coast"

[[racks]]
name = "rack-1"
availability_zone = "pier-yard"

[[urgencies]]
name = "urgent"
rank = 1
deadline_ms = 2000

[[services]]
name = "yardbook"

[[kinds]]
service = "yardbook"
name = "slot-check"
idempotent = true
urgency = "urgent"
run_ms = 80

[[executors]]
name = "yard-1"
service = "yardbook"
availability_zone = "pier-yard"
slots = 8
connections = 60

[[workers]]
name = "worker-1"
rack = "rack-1"
cores = 64
memory_gb = 256

[[teams]]
name = "owners"
starts_per_s = 100
burst = 200
"#;

/// The only problem after `old` has been replaced by `new`.
fn problem(old: &str, new: &str) -> Problem {
    assert!(VALID.contains(old), "{old:?} does not occur in the inventory");
    let mut err = Inventory::parse(&VALID.replacen(old, new, 1)).unwrap_err();
    assert_eq!(err.problems.len(), 1, "{err}");
    err.problems.remove(0)
}

#[test]
fn accepts_an_inventory_without_a_problem() {
    let inventory = Inventory::parse(VALID).unwrap();

    assert_eq!(inventory.executors[0].slots, 8);
}

#[test]
fn names_the_key_value_line_and_column_of_an_undeclared_zone() {
    let problem =
        problem("availability_zone = \"pier-yard\"\nslots", "availability_zone = \"moon\"\nslots");

    assert_eq!(problem.key, "executors[0].availability_zone");
    assert_eq!((problem.line, problem.column), (Some(31), Some(21)));
    assert_eq!(problem.message, "\"moon\" is not declared; declared are pier-yard");
}

#[test]
fn points_at_the_line_of_an_unknown_key() {
    let problem = problem("window_s = 600", "hurry = true");

    assert_eq!(problem.line, Some(3));
    assert!(problem.message.contains("hurry"), "{}", problem.message);
}

#[test]
fn points_at_the_item_that_lacks_a_field() {
    let problem = problem("slots = 8\n", "");

    assert_eq!(problem.line, Some(28));
    assert!(problem.message.contains("slots"), "{}", problem.message);
}

#[test]
fn names_both_users_of_one_name() {
    let problem = problem("name = \"worker-1\"", "name = \"yard-1\"");

    assert_eq!(problem.key, "workers[0].name");
    assert!(problem.message.contains("first by executors[0].name"), "{}", problem.message);
}

#[test]
fn refuses_a_kind_that_its_service_has_twice() {
    let kind = "[[kinds]]\nservice = \"yardbook\"\nname = \"slot-check\"\nidempotent = false\n\
                urgency = \"urgent\"\nrun_ms = 80\n\n[[executors]]";

    let problem = problem("[[executors]]", kind);

    assert_eq!(problem.key, "kinds[1].name");
}

#[test]
fn accepts_one_kind_name_in_two_services() {
    let text = format!(
        "{VALID}\n[[services]]\nname = \"desk\"\n[[kinds]]\nservice = \"desk\"\nname = \
         \"slot-check\"\nidempotent = true\nurgency = \"urgent\"\nrun_ms = 9\n"
    );

    let result = Inventory::parse(&text);

    assert!(result.is_ok());
}

#[test]
fn refuses_references_to_undeclared_items() {
    let keys = [
        ("availability_zone = \"pier-yard\"\n\n", "availability_zone = \"x\"\n\n"),
        ("service = \"yardbook\"\nname", "service = \"x\"\nname"),
        ("service = \"yardbook\"\navail", "service = \"x\"\navail"),
        ("urgency = \"urgent\"", "urgency = \"x\""),
        ("rack = \"rack-1\"", "rack = \"x\""),
    ]
    .map(|(old, new)| problem(old, new).key);

    assert_eq!(
        keys,
        [
            "racks[0].availability_zone",
            "kinds[0].service",
            "executors[0].service",
            "kinds[0].urgency",
            "workers[0].rack",
        ]
    );
}

#[test]
fn refuses_numbers_out_of_range() {
    let keys = [
        ("window_s = 600", "hand_on_wait_ms = 60001"),
        ("window_s = 600", "retry_percent = 101"),
        ("window_s = 600", "eject_percent = 101"),
        ("window_s = 600", "window_s = 86401"),
        ("window_s = 600", "skew_ms = 10001"),
        ("deadline_ms = 2000", "deadline_ms = 0"),
        ("run_ms = 80", "run_ms = 0"),
        ("slots = 8", "slots = 0"),
        ("connections = 60", "connections = 65537"),
        ("cores = 64", "cores = 0"),
        ("memory_gb = 256", "memory_gb = 0"),
        ("memory_gb = 256", "memory_gb = 256\naccelerators = 1025"),
        ("starts_per_s = 100", "starts_per_s = 0"),
        ("burst = 200", "burst = 1000001"),
    ]
    .map(|(old, new)| problem(old, new).key);

    assert_eq!(
        keys,
        [
            "rules.hand_on_wait_ms",
            "rules.retry_percent",
            "rules.eject_percent",
            "rules.window_s",
            "rules.skew_ms",
            "urgencies[0].deadline_ms",
            "kinds[0].run_ms",
            "executors[0].slots",
            "executors[0].connections",
            "workers[0].cores",
            "workers[0].memory_gb",
            "workers[0].accelerators",
            "teams[0].starts_per_s",
            "teams[0].burst",
        ]
    );
}

#[test]
fn refuses_a_window_that_is_shorter_than_a_deadline() {
    let problem = problem("window_s = 600", "window_s = 1");

    assert_eq!(problem.key, "rules.window_s");
    assert!(problem.message.contains("2000 ms"), "{}", problem.message);
}

#[test]
fn refuses_names_that_do_not_fit_into_a_path() {
    let messages = ["", "a b", "a/b", &"a".repeat(65)]
        .map(|name| problem("name = \"owners\"", &format!("name = {name:?}")).message);

    for message in messages {
        assert!(message.contains("is not a valid name"), "{message}");
    }
}

#[test]
fn refuses_an_empty_region() {
    let problem = problem("region = \"south-coast\"", "region = \" \"");

    assert_eq!(problem.key, "availability_zones[0].region");
}

#[test]
fn refuses_an_inventory_in_which_nothing_could_run() {
    let errors = ["", "[rules]\nskew_ms = 1\n"].map(|text| Inventory::parse(text).unwrap_err());

    for err in errors {
        assert!(err.to_string().contains("no services and no workers"), "{err}");
    }
}

#[test]
fn lists_all_problems_in_the_order_of_the_text() {
    let text = VALID
        .replace("slots = 8", "slots = 0")
        .replace("skew", "")
        .replace("region = \"south-coast\"", "region = \"\"");

    let err = Inventory::parse(&text).unwrap_err();

    let lines: Vec<_> = err.problems.iter().map(|it| it.line).collect();
    assert_eq!(lines, [Some(7), Some(32)]);
}

#[test]
fn lists_a_few_of_many_declared_names() {
    let mut text = VALID.replace("rack = \"rack-1\"", "rack = \"x\"");
    for index in 2..=400 {
        text += &format!("[[racks]]\nname = \"rack-{index}\"\navailability_zone = \"pier-yard\"\n");
    }

    let err = Inventory::parse(&text).unwrap_err();

    assert!(err.problems[0].message.ends_with(" and 392 more"), "{err}");
}
